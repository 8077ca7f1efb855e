/** Implements the interface of `once` routes with the idempotency records. */

import { backoff } from '@godwittrack/core';
import type { failures } from '@godwittrack/core';
import type { records } from '@godwittrack/protocol';
import * as onceGuard from '../requests/onceGuard.js';
import type * as keyGuard from './keyGuard.js';

/** Maximum delay of a response while its record is stored. */
const MAX_RECORD_WAIT_MS = 250;

class RecordedClaim extends onceGuard.OnceClaim {
  constructor(private readonly claim: keyGuard.KeyClaim) {
    super();
  }

  override beginDispatch(): boolean {
    return this.claim.beginDispatch();
  }

  override async complete(answer: onceGuard.RecordedResponse): Promise<void> {
    const { status, headers, body } = answer;
    const bytes = Buffer.from(body ?? new Uint8Array(0));
    const stored = this.claim.recordAtQuorum({
      status,
      headers,
      body: bytes,
      bodyKept: body !== null,
    });
    // The response is valid whether recorded or not, so slow holders must not delay it for long.
    await Promise.race([stored, backoff.sleep(MAX_RECORD_WAIT_MS)]);
  }

  override release(refused: boolean): failures.Failure {
    return this.claim.release({ refused });
  }
}

async function* bodyOf(answer: records.RecordedAnswer): AsyncIterable<Uint8Array> {
  yield answer.body;
}

export class RecordedOnceGuard extends onceGuard.OnceGuard {
  constructor(private readonly guard: keyGuard.KeyGuard) {
    super();
  }

  override async claim(request: onceGuard.OnceRequest): Promise<onceGuard.OnceOutcome> {
    const { service, key, fingerprint, timeoutMs } = request;
    const outcome = await this.guard.claim(service, key, fingerprint, timeoutMs);
    if (outcome.type === 'granted')
      return { type: 'granted', claim: new RecordedClaim(outcome.claim) };
    const { answer } = outcome;
    const head = { status: answer.status, headers: answer.headers, requestId: '', upstreamMs: 0 };
    return { type: 'replayed', response: { head, body: bodyOf(answer) } };
  }
}
