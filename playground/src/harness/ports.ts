/** Free loopback ports for the processes of a harness. */

import * as net from 'node:net';

/** Below the usual ephemeral range (from 32,768), so that no outgoing connection takes a port. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const HOST = '127.0.0.1';

const given = new Set<number>();

/**
 * Returns `count` addresses on 127.0.0.1 that nothing listens on. No address is returned twice in
 * one process; harnesses in other processes start at other random ports.
 * @throws RangeError when the range is used up
 */
export async function allocateAddresses(count: number): Promise<string[]> {
  const size = LAST_PORT - FIRST_PORT;
  const start = Math.floor(Math.random() * size);
  const found: string[] = [];
  for (let step = 0; step < size && found.length < count; step++) {
    const port = FIRST_PORT + ((start + step) % size);
    if (given.has(port) || !(await isFree(port))) continue;
    given.add(port);
    found.push(`${HOST}:${port}`);
  }
  if (found.length < count) throw new RangeError(`only ${found.length} of ${count} ports are free`);
  return found;
}

async function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen({ port, host: HOST, exclusive: true }, () => server.close(() => resolve(true)));
  });
}
