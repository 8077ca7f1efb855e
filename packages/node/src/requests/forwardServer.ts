/** Serves requests that other nodes forward to the local upstream. */

import * as http from 'node:http';
import type { Socket } from 'node:net';
import { failures, outgoing } from '@godwittrack/core';
import { requests } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import * as exchange from './exchange.js';
import * as frames from './frames.js';
import * as incomingBody from './incomingBody.js';
import * as refusals from './refusals.js';

/** Longer than peers keep idle connections, so that the peers close them first. */
const IDLE_CONNECTION_TIMEOUT_MS = 75_000;

type RequestReader = frames.FrameReader<requests.RequestFrame>;

export class ForwardServer {
  private active = 0;

  private draining = false;

  /** An `http.Server` that does not listen itself keeps no list of connections to close. */
  private readonly sockets = new Set<Socket>();

  private readonly server: http.Server;

  constructor(
    private readonly node: string,
    private readonly local: exchange.Destination,
    private readonly log: logging.Logger,
  ) {
    const options = { keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS, requestTimeout: 0 };
    this.server = http.createServer(options, (req, res) => {
      void this.serve(req, res);
    });
  }

  get inFlight(): number {
    return this.active;
  }

  /** Serves a connection accepted by the peer listener. */
  accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    this.server.emit('connection', socket);
  }

  /**
   * Refuses new requests as `draining` and finishes those in flight. Idle connections stay open:
   * if one were closed while a request is on the way, it would be unknown whether the request ran.
   */
  drain(): void {
    this.draining = true;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const cancellation = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) cancellation.abort();
    });
    const peer = req.socket.remoteAddress ?? '';
    const incoming = new incomingBody.IncomingBody(req, (detail) =>
      failures.toError({ type: 'cancelled', detail: `the peer left: ${detail}` }),
    );
    const received = { complete: false };
    this.active += 1;
    try {
      await this.handle(incoming, res, cancellation, peer, received);
    } catch (err) {
      const failure = failures.fromError(err);
      this.log.debug({ failure }, 'Forwarded request failed.');
      if (this.draining) res.shouldKeepAlive = false;
      const frame = frames.encodeResponse({ refusal: refusals.encode(failure) });
      if (!res.headersSent) res.writeHead(200, { 'Content-Length': frame.length });
      res.end(frame);
    } finally {
      await outgoing.waitUntilFlushed(res);
      // After the last frame only the end of the HTTP message is to come: keep the connection.
      if (!received.complete) await incoming.return();
      this.active -= 1;
    }
  }

  private async handle(
    incoming: incomingBody.IncomingBody,
    res: http.ServerResponse,
    cancellation: AbortController,
    peer: string,
    received: { complete: boolean },
  ): Promise<void> {
    const startMs = performance.now();
    const decode = (message: Uint8Array) => requests.RequestFrame.decode(message);
    const reader = new frames.FrameReader(incoming, decode, peer);
    const first = await reader.next();
    if (first?.head === undefined) {
      const detail = 'the first frame carries no head';
      throw failures.toError({ type: 'protocolViolation', peer, detail });
    }
    const { head } = first;
    received.complete = first.end;
    if (this.draining) {
      const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
      throw failures.toError({ type: 'draining', node: this.node, retryAfterMs });
    }
    const { timeoutMs } = head;
    const remainingMs = timeoutMs - (performance.now() - startMs);
    const expire = () => {
      const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
      cancellation.abort(failures.toError({ type: 'deadlineExceeded', timeoutMs, retryAfterMs }));
    };
    const timer = setTimeout(expire, Math.max(0, remainingMs));
    try {
      const body = first.end
        ? exchange.bufferedBody(first.chunk)
        : { buffered: null, chunks: readChunks(first, reader, peer, received) };
      const response = await this.local.forward(head, body, cancellation.signal);
      if (this.draining) res.shouldKeepAlive = false;
      await sendResponse(res, response, cancellation.signal);
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Sends head and first chunk together; a small response is one frame and one write. */
async function sendResponse(
  res: http.ServerResponse,
  response: exchange.Response,
  signal: AbortSignal,
): Promise<void> {
  const chunks = response.body[Symbol.asyncIterator]();
  let head: requests.ResponseHead | undefined = response.head;
  try {
    let next = await chunks.next();
    while (!next.done) {
      const chunk = next.value as Buffer;
      const pending = chunks.next();
      const ready = await outgoing.nextIfReady(pending);
      if (ready?.done === true) {
        sendLastFrame(res, frames.encodeResponse({ head, chunk, end: true }));
        return;
      }
      await outgoing.write(res, frames.encodeResponse({ head, chunk }), signal);
      head = undefined;
      next = ready ?? (await pending);
    }
    sendLastFrame(res, frames.encodeResponse({ head, end: true }));
  } catch (err) {
    // `serve` sends the failure as a refusal frame. If the response head was not sent before,
    // the entry node handles it as a refusal instead of an incomplete response.
    exchange.throwAbortFailure(signal);
    throw err;
  } finally {
    await chunks.return?.();
  }
}

function sendLastFrame(res: http.ServerResponse, frame: Buffer): void {
  if (!res.headersSent) res.writeHead(200, { 'Content-Length': frame.length });
  res.end(frame);
}

async function* readChunks(
  first: requests.RequestFrame,
  reader: RequestReader,
  peer: string,
  received: { complete: boolean },
): exchange.Body {
  let frame = first;
  while (true) {
    received.complete = frame.end;
    if (frame.chunk.length > 0) yield frame.chunk;
    if (frame.end) return;
    const next = await reader.next();
    if (next === null) {
      const detail = 'the request ended before its last frame';
      throw failures.toError({ type: 'protocolViolation', peer, detail });
    }
    frame = next;
  }
}
