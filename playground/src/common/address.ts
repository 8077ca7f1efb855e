/** IP addresses with ports, as given on command lines and in settings. */

import type { AddressInfo, Server } from 'node:net';

export interface Address {
  host: string;
  port: number;
}

/** Parses `127.0.0.1:7000`. @throws RangeError */
export function parseAddress(text: string): Address {
  const match = /^([^:]+):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (match === null || port > 65_535)
    throw new RangeError(`${text} is not an address with a port`);
  return { host: match[1] ?? '', port };
}

/** Listens and returns the actual address; port 0 selects any free port. */
export async function listen(server: Server, text: string): Promise<string> {
  const { host, port } = parseAddress(text);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  const bound = server.address() as AddressInfo;
  return `${bound.address}:${bound.port}`;
}
