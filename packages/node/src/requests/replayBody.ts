/** Request bodies that can be read again for another attempt, up to a limit. */

import type * as http from 'node:http';
import { failures } from '@godwittrack/core';
import * as exchange from './exchange.js';

/** Bodies up to this size are kept for another attempt. */
const REPLAY_LIMIT_BYTES = 64 * 1024;

/** Body of a caller's request; what fits the replay limit can be read again. */
export class ReplayBody {
  private readonly kept: Uint8Array[] = [];

  private keptBytes = 0;

  private totalBytes = 0;

  private opened = false;

  private readonly chunks: AsyncIterator<Uint8Array>;

  private readonly empty: boolean;

  constructor(
    req: http.IncomingMessage,
    private readonly limitBytes: number,
  ) {
    const declared = Number(req.headers['content-length'] ?? 0);
    this.empty = declared === 0 && req.headers['transfer-encoding'] === undefined;
    if (declared > limitBytes) throw failures.raise({ type: 'bodyTooLarge', limitBytes });
    this.chunks = req[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
  }

  /** The body from its start; null when more was read than is kept. */
  open(): exchange.Body | null {
    if (this.empty) return exchange.emptyBody();
    if (this.opened && this.keptBytes > REPLAY_LIMIT_BYTES) return null;
    this.opened = true;
    return this.read();
  }

  private async *read(): exchange.Body {
    yield* [...this.kept];
    while (true) {
      const next = await this.chunks.next();
      if (next.done) return;
      this.totalBytes += next.value.length;
      if (this.totalBytes > this.limitBytes) {
        throw failures.raise({ type: 'bodyTooLarge', limitBytes: this.limitBytes });
      }
      this.keptBytes += next.value.length;
      if (this.keptBytes <= REPLAY_LIMIT_BYTES) this.kept.push(next.value);
      yield next.value;
    }
  }
}
