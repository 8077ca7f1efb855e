/**
 * Tracks the unfinished requests on each caller connection: their order, for pipelined requests,
 * and a callback for each when the caller disconnects.
 */

import type * as net from 'node:net';

/** Who closed a connection: a `close` event without `end` or `error` means that this process did. */
export type ClosedBy = 'caller' | 'node';

export interface TrackedRequest {
  /** Number of unfinished earlier requests on the same connection. */
  readonly ahead: number;
  /** Resolves when all earlier requests on the connection have ended. */
  readonly turn: Promise<void>;
  /** Whether no later request has been received on the same connection. */
  readonly isLast: boolean;
  /** Marks the request as ended. */
  end(): void;
}

interface Connection {
  /** Disconnect callbacks, one for each unfinished request. */
  readonly listeners: Set<(closedBy: ClosedBy) => void>;
  /** Number of requests received so far. */
  received: number;
  /** Resolves when all requests received so far have ended. */
  allEnded: Promise<void>;
}

export class CallerConnections {
  private readonly connections = new WeakMap<net.Socket, Connection>();

  /** Calls `onDisconnect` once if the connection is closed before the request has ended. */
  track(socket: net.Socket, onDisconnect: (closedBy: ClosedBy) => void): TrackedRequest {
    const connection = this.connections.get(socket) ?? this.watchSocket(socket);
    const { listeners, allEnded: turn } = connection;
    const ahead = listeners.size;
    connection.received += 1;
    const position = connection.received;
    listeners.add(onDisconnect);
    let resolve: () => void;
    const ended = new Promise<void>((settle) => {
      resolve = settle;
    });
    connection.allEnded = turn.then(() => ended);
    const end = () => {
      listeners.delete(onDisconnect);
      resolve();
    };
    return {
      ahead,
      turn,
      get isLast() {
        return connection.received === position;
      },
      end,
    };
  }

  /** Whether the connection has unfinished requests. */
  isInUse(socket: net.Socket): boolean {
    return (this.connections.get(socket)?.listeners.size ?? 0) > 0;
  }

  /**
   * Listens on the socket itself, because only the first pending response of a connection emits
   * `close`. A half-close by the caller (`end`) counts as a disconnect: the server then closes the
   * connection, so no further response can be delivered.
   */
  private watchSocket(socket: net.Socket): Connection {
    const listeners = new Set<(closedBy: ClosedBy) => void>();
    const connection = { listeners, received: 0, allEnded: Promise.resolve() };
    this.connections.set(socket, connection);
    const notifyAll = (closedBy: ClosedBy) => {
      const callbacks = [...listeners];
      listeners.clear();
      for (const onDisconnect of callbacks) onDisconnect(closedBy);
    };
    for (const event of ['end', 'error']) socket.once(event, () => notifyAll('caller'));
    socket.once('close', () => notifyAll('node'));
    return connection;
  }
}
