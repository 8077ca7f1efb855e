/**
 * Listener for peers: gRPC and forwarded requests share an address and are told apart by their
 * first bytes.
 */

import * as net from 'node:net';
import { once } from 'node:events';

export interface PeerHandlers {
  /** Handles connections that begin as HTTP/2, which gRPC uses. */
  grpc: (socket: net.Socket) => void;
  /** Handles all others. */
  forward: (socket: net.Socket) => void;
}

/**
 * Start of the HTTP/2 preface `PRI * HTTP/2.0`. Two bytes, since `POST` of a forwarded request has
 * the same first byte.
 */
const PREFACE = Buffer.from('PR');
/** A connection that sends nothing is closed after this time. */
const FIRST_BYTES_MS = 10_000;

export class PeerPort {
  private readonly server: net.Server;

  private readonly undecided = new Set<net.Socket>();

  constructor(private readonly handlers: PeerHandlers) {
    this.server = net.createServer({ noDelay: true }, (socket) => this.decide(socket));
  }

  async listen(host: string, port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Accepts no new connections; those handed to a handler stay open. */
  close(): void {
    this.server.close();
    this.undecided.forEach((socket) => socket.destroy());
  }

  private decide(socket: net.Socket): void {
    const ignore = () => undefined;
    const timer = setTimeout(() => socket.destroy(), FIRST_BYTES_MS);
    const forget = () => {
      clearTimeout(timer);
      this.undecided.delete(socket);
    };
    const read = () => {
      const bytes = socket.read() as Buffer | null;
      if (bytes === null) return;
      socket.unshift(bytes);
      // Too short to decide; the listener is called again when more bytes arrive.
      if (bytes.length < PREFACE.length) return;
      socket.off('readable', read);
      socket.off('error', ignore);
      socket.off('close', forget);
      forget();
      const handle = bytes.subarray(0, PREFACE.length).equals(PREFACE)
        ? this.handlers.grpc
        : this.handlers.forward;
      // Deferred, because the socket enters flowing mode only after the `readable` listener is
      // gone.
      process.nextTick(() => handle(socket));
    };
    this.undecided.add(socket);
    socket.on('error', ignore);
    socket.on('close', forget);
    socket.on('readable', read);
  }
}
