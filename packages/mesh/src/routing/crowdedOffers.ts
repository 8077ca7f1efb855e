/** Counts offers to upstreams without a free slot, by whether the sender knew of another one with room. */

import type { metrics } from '@godwittrack/core';
import * as admissionQueue from '../limits/admissionQueue.js';
import * as meters from '../observability/meters.js';
import type * as balancer from './balancer.js';
import type * as exchange from './exchange.js';

/** Shorter delays are due to the network and to the nodes' own work. */
const MIN_WAIT_MS = 8;

export class CrowdedOffers {
  constructor(private readonly registry: metrics.Metrics) {}

  /** @param elapsedMs time from the offer to its outcome */
  record(choice: balancer.Choice, outcome: exchange.Outcome, elapsedMs: number): void {
    const result = resultOf(choice, outcome, elapsedMs);
    if (result === null) return;
    const other = choice.otherHasRoom ? 'room' : 'none';
    this.registry.increment(meters.CROWDED_OFFERS, { result, other });
  }
}

/** Null if the request did not wait, or if it can't be told whether it waited. */
function resultOf(
  { candidate, roundTripMs }: balancer.Choice,
  outcome: exchange.Outcome,
  elapsedMs: number,
): 'full' | 'waited' | null {
  if (outcome.type === 'refused') {
    const { reason } = outcome;
    const isFull =
      reason === admissionQueue.WAIT_TOO_LONG || admissionQueue.FULL_REASONS.has(reason);
    return isFull ? 'full' : null;
  }
  if (outcome.type === 'lost') return null;
  const waitMs = elapsedMs - outcome.serviceMs - roundTripMs - candidate.transferWaitMs;
  return waitMs > MIN_WAIT_MS ? 'waited' : null;
}
