/**
 * Decides which requests run at the upstream beside a node, which wait and which are refused.
 * Requests that can still be answered within their target latency go first, by urgency and then by
 * the time left; late ones use what room remains. What cannot be served is refused at once.
 */

export interface Entrant {
  /** 0 is the most urgent. */
  priority: number;
  /** Monotonic time at which the answer stops being worth its full value. */
  targetAtMs: number;
  /** Monotonic time at which its caller gives up. */
  deadlineAtMs: number;
  /** Expected time at the upstream. */
  estimateMs: number;
  /** A longer wait is refused when it comes in, since its sender knows a better place. */
  maxWaitMs: number;
}

/** Reason of a refusal where the sender may find a shorter wait elsewhere. */
export const WAIT_TOO_LONG = 'waitTooLong';
/** Reason of a refusal where a similar request, a moment later, would be refused as well. */
export const QUEUE_TOO_LONG = 'queueTooLong';

export type RefusalReason =
  'noTimeLeft' | typeof QUEUE_TOO_LONG | typeof WAIT_TOO_LONG | 'notAccepting';

export type Decision =
  | { type: 'run' }
  | { type: 'wait' }
  | { type: 'refuse'; reason: RefusalReason; retryAfterMs: number };

export interface Refused<T> {
  entrant: T;
  reason: RefusalReason;
  retryAfterMs: number;
}

export interface Turn<T> {
  started: T[];
  refused: Refused<T>[];
}

/** Share of the slots that may be spoken for by waiting requests that will miss their target. */
const LATE_WAITING_SHARE = 0.25;
/** Shortest wait that is named: a round trip between regions and the time to connect. */
export const MIN_RETRY_AFTER_MS = 40;
const MAX_RETRY_AFTER_MS = 1_000;

export class AdmissionQueue<T extends Entrant> {
  private readonly running = new Set<T>();

  private waiting: T[] = [];

  private slots = 0;

  /** Requests run at once; lowering it lets running ones finish. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  isWaiting(entrant: T): boolean {
    return this.waiting.includes(entrant);
  }

  offer(entrant: T, nowMs: number): Decision {
    if (this.slots === 0) return refuse('notAccepting', MIN_RETRY_AFTER_MS);
    if (nowMs + entrant.estimateMs > entrant.deadlineAtMs) {
      return refuse('noTimeLeft', MIN_RETRY_AFTER_MS);
    }
    if (this.running.size < this.slots && this.waiting.length === 0) {
      this.running.add(entrant);
      return { type: 'run' };
    }
    const place = this.placeOf(entrant, nowMs);
    const waitMs = this.waitAt(place, entrant.estimateMs);
    if (!this.canWait(entrant, waitMs, nowMs, this.lateCount(nowMs))) {
      return refuse(QUEUE_TOO_LONG, waitMs);
    }
    if (waitMs > entrant.maxWaitMs) return refuse(WAIT_TOO_LONG, waitMs);
    this.waiting.splice(place, 0, entrant);
    return { type: 'wait' };
  }

  /** A running request has ended, or a waiting one was given up by its caller. */
  release(entrant: T, nowMs: number): Turn<T> {
    this.running.delete(entrant);
    const at = this.waiting.indexOf(entrant);
    if (at >= 0) this.waiting.splice(at, 1);
    return this.advance(nowMs);
  }

  /** Refuses all that wait, for example when the upstream leaves. */
  clear(): T[] {
    const cleared = this.waiting;
    this.waiting = [];
    return cleared;
  }

  /** Starts what fits and refuses what can no longer be served. */
  advance(nowMs: number): Turn<T> {
    const turn: Turn<T> = { started: [], refused: [] };
    this.waiting.sort((a, b) => this.compare(a, b, nowMs));
    while (this.running.size < this.slots && this.waiting.length > 0) {
      const next = this.waiting.shift()!;
      if (nowMs + next.estimateMs > next.deadlineAtMs) {
        turn.refused.push({
          entrant: next,
          reason: 'noTimeLeft',
          retryAfterMs: MIN_RETRY_AFTER_MS,
        });
      } else {
        this.running.add(next);
        turn.started.push(next);
      }
    }
    this.dropHopeless(turn, nowMs);
    return turn;
  }

  private dropHopeless(turn: Turn<T>, nowMs: number): void {
    const kept: T[] = [];
    let late = 0;
    for (const entrant of this.waiting) {
      const waitMs = this.waitAt(kept.length, entrant.estimateMs);
      if (this.canWait(entrant, waitMs, nowMs, late)) {
        if (isLate(entrant, nowMs, waitMs)) late += 1;
        kept.push(entrant);
      } else {
        const retryAfterMs = clampRetryAfter(waitMs);
        turn.refused.push({ entrant, reason: QUEUE_TOO_LONG, retryAfterMs });
      }
    }
    this.waiting = kept;
  }

  private canWait(entrant: T, waitMs: number, nowMs: number, lateBefore: number): boolean {
    if (nowMs + waitMs + entrant.estimateMs > entrant.deadlineAtMs) return false;
    if (!isLate(entrant, nowMs, waitMs)) return true;
    return lateBefore < Math.ceil(this.slots * LATE_WAITING_SHARE);
  }

  private lateCount(nowMs: number): number {
    return this.waiting.filter((entrant) => isLate(entrant, nowMs, 0)).length;
  }

  /** Expected wait behind `ahead` others, from the rate at which running requests end. */
  private waitAt(ahead: number, estimateMs: number): number {
    let meanMs = estimateMs;
    if (this.running.size > 0) {
      let sum = 0;
      for (const { estimateMs: one } of this.running) sum += one;
      meanMs = sum / this.running.size;
    }
    return ((ahead + 1) * meanMs) / Math.max(1, this.slots);
  }

  private placeOf(entrant: T, nowMs: number): number {
    const place = this.waiting.findIndex((other) => this.compare(entrant, other, nowMs) < 0);
    return place < 0 ? this.waiting.length : place;
  }

  private compare(a: T, b: T, nowMs: number): number {
    const lateA = isLate(a, nowMs, 0);
    const lateB = isLate(b, nowMs, 0);
    if (lateA !== lateB) return lateA ? 1 : -1;
    return a.priority - b.priority || a.targetAtMs - b.targetAtMs;
  }
}

function isLate(entrant: Entrant, nowMs: number, waitMs: number): boolean {
  return nowMs + waitMs + entrant.estimateMs > entrant.targetAtMs;
}

function clampRetryAfter(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)));
}

function refuse(reason: RefusalReason, waitMs: number): Decision {
  return { type: 'refuse', reason, retryAfterMs: clampRetryAfter(waitMs) };
}
