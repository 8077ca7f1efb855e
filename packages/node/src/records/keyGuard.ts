/**
 * Dispatcher side of at-most-once execution: claims a key at its holders before dispatch, and
 * records or gives back the claim afterwards.
 */

import { backoff, failures, placement as rules } from '@godwittrack/core';
import type { clock as clocks, ids, placement as placements } from '@godwittrack/core';
import { records } from '@godwittrack/protocol';
import type * as peers from './recordPeers.js';
import * as recordStore from './recordStore.js';

/** Largest body kept in a record. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

const RETRY_AFTER_MS = 1_000;

/** Time after the deadline for which holders certainly keep a claim; they keep it for longer. */
const CLAIM_KEPT_MS = recordStore.MIN_RETENTION_AFTER_DEADLINE_MS / 2;

export interface KeyGuardOptions {
  /** Time for one holder to answer a claim. Default 1,000 ms. */
  holderTimeoutMs?: number;
  /** Time for one attempt to record or release at one holder. Default 2,000 ms. */
  settleTimeoutMs?: number;
  /** Attempts to record or release at one holder. Default 4. */
  settleAttempts?: number;
  /** Pause before a claim is tried again under a newer epoch. Default 20 ms. */
  epochRetryMs?: number;
  /** Waits; tests pass their own. */
  sleep?: (ms: number) => Promise<void>;
}

/** Where the dispatcher learns placements. */
export interface PlacementSource {
  current(service: string): placements.Placement | null;
  /** Asks for an epoch of at least `epoch`; returns the best known one. */
  refresh(service: string, epoch: number): Promise<placements.Placement | null>;
}

export type ClaimOutcome =
  | { type: 'granted'; claim: KeyClaim }
  /** The recorded answer of the first attempt, to be sent as `replayed`. */
  | { type: 'replayed'; answer: records.RecordedAnswer };

interface Attempt {
  service: string;
  key: string;
  fingerprint: string;
  claim: string;
  epoch: number;
  holders: placements.Member[];
  sentAtMs: number;
  /** Time left for the request when the claim was sent. */
  deadlineMs: number;
}

type Vote = records.ClaimReply | null;

/** A granted claim. Exactly one of `complete`, `release` or nothing (unknown outcome) follows. */
export class KeyClaim {
  private dispatched = false;

  constructor(
    private readonly guard: KeyGuard,
    /** @internal */ readonly attempt: Attempt,
  ) {}

  /**
   * Marks the request as dispatched; call it in the same turn as the dispatch. Returns false when
   * the grants are too old to be used; then release the claim and answer `unknown`.
   */
  beginDispatch(): boolean {
    if (!this.guard.isFresh(this.attempt)) return false;
    this.dispatched = true;
    return true;
  }

  /** Records the answer; resolves with the number of holders that stored it. */
  complete(answer: records.RecordedAnswer): Promise<number> {
    return this.guard.complete(this.attempt, answer);
  }

  /** Records the answer; resolves as soon as a majority of the holders stored it, or all failed. */
  recordAtQuorum(answer: records.RecordedAnswer): Promise<void> {
    return this.guard.completeAtQuorum(this.attempt, answer);
  }

  /**
   * Gives the key back and returns the failure to answer with: `notRun`, or `outcomeUnknown` when
   * the records may have lapsed meanwhile. Only for a request that cannot have started: never
   * dispatched, or refused before dispatch by the destination (`refused: true`).
   */
  release(proof: { refused: boolean } = { refused: false }): failures.Failure {
    if (this.dispatched && !proof.refused) {
      const detail = 'A dispatched claim is released only after a refusal before dispatch.';
      throw failures.toError({ type: 'internal', detail });
    }
    // Until the release is sent, a quorum of holders refuses every other claim of the key.
    const proved = this.guard.isHeld(this.attempt);
    void this.guard.release(this.attempt);
    const detail = 'The request was not dispatched.';
    if (proved) return { type: 'notRun', detail, retryAfterMs: RETRY_AFTER_MS };
    const { key } = this.attempt;
    return { type: 'outcomeUnknown', key, detail, retryAfterMs: RETRY_AFTER_MS };
  }
}

export class KeyGuard {
  private readonly holderTimeoutMs: number;

  private readonly settleTimeoutMs: number;

  private readonly settleAttempts: number;

  private readonly epochRetryMs: number;

  private readonly sleep: (ms: number) => Promise<void>;

  private counter = 0;

  constructor(
    private readonly node: ids.NodeId,
    private readonly incarnation: ids.Incarnation,
    private readonly source: PlacementSource,
    private readonly holders: peers.RecordPeers,
    private readonly clock: clocks.Clock,
    options: KeyGuardOptions = {},
  ) {
    this.holderTimeoutMs = options.holderTimeoutMs ?? 1_000;
    this.settleTimeoutMs = options.settleTimeoutMs ?? 2_000;
    this.settleAttempts = options.settleAttempts ?? 4;
    this.epochRetryMs = options.epochRetryMs ?? 20;
    this.sleep = options.sleep ?? backoff.sleep;
  }

  /**
   * Claims a key; `deadlineMs` is the time left for the request. Without a quorum of grants this
   * never says `notRun`: a holder that had no record may grant another claim a moment later.
   * @throws keyInProgress, outcomeUnknown, answerNotKept, keyReused
   */
  async claim(
    service: string,
    key: string,
    fingerprint: string,
    deadlineMs: number,
  ): Promise<ClaimOutcome> {
    const endAtMs = this.clock.monotonicMs() + deadlineMs;
    let placement = this.source.current(service) ?? (await this.source.refresh(service, 1));
    while (true) {
      if (placement === null || placement.members.length === 0) {
        throw this.unknown(key, 'No placement of the records is known.');
      }
      const attempt = this.newAttempt(placement, key, fingerprint, endAtMs);
      const votes = await this.gather(attempt);
      const outcome = this.decide(attempt, votes);
      if (outcome !== null) return outcome;
      // Otherwise the next attempt would meet this one's grants.
      await Promise.race([this.release(attempt), this.sleep(this.holderTimeoutMs)]);
      const newest = Math.max(...votes.map((vote) => vote?.epoch ?? 0));
      placement = await this.source.refresh(service, newest);
      if (this.clock.monotonicMs() + this.epochRetryMs >= endAtMs) {
        throw this.unknown(key, 'The holders are changing.');
      }
      // A holder that lags behind this node learns the epoch from the refused claim.
      await this.sleep(this.epochRetryMs);
    }
  }

  /** True while the grants of an attempt may still be used for a dispatch. */
  isFresh(attempt: Attempt): boolean {
    return this.clock.monotonicMs() - attempt.sentAtMs < recordStore.GRANT_LIFETIME_MS;
  }

  /** True while the holders certainly still keep the claim. */
  isHeld(attempt: Attempt): boolean {
    const heldMs = this.clock.monotonicMs() - attempt.sentAtMs;
    return heldMs < attempt.deadlineMs + CLAIM_KEPT_MS;
  }

  /** @internal Records at the holders of the claim and, after a change, the present ones. */
  async complete(attempt: Attempt, answer: records.RecordedAnswer): Promise<number> {
    const stored = await Promise.all(this.recordEverywhere(attempt, answer));
    return stored.filter(Boolean).length;
  }

  /** @internal */
  completeAtQuorum(attempt: Attempt, answer: records.RecordedAnswer): Promise<void> {
    const needed = rules.quorum(attempt.holders.length);
    const pending = this.recordEverywhere(attempt, answer);
    return new Promise((resolve) => {
      let stored = 0;
      let open = pending.length;
      const take = (isStored: boolean) => {
        open -= 1;
        stored += isStored ? 1 : 0;
        if (stored >= needed || open === 0) resolve();
      };
      pending.forEach((one) => {
        void one.then(take);
      });
    });
  }

  private recordEverywhere(attempt: Attempt, answer: records.RecordedAnswer): Promise<boolean>[] {
    const kept = answer.bodyKept && answer.body.length <= MAX_RECORDED_BODY_BYTES;
    const recorded = kept ? answer : { ...answer, body: Buffer.alloc(0), bodyKept: false };
    const { service, key, epoch, claim, fingerprint } = attempt;
    const req = { service, key, epoch, claim, fingerprint, answer: recorded };
    const present = this.source.current(service)?.holders(key) ?? [];
    const targets = new Map([...attempt.holders, ...present].map((m) => [m.node as string, m]));
    return [...targets.values()].map((member) =>
      this.settle(async () => {
        const reply = await this.holders.complete(member, req, this.settleTimeoutMs);
        return reply.stored;
      }),
    );
  }

  /** @internal */
  async release(attempt: Attempt): Promise<void> {
    const { service, key, claim } = attempt;
    await Promise.all(
      attempt.holders.map((member) =>
        this.settle(async () => {
          await this.holders.release(member, { service, key, claim }, this.settleTimeoutMs);
          return true;
        }),
      ),
    );
  }

  private newAttempt(
    placement: placements.Placement,
    key: string,
    fingerprint: string,
    endAtMs: number,
  ): Attempt {
    this.counter += 1;
    const sentAtMs = this.clock.monotonicMs();
    return {
      service: placement.service,
      key,
      fingerprint,
      claim: `${this.node}.${this.incarnation}.${this.counter}`,
      epoch: placement.epoch,
      holders: placement.holders(key),
      sentAtMs,
      deadlineMs: Math.max(0, endAtMs - sentAtMs),
    };
  }

  /** Asks all holders; ends with a quorum of grants, a recorded answer, or every reply in. */
  private gather(attempt: Attempt): Promise<Vote[]> {
    const { service, key, fingerprint, claim, epoch, holders } = attempt;
    const deadlineLeftMs = attempt.deadlineMs;
    const req = { service, key, epoch, claim, fingerprint, deadlineLeftMs };
    const timeoutMs = Math.max(1, Math.min(this.holderTimeoutMs, deadlineLeftMs));
    const needed = rules.quorum(holders.length);
    return new Promise((resolve) => {
      const votes: Vote[] = [];
      let open = holders.length;
      const take = (vote: Vote) => {
        votes.push(vote);
        open -= 1;
        const decided =
          count(votes, records.ClaimResult.CLAIM_RESULT_GRANTED) >= needed ||
          count(votes, records.ClaimResult.CLAIM_RESULT_COMPLETED) > 0;
        if (open === 0 || decided) resolve([...votes]);
      };
      for (const member of holders) {
        this.holders.claim(member, req, timeoutMs).then(take, () => take(null));
      }
    });
  }

  /** Returns null when the claim has to be tried again under another epoch. */
  private decide(attempt: Attempt, votes: readonly Vote[]): ClaimOutcome | null {
    const { key } = attempt;
    const needed = rules.quorum(attempt.holders.length);
    const granted = count(votes, records.ClaimResult.CLAIM_RESULT_GRANTED);
    const fresh = this.isFresh(attempt);
    if (granted >= needed && fresh) {
      return { type: 'granted', claim: new KeyClaim(this, attempt) };
    }
    const changing =
      count(votes, records.ClaimResult.CLAIM_RESULT_WRONG_EPOCH) +
      count(votes, records.ClaimResult.CLAIM_RESULT_NOT_HOLDER);
    const refusal = this.refusal(key, votes, changing > 0);
    if (refusal === null) return null;
    // The claims of this attempt are never used now, whatever late grants arrive.
    void this.release(attempt);
    if (refusal instanceof failures.FailureError) throw refusal;
    return refusal;
  }

  private refusal(
    key: string,
    votes: readonly Vote[],
    changing: boolean,
  ): ClaimOutcome | failures.FailureError | null {
    const completed = votes.find(
      (vote) => vote?.result === records.ClaimResult.CLAIM_RESULT_COMPLETED,
    );
    if (completed?.answer !== undefined) {
      const { answer } = completed;
      if (answer.bodyKept) return { type: 'replayed', answer };
      return failures.toError({ type: 'answerNotKept', key, status: answer.status });
    }
    if (count(votes, records.ClaimResult.CLAIM_RESULT_FINGERPRINT_MISMATCH) > 0) {
      const detail = 'The key was used for a request with other content.';
      return failures.toError({ type: 'keyReused', key, detail });
    }
    if (count(votes, records.ClaimResult.CLAIM_RESULT_IN_PROGRESS) > 0) {
      return failures.toError({ type: 'keyInProgress', key, retryAfterMs: RETRY_AFTER_MS });
    }
    if (count(votes, records.ClaimResult.CLAIM_RESULT_OUTCOME_UNKNOWN) > 0) {
      return this.unknown(key, 'An earlier attempt ended without a recorded answer.');
    }
    if (changing) return null;
    return this.unknown(key, 'Too few holders with full history answered.');
  }

  private unknown(key: string, detail: string): failures.FailureError {
    return failures.toError({ type: 'outcomeUnknown', key, detail, retryAfterMs: RETRY_AFTER_MS });
  }

  private async settle(call: () => Promise<boolean>): Promise<boolean> {
    const pause = new backoff.Backoff();
    for (let i = 0; i < this.settleAttempts; i++) {
      try {
        return await call();
      } catch {
        // The holder may have done it; both calls are safe to repeat.
        if (i < this.settleAttempts - 1) await this.sleep(pause.nextMs());
      }
    }
    return false;
  }
}

function count(votes: readonly Vote[], result: records.ClaimResult): number {
  return votes.filter((vote) => vote?.result === result).length;
}
