/** Connections to the upstream beside this node, kept for the next request. */

import * as net from 'node:net';
import type * as exchange from '../routing/exchange.js';
import type * as headerCodec from './headerCodec.js';
import * as upstreamConnection from './upstreamConnection.js';

/** A request that may run only once is not sent on a connection that has been idle for longer. */
const ONCE_IDLE_LIMIT_MS = 1_000;

export class UpstreamPool {
  private idle: upstreamConnection.UpstreamConnection[] = [];

  private readonly open = new Set<upstreamConnection.UpstreamConnection>();

  constructor(
    private readonly address: string,
    private readonly codec: headerCodec.HeaderCodec,
  ) {}

  get openCount(): number {
    return this.open.size;
  }

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
    const { host, port } = splitAddress(this.address);
    const connection = new upstreamConnection.UpstreamConnection(
      host,
      port,
      this.codec,
      (closed) => {
        this.open.delete(closed);
        this.idle = this.idle.filter((other) => other !== closed);
      },
    );
    this.open.add(connection);
    return connection;
  }
}

export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

export function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return net.isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536;
}
