/**
 * Admission control for the upstream on a node's host: decides which requests run, wait or are
 * refused, within its slots and the rate that it has stated. Requests that can still be answered
 * within their target latency go first, ordered by priority, by shares and then by target time; late
 * ones get the remaining capacity. Requests that cannot be served are refused at once, also those that
 * have waited and give way to others.
 */

import * as fairShare from './fairShare.js';
import * as rateLimiter from './rateLimiter.js';
import * as servedShares from './servedShares.js';
import * as waitingList from './waitingList.js';

export interface AdmissionRequest extends waitingList.OrderedRequest {
  /** Monotonic time of the caller's deadline. */
  deadlineAtMs: number;
  /** Expected wait of the answer for the uplink of the host. */
  transferWaitMs: number;
  /** Longest wait for a slot and the uplink that the sender accepts; beyond it, it has a better candidate. */
  maxWaitMs: number;
}

/** The wait exceeds the request's `maxWaitMs`; the sender may find a shorter one elsewhere. */
export const WAIT_TOO_LONG = 'waitTooLong';
/** The request cannot be answered in time, nor would a similar one a moment later. */
export const QUEUE_TOO_LONG = 'queueTooLong';
/** The same, because of the rate that the upstream takes. */
export const LIMIT_REACHED = 'limitReached';
/** The same, because of what its customer has waiting or running; those of others would be accepted. */
export const CUSTOMER_SHARE_REACHED = 'customerShareReached';

/** The upstream has stopped responding. */
export const UPSTREAM_STALLED = 'upstreamStalled';

export type RefusalReason =
  | 'noTimeLeft'
  | typeof QUEUE_TOO_LONG
  | typeof LIMIT_REACHED
  | typeof CUSTOMER_SHARE_REACHED
  | typeof WAIT_TOO_LONG
  | 'notAccepting';

/** The calls that the request makes while it runs are refused at present; see `calleePressure.ts`. */
export const CALLEES_FULL = 'calleesFull';

/** Reasons of refusals that show that the upstream had no capacity for the request. */
export const FULL_REASONS: ReadonlySet<string> = new Set([
  QUEUE_TOO_LONG,
  LIMIT_REACHED,
  CUSTOMER_SHARE_REACHED,
  CALLEES_FULL,
  UPSTREAM_STALLED,
]);

export type Decision<T> =
  | { type: 'run' }
  /** `displaced` are requests that were waiting and can no longer be served. */
  | { type: 'wait'; displaced: RefusedRequest<T>[] }
  | Refused;

export interface Refused {
  type: 'refuse';
  reason: RefusalReason;
  retryAfterMs: number;
}

export interface RefusedRequest<T> {
  request: T;
  reason: RefusalReason;
  retryAfterMs: number;
}

export interface QueueUpdate<T> {
  started: T[];
  refused: RefusedRequest<T>[];
}

/** Limit of waiting requests that will miss their target, as a share of the slots. */
const MAX_LATE_WAITING_SHARE = 0.25;
/**
 * Time that a request must have left when it starts after waiting for the rate, so that it is refused before
 * its caller gives up. It may also start later than expected by this time.
 */
const RATE_RESERVE_MS = 25;
/**
 * A late request that waits for the rate is refused after this multiple of its expected wait: requests that
 * are on time overtake it.
 */
const MAX_LATE_WAIT_FACTOR = 2;
/** Lower bound of the stated retry delay: a round trip between regions and the time to connect. */
export const MIN_RETRY_AFTER_MS = 40;
const MAX_RETRY_AFTER_MS = 1_000;

export class AdmissionQueue<T extends AdmissionRequest> {
  private readonly running = new Set<T>();

  private readonly shares = new fairShare.FairShare();

  private readonly served = new servedShares.ServedShares();

  private readonly waiting = new waitingList.WaitingList<T>(this.shares, (request, nowMs) =>
    isLate(request, nowMs, 0),
  );

  /** Times at which late requests that wait for the rate are refused. */
  private readonly refuseAtMs = new WeakMap<T, number>();

  private slots = 0;

  private readonly limiter = new rateLimiter.RateLimiter();

  /** Sets the number of concurrent requests; lowering it does not stop running ones. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** Sets the number of requests that may start in a second; null lifts the limit. */
  setRate(perSecond: number | null, nowMs: number): void {
    this.limiter.setRate(perSecond, nowMs);
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Shares that the order of requests depends on at present. */
  get shareCount(): number {
    return this.shares.size;
  }

  isWaiting(request: T): boolean {
    return this.waiting.find(request) !== null;
  }

  offer(request: T, nowMs: number): Decision<T> {
    if (this.slots === 0) return refuse('notAccepting', MIN_RETRY_AFTER_MS);
    const { transferWaitMs } = request;
    const missingMs = nowMs + timeToAnswerMs(request) - request.deadlineAtMs;
    // Only the wait for the uplink is shorter a moment later.
    if (missingMs > 0) return refuse('noTimeLeft', Math.min(missingMs, transferWaitMs));
    if (transferWaitMs > request.maxWaitMs) return refuse(WAIT_TOO_LONG, transferWaitMs);
    const goesFirst = this.served.recordOffer(request, nowMs);
    if (
      this.running.size < this.slots &&
      this.waiting.length === 0 &&
      this.limiter.tryTake(nowMs)
    ) {
      this.start(this.waiting.createEntry(request, false, nowMs), nowMs);
      return { type: 'run' };
    }
    this.waiting.refresh(nowMs);
    const entry = this.waiting.createEntry(request, goesFirst, nowMs);
    const refusal = this.refusalOf(entry, nowMs);
    if (refusal !== null) return refusal;
    this.waiting.insert(entry, this.waiting.positionOf(entry));
    if (goesFirst) this.served.recordStart(request, nowMs);
    if (request.share === undefined) return { type: 'wait', displaced: [] };
    const update: QueueUpdate<T> = { started: [], refused: [] };
    this.refuseUnservable(update, nowMs);
    return { type: 'wait', displaced: update.refused };
  }

  /** @returns null if the request may wait */
  private refusalOf(entry: waitingList.Entry<T>, nowMs: number): Refused | null {
    const { request } = entry;
    const position = this.waiting.positionOf(entry);
    const before = this.waiting.ordered.slice(0, position);
    const waitMs = this.expectedWaitMs(position, request.estimateMs, nowMs);
    const lateBefore =
      request.share === undefined ? this.lateCount() : this.lateCountOf(before, nowMs);
    if (!this.canWait(request, waitMs, nowMs, lateBefore)) {
      return refuse(this.fullReason(entry, before, waitMs, nowMs), waitMs);
    }
    if (waitMs + request.transferWaitMs > request.maxWaitMs) return refuse(WAIT_TOO_LONG, waitMs);
    return null;
  }

  /** Removes a running request that has ended, or a waiting one that its caller has cancelled. */
  release(request: T, nowMs: number): QueueUpdate<T> {
    const entry = this.running.delete(request) ? null : this.waiting.find(request);
    if (entry !== null) this.drop(entry, nowMs);
    return this.advance(nowMs);
  }

  /** Removes and returns all waiting requests, for example when the upstream leaves. */
  clear(): T[] {
    this.shares.clear();
    this.served.clear();
    return this.waiting.clear().map(({ request }) => request);
  }

  /** Starts waiting requests on free slots and refuses those that can no longer be served. */
  advance(nowMs: number): QueueUpdate<T> {
    const update: QueueUpdate<T> = { started: [], refused: [] };
    this.waiting.refresh(nowMs);
    while (this.running.size < this.slots && this.waiting.first !== null) {
      const next = this.waiting.first;
      const { request } = next;
      if (nowMs + this.reserveMs + timeToAnswerMs(request) > request.deadlineAtMs) {
        const retryAfterMs = MIN_RETRY_AFTER_MS;
        update.refused.push({ request, reason: 'noTimeLeft', retryAfterMs });
        this.drop(next, nowMs);
      } else if (this.limiter.tryTake(nowMs)) {
        this.start(next, nowMs);
        update.started.push(request);
      } else {
        break;
      }
    }
    this.refuseUnservable(update, nowMs);
    if (this.running.size === 0 && this.waiting.length === 0) this.shares.clear();
    return update;
  }

  private start(entry: waitingList.Entry<T>, nowMs: number): void {
    this.running.add(entry.request);
    this.waiting.start(entry);
    // Requests that go first are counted while they wait.
    if (!entry.goesFirst) this.served.recordStart(entry.request, nowMs);
  }

  private drop(entry: waitingList.Entry<T>, nowMs: number): void {
    this.waiting.drop(entry);
    if (entry.goesFirst) this.served.withdrawStart(entry.request, nowMs);
  }

  private refuseUnservable(update: QueueUpdate<T>, nowMs: number): void {
    const kept: waitingList.Entry<T>[] = [];
    const dropped: waitingList.Entry<T>[] = [];
    let lateCount = 0;
    for (const entry of this.waiting.ordered) {
      const { request } = entry;
      const waitMs = this.expectedWaitMs(kept.length, request.estimateMs, nowMs);
      if (this.canWait(request, waitMs, nowMs, lateCount)) {
        if (isLate(request, nowMs, waitMs)) lateCount += 1;
        kept.push(entry);
      } else {
        const retryAfterMs = clampRetryAfter(waitMs);
        const reason = this.fullReason(entry, kept, waitMs, nowMs);
        update.refused.push({ request, reason, retryAfterMs });
        dropped.push(entry);
      }
    }
    for (const entry of dropped) this.drop(entry, nowMs);
  }

  private canWait(request: T, waitMs: number, nowMs: number, lateBefore: number): boolean {
    const reserveMs = 2 * this.reserveMs;
    if (nowMs + waitMs + reserveMs + timeToAnswerMs(request) > request.deadlineAtMs) return false;
    if (!isLate(request, nowMs, waitMs)) return true;
    if (lateBefore >= Math.ceil(this.slots * MAX_LATE_WAITING_SHARE)) return false;
    return !this.limiter.isLimited || nowMs <= this.lateWaitEndMs(request, waitMs, nowMs);
  }

  /** Part of the deadline that is kept for a refusal. */
  private get reserveMs(): number {
    return this.limiter.isLimited ? RATE_RESERVE_MS : 0;
  }

  /** End of a late request's wait for the rate; fixed when the request is first found to be late. */
  private lateWaitEndMs(request: T, waitMs: number, nowMs: number): number {
    const endMs = this.refuseAtMs.get(request) ?? nowMs + waitMs * MAX_LATE_WAIT_FACTOR;
    this.refuseAtMs.set(request, endMs);
    return endMs;
  }

  private lateCount(): number {
    return this.waiting.ordered.filter((entry) => entry.isLate).length;
  }

  /** Requests of the beginning of the order that are late, or will be when they start. */
  private lateCountOf(beginning: readonly waitingList.Entry<T>[], nowMs: number): number {
    return beginning.filter(({ request }, ahead) =>
      isLate(request, nowMs, this.expectedWaitMs(ahead, request.estimateMs, nowMs)),
    ).length;
  }

  /** Expected wait behind `ahead` waiting requests, for a slot and for the rate. */
  private expectedWaitMs(ahead: number, estimateMs: number, nowMs: number): number {
    return Math.max(this.slotWaitMs(ahead, estimateMs), this.limiter.waitMs(ahead, nowMs));
  }

  private fullReason(
    entry: waitingList.Entry<T>,
    before: readonly waitingList.Entry<T>[],
    waitMs: number,
    nowMs: number,
  ): RefusalReason {
    if (this.isDueToOwnShare(entry, before, nowMs)) return CUSTOMER_SHARE_REACHED;
    const isDueToSlots = waitMs <= this.slotWaitMs(before.length, entry.request.estimateMs);
    return isDueToSlots ? QUEUE_TOO_LONG : LIMIT_REACHED;
  }

  /** Whether the same request of a customer with none waiting or running could wait. */
  private isDueToOwnShare(
    entry: waitingList.Entry<T>,
    before: readonly waitingList.Entry<T>[],
    nowMs: number,
  ): boolean {
    const { request, classKey } = entry;
    if (request.share === undefined) return false;
    const ofNewcomer = { ...entry, tag: this.shares.newcomerTag(classKey) };
    const found = before.findIndex((other) => waitingList.compare(ofNewcomer, other) < 0);
    if (found < 0) return false;
    const waitMs = this.expectedWaitMs(found, request.estimateMs, nowMs);
    const lateBefore = this.lateCountOf(before.slice(0, found), nowMs);
    return this.canWait(request, waitMs, nowMs, lateBefore);
  }

  /** Expected wait for a slot, from the rate at which running requests end. */
  private slotWaitMs(ahead: number, estimateMs: number): number {
    let meanMs = estimateMs;
    if (this.running.size > 0) {
      let sum = 0;
      for (const { estimateMs: runningMs } of this.running) sum += runningMs;
      meanMs = sum / this.running.size;
    }
    return ((ahead + 1) * meanMs) / Math.max(1, this.slots);
  }
}

function isLate(request: AdmissionRequest, nowMs: number, waitMs: number): boolean {
  return nowMs + waitMs + timeToAnswerMs(request) > request.targetAtMs;
}

/** Expected time from the start of a request until its answer is sent. */
function timeToAnswerMs({ estimateMs, transferWaitMs }: AdmissionRequest): number {
  return estimateMs + transferWaitMs;
}

function clampRetryAfter(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)));
}

function refuse(reason: RefusalReason, waitMs: number): Refused {
  return { type: 'refuse', reason, retryAfterMs: clampRetryAfter(waitMs) };
}
