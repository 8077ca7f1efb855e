/** Listen addresses in the form `ip:port`. */

import * as net from 'node:net';

export function parse(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

export function isValid(text: string): boolean {
  const { host, port } = parse(text);
  return net.isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536;
}

/** Starts to listen on an address; rejects if that fails. */
export function listen(
  server: net.Server,
  address: string,
  options: net.ListenOptions = {},
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...options, ...parse(address) }, () => resolve());
  });
}
