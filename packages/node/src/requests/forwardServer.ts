/** Serves `Requests.Forward`: one task for each forwarded request. */

import type * as grpc from '@grpc/grpc-js';
import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as logging from '../logging.js';
import * as streams from '../distribution/streams.js';
import type * as exchange from './exchange.js';
import * as refusals from './refusals.js';

type ForwardCall = grpc.ServerDuplexStream<requests.RequestFrame, requests.ResponseFrame>;

export class ForwardServer {
  private active = 0;

  constructor(
    private readonly local: exchange.Destination,
    private readonly log: logging.Logger,
  ) {}

  get inFlight(): number {
    return this.active;
  }

  /** Handler of `Requests.Forward`. */
  async serve(call: ForwardCall): Promise<void> {
    const cancelled = new AbortController();
    call.on('cancelled', () => cancelled.abort());
    call.on('error', () => cancelled.abort());
    this.active += 1;
    try {
      await this.exchange(call, cancelled.signal);
    } catch (err) {
      const failure = failures.of(err);
      this.log.debug({ failure }, 'Forwarded request failed.');
      if (call.writable) call.write(emptyFrame({ refusal: refusals.encode(failure) }));
    } finally {
      this.active -= 1;
      call.end();
    }
  }

  private async exchange(call: ForwardCall, signal: AbortSignal): Promise<void> {
    const frames = call[Symbol.asyncIterator]() as AsyncIterator<requests.RequestFrame>;
    const first = await frames.next();
    const frame = first.done ? undefined : first.value;
    if (frame?.head === undefined) {
      const detail = 'the first frame carries no head';
      throw failures.raise({ type: 'protocolViolation', peer: call.getPeer(), detail });
    }
    const body = readFrames(frame, frames, call.getPeer());
    const answer = await this.local.forward(frame.head, body, signal);
    await this.answer(call, answer, signal);
  }

  /** The first chunk travels with the head, so that a small answer is one message. */
  private async answer(
    call: ForwardCall,
    answer: exchange.Answer,
    signal: AbortSignal,
  ): Promise<void> {
    let head: requests.ResponseHead | undefined = answer.head;
    let held: Uint8Array | null = null;
    for await (const chunk of answer.body) {
      if (held !== null) {
        await streams.send(call, emptyFrame({ head, chunk: held }), signal);
        head = undefined;
      }
      held = chunk;
    }
    await streams.send(call, emptyFrame({ head, chunk: held ?? undefined, end: true }), signal);
  }
}

const NO_BYTES = new Uint8Array(0) as Buffer;

function emptyFrame(frame: {
  head?: requests.ResponseHead;
  chunk?: Uint8Array;
  end?: boolean;
  refusal?: requests.Refusal;
}): requests.ResponseFrame {
  const { head, chunk = NO_BYTES, end = false, refusal } = frame;
  return { head, chunk: chunk as Buffer, end, refusal };
}

async function* readFrames(
  first: requests.RequestFrame,
  frames: AsyncIterator<requests.RequestFrame>,
  peer: string,
): exchange.Body {
  let frame = first;
  while (true) {
    if (frame.chunk.length > 0) yield frame.chunk;
    if (frame.end) return;
    const next = await frames.next();
    if (next.done) {
      const detail = 'the request ended before its last frame';
      throw failures.raise({ type: 'protocolViolation', peer, detail });
    }
    frame = next.value;
  }
}
