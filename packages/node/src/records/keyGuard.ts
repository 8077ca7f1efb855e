/**
 * Dispatcher side of at-most-once execution: claims an idempotency key at its holders before
 * dispatch, and afterwards records the answer or releases the claim.
 */

import { backoff, failures, httpStatus, placement as rules } from '@godwittrack/core';
import type { clock as clocks, ids, placement as placements } from '@godwittrack/core';
import { records } from '@godwittrack/protocol';
import type * as recordPeers from './recordPeers.js';
import * as recordStore from './recordStore.js';

/** Largest body kept in a record. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

const RETRY_AFTER_MS = 1_000;

/**
 * Time after the deadline for which holders are certain to keep a claim: half of their minimum
 * retention, as a safety margin.
 */
const CLAIM_HELD_AFTER_DEADLINE_MS = recordStore.MIN_RETENTION_AFTER_DEADLINE_MS / 2;

export interface KeyGuardOptions {
  /** Timeout of a claim at one holder. Default 1,000 ms. */
  holderTimeoutMs?: number;
  /** Timeout of one attempt to record or release at one holder. Default 2,000 ms. */
  updateTimeoutMs?: number;
  /** Maximum attempts to record or release at one holder. Default 4. */
  updateAttempts?: number;
  /** Delay before a claim is retried under a newer epoch. Default 20 ms. */
  epochRetryMs?: number;
  /** Replaces the timer in tests. */
  sleep?: (ms: number) => Promise<void>;
}

/** Provides the dispatcher with placements. */
export interface PlacementSource {
  current(service: string): placements.Placement | null;
  /** Waits for a placement of at least `epoch`; returns the newest known one. */
  refresh(service: string, epoch: number): Promise<placements.Placement | null>;
}

export type ClaimOutcome =
  | { type: 'granted'; claim: KeyClaim }
  /** The recorded answer of the first request with this key. */
  | { type: 'replayed'; answer: records.RecordedAnswer };

interface Attempt {
  service: string;
  key: string;
  fingerprint: string;
  claim: string;
  epoch: number;
  holders: placements.Member[];
  sentAtMs: number;
  /** Time left until the deadline of the request when the claim was sent. */
  timeLeftMs: number;
}

type Vote = records.ClaimReply | null;

/**
 * A granted claim. It ends with one call of `complete`, `recordAtQuorum` or `release`, or with none
 * when the outcome of the request is unknown.
 */
export class KeyClaim {
  private dispatched = false;

  constructor(
    private readonly guard: KeyGuard,
    /** @internal */ readonly attempt: Attempt,
  ) {}

  /**
   * Marks the request as dispatched; call it in the same event-loop turn as the dispatch. Returns
   * false when the grants are too old to be used; the caller then releases the claim.
   */
  beginDispatch(): boolean {
    if (!this.guard.isFresh(this.attempt)) return false;
    this.dispatched = true;
    return true;
  }

  /** Records the answer; resolves with the number of holders that have stored it. */
  complete(answer: records.RecordedAnswer): Promise<number> {
    return this.guard.complete(this.attempt, answer);
  }

  /** Records the answer; resolves once a quorum of holders has stored it or all have replied. */
  recordAtQuorum(answer: records.RecordedAnswer): Promise<void> {
    return this.guard.completeAtQuorum(this.attempt, answer);
  }

  /**
   * Releases the key and returns the failure for the caller: `notRun`, or `outcomeUnknown` when the
   * claim may have expired at the holders since. Only for a request that cannot have started: never
   * dispatched, or refused by the destination before execution (`refused: true`).
   */
  release(dispatch: { refused: boolean } = { refused: false }): failures.Failure {
    if (this.dispatched && !dispatch.refused) {
      const detail = 'A dispatched claim is released only after a refusal before dispatch.';
      throw failures.toError({ type: 'internal', detail });
    }
    // Until the release is sent, a quorum of holders refuses every other claim of the key.
    const claimHeld = this.guard.isHeld(this.attempt);
    void this.guard.release(this.attempt);
    const detail = 'The request was not dispatched.';
    if (claimHeld) return { type: 'notRun', detail, retryAfterMs: RETRY_AFTER_MS };
    const { key } = this.attempt;
    return { type: 'outcomeUnknown', key, detail, retryAfterMs: RETRY_AFTER_MS };
  }
}

export class KeyGuard {
  private readonly holderTimeoutMs: number;

  private readonly updateTimeoutMs: number;

  private readonly updateAttempts: number;

  private readonly epochRetryMs: number;

  private readonly sleep: (ms: number) => Promise<void>;

  private counter = 0;

  constructor(
    private readonly node: ids.NodeId,
    private readonly incarnation: ids.Incarnation,
    private readonly placementSource: PlacementSource,
    private readonly peers: recordPeers.RecordPeers,
    private readonly clock: clocks.Clock,
    options: KeyGuardOptions = {},
  ) {
    this.holderTimeoutMs = options.holderTimeoutMs ?? 1_000;
    this.updateTimeoutMs = options.updateTimeoutMs ?? 2_000;
    this.updateAttempts = options.updateAttempts ?? 4;
    this.epochRetryMs = options.epochRetryMs ?? 20;
    this.sleep = options.sleep ?? backoff.sleep;
  }

  /**
   * Claims a key. Without a quorum of grants this never throws `notRun`: a holder that had no
   * record may grant another claim a moment later.
   * @param timeLeftMs time left until the deadline of the request
   * @throws keyInProgress, outcomeUnknown, answerNotKept, keyReused
   */
  async claim(
    service: string,
    key: string,
    fingerprint: string,
    timeLeftMs: number,
  ): Promise<ClaimOutcome> {
    const endAtMs = this.clock.monotonicMs() + timeLeftMs;
    let placement =
      this.placementSource.current(service) ?? (await this.placementSource.refresh(service, 1));
    while (true) {
      if (placement === null || placement.members.length === 0) {
        throw this.outcomeUnknown(key, 'No placement of the records is known.');
      }
      const attempt = this.createAttempt(placement, key, fingerprint, endAtMs);
      const votes = await this.collectVotes(attempt);
      const outcome = this.evaluateVotes(attempt, votes);
      if (outcome !== null) return outcome;
      // Grants of this attempt that are not released would block the next one.
      await Promise.race([this.release(attempt), this.sleep(this.holderTimeoutMs)]);
      const newestEpoch = Math.max(...votes.map((vote) => vote?.epoch ?? 0));
      placement = await this.placementSource.refresh(service, newestEpoch);
      if (this.clock.monotonicMs() + this.epochRetryMs >= endAtMs) {
        throw this.outcomeUnknown(key, 'The holders are changing.');
      }
      // A holder with an older epoch than this node learns of the newer one from the refused claim.
      await this.sleep(this.epochRetryMs);
    }
  }

  /** True while the grants of an attempt are recent enough for a dispatch. */
  isFresh(attempt: Attempt): boolean {
    return this.clock.monotonicMs() - attempt.sentAtMs < recordStore.GRANT_LIFETIME_MS;
  }

  /** True while the holders are certain to still have the claim. */
  isHeld(attempt: Attempt): boolean {
    const heldMs = this.clock.monotonicMs() - attempt.sentAtMs;
    return heldMs < attempt.timeLeftMs + CLAIM_HELD_AFTER_DEADLINE_MS;
  }

  /** @internal Records at the holders of the claim and at those of the current placement. */
  async complete(attempt: Attempt, answer: records.RecordedAnswer): Promise<number> {
    const stored = await Promise.all(this.recordAtHolders(attempt, answer));
    return stored.filter(Boolean).length;
  }

  /** @internal */
  completeAtQuorum(attempt: Attempt, answer: records.RecordedAnswer): Promise<void> {
    const needed = rules.quorum(attempt.holders.length);
    const pending = this.recordAtHolders(attempt, answer);
    return new Promise((resolve) => {
      let stored = 0;
      let outstanding = pending.length;
      const onReply = (isStored: boolean) => {
        outstanding -= 1;
        stored += isStored ? 1 : 0;
        if (stored >= needed || outstanding === 0) resolve();
      };
      pending.forEach((update) => {
        void update.then(onReply);
      });
    });
  }

  private recordAtHolders(attempt: Attempt, answer: records.RecordedAnswer): Promise<boolean>[] {
    const keepBody = answer.bodyKept && answer.body.length <= MAX_RECORDED_BODY_BYTES;
    const recorded = keepBody ? answer : { ...answer, body: Buffer.alloc(0), bodyKept: false };
    const { service, key, epoch, claim, fingerprint } = attempt;
    const req = { service, key, epoch, claim, fingerprint, answer: recorded };
    const currentHolders = this.placementSource.current(service)?.holders(key) ?? [];
    const targets = new Map(
      [...attempt.holders, ...currentHolders].map((m) => [m.node as string, m]),
    );
    return [...targets.values()].map((member) =>
      this.updateWithRetries(async () => {
        const reply = await this.peers.complete(member, req, this.updateTimeoutMs);
        return reply.stored;
      }),
    );
  }

  /** @internal */
  async release(attempt: Attempt): Promise<void> {
    const { service, key, claim } = attempt;
    await Promise.all(
      attempt.holders.map((member) =>
        this.updateWithRetries(async () => {
          await this.peers.release(member, { service, key, claim }, this.updateTimeoutMs);
          return true;
        }),
      ),
    );
  }

  private createAttempt(
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
      timeLeftMs: Math.max(0, endAtMs - sentAtMs),
    };
  }

  /** Claims at all holders; resolves on a quorum of grants, a recorded answer, or the last reply. */
  private collectVotes(attempt: Attempt): Promise<Vote[]> {
    const { service, key, fingerprint, claim, epoch, holders } = attempt;
    const deadlineLeftMs = attempt.timeLeftMs;
    const req = { service, key, epoch, claim, fingerprint, deadlineLeftMs };
    const timeoutMs = Math.max(1, Math.min(this.holderTimeoutMs, deadlineLeftMs));
    const needed = rules.quorum(holders.length);
    return new Promise((resolve) => {
      const votes: Vote[] = [];
      let outstanding = holders.length;
      const onVote = (vote: Vote) => {
        votes.push(vote);
        outstanding -= 1;
        const decided =
          count(votes, records.ClaimResult.CLAIM_RESULT_GRANTED) >= needed ||
          count(votes, records.ClaimResult.CLAIM_RESULT_COMPLETED) > 0;
        if (outstanding === 0 || decided) resolve([...votes]);
      };
      for (const member of holders) {
        this.peers.claim(member, req, timeoutMs).then(onVote, () => onVote(null));
      }
    });
  }

  /** Returns null when the claim has to be retried under another epoch. */
  private evaluateVotes(attempt: Attempt, votes: readonly Vote[]): ClaimOutcome | null {
    const { key } = attempt;
    const needed = rules.quorum(attempt.holders.length);
    const granted = count(votes, records.ClaimResult.CLAIM_RESULT_GRANTED);
    const fresh = this.isFresh(attempt);
    if (granted >= needed && fresh) {
      return { type: 'granted', claim: new KeyClaim(this, attempt) };
    }
    const epochChanges =
      count(votes, records.ClaimResult.CLAIM_RESULT_WRONG_EPOCH) +
      count(votes, records.ClaimResult.CLAIM_RESULT_NOT_HOLDER);
    const result = this.outcomeWithoutGrant(key, votes, epochChanges > 0);
    if (result === null) return null;
    // This attempt will not be dispatched, even if more grants arrive later.
    void this.release(attempt);
    if (result instanceof failures.FailureError) throw result;
    return result;
  }

  private outcomeWithoutGrant(
    key: string,
    votes: readonly Vote[],
    epochChanging: boolean,
  ): ClaimOutcome | failures.FailureError | null {
    const completed = votes.find(
      (vote) => vote?.result === records.ClaimResult.CLAIM_RESULT_COMPLETED,
    );
    if (completed?.answer !== undefined) {
      const { answer } = completed;
      if (answer.bodyKept && httpStatus.isFinal(answer.status)) return { type: 'replayed', answer };
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
      return this.outcomeUnknown(key, 'An earlier attempt ended without a recorded answer.');
    }
    if (epochChanging) return null;
    return this.outcomeUnknown(key, 'Too few holders with full history answered.');
  }

  private outcomeUnknown(key: string, detail: string): failures.FailureError {
    return failures.toError({ type: 'outcomeUnknown', key, detail, retryAfterMs: RETRY_AFTER_MS });
  }

  private async updateWithRetries(call: () => Promise<boolean>): Promise<boolean> {
    const retryDelay = new backoff.Backoff();
    for (let i = 0; i < this.updateAttempts; i++) {
      try {
        return await call();
      } catch {
        // The holder may have applied the call already; both calls are idempotent.
        if (i < this.updateAttempts - 1) await this.sleep(retryDelay.nextMs());
      }
    }
    return false;
  }
}

function count(votes: readonly Vote[], result: records.ClaimResult): number {
  return votes.filter((vote) => vote?.result === result).length;
}
