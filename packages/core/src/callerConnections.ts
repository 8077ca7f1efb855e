/** Requests under way on each connection of a caller, and what becomes of them when it closes. */

import type * as net from 'node:net';

export interface Visit {
  /** Requests of the same connection that were under way before this one. */
  readonly ahead: number;
  /** Resolves when those ahead have ended. */
  readonly turn: Promise<void>;
  /** The request is no longer under way. */
  end(): void;
}

interface Connection {
  /** What to call when the caller leaves, for each request under way. */
  readonly listeners: Set<() => void>;
  /** Resolves when all requests so far have ended. */
  ended: Promise<void>;
}

export class CallerConnections {
  private readonly connections = new WeakMap<net.Socket, Connection>();

  /** Calls `onLeave` once when the caller closes the connection before the request has ended. */
  enter(socket: net.Socket, onLeave: () => void): Visit {
    const connection = this.connections.get(socket) ?? this.follow(socket);
    const { listeners, ended: turn } = connection;
    const ahead = listeners.size;
    listeners.add(onLeave);
    let resolve: () => void;
    const own = new Promise<void>((settle) => {
      resolve = settle;
    });
    connection.ended = turn.then(() => own);
    const end = () => {
      listeners.delete(onLeave);
      resolve();
    };
    return { ahead, turn, end };
  }

  /**
   * Follows the socket, since only the first response on a connection hears of its close. A caller that
   * ends its side takes no more answers: the server closes the connection then.
   */
  private follow(socket: net.Socket): Connection {
    const connection = { listeners: new Set<() => void>(), ended: Promise.resolve() };
    this.connections.set(socket, connection);
    const { listeners } = connection;
    const leave = () => {
      const left = [...listeners];
      listeners.clear();
      for (const onLeave of left) onLeave();
    };
    for (const event of ['end', 'error', 'close']) socket.once(event, leave);
    return connection;
  }
}
