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
const HTTP2_PREFACE_START = Buffer.from('PR');
/** A connection that sends nothing is closed after this time. */
const FIRST_BYTES_TIMEOUT_MS = 10_000;

export class PeerListener {
  private readonly server: net.Server;

  private readonly unclassified = new Set<net.Socket>();

  constructor(private readonly handlers: PeerHandlers) {
    this.server = net.createServer({ noDelay: true }, (socket) => this.classify(socket));
  }

  async listen(host: string, port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Accepts no new connections; those handed to a handler stay open. */
  close(): void {
    this.server.close();
    this.unclassified.forEach((socket) => socket.destroy());
  }

  private classify(socket: net.Socket): void {
    const ignoreError = () => undefined;
    const timer = setTimeout(() => socket.destroy(), FIRST_BYTES_TIMEOUT_MS);
    const stopTracking = () => {
      clearTimeout(timer);
      this.unclassified.delete(socket);
    };
    const onReadable = () => {
      const bytes = socket.read() as Buffer | null;
      if (bytes === null) return;
      socket.unshift(bytes);
      // Too short to decide; the listener is called again when more bytes arrive.
      if (bytes.length < HTTP2_PREFACE_START.length) return;
      socket.off('readable', onReadable);
      socket.off('error', ignoreError);
      socket.off('close', stopTracking);
      stopTracking();
      const handle = bytes.subarray(0, HTTP2_PREFACE_START.length).equals(HTTP2_PREFACE_START)
        ? this.handlers.grpc
        : this.handlers.forward;
      // Deferred, because the socket enters flowing mode only after the `readable` listener is
      // gone.
      process.nextTick(() => handle(socket));
    };
    this.unclassified.add(socket);
    socket.on('error', ignoreError);
    socket.on('close', stopTracking);
    socket.on('readable', onReadable);
  }
}
