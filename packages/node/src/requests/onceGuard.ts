/** Connects `once` routes to the records of idempotency keys. */

import type { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as exchange from './exchange.js';

export interface OnceRequest {
  service: string;
  key: string;
  /** Hash of the method, path and body; a key that comes with another one is reused wrongly. */
  fingerprint: string;
  /** Time left for the request. */
  timeoutMs: number;
}

export interface KeptAnswer {
  status: number;
  headers: requests.Header[];
  /** Null when the body is larger than what is kept. */
  body: Uint8Array | null;
}

/** A granted key. Exactly one of `complete`, `release` or nothing (unknown outcome) follows. */
export abstract class OnceClaim {
  /** Called in the turn of each dispatch; false when the grant is too old to be used. */
  abstract beginDispatch(): boolean;

  /** Records the answer; resolves once the record survives the loss of one node, or after a bound. */
  abstract complete(answer: KeptAnswer): Promise<void>;

  /**
   * Gives the key back; only for a request that cannot have started.
   * @param refused the destination refused a dispatch before the upstream had the request
   * @returns the failure for the caller, `notRun` or `outcomeUnknown`
   */
  abstract release(refused: boolean): failures.Failure;
}

export type OnceOutcome =
  | { type: 'granted'; claim: OnceClaim }
  /** The recorded answer of the first attempt. */
  | { type: 'replayed'; answer: exchange.Answer };

export abstract class OnceGuard {
  /** @throws keyInProgress, keyReused, answerNotKept, outcomeUnknown, notRun */
  abstract claim(request: OnceRequest): Promise<OnceOutcome>;
}
