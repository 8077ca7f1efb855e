/** Pool of persistent connections to the upstream on this node's host. */

import * as byteBudget from '../limits/byteBudget.js';
import * as networkAddress from '../networkAddress.js';
import type * as exchange from '../routing/exchange.js';
import type * as headerCodec from './headerCodec.js';
import * as upstreamConnection from './upstreamConnection.js';

/**
 * A request that may run only once is not sent on a connection that has been idle for longer, since
 * the upstream may be closing it.
 */
const MAX_ONCE_IDLE_MS = 1_000;
/** Memory for answer bodies in transfer; the smallest hosts leave 250 MB to the process. */
const BODY_BUDGET_BYTES = 80 * 1024 * 1024;

export class UpstreamPool {
  private idle: upstreamConnection.UpstreamConnection[] = [];

  private readonly bodyBudget = new byteBudget.ByteBudget(BODY_BUDGET_BYTES);

  constructor(
    private readonly address: string,
    private readonly codec: headerCodec.HeaderCodec,
  ) {}

  /** Prefers the connection that was used last, so that surplus ones reach their idle timeout. */
  acquire(
    semantics: exchange.ForwardedRequest['semantics'],
  ): upstreamConnection.UpstreamConnection {
    while (this.idle.length > 0) {
      const connection = this.idle.pop()!;
      if (connection.reusable) {
        if (semantics === 'repeatable' || connection.idleMs < MAX_ONCE_IDLE_MS) return connection;
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

  /** Opens a connection and keeps it as an idle one. */
  async probe(): Promise<upstreamConnection.OpenResult> {
    const connection = this.connect();
    const result = await connection.opened;
    this.release(connection);
    return result;
  }

  /** Closes idle connections, for example when another incarnation took over the address. */
  clear(): void {
    const { idle } = this;
    this.idle = [];
    for (const connection of idle) connection.destroy('the pool was cleared');
  }

  private connect(): upstreamConnection.UpstreamConnection {
    const { host, port } = networkAddress.parse(this.address);
    const removeIdle = (closed: upstreamConnection.UpstreamConnection) => {
      this.idle = this.idle.filter((other) => other !== closed);
    };
    return new upstreamConnection.UpstreamConnection(
      host,
      port,
      this.codec,
      removeIdle,
      this.bodyBudget,
    );
  }
}
