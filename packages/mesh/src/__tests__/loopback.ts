/** Loopback addresses and polling for tests with real connections. */

import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as networkAddress from '../networkAddress.js';

const POLL_MS = 5;

/** Polls until the condition holds; there is no timeout but that of the test. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await timers.setTimeout(POLL_MS);
}

/** An `ip:port` on which nothing listens at present. */
export async function freeAddress(): Promise<string> {
  const probe = net.createServer().listen(0, '127.0.0.1');
  await until(() => probe.listening);
  const { port } = probe.address() as net.AddressInfo;
  await new Promise((resolve) => {
    probe.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

/** Waits until connections to the address are accepted. */
export async function untilListening(address: string): Promise<void> {
  let isListening = false;
  while (!isListening) {
    const socket = net.connect(networkAddress.parse(address));
    isListening = await new Promise((resolve) => {
      socket.on('connect', () => resolve(true));
      socket.on('error', () => resolve(false));
    });
    socket.destroy();
    if (!isListening) await timers.setTimeout(POLL_MS);
  }
}
