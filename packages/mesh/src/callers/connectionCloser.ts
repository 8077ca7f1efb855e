/** Closes caller connections so that the last answer on each arrives. */

import type * as net from 'node:net';

/** Time for a caller to read its last answer and to close its connection. */
const ENDING_TIMEOUT_MS = 5_000;

export class ConnectionCloser {
  private readonly open = new Set<net.Socket>();

  private readonly closing = new WeakSet<net.Socket>();

  /** Connections that are closed in one direction. */
  private readonly ending = new Set<net.Socket>();

  /** @param isIdle whether a connection had a request and has no unfinished one */
  constructor(private readonly isIdle: (socket: net.Socket) => boolean) {}

  /** Whether connections that this node has closed wait for their callers to close them too. */
  get hasEnding(): boolean {
    return this.ending.size > 0;
  }

  /** Registers a new connection. */
  add(socket: net.Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.ending.delete(socket);
    });
    // Called by Node after the last answer on a connection.
    socket.destroySoon = () => this.end(socket);
  }

  /** Marks a connection that closes after the last request that was received so far. */
  markClosing(socket: net.Socket): void {
    this.closing.add(socket);
  }

  isClosing(socket: net.Socket): boolean {
    return this.closing.has(socket);
  }

  /**
   * Closes the connection in one direction, and drops what still arrives until the caller has closed it too.
   * Data that arrives at a closed socket resets the connection and discards what has not been delivered.
   */
  end(socket: net.Socket): void {
    if (socket.destroyed || this.ending.has(socket)) return;
    this.closing.add(socket);
    this.ending.add(socket);
    socket.end();
    const timer = setTimeout(() => socket.destroy(), ENDING_TIMEOUT_MS).unref();
    socket.once('close', () => clearTimeout(timer));
  }

  destroyIdle(): void {
    for (const socket of this.open) {
      if (this.isIdle(socket) && !this.ending.has(socket)) socket.destroy();
    }
  }
}
