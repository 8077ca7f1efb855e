/** The node beside another upstream as a destination, over `Requests.Forward`. */

import * as grpc from '@grpc/grpc-js';
import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import * as streams from '../distribution/streams.js';
import * as exchange from './exchange.js';
import * as refusals from './refusals.js';

type ForwardStream = grpc.ClientDuplexStream<requests.RequestFrame, requests.ResponseFrame>;

/** grpc-js reports a request that never left this node with a text that starts like this. */
const NEVER_SENT = 'No connection established';
const NO_BYTES = new Uint8Array(0) as Buffer;

export class PeerDestination extends exchange.Destination {
  constructor(
    private readonly peer: string,
    private readonly client: requests.RequestsClient,
  ) {
    super();
  }

  override async forward(
    head: requests.RequestHead,
    body: exchange.Body,
    signal: AbortSignal,
  ): Promise<exchange.Answer> {
    const stream = this.client.forward({ deadline: Date.now() + head.timeoutMs });
    const cancel = () => stream.cancel();
    signal.addEventListener('abort', cancel, { once: true });
    const settle = () => signal.removeEventListener('abort', cancel);
    // Iteration reports the error; this listener keeps it from being thrown as uncaught.
    stream.on('error', settle);
    void writeFrames(stream, head, body, signal);
    const frames = stream[Symbol.asyncIterator]() as AsyncIterator<requests.ResponseFrame>;
    try {
      const first = await this.nextFrame(frames, head, signal);
      if (first.refusal !== undefined) {
        throw failures.raise(refusals.decode(first.refusal, head.service));
      }
      if (first.head === undefined) {
        const detail = 'the first frame carries no head';
        throw failures.raise({ type: 'protocolViolation', peer: this.peer, detail });
      }
      return { head: first.head, body: this.readBody(first, frames, head, signal, settle) };
    } catch (err) {
      settle();
      stream.cancel();
      throw err;
    }
  }

  private async nextFrame(
    frames: AsyncIterator<requests.ResponseFrame>,
    head: requests.RequestHead,
    signal: AbortSignal,
  ): Promise<requests.ResponseFrame> {
    try {
      const next = await frames.next();
      if (!next.done) return next.value;
    } catch (err) {
      throw this.failureOf(err as grpc.ServiceError, head, signal);
    }
    const detail = 'the stream ended early';
    throw failures.raise({ type: 'upstreamFailed', service: head.service, detail, started: true });
  }

  private failureOf(
    err: grpc.ServiceError,
    head: requests.RequestHead,
    signal: AbortSignal,
  ): failures.FailureError {
    const detail = err.details ?? err.message;
    if (signal.aborted) return failures.raise({ type: 'cancelled', detail }, err);
    if (err.code === grpc.status.DEADLINE_EXCEEDED) {
      const { timeoutMs } = head;
      return failures.raise({ type: 'deadlineExceeded', timeoutMs, retryAfterMs: 0 }, err);
    }
    const started = !detail.startsWith(NEVER_SENT);
    return failures.raise({ type: 'upstreamFailed', service: head.service, detail, started }, err);
  }

  private async *readBody(
    first: requests.ResponseFrame,
    frames: AsyncIterator<requests.ResponseFrame>,
    head: requests.RequestHead,
    signal: AbortSignal,
    settle: () => void,
  ): exchange.Body {
    let frame = first;
    try {
      while (true) {
        if (frame.refusal !== undefined) {
          throw failures.raise(refusals.decode(frame.refusal, head.service));
        }
        if (frame.chunk.length > 0) yield frame.chunk;
        if (frame.end) return;
        frame = await this.nextFrame(frames, head, signal);
      }
    } catch (err) {
      const { service } = head;
      const detail = failures.describe(failures.of(err));
      throw failures.raise({ type: 'answerIncomplete', service, detail }, err);
    } finally {
      settle();
    }
  }
}

/** The first chunk travels with the head, so that a small request is one message. */
async function writeFrames(
  stream: ForwardStream,
  head: requests.RequestHead,
  body: exchange.Body,
  signal: AbortSignal,
): Promise<void> {
  let pendingHead: requests.RequestHead | undefined = head;
  let held: Uint8Array | null = null;
  try {
    for await (const chunk of body) {
      if (held !== null) {
        const frame = { head: pendingHead, chunk: held as Buffer, end: false };
        await streams.send(stream, frame, signal);
        pendingHead = undefined;
      }
      held = chunk;
    }
    const last = { head: pendingHead, chunk: (held ?? NO_BYTES) as Buffer, end: true };
    await streams.send(stream, last, signal);
    stream.end();
  } catch {
    // The caller's body broke off: without the last frame the destination does not count it whole.
    stream.cancel();
  }
}
