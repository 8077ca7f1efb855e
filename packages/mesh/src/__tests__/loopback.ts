/** Addresses on loopback, and waiting, for tests with real connections. */

import * as net from 'node:net';
import * as timers from 'node:timers/promises';

const POLL_MS = 5;

/** Waits until `holds`; the time limit is that of the test. */
export async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await timers.setTimeout(POLL_MS);
}

/** `ip:port` on which nobody listens at the moment. */
export async function freeAddress(): Promise<string> {
  const probe = net.createServer().listen(0, '127.0.0.1');
  await until(() => probe.listening);
  const { port } = probe.address() as net.AddressInfo;
  await new Promise((resolve) => {
    probe.close(resolve);
  });
  return `127.0.0.1:${port}`;
}
