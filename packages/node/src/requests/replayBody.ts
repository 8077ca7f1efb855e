/** Request bodies that can be read again for another attempt, up to a limit. */

import type * as http from 'node:http';
import { failures } from '@godwittrack/core';
import * as exchange from './exchange.js';
import * as incomingBody from './incomingBody.js';

/** Bodies up to this size are read before dispatch and kept for another attempt. */
export const REPLAY_LIMIT_BYTES = 64 * 1024;

/** Body of a caller's request; what fits the replay limit can be read again. */
export class ReplayBody {
  private readonly prefetchedChunks: Uint8Array[] = [];

  private prefetchedBytes = 0;

  /**
   * The complete body when it fits the replay limit; null before `prefetch` and for larger ones.
   */
  buffered: Uint8Array | null = null;

  private opened = false;

  private readonly source: incomingBody.IncomingBody | null;

  constructor(
    req: http.IncomingMessage,
    private readonly limitBytes: number,
  ) {
    const declared = Number(req.headers['content-length'] ?? 0);
    if (declared > limitBytes) throw failures.toError({ type: 'bodyTooLarge', limitBytes });
    const isEmpty = declared === 0 && req.headers['transfer-encoding'] === undefined;
    this.source = isEmpty
      ? null
      : new incomingBody.IncomingBody(req, (detail) =>
          failures.toError({ type: 'cancelled', detail: `the request broke off: ${detail}` }),
        );
    if (isEmpty) this.buffered = Buffer.alloc(0);
  }

  get isReady(): boolean {
    return this.buffered !== null;
  }

  /** Reads up to the replay limit, so that a slow upload of a small body does not hold a slot. */
  async prefetch(): Promise<void> {
    while (this.source !== null && this.prefetchedBytes <= REPLAY_LIMIT_BYTES) {
      const next = await this.source.next();
      if (next.done) break;
      this.prefetchedChunks.push(next.value);
      this.prefetchedBytes += next.value.length;
      if (this.prefetchedBytes > this.limitBytes) throw this.tooLarge();
    }
    if (this.source === null || this.prefetchedBytes <= REPLAY_LIMIT_BYTES) {
      this.buffered = Buffer.concat(this.prefetchedChunks);
    }
  }

  /**
   * Returns the body from its start; null for a second call when the body exceeds the replay limit.
   * Call `prefetch` first.
   */
  open(): exchange.RequestBody | null {
    if (this.buffered !== null) return exchange.bufferedBody(this.buffered);
    if (this.opened) return null;
    this.opened = true;
    return { buffered: null, chunks: this.streamChunks() };
  }

  private async *streamChunks(): exchange.Body {
    yield* this.prefetchedChunks;
    let total = this.prefetchedBytes;
    while (this.source !== null) {
      const next = await this.source.next();
      if (next.done) return;
      total += next.value.length;
      if (total > this.limitBytes) throw this.tooLarge();
      yield next.value;
    }
  }

  private tooLarge(): failures.FailureError {
    return failures.toError({ type: 'bodyTooLarge', limitBytes: this.limitBytes });
  }
}
