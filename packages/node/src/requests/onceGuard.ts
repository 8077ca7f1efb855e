/** Interface through which requests of `once` routes use the records of idempotency keys. */

import type { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as exchange from './exchange.js';

export interface OnceRequest {
  service: string;
  key: string;
  /** Hash of method, path and body; a key that comes again with another one is `keyReused`. */
  fingerprint: string;
  /** Time left until the request's deadline. */
  timeoutMs: number;
}

export interface RecordedResponse {
  status: number;
  headers: requests.Header[];
  /** Null when the body is too large to be recorded. */
  body: Uint8Array | null;
}

/**
 * Claim of an idempotency key. It ends with one call of `complete` or `release`, or with neither
 * when the outcome of the request is unknown.
 */
export abstract class OnceClaim {
  /**
   * Called in the same event-loop turn as each dispatch; false when the claim has become too old.
   */
  abstract beginDispatch(): boolean;

  /**
   * Records the response. Resolves when the record survives the loss of one node, or after a time
   * limit.
   */
  abstract complete(response: RecordedResponse): Promise<void>;

  /**
   * Releases the key; only for a request that cannot have started.
   * @param refused true when the request was dispatched and refused before the upstream received it
   * @returns the failure for the caller, `notRun` or `outcomeUnknown`
   */
  abstract release(refused: boolean): failures.Failure;
}

export type OnceOutcome =
  | { type: 'granted'; claim: OnceClaim }
  /** The recorded response of the first request with this key. */
  | { type: 'replayed'; response: exchange.Response };

export abstract class OnceGuard {
  /** @throws keyInProgress, keyReused, answerNotKept, outcomeUnknown, notRun */
  abstract claim(request: OnceRequest): Promise<OnceOutcome>;
}
