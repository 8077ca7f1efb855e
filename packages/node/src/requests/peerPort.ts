/** The peer listener: gRPC and forwarded requests arrive at one address. */

import * as net from 'node:net';
import { once } from 'node:events';

export interface PeerHandlers {
  /** Takes connections that begin as HTTP/2, which gRPC uses. */
  grpc: (socket: net.Socket) => void;
  /** Takes all others. */
  forward: (socket: net.Socket) => void;
}

/** First byte of the HTTP/2 preface `PRI * HTTP/2.0`, and of `POST`; the second tells them apart. */
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

  /** Takes no new connections; those in use stay. */
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
      // More bytes follow; the listener is called again.
      if (bytes.length < PREFACE.length) return;
      socket.off('readable', read);
      socket.off('error', ignore);
      socket.off('close', forget);
      forget();
      const handle = bytes.subarray(0, PREFACE.length).equals(PREFACE)
        ? this.handlers.grpc
        : this.handlers.forward;
      // The new owner reads in flowing mode only when no listener of this one is left.
      process.nextTick(() => handle(socket));
    };
    this.undecided.add(socket);
    socket.on('error', ignore);
    socket.on('close', forget);
    socket.on('readable', read);
  }
}
