/** TCP proxy that can make its open connections silent for good, without a reset. */

import * as net from 'node:net';

export class Proxy {
  pairs = new Set();

  constructor(target) {
    this.target = target;
  }

  async start(host) {
    const [targetHost, targetPort] = this.target.split(':');
    this.server = net.createServer((client) => {
      const upstream = net.connect({ host: targetHost, port: Number(targetPort) });
      const pair = { client, upstream, isSilent: false };
      this.pairs.add(pair);
      const forward = (from, to) => {
        from.on('data', (chunk) => {
          if (!pair.isSilent) to.write(chunk);
        });
        for (const event of ['end', 'error', 'close']) {
          from.on(event, () => {
            if (pair.isSilent) return;
            this.pairs.delete(pair);
            to.destroy();
          });
        }
      };
      forward(client, upstream);
      forward(upstream, client);
    });
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
    return this.address;
  }

  /** Nothing passes any more on the connections that are open now. New ones work. */
  silenceOpen() {
    for (const pair of this.pairs) pair.isSilent = true;
    return this.pairs.size;
  }

  stop() {
    this.server.close();
    for (const { client, upstream } of this.pairs) {
      client.destroy();
      upstream.destroy();
    }
  }
}
