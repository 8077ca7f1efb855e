/** How the tolerance of quotas in a sliding window is divided among what exceeds them. */

import { type ids, rendezvous } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';

/** By how much the requests of a customer in a sliding window may exceed its quota. */
export interface QuotaTolerance {
  windowMs: number;
  /** Share of the quota of a window. */
  overage: number;
  /** Requests, in addition to `overage`. */
  slack: number;
}

/** Permits that are older add to the requests of a window what the quota gives in this time. */
const PERMIT_OVERAGE_SHARE = 0.8;
/** A permit must outlive the round trip to its owner. */
const MIN_PERMIT_MS = 100;
const MAX_PERMIT_MS = 400;
/** Part of the slack that is added to the burst, so that one of 0 or 1 can be used. */
const EXTRA_BURST_SHARE = 0.1;
/** Part of the slack, and of the overage of the burst, that the floors of all nodes use together. */
const FLOOR_SHARE = 0.4;

export interface PermitRules {
  /** Time from an ask until its permits expire. */
  permitMs: number;
  /** Added to the burst of each customer. */
  extraBurst: number;
}

export function permitRules({ windowMs, overage, slack }: QuotaTolerance): PermitRules {
  const permitMs = windowMs * overage * PERMIT_OVERAGE_SHARE;
  return {
    permitMs: Math.min(MAX_PERMIT_MS, Math.max(MIN_PERMIT_MS, permitMs)),
    extraBurst: slack * EXTRA_BURST_SHARE,
  };
}

/** Requests of a customer that the nodes without an owner may admit together in a window. */
export function floorOfFleet(
  { overage, slack }: QuotaTolerance,
  quota: configuration.Quota,
): number {
  return Math.floor(FLOOR_SHARE * (slack + overage * quota.burst));
}

/** Part of `total` that a node gets; the remainder goes to the nodes that rank first for the customer. */
export function partOf(
  total: number,
  node: ids.NodeId,
  { customer, members }: { customer: ids.CustomerName; members: readonly ids.NodeId[] },
): number {
  const remainder = total % members.length;
  const own = rendezvous.weightOf(customer, node);
  const ahead = members.filter((each) => {
    const weight = rendezvous.weightOf(customer, each);
    return weight > own || (weight === own && each < node);
  });
  return Math.floor(total / members.length) + (ahead.length < remainder ? 1 : 0);
}
