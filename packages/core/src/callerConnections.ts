/** Requests under way on each connection of a caller, and what becomes of them when it closes. */

import type * as net from 'node:net';

export interface Visit {
  /** Requests of the same connection that were under way before this one. */
  readonly ahead: number;
  /** The request is no longer under way. */
  end(): void;
}

type Listener = () => void;

export class CallerConnections {
  private readonly underWay = new WeakMap<net.Socket, Set<Listener>>();

  /** Calls `onLeave` once when the caller closes the connection before the request has ended. */
  enter(socket: net.Socket, onLeave: Listener): Visit {
    const listeners = this.underWay.get(socket) ?? this.follow(socket);
    const ahead = listeners.size;
    listeners.add(onLeave);
    return { ahead, end: () => listeners.delete(onLeave) };
  }

  /**
   * Follows the socket, since only the first response on a connection hears of its close. A caller that
   * ends its side takes no more answers: the server closes the connection then.
   */
  private follow(socket: net.Socket): Set<Listener> {
    const listeners = new Set<Listener>();
    this.underWay.set(socket, listeners);
    const leave = () => {
      const left = [...listeners];
      listeners.clear();
      for (const onLeave of left) onLeave();
    };
    for (const event of ['end', 'error', 'close']) socket.once(event, leave);
    return listeners;
  }
}
