/**
 * Admission control for the local upstream: limits concurrent requests to its slots and queues a
 * few more, fairly among the calling services. A request that cannot be served in time is refused
 * at once.
 */

import { failures } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';

export interface AdmissionLimits {
  slots: number;
  queueLength: number;
  queueTimeoutMs: number;
}

export interface AdmissionRequest {
  /** Higher values are served first and shed later. */
  priority: number;
  /** Empty for callers outside the mesh. */
  callingService: string;
  /** Time left until the request's deadline. */
  timeoutMs: number;
}

interface Waiter extends AdmissionRequest {
  admit: () => void;
  refuse: (err: failures.FailureError) => void;
}

/** Queued requests of one priority: one queue for each calling service, served round-robin. */
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

  /** Takes the next waiter in round-robin order; its service moves to the end of the order. */
  shift(): Waiter | undefined {
    const first = this.byService.entries().next();
    if (first.done) return undefined;
    const [service, queue] = first.value;
    const waiter = queue.shift();
    this.byService.delete(service);
    if (queue.length > 0) this.byService.set(service, queue);
    return waiter;
  }

  /** Newest waiter of the service with the longest queue. */
  newestInLongestQueue(): Waiter | undefined {
    return this.longestQueue()?.at(-1);
  }

  lengthOf(service: string): number {
    return this.byService.get(service)?.length ?? 0;
  }

  get longestQueueLength(): number {
    return this.longestQueue()?.length ?? 0;
  }

  remove(waiter: Waiter): boolean {
    const queue = this.byService.get(waiter.callingService);
    const index = queue?.indexOf(waiter) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.splice(index, 1);
    if (queue.length === 0) this.byService.delete(waiter.callingService);
    return true;
  }

  private longestQueue(): Waiter[] | undefined {
    let longest: Waiter[] | undefined;
    for (const queue of this.byService.values()) {
      if (queue.length > (longest?.length ?? 0)) longest = queue;
    }
    return longest;
  }
}

const noop = () => {};

const MIN_RETRY_AFTER_MS = 50;
/**
 * Weight of the newest sample in the mean, so that a slow or cold upstream shows in tens of calls.
 */
const HOLD_TIME_WEIGHT = 0.1;
/** The concurrency limit is multiplied by this after the upstream shed a request. */
const DECREASE_FACTOR = 0.8;
/**
 * At most one decrease in this time: requests that were sent before a decrease may still be shed,
 * and must not lower the limit again.
 */
const MIN_DECREASE_INTERVAL_MS = 100;

export class Admission {
  private running = 0;

  private waiting = 0;

  /** Queues with their priority, the highest first. */
  private queues: [number, FairQueue][] = [];

  private limits: AdmissionLimits = { slots: 0, queueLength: 0, queueTimeoutMs: 0 };

  /**
   * Adaptive concurrency limit: at most the slots of the upstream, lower after the upstream itself
   * shed requests. Additive increase, multiplicative decrease.
   */
  private adaptiveLimit = 0;

  /** Mean time for which a request holds its slot. */
  private meanHoldMs = 0;

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

  /** Number of requests that may run concurrently at present. */
  get limit(): number {
    return Math.floor(this.adaptiveLimit);
  }

  setLimits(limits: AdmissionLimits): void {
    if (limits.slots !== this.limits.slots) this.adaptiveLimit = limits.slots;
    this.limits = limits;
    this.admitWaiting();
  }

  /** Discards what was learned about the previous upstream when another one takes its place. */
  reset(): void {
    this.meanHoldMs = 0;
    this.adaptiveLimit = this.limits.slots;
  }

  /** Lowers the limit because the upstream shed a request that had been given a slot here. */
  recordShed(): void {
    const nowMs = this.time.monotonicMs();
    if (nowMs - this.decreasedAtMs < MIN_DECREASE_INTERVAL_MS) return;
    this.decreasedAtMs = nowMs;
    this.adaptiveLimit = Math.max(1, this.adaptiveLimit * DECREASE_FACTOR);
  }

  /**
   * Waits for a slot. The returned function releases it and is called when the request has ended.
   * @throws queueFull, cancelled: the request was not sent to the upstream
   */
  async acquire(request: AdmissionRequest, signal: AbortSignal): Promise<() => void> {
    if (signal.aborted) throw cancelled();
    if (this.running < this.limit && this.waiting === 0) {
      this.running += 1;
      return this.createRelease();
    }
    const waitMs = Math.min(request.timeoutMs, this.limits.queueTimeoutMs);
    if (this.limits.slots === 0 || this.expectedWaitMs(request.priority) >= waitMs) {
      throw this.queueFull();
    }
    if (this.waiting >= this.limits.queueLength) this.evictFor(request);
    await this.queue(request, waitMs, signal);
    return this.createRelease();
  }

  /** Refuses all queued requests, for example when the upstream is withdrawn. */
  refuseAll(failure: failures.Failure): void {
    const { queues } = this;
    this.queues = [];
    this.waiting = 0;
    for (const [, queue] of queues) {
      for (let waiter = queue.shift(); waiter !== undefined; waiter = queue.shift()) {
        waiter.refuse(failures.toError(failure));
      }
    }
  }

  /** Expected wait of a new request for a slot, from the observed time that requests hold slots. */
  private expectedWaitMs(priority: number): number {
    let ahead = 1;
    for (const [queuePriority, queue] of this.queues) {
      if (queuePriority >= priority && !queue.isEmpty) ahead = this.waiting + 1;
    }
    return (ahead * this.meanHoldMs) / Math.max(1, this.limit);
  }

  private createRelease(): () => void {
    const startMs = this.time.monotonicMs();
    let released = false;
    return () => {
      if (released) return;
      released = true;
      this.running -= 1;
      const heldMs = this.time.monotonicMs() - startMs;
      this.meanHoldMs +=
        (heldMs - this.meanHoldMs) * (this.meanHoldMs === 0 ? 1 : HOLD_TIME_WEIGHT);
      // Additive increase: about one more slot for each round of requests.
      this.adaptiveLimit = Math.min(
        this.limits.slots,
        this.adaptiveLimit + 1 / Math.max(1, this.adaptiveLimit),
      );
      this.admitWaiting();
    };
  }

  private queueFull(): failures.FailureError {
    const service = this.service();
    const waitMs = ((this.waiting + 1) * this.meanHoldMs) / Math.max(1, this.limit);
    const retryAfterMs = Math.ceil(Math.max(MIN_RETRY_AFTER_MS, waitMs));
    return failures.toError({ type: 'queueFull', service, retryAfterMs });
  }

  /**
   * Evicts one queued request for a new one, or throws `queueFull`. The victim is the newest
   * request of the lowest priority, from the service with the longest queue. It gives way to a
   * request of higher priority, or of the same priority from a service that has at least two fewer
   * in the queue.
   */
  private evictFor(request: AdmissionRequest): void {
    const lowest = this.queues.at(-1);
    const victim = lowest?.[1].newestInLongestQueue();
    if (lowest === undefined || victim === undefined) throw this.queueFull();
    const [priority, queue] = lowest;
    const hasFewerQueued = queue.lengthOf(request.callingService) + 1 < queue.longestQueueLength;
    const mayEvict =
      priority < request.priority || (priority === request.priority && hasFewerQueued);
    if (!mayEvict) throw this.queueFull();
    this.remove(victim);
    victim.refuse(this.queueFull());
  }

  private async queue(
    request: AdmissionRequest,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const waiter: Waiter = { ...request, admit: noop, refuse: noop };
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
  return failures.toError({ type: 'cancelled', detail: 'cancelled before a slot was free' });
}
