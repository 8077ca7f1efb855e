/** Free loopback ports for the processes of a harness. */

import * as net from 'node:net';

/** Below the usual ephemeral range (from 32,768), so that no outgoing connection takes a port. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const HOST = '127.0.0.1';
/** Ports of one block; a harness process holds whole blocks. */
const BLOCK_PORTS = 250;
const BLOCKS = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);

/** Ports of the blocks held that were not given out yet. */
const spare: number[] = [];

/**
 * Returns `count` addresses on 127.0.0.1 that nothing listens on. No address is returned twice, in
 * this process or in another one that allocates at the same time.
 * @throws RangeError when the range is used up
 */
export async function allocateAddresses(count: number): Promise<string[]> {
  const found: string[] = [];
  while (found.length < count) {
    const port = spare.shift();
    if (port === undefined) spare.push(...(await claimBlock()));
    else if (await isFree(port)) found.push(`${HOST}:${port}`);
  }
  return found;
}

/**
 * Claims a block for the life of this process by listening on its first port: a port that is free
 * when it is checked may be taken by another harness before its process listens on it.
 */
async function claimBlock(): Promise<number[]> {
  const start = Math.floor(Math.random() * BLOCKS);
  for (let step = 0; step < BLOCKS; step++) {
    const first = FIRST_PORT + ((start + step) % BLOCKS) * BLOCK_PORTS;
    const guard = await listen(first);
    if (guard !== null) {
      guard.unref();
      return Array.from({ length: BLOCK_PORTS - 1 }, (_, index) => first + 1 + index);
    }
  }
  throw new RangeError('no block of ports is free');
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === null) return false;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
}

/** Null when the port is in use. */
async function listen(port: number): Promise<net.Server | null> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(null));
    server.listen({ port, host: HOST, exclusive: true }, () => resolve(server));
  });
}
