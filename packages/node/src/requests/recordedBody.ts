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
  private readonly source: AsyncIterator<Uint8Array>;

  private readonly bufferedChunks: Uint8Array[] = [];

  private readAheadStarted = false;

  private ended = false;

  constructor(
    private readonly head: requests.ResponseHead,
    body: exchange.Body,
    private readonly claim: onceGuard.OnceClaim,
  ) {
    this.source = body[Symbol.asyncIterator]();
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array>> {
    if (!this.readAheadStarted) await this.readAhead();
    const chunk = this.bufferedChunks.shift();
    if (chunk !== undefined) return { done: false, value: chunk };
    if (this.ended) return { done: true, value: undefined };
    const result = await this.source.next();
    if (result.done) {
      this.ended = true;
      await this.record(null);
    }
    return result;
  }

  async return(): Promise<IteratorResult<Uint8Array>> {
    this.ended = true;
    this.bufferedChunks.length = 0;
    await this.source.return?.();
    return { done: true, value: undefined };
  }

  private async readAhead(): Promise<void> {
    this.readAheadStarted = true;
    let bytes = 0;
    while (bytes <= replayBody.REPLAY_LIMIT_BYTES) {
      const result = await this.source.next();
      if (result.done) {
        this.ended = true;
        await this.record(Buffer.concat(this.bufferedChunks));
        return;
      }
      bytes += result.value.length;
      this.bufferedChunks.push(result.value);
    }
  }

  private record(body: Uint8Array | null): Promise<void> {
    const { status, headers } = this.head;
    return this.claim.complete({ status, headers, body });
  }
}
