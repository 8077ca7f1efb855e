/** Free loopback ports for the processes of a harness. */

import * as net from 'node:net';

/** Below the usual ephemeral range (from 32,768), so that no outgoing connection takes a port. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const HOST = '127.0.0.1';
/** Ports of one block; a harness process reserves whole blocks. */
const BLOCK_PORTS = 250;
const BLOCKS = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);

/** Ports of the reserved blocks that have not been allocated yet. */
const unusedPorts: number[] = [];

/**
 * Returns `count` addresses on 127.0.0.1 that nothing listens on. No address is returned twice, in
 * this process or in another one that allocates at the same time.
 * @throws RangeError when no block of ports is left
 */
export async function allocateAddresses(count: number): Promise<string[]> {
  const allocated: string[] = [];
  while (allocated.length < count) {
    const port = unusedPorts.shift();
    if (port === undefined) unusedPorts.push(...(await reserveBlock()));
    else if (await isFree(port)) allocated.push(`${HOST}:${port}`);
  }
  return allocated;
}

/**
 * Reserves a block for the lifetime of this process by listening on its first port. Checking single
 * ports is not enough: another harness could take a free port before our process listens on it.
 */
async function reserveBlock(): Promise<number[]> {
  const startBlock = Math.floor(Math.random() * BLOCKS);
  for (let offset = 0; offset < BLOCKS; offset++) {
    const firstPort = FIRST_PORT + ((startBlock + offset) % BLOCKS) * BLOCK_PORTS;
    const blockServer = await listen(firstPort);
    if (blockServer !== null) {
      blockServer.unref();
      return Array.from({ length: BLOCK_PORTS - 1 }, (_, index) => firstPort + 1 + index);
    }
  }
  throw new RangeError('no free block of ports is left');
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === null) return false;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
}

/** Returns null when the port is in use. */
async function listen(port: number): Promise<net.Server | null> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(null));
    server.listen({ port, host: HOST, exclusive: true }, () => resolve(server));
  });
}
