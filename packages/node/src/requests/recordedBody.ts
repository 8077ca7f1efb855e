/**
 * Response body of a `once` request. A response that is small enough is read completely and
 * recorded before any of it is sent to the caller, so that a repeat finds the record even if the
 * entry node has failed. A larger one is streamed, and recorded without its body at the end.
 */

import type { requests } from '@godwittrack/protocol';
import type * as exchange from './exchange.js';
import type * as onceGuard from './onceGuard.js';
import * as replayBody from './replayBody.js';

export class RecordedBody implements AsyncIterableIterator<Uint8Array> {
  private readonly inner: AsyncIterator<Uint8Array>;

  private readonly held: Uint8Array[] = [];

  private started = false;

  private ended = false;

  constructor(
    private readonly head: requests.ResponseHead,
    body: exchange.Body,
    private readonly claim: onceGuard.OnceClaim,
  ) {
    this.inner = body[Symbol.asyncIterator]();
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array>> {
    if (!this.started) await this.readAhead();
    const held = this.held.shift();
    if (held !== undefined) return { done: false, value: held };
    if (this.ended) return { done: true, value: undefined };
    const result = await this.inner.next();
    if (result.done) {
      this.ended = true;
      await this.record(null);
    }
    return result;
  }

  async return(): Promise<IteratorResult<Uint8Array>> {
    this.ended = true;
    this.held.length = 0;
    await this.inner.return?.();
    return { done: true, value: undefined };
  }

  private async readAhead(): Promise<void> {
    this.started = true;
    let bytes = 0;
    while (bytes <= replayBody.REPLAY_LIMIT_BYTES) {
      const result = await this.inner.next();
      if (result.done) {
        this.ended = true;
        await this.record(Buffer.concat(this.held));
        return;
      }
      bytes += result.value.length;
      this.held.push(result.value);
    }
  }

  private record(body: Uint8Array | null): Promise<void> {
    const { status, headers } = this.head;
    return this.claim.complete({ status, headers, body });
  }
}
