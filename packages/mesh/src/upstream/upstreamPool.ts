/** Connections to the upstream beside this node, kept for the next request. */

import * as networkAddress from '../networkAddress.js';
import type * as exchange from '../routing/exchange.js';
import type * as headerCodec from './headerCodec.js';
import * as upstreamConnection from './upstreamConnection.js';

/** A request that may run only once is not sent on a connection that has been idle for longer. */
const ONCE_IDLE_LIMIT_MS = 1_000;

export class UpstreamPool {
  private idle: upstreamConnection.UpstreamConnection[] = [];

  constructor(
    private readonly address: string,
    private readonly codec: headerCodec.HeaderCodec,
  ) {}

  /** Connections idle for the shortest time come first, so that the others time out. */
  acquire(
    semantics: exchange.ForwardedRequest['semantics'],
  ): upstreamConnection.UpstreamConnection {
    while (this.idle.length > 0) {
      const connection = this.idle.pop()!;
      if (connection.reusable) {
        if (semantics === 'repeatable' || connection.idleMs < ONCE_IDLE_LIMIT_MS) return connection;
        this.idle.push(connection);
        break;
      }
      connection.destroy('idle for too long');
    }
    return this.connect();
  }

  release(connection: upstreamConnection.UpstreamConnection): void {
    if (connection.reusable) this.idle.push(connection);
  }

  /** Ends idle connections, for example when another incarnation took the address. */
  clear(): void {
    const { idle } = this;
    this.idle = [];
    for (const connection of idle) connection.destroy('the pool was cleared');
  }

  private connect(): upstreamConnection.UpstreamConnection {
    const { host, port } = networkAddress.split(this.address);
    return new upstreamConnection.UpstreamConnection(host, port, this.codec, (closed) => {
      this.idle = this.idle.filter((other) => other !== closed);
    });
  }
}
