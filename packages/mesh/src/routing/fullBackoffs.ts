/**
 * Back-offs of one node after it refused requests for lack of capacity. They apply to the requests of a
 * route and a customer's priority, or, where the refusal was due to the customer's own share, to those of
 * the route and the customer only.
 */

import type { ids } from '@godwittrack/core';

/** Back-offs are short, so most of many are expired. */
const PRUNE_SIZE = 32;

export interface BackoffRequest {
  route: ids.RouteName;
  /** Null for requests without a customer, which share their back-offs by route. */
  customer: ids.CustomerName | null;
  customerPriority: number;
  /** Time that the request has until its target latency. */
  targetLeftMs: number;
}

export interface BackoffTimes {
  untilMs: number;
  /** End of the wait that the node has stated. */
  statedUntilMs: number;
}

interface FullBackoff extends BackoffTimes {
  /** Time that the request had until its target latency; one with more may be accepted. */
  targetLeftMs: number;
}

export class FullBackoffs {
  private readonly byPriority = new Map<string, FullBackoff>();

  /** Null before the first refusal for a customer's own share. */
  private byCustomer: Map<string, FullBackoff> | null = null;

  /** @returns time until the node may be asked again; 0 if it may be asked now */
  remainingMs(req: BackoffRequest, nowMs: number): number {
    const ofPriority = remainingOf(this.byPriority.get(priorityKey(req)), req, nowMs);
    if (this.byCustomer === null) return ofPriority;
    const ofCustomer = remainingOf(this.byCustomer.get(customerKey(req)), req, nowMs);
    return Math.max(ofPriority, ofCustomer);
  }

  /** @returns what is left of the longest wait that the node has stated; 0 if it has stated none */
  statedWaitMs(req: BackoffRequest, nowMs: number): number {
    const ofPriority = this.byPriority.get(priorityKey(req))?.statedUntilMs ?? 0;
    const ofCustomer = this.byCustomer?.get(customerKey(req))?.statedUntilMs ?? 0;
    return Math.max(0, Math.max(ofPriority, ofCustomer) - nowMs);
  }

  /** @param isOwnShare whether the requests of other customers would have been accepted */
  record(req: BackoffRequest, isOwnShare: boolean, times: BackoffTimes, nowMs: number): void {
    const backoff = { ...times, targetLeftMs: req.targetLeftMs };
    if (!isOwnShare) {
      this.byPriority.set(priorityKey(req), backoff);
      return;
    }
    this.byCustomer ??= new Map();
    if (this.byCustomer.size >= PRUNE_SIZE) {
      for (const [key, other] of this.byCustomer) {
        if (other.untilMs <= nowMs) this.byCustomer.delete(key);
      }
    }
    this.byCustomer.set(customerKey(req), backoff);
  }
}

function remainingOf(
  backoff: FullBackoff | undefined,
  { targetLeftMs }: BackoffRequest,
  nowMs: number,
): number {
  if (backoff === undefined || targetLeftMs > backoff.targetLeftMs) return 0;
  return Math.max(0, backoff.untilMs - nowMs);
}

/** The route alone where all customers have the highest priority, or there are none. */
function priorityKey({ route, customerPriority }: BackoffRequest): string {
  return customerPriority === 0 ? route : `${route} ${customerPriority}`;
}

function customerKey({ route, customer }: BackoffRequest): string {
  return customer === null ? route : `${route} ${customer}`;
}
