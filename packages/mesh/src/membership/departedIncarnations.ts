/** Incarnations of an upstream that have left, so that late announcements do not bring them back. */

import type { ids } from '@godwittrack/core';
import type * as members from './members.js';

const MAX_DEPARTED = 32;

export class DepartedIncarnations {
  /** Latest start times by instance id; null if unknown. */
  private readonly bornMs = new Map<ids.InstanceId, number | null>();

  /** The last one at the end. */
  list(): members.Incarnation[] {
    return [...this.bornMs].map(([instance, bornMs]) => ({ instance, bornMs }));
  }

  has(instance: ids.InstanceId): boolean {
    return this.bornMs.has(instance);
  }

  /** Whether the incarnation has left; a later one may have the same id. */
  includes({ instance, bornMs }: members.Incarnation): boolean {
    const departedMs = this.bornMs.get(instance);
    return departedMs !== undefined && !isNewer(bornMs, departedMs);
  }

  /** @returns whether it was not known to have left */
  add(incarnation: members.Incarnation): boolean {
    if (this.includes(incarnation)) return false;
    this.bornMs.set(incarnation.instance, incarnation.bornMs);
    if (this.bornMs.size > MAX_DEPARTED) this.bornMs.delete(this.bornMs.keys().next().value!);
    return true;
  }
}

export function isNewer(bornMs: number | null, thanMs: number | null): boolean {
  return bornMs !== null && thanMs !== null && bornMs > thanMs;
}
