/** Request bodies that can be read again for another attempt, up to a limit. */

import type * as http from 'node:http';
import { failures } from '@godwittrack/core';
import * as exchange from './exchange.js';
import * as incomingBody from './incomingBody.js';

/** Bodies up to this size are read before dispatch and kept for another attempt. */
export const REPLAY_LIMIT_BYTES = 64 * 1024;

/** Body of a caller's request; what fits the replay limit can be read again. */
export class ReplayBody {
  private readonly kept: Uint8Array[] = [];

  private keptBytes = 0;

  /**
   * The complete body when it fits the replay limit; null before `prefetch` and for larger ones.
   */
  whole: Uint8Array | null = null;

  private opened = false;

  private readonly source: incomingBody.IncomingBody | null;

  constructor(
    req: http.IncomingMessage,
    private readonly limitBytes: number,
  ) {
    const declared = Number(req.headers['content-length'] ?? 0);
    if (declared > limitBytes) throw failures.raise({ type: 'bodyTooLarge', limitBytes });
    const empty = declared === 0 && req.headers['transfer-encoding'] === undefined;
    this.source = empty
      ? null
      : new incomingBody.IncomingBody(req, (detail) =>
          failures.raise({ type: 'cancelled', detail: `the request broke off: ${detail}` }),
        );
    if (empty) this.whole = Buffer.alloc(0);
  }

  get isReady(): boolean {
    return this.whole !== null;
  }

  /** Reads up to the replay limit, so that a slow upload of a small body does not hold a slot. */
  async prefetch(): Promise<void> {
    while (this.source !== null && this.keptBytes <= REPLAY_LIMIT_BYTES) {
      const next = await this.source.next();
      if (next.done) break;
      this.kept.push(next.value);
      this.keptBytes += next.value.length;
      if (this.keptBytes > this.limitBytes) throw this.tooLarge();
    }
    if (this.source === null || this.keptBytes <= REPLAY_LIMIT_BYTES) {
      this.whole = Buffer.concat(this.kept);
    }
  }

  /**
   * Returns the body from its start; null for a second call when the body exceeds the replay limit.
   * Call `prefetch` first.
   */
  open(): exchange.RequestBody | null {
    if (this.whole !== null) return exchange.wholeBody(this.whole);
    if (this.opened) return null;
    this.opened = true;
    return { whole: null, chunks: this.read() };
  }

  private async *read(): exchange.Body {
    yield* this.kept;
    let total = this.keptBytes;
    while (this.source !== null) {
      const next = await this.source.next();
      if (next.done) return;
      total += next.value.length;
      if (total > this.limitBytes) throw this.tooLarge();
      yield next.value;
    }
  }

  private tooLarge(): failures.FailureError {
    return failures.raise({ type: 'bodyTooLarge', limitBytes: this.limitBytes });
  }
}
