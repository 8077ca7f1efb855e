/** Addresses of listeners as `ip:port`. */

import * as net from 'node:net';

export function split(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

export function isValid(text: string): boolean {
  const { host, port } = split(text);
  return net.isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536;
}
