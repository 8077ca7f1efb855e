/**
 * Admission control for the upstream on a node's host: decides which requests run, wait or are
 * refused, within its slots and the rate that it has stated. Requests that can still be answered
 * within their target latency go first, ordered by priority and then by target time; late ones get
 * the remaining capacity. Requests that cannot be served are refused at once.
 */

import * as rateLimiter from './rateLimiter.js';

export interface AdmissionRequest {
  /** Priority of the customer; 0 is the most urgent. */
  customerPriority: number;
  /** Priority of the route among those of customers with the same priority; 0 is the most urgent. */
  priority: number;
  /** Monotonic time by which the request should be answered; it is late afterwards. */
  targetAtMs: number;
  /** Monotonic time of the caller's deadline. */
  deadlineAtMs: number;
  /** Expected service time. */
  estimateMs: number;
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

/** The upstream has stopped responding. */
export const UPSTREAM_STALLED = 'upstreamStalled';

export type RefusalReason =
  | 'noTimeLeft'
  | typeof QUEUE_TOO_LONG
  | typeof LIMIT_REACHED
  | typeof WAIT_TOO_LONG
  | 'notAccepting';

/** Reasons of refusals that show that the upstream had no capacity for the request. */
export const FULL_REASONS: ReadonlySet<string> = new Set([
  QUEUE_TOO_LONG,
  LIMIT_REACHED,
  UPSTREAM_STALLED,
]);

export interface Refused {
  type: 'refuse';
  reason: RefusalReason;
  retryAfterMs: number;
}

export type Decision = { type: 'run' } | { type: 'wait' } | Refused;

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

  private waiting: T[] = [];

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

  isWaiting(request: T): boolean {
    return this.waiting.includes(request);
  }

  offer(request: T, nowMs: number): Decision {
    if (this.slots === 0) return refuse('notAccepting', MIN_RETRY_AFTER_MS);
    const { transferWaitMs } = request;
    const missingMs = nowMs + timeToAnswerMs(request) - request.deadlineAtMs;
    // Only the wait for the uplink is shorter a moment later.
    if (missingMs > 0) return refuse('noTimeLeft', Math.min(missingMs, transferWaitMs));
    if (transferWaitMs > request.maxWaitMs) return refuse(WAIT_TOO_LONG, transferWaitMs);
    if (
      this.running.size < this.slots &&
      this.waiting.length === 0 &&
      this.limiter.tryTake(nowMs)
    ) {
      this.running.add(request);
      return { type: 'run' };
    }
    const position = this.positionOf(request, nowMs);
    const waitMs = this.expectedWaitMs(position, request.estimateMs, nowMs);
    if (!this.canWait(request, waitMs, nowMs, this.lateCount(nowMs))) {
      return refuse(this.fullReason(request, position, waitMs), waitMs);
    }
    if (waitMs + transferWaitMs > request.maxWaitMs) return refuse(WAIT_TOO_LONG, waitMs);
    this.waiting.splice(position, 0, request);
    return { type: 'wait' };
  }

  /** Removes a running request that has ended, or a waiting one that its caller has cancelled. */
  release(request: T, nowMs: number): QueueUpdate<T> {
    this.running.delete(request);
    const index = this.waiting.indexOf(request);
    if (index >= 0) this.waiting.splice(index, 1);
    return this.advance(nowMs);
  }

  /** Removes and returns all waiting requests, for example when the upstream leaves. */
  clear(): T[] {
    const cleared = this.waiting;
    this.waiting = [];
    return cleared;
  }

  /** Starts waiting requests on free slots and refuses those that can no longer be served. */
  advance(nowMs: number): QueueUpdate<T> {
    const update: QueueUpdate<T> = { started: [], refused: [] };
    this.waiting.sort((a, b) => this.compare(a, b, nowMs));
    while (this.running.size < this.slots && this.waiting.length > 0) {
      const next = this.waiting[0]!;
      if (nowMs + this.reserveMs + timeToAnswerMs(next) > next.deadlineAtMs) {
        update.refused.push({
          request: next,
          reason: 'noTimeLeft',
          retryAfterMs: MIN_RETRY_AFTER_MS,
        });
      } else if (this.limiter.tryTake(nowMs)) {
        this.running.add(next);
        update.started.push(next);
      } else {
        break;
      }
      this.waiting.shift();
    }
    this.refuseUnservable(update, nowMs);
    return update;
  }

  private refuseUnservable(update: QueueUpdate<T>, nowMs: number): void {
    const kept: T[] = [];
    let lateCount = 0;
    for (const request of this.waiting) {
      const waitMs = this.expectedWaitMs(kept.length, request.estimateMs, nowMs);
      if (this.canWait(request, waitMs, nowMs, lateCount)) {
        if (isLate(request, nowMs, waitMs)) lateCount += 1;
        kept.push(request);
      } else {
        const retryAfterMs = clampRetryAfter(waitMs);
        const reason = this.fullReason(request, kept.length, waitMs);
        update.refused.push({ request, reason, retryAfterMs });
      }
    }
    this.waiting = kept;
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

  private lateCount(nowMs: number): number {
    return this.waiting.filter((request) => isLate(request, nowMs, 0)).length;
  }

  /** Expected wait behind `ahead` waiting requests, for a slot and for the rate. */
  private expectedWaitMs(ahead: number, estimateMs: number, nowMs: number): number {
    return Math.max(this.slotWaitMs(ahead, estimateMs), this.limiter.waitMs(ahead, nowMs));
  }

  /** Whether a wait is longer than that for a slot, and thus due to the rate. */
  private fullReason(request: T, ahead: number, waitMs: number): RefusalReason {
    return waitMs > this.slotWaitMs(ahead, request.estimateMs) ? LIMIT_REACHED : QUEUE_TOO_LONG;
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

  private positionOf(request: T, nowMs: number): number {
    const position = this.waiting.findIndex((other) => this.compare(request, other, nowMs) < 0);
    return position < 0 ? this.waiting.length : position;
  }

  private compare(a: T, b: T, nowMs: number): number {
    const lateA = isLate(a, nowMs, 0);
    const lateB = isLate(b, nowMs, 0);
    if (lateA !== lateB) return lateA ? 1 : -1;
    return (
      a.customerPriority - b.customerPriority ||
      a.priority - b.priority ||
      a.targetAtMs - b.targetAtMs
    );
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

function refuse(reason: RefusalReason, waitMs: number): Decision {
  return { type: 'refuse', reason, retryAfterMs: clampRetryAfter(waitMs) };
}
