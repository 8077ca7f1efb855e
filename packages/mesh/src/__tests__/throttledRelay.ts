/** TCP relay in front of the server of a host, whose link to the network all connections share. */

import * as net from 'node:net';
import * as loopback from './loopback.js';
import * as networkAddress from '../networkAddress.js';

const DRAIN_INTERVAL_MS = 5;

/**
 * Passes on what the server sends at a limited rate, in the order of arrival on all connections. What
 * clients send is passed on at once.
 */
export class ThrottledRelay {
  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  private readonly queue: { to: net.Socket; bytes: Buffer }[] = [];

  private drainedAtMs = performance.now();

  private readonly timer = setInterval(() => this.drain(), DRAIN_INTERVAL_MS);

  isPaused = false;

  constructor(
    target: string,
    private readonly bytesPerSecond: number,
  ) {
    this.server = net.createServer({ noDelay: true }, (client) => {
      const server = net.connect({ ...networkAddress.parse(target), noDelay: true });
      this.join(client, server);
      client.on('data', (bytes) => server.write(bytes));
      server.on('data', (bytes) => this.queue.push({ to: client, bytes }));
    });
  }

  async listen(): Promise<string> {
    const address = await loopback.freeAddress();
    await networkAddress.listen(this.server, address);
    return address;
  }

  close(): void {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(client: net.Socket, server: net.Socket): void {
    for (const socket of [client, server]) {
      const other = socket === client ? server : client;
      this.sockets.add(socket);
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        this.sockets.delete(socket);
        other.destroy();
      });
    }
  }

  private drain(): void {
    const now = performance.now();
    let budget = Math.floor(((now - this.drainedAtMs) * this.bytesPerSecond) / 1_000);
    this.drainedAtMs = now;
    if (this.isPaused) return;
    while (budget > 0 && this.queue.length > 0) {
      const head = this.queue[0]!;
      const passed = head.bytes.subarray(0, budget);
      budget -= passed.length;
      if (!head.to.destroyed) head.to.write(passed);
      head.bytes = head.bytes.subarray(passed.length);
      if (head.bytes.length === 0) this.queue.shift();
    }
  }
}
