/** TCP relay whose open connections can go silent for good, without a reset, while new ones work. */

import * as net from 'node:net';
import { networkAddress } from '@godwittrack/mesh';
import * as ports from '../harness/ports.js';

interface Pair {
  client: net.Socket;
  server: net.Socket;
  isSilent: boolean;
}

export class SilentRelay {
  private readonly listener: net.Server;

  private readonly pairs = new Set<Pair>();

  constructor(target: string) {
    this.listener = net.createServer((client) => {
      const server = net.connect(networkAddress.parse(target));
      const pair = { client, server, isSilent: false };
      this.pairs.add(pair);
      this.forward(pair, client, server);
      this.forward(pair, server, client);
    });
  }

  async start(): Promise<string> {
    const [address] = (await ports.allocateAddresses(1)) as [string];
    await networkAddress.listen(this.listener, address);
    return address;
  }

  /** Nothing passes any more on the connections that are open now, not even their end. */
  silenceOpen(): void {
    for (const pair of this.pairs) pair.isSilent = true;
  }

  stop(): void {
    this.listener.close();
    for (const { client, server } of this.pairs) {
      client.destroy();
      server.destroy();
    }
  }

  private forward(pair: Pair, from: net.Socket, to: net.Socket): void {
    from.on('data', (bytes) => {
      if (!pair.isSilent) to.write(bytes);
    });
    for (const event of ['end', 'error', 'close']) {
      from.on(event, () => {
        if (pair.isSilent) return;
        this.pairs.delete(pair);
        to.destroy();
      });
    }
  }
}
