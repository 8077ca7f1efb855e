/**
 * Admission to the local upstream: its slots, then a short queue that is fair among calling
 * services. A request that cannot be served in time is refused at once.
 */

import { failures } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';

export interface AdmissionLimits {
  slots: number;
  queueLength: number;
  queueTimeoutMs: number;
}

export interface Entrant {
  /** Higher values are served first and shed later. */
  priority: number;
  /** Empty for callers outside the mesh. */
  callingService: string;
  /** Time left for the request. */
  timeoutMs: number;
}

interface Waiter extends Entrant {
  admit: () => void;
  refuse: (err: failures.FailureError) => void;
}

/** Waiters of one priority: one queue for each calling service, served in turn. */
class FairQueue {
  private readonly byService = new Map<string, Waiter[]>();

  get isEmpty(): boolean {
    return this.byService.size === 0;
  }

  push(waiter: Waiter): void {
    const queue = this.byService.get(waiter.callingService);
    if (queue === undefined) this.byService.set(waiter.callingService, [waiter]);
    else queue.push(waiter);
  }

  /** Next waiter of the service whose turn it is; that service then goes to the end. */
  shift(): Waiter | undefined {
    const first = this.byService.entries().next();
    if (first.done) return undefined;
    const [service, queue] = first.value;
    const waiter = queue.shift();
    this.byService.delete(service);
    if (queue.length > 0) this.byService.set(service, queue);
    return waiter;
  }

  /** Newest waiter of the service that has most of them. */
  newestOfLongest(): Waiter | undefined {
    return this.longest()?.at(-1);
  }

  lengthOf(service: string): number {
    return this.byService.get(service)?.length ?? 0;
  }

  get longestLength(): number {
    return this.longest()?.length ?? 0;
  }

  remove(waiter: Waiter): boolean {
    const queue = this.byService.get(waiter.callingService);
    const index = queue?.indexOf(waiter) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.splice(index, 1);
    if (queue.length === 0) this.byService.delete(waiter.callingService);
    return true;
  }

  private longest(): Waiter[] | undefined {
    let found: Waiter[] | undefined;
    for (const queue of this.byService.values()) {
      if (queue.length > (found?.length ?? 0)) found = queue;
    }
    return found;
  }
}

const noop = () => {};

const MIN_RETRY_AFTER_MS = 50;
/** Weight of the newest time in the slot, so that a slow or cold upstream is noticed in tens of calls. */
const HOLD_WEIGHT = 0.1;
/** Share of the limit that is left after the upstream shed a request. */
const DECREASE = 0.8;
/** One decrease per round of requests: what was sent before the decrease may still be shed. */
const DECREASE_PAUSE_MS = 100;

export class Admission {
  private running = 0;

  private waiting = 0;

  /** By priority, the highest first. */
  private queues: [number, FairQueue][] = [];

  private limits: AdmissionLimits = { slots: 0, queueLength: 0, queueTimeoutMs: 0 };

  /** Slots in use at once, at most those of the upstream; less after it shed requests itself. */
  private allowed = 0;

  private holdMs = 0;

  private decreasedAtMs = -Infinity;

  constructor(
    private readonly service: () => string,
    private readonly time: clock.Clock,
  ) {}

  get inFlight(): number {
    return this.running;
  }

  get queued(): number {
    return this.waiting;
  }

  /** Requests that may run at once at present. */
  get limit(): number {
    return Math.floor(this.allowed);
  }

  setLimits(limits: AdmissionLimits): void {
    if (limits.slots !== this.limits.slots) this.allowed = limits.slots;
    this.limits = limits;
    this.admitWaiting();
  }

  /** The upstream is new: what was learned about another one does not apply. */
  reset(): void {
    this.holdMs = 0;
    this.allowed = this.limits.slots;
  }

  /** Notes that the upstream shed a request although it had a slot by this count. */
  noteShed(): void {
    const nowMs = this.time.monotonicMs();
    if (nowMs - this.decreasedAtMs < DECREASE_PAUSE_MS) return;
    this.decreasedAtMs = nowMs;
    this.allowed = Math.max(1, this.allowed * DECREASE);
  }

  /**
   * Takes a slot; call the returned function once when the request has ended.
   * @throws queueFull, cancelled; the request was not given to the upstream
   */
  async enter(entrant: Entrant, signal: AbortSignal): Promise<() => void> {
    if (signal.aborted) throw cancelled();
    if (this.running < this.limit && this.waiting === 0) {
      this.running += 1;
      return this.release();
    }
    const waitMs = Math.min(entrant.timeoutMs, this.limits.queueTimeoutMs);
    if (this.limits.slots === 0 || this.expectedWaitMs(entrant.priority) >= waitMs) {
      throw this.queueFull();
    }
    if (this.waiting >= this.limits.queueLength) this.makeRoom(entrant);
    await this.queue(entrant, waitMs, signal);
    return this.release();
  }

  /** Refuses everyone who waits, for example when the upstream leaves. */
  refuseAll(failure: failures.Failure): void {
    const { queues } = this;
    this.queues = [];
    this.waiting = 0;
    for (const [, queue] of queues) {
      for (let waiter = queue.shift(); waiter !== undefined; waiter = queue.shift()) {
        waiter.refuse(failures.raise(failure));
      }
    }
  }

  /** Wait before a slot is free for a new request, by the rate of service observed. */
  private expectedWaitMs(priority: number): number {
    let ahead = 1;
    for (const [of, queue] of this.queues) {
      if (of >= priority && !queue.isEmpty) ahead = this.waiting + 1;
    }
    return (ahead * this.holdMs) / Math.max(1, this.limit);
  }

  private release(): () => void {
    const startMs = this.time.monotonicMs();
    let released = false;
    return () => {
      if (released) return;
      released = true;
      this.running -= 1;
      const heldMs = this.time.monotonicMs() - startMs;
      this.holdMs += (heldMs - this.holdMs) * (this.holdMs === 0 ? 1 : HOLD_WEIGHT);
      // Additive increase: about one more slot for each round of requests.
      this.allowed = Math.min(this.limits.slots, this.allowed + 1 / Math.max(1, this.allowed));
      this.admitWaiting();
    };
  }

  private queueFull(): failures.FailureError {
    const service = this.service();
    const waitMs = ((this.waiting + 1) * this.holdMs) / Math.max(1, this.limit);
    const retryAfterMs = Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs));
    return failures.raise({ type: 'queueFull', service, retryAfterMs });
  }

  /**
   * Sheds the newest request of the lowest priority for a more important one, or, at the same
   * priority, that of the calling service with most waiters for one that has at least two fewer.
   */
  private makeRoom(entrant: Entrant): void {
    const lowest = this.queues.at(-1);
    const victim = lowest?.[1].newestOfLongest();
    if (lowest === undefined || victim === undefined) throw this.queueFull();
    const [priority, queue] = lowest;
    const fairer = queue.lengthOf(entrant.callingService) + 1 < queue.longestLength;
    const yields = priority < entrant.priority || (priority === entrant.priority && fairer);
    if (!yields) throw this.queueFull();
    this.remove(victim);
    victim.refuse(this.queueFull());
  }

  private async queue(entrant: Entrant, waitMs: number, signal: AbortSignal): Promise<void> {
    const waiter: Waiter = { ...entrant, admit: noop, refuse: noop };
    const timer = setTimeout(() => waiter.refuse(this.queueFull()), waitMs);
    const cancel = () => waiter.refuse(cancelled());
    signal.addEventListener('abort', cancel);
    const admitted = new Promise<void>((resolve, reject) => {
      waiter.admit = resolve;
      waiter.refuse = reject;
    });
    this.add(waiter);
    try {
      await admitted;
    } catch (err) {
      this.remove(waiter);
      throw err;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', cancel);
    }
  }

  private add(waiter: Waiter): void {
    let queue = this.queues.find(([priority]) => priority === waiter.priority)?.[1];
    if (queue === undefined) {
      queue = new FairQueue();
      this.queues.push([waiter.priority, queue]);
      this.queues.sort(([a], [b]) => b - a);
    }
    queue.push(waiter);
    this.waiting += 1;
  }

  private remove(waiter: Waiter): void {
    const entry = this.queues.find(([priority]) => priority === waiter.priority);
    if (entry === undefined || !entry[1].remove(waiter)) return;
    this.waiting -= 1;
    this.dropEmpty();
  }

  private admitWaiting(): void {
    while (this.running < this.limit) {
      const next = this.queues[0]?.[1].shift();
      if (next === undefined) return;
      this.waiting -= 1;
      this.dropEmpty();
      this.running += 1;
      next.admit();
    }
  }

  private dropEmpty(): void {
    this.queues = this.queues.filter(([, queue]) => !queue.isEmpty);
  }
}

function cancelled(): failures.FailureError {
  return failures.raise({ type: 'cancelled', detail: 'cancelled before a slot was free' });
}
