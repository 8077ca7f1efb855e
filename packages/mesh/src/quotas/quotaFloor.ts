/**
 * Requests that a node admits while it has no owner to ask: a fixed number in any window, without knowledge of
 * the other nodes' requests. The numbers of all nodes of the fleet add up to a part of the tolerance.
 */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import * as quotaTolerance from './quotaTolerance.js';

export interface QuotaFloorOptions {
  self: ids.NodeId;
  tolerance: quotaTolerance.QuotaTolerance;
  /** All members of the fleet, including those that were removed a short time ago. */
  members: () => readonly ids.NodeId[];
  /** False until the list of nodes has been received; a node that knows few members takes too large a part. */
  areMembersKnown: () => boolean;
  /** Requests before a restart are unknown, so the first window admits none. */
  startedMs: number;
}

interface Part {
  members: readonly ids.NodeId[];
  total: number;
  part: number;
}

export class QuotaFloor {
  /** Times of the admissions in the last window. */
  private readonly admitted = new Map<ids.CustomerName, number[]>();

  private readonly parts = new Map<ids.CustomerName, Part>();

  constructor(private readonly options: QuotaFloorOptions) {}

  tryAdmit(customer: ids.CustomerName, quota: configuration.Quota, nowMs: number): boolean {
    const { startedMs, tolerance } = this.options;
    const windowStartMs = nowMs - tolerance.windowMs;
    if (startedMs >= windowStartMs || !this.options.areMembersKnown()) return false;
    const part = this.partOf(customer, quota);
    if (part === 0) return false;
    const recent = (this.admitted.get(customer) ?? []).filter((atMs) => atMs >= windowStartMs);
    const isAdmitted = recent.length < part;
    if (isAdmitted) recent.push(nowMs);
    this.admitted.set(customer, recent);
    return isAdmitted;
  }

  /** Forgets customers that no longer have a quota. */
  retain(isKept: (customer: ids.CustomerName) => boolean): void {
    for (const customer of this.parts.keys()) {
      if (!isKept(customer)) {
        this.admitted.delete(customer);
        this.parts.delete(customer);
      }
    }
  }

  private partOf(customer: ids.CustomerName, quota: configuration.Quota): number {
    const { self, tolerance } = this.options;
    const members = this.options.members();
    const total = quotaTolerance.floorOfFleet(tolerance, quota);
    const known = this.parts.get(customer);
    if (known?.members === members && known.total === total) return known.part;
    const part = quotaTolerance.partOf(total, self, { customer, members });
    this.parts.set(customer, { members, total, part });
    return part;
  }
}
