/** Reads the bodies of callers' requests. */

import type * as http from 'node:http';
import type * as net from 'node:net';
import { byteCollector } from '@godwittrack/core';

export class BodyReader {
  /** Ends the reading of a body on a connection, with what has arrived of it. */
  private readonly reads = new WeakMap<net.Socket, () => void>();

  /** @returns null if the body is larger than `limitBytes` */
  async read(req: http.IncomingMessage, limitBytes: number): Promise<Buffer | null> {
    if (Number(req.headers['content-length'] ?? 0) > limitBytes) return null;
    if (
      req.headers['content-length'] === undefined &&
      req.headers['transfer-encoding'] === undefined
    ) {
      return Buffer.alloc(0);
    }
    return new Promise((resolve) => {
      const received = new byteCollector.ByteCollector();
      const settle = (body: Buffer | null) => {
        this.reads.delete(req.socket);
        resolve(body);
      };
      const end = () => settle(received.take());
      // After a parse error, Node ends neither the request nor its connection.
      this.reads.set(req.socket, end);
      const add = (chunk: Buffer) => {
        if (received.length + chunk.length <= limitBytes) {
          received.append(chunk);
          return;
        }
        req.off('data', add);
        received.clear();
        settle(null);
      };
      req.on('data', add);
      for (const event of ['end', 'close', 'error']) req.on(event, end);
    });
  }

  /** Ends the reading of a body on the connection, if there is one. */
  end(socket: net.Socket): void {
    this.reads.get(socket)?.();
  }
}
