/**
 * Requests that wait for the upstream on this host or run on it: starts and refuses them as the admission
 * queue decides, and records those that were displaced.
 */

import type { metrics } from '@godwittrack/core';
import * as admissionQueue from '../limits/admissionQueue.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as exchange from '../routing/exchange.js';
import * as upstreamRefusals from './upstreamRefusals.js';

/** Interval of the checks for waiting requests that can no longer be served. */
const ADVANCE_INTERVAL_MS = 25;

export interface QueueEntry extends admissionQueue.AdmissionRequest {
  arrivedMs: number;
  req: exchange.ForwardedRequest;
  signal: AbortSignal;
  /** Expected size of the answer, as far as it waits for the uplink. */
  uplinkBytes: number;
  settle: (outcome: exchange.Outcome) => void;
  /** Called when it gets a slot. */
  start: (entry: QueueEntry) => void;
}

type Refusal = Pick<admissionQueue.RefusedRequest<QueueEntry>, 'reason' | 'retryAfterMs'>;

export interface RequestQueueOptions {
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
  /** Called before each regular check of the waiting requests. */
  beforeAdvance: (nowMs: number) => void;
}

export class RequestQueue {
  private readonly queue = new admissionQueue.AdmissionQueue<QueueEntry>();

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly options: RequestQueueOptions) {}

  get runningCount(): number {
    return this.queue.runningCount;
  }

  get waitingCount(): number {
    return this.queue.waitingCount;
  }

  /** Customers on whose recent requests the order of waiting ones depends. */
  get shareCount(): number {
    return this.queue.shareCount;
  }

  setSlots(slots: number): void {
    this.queue.setSlots(slots);
  }

  setRate(perSecond: number | null, nowMs: number): void {
    this.queue.setRate(perSecond, nowMs);
  }

  /** The caller starts or refuses the entry, or handles the displaced ones, as the decision says. */
  offer(entry: QueueEntry, nowMs: number): admissionQueue.Decision<QueueEntry> {
    return this.queue.offer(entry, nowMs);
  }

  isWaiting(entry: QueueEntry): boolean {
    return this.queue.isWaiting(entry);
  }

  /** Removes a request that has ended or no longer waits, and starts those that follow. */
  release(entry: QueueEntry, nowMs: number): void {
    this.applyUpdate(this.queue.release(entry, nowMs));
  }

  refuse(entry: QueueEntry, { reason, retryAfterMs }: Refusal): void {
    if (reason === admissionQueue.CUSTOMER_SHARE_REACHED) {
      const customer = entry.req.customer ?? 'none';
      this.options.meters.increment(meters.SHARE_REFUSALS, { customer });
    }
    entry.settle(exchange.refused(reason, retryAfterMs));
  }

  refuseWaiting(reason: string, retryAfterMs = upstreamRefusals.RETRY_AFTER_MS): void {
    for (const entry of this.queue.clear()) {
      entry.settle(exchange.refused(reason, retryAfterMs));
    }
  }

  /** Refuses waiting requests that gave way to another one. */
  displace(
    refusals: readonly admissionQueue.RefusedRequest<QueueEntry>[],
    { req: by }: QueueEntry,
  ): void {
    for (const refusal of refusals) {
      const { req, arrivedMs } = refusal.request;
      const { reason } = refusal;
      this.options.meters.increment(meters.DISPLACED_REQUESTS, { reason });
      const message = 'a waiting request gave way to another one';
      this.options.log.decision('upstream', req.requestId, message, {
        route: req.route,
        customer: req.customer,
        reason,
        waitedMs: Math.round(this.options.nowMs() - arrivedMs),
        by: { requestId: by.requestId, route: by.route, customer: by.customer },
      });
      this.refuse(refusal.request, refusal);
    }
  }

  /** Checks waiting requests regularly, to refuse in time those that can no longer be served. */
  scheduleAdvance(): void {
    if (this.timer !== null) return;
    this.timer = setTimeout(() => {
      this.timer = null;
      this.options.beforeAdvance(this.options.nowMs());
      this.applyUpdate(this.queue.advance(this.options.nowMs()));
      if (this.queue.waitingCount > 0) this.scheduleAdvance();
    }, ADVANCE_INTERVAL_MS);
  }

  private applyUpdate(update: admissionQueue.QueueUpdate<QueueEntry>): void {
    for (const refusal of update.refused) this.refuse(refusal.request, refusal);
    for (const entry of update.started) entry.start(entry);
  }
}
