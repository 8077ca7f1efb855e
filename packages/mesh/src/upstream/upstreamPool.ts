/** Connections to the upstream beside this node, kept for the next request. */

import * as byteBudget from '../limits/byteBudget.js';
import * as networkAddress from '../networkAddress.js';
import type * as exchange from '../routing/exchange.js';
import type * as headerCodec from './headerCodec.js';
import * as upstreamConnection from './upstreamConnection.js';

/** A request that may run only once is not sent on a connection that has been idle for longer. */
const ONCE_IDLE_LIMIT_MS = 1_000;
/** Memory for bodies that come in from the upstream; the smallest host has 250 MB for the process. */
const MAX_HELD_BYTES = 80 * 1024 * 1024;

export class UpstreamPool {
  private idle: upstreamConnection.UpstreamConnection[] = [];

  private readonly heldBytes = new byteBudget.ByteBudget(MAX_HELD_BYTES);

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
    const forget = (closed: upstreamConnection.UpstreamConnection) => {
      this.idle = this.idle.filter((other) => other !== closed);
    };
    return new upstreamConnection.UpstreamConnection(
      host,
      port,
      this.codec,
      forget,
      this.heldBytes,
    );
  }
}
