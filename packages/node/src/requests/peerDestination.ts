/**
 * The node that serves another upstream as a destination: frames over pooled HTTP connections to
 * its peer address. See docs/requestClient.md for the comparison with gRPC streams.
 */

import { failures, httpStatus } from '@godwittrack/core';
import { requests } from '@godwittrack/protocol';
import * as exchange from './exchange.js';
import * as frames from './frames.js';
import * as httpClient from './httpClient.js';
import * as incomingBody from './incomingBody.js';
import * as refusals from './refusals.js';

/**
 * Shorter than the time after which a forward server closes idle connections, so that no connection
 * is reused while the server closes it.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;
/** Connections to one peer; each carries one request at a time. */
const MAX_CONNECTIONS = 512;

type ResponseReader = frames.FrameReader<requests.ResponseFrame>;

/** Connections to the forward servers of all peers. */
export class PeerConnections {
  readonly agents = new httpClient.Agents({
    timeout: IDLE_CONNECTION_TIMEOUT_MS,
    maxSockets: MAX_CONNECTIONS,
    maxFreeSockets: MAX_CONNECTIONS,
  });

  close(): void {
    this.agents.close();
  }
}

/** Body of a response; complete only with the frame that is marked as the last. */
class ResponseBody implements AsyncIterableIterator<Uint8Array> {
  private frame: requests.ResponseFrame | null;

  private ended = false;

  constructor(
    first: requests.ResponseFrame,
    private readonly reader: ResponseReader,
    private readonly incoming: incomingBody.IncomingBody,
    private readonly service: string,
  ) {
    this.frame = first;
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array>> {
    try {
      while (!this.ended) {
        const frame = this.frame ?? (await this.reader.next());
        this.frame = null;
        if (frame === null) throw new Error('the answer ended before its last frame');
        if (frame.refusal !== undefined) throw new Error(frame.refusal.detail);
        this.ended = frame.end;
        if (frame.chunk.length > 0) return { done: false, value: frame.chunk };
      }
      return { done: true, value: undefined };
    } catch (err) {
      this.ended = true;
      await this.incoming.return();
      const { service } = this;
      const detail = err instanceof Error ? err.message : String(err);
      throw failures.toError({ type: 'answerIncomplete', service, detail }, err);
    }
  }

  async return(): Promise<IteratorResult<Uint8Array>> {
    // After the last frame only the end of the HTTP message is to come: keep the connection.
    if (this.ended) return { done: true, value: undefined };
    this.ended = true;
    return this.incoming.return();
  }
}

export class PeerDestination extends exchange.Destination {
  constructor(
    private readonly peer: string,
    private readonly address: string,
    private readonly connections: PeerConnections,
  ) {
    super();
  }

  override async forward(
    head: requests.RequestHead,
    body: exchange.RequestBody,
    signal: AbortSignal,
  ): Promise<exchange.Response> {
    const portSeparator = this.address.lastIndexOf(':');
    const { service } = head;
    const bufferedFrame =
      body.buffered === null
        ? null
        : frames.encodeRequest({ head, chunk: body.buffered as Buffer, end: true });
    const res = await httpClient.sendRequest({
      options: {
        host: this.address.slice(0, portSeparator),
        port: Number(this.address.slice(portSeparator + 1)),
        method: 'POST',
        path: frames.FORWARD_PATH,
        headers: bufferedFrame === null ? {} : { 'Content-Length': bufferedFrame.length },
        agent: this.connections.agents.agentFor(head.headers),
      },
      service,
      buffered: bufferedFrame,
      chunks: encodeFrames(head, body.chunks),
      signal,
    });
    const createFailure = (detail: string) =>
      failures.toError({ type: 'upstreamFailed', service, detail, started: true });
    const incoming = new incomingBody.IncomingBody(res, createFailure);
    try {
      return await this.readResponse(incoming, service);
    } catch (err) {
      await incoming.return();
      exchange.throwAbortFailure(signal);
      throw err;
    }
  }

  private async readResponse(
    incoming: incomingBody.IncomingBody,
    service: string,
  ): Promise<exchange.Response> {
    const decode = (message: Uint8Array) => requests.ResponseFrame.decode(message);
    const reader = new frames.FrameReader(incoming, decode, this.peer);
    const first = await reader.next();
    if (first?.refusal !== undefined)
      throw failures.toError(refusals.decode(first.refusal, service));
    if (!httpStatus.isFinal(first?.head?.status)) {
      const detail = 'the first frame carries no head with a valid status';
      throw failures.toError({ type: 'protocolViolation', peer: this.peer, detail });
    }
    return { head: first.head, body: new ResponseBody(first, reader, incoming, service) };
  }
}

async function* encodeFrames(head: requests.RequestHead, chunks: exchange.Body): exchange.Body {
  let first: requests.RequestHead | undefined = head;
  for await (const chunk of chunks) {
    yield frames.encodeRequest({ head: first, chunk: chunk as Buffer });
    first = undefined;
  }
  yield frames.encodeRequest({ head: first, end: true });
}
