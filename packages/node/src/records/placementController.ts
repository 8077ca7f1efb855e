/** Writes the next placement of each service through the platform; run by the controller only. */

import { failures, placement as placements } from '@godwittrack/core';
import type { clock as clocks, ids } from '@godwittrack/core';
import type { objectStore as platform } from '@godwittrack/platform';

export interface PlacementControllerOptions {
  /** Retention of the service plus placement lease, for `fullFromMs`. Default 70 minutes. */
  waitMs?: (service: string) => number;
  /** Members that the first placement waits for. Default 3. */
  minFirstMembers?: number;
}

export class PlacementController {
  private readonly waitMs: (service: string) => number;

  private readonly minFirstMembers: number;

  constructor(
    private readonly store: platform.ObjectStore,
    private readonly clock: clocks.Clock,
    options: PlacementControllerOptions = {},
  ) {
    this.waitMs = options.waitMs ?? (() => 4_200_000);
    this.minFirstMembers = options.minFirstMembers ?? placements.MIN_FIRST_MEMBERS;
  }

  /** Writes the first placement unless one is stored; a stored one is returned as it is. */
  async first(
    service: ids.ServiceName,
    live: readonly placements.LiveMember[],
    signal?: AbortSignal,
  ): Promise<placements.Placement | null> {
    const stored = await this.store.get('placement', service, signal);
    // A node that has not read the placement yet knows too little to plan the next one.
    if (stored !== null) return placements.Placement.parse(stored.value);
    return this.reconcile(service, live, signal);
  }

  /**
   * Plans from the stored placement and writes at most one epoch. Returns the placement now in
   * force, or null before the first one.
   * @throws platformUnavailable, platformOverloaded; nothing was changed
   */
  async reconcile(
    service: ids.ServiceName,
    live: readonly placements.LiveMember[],
    signal?: AbortSignal,
  ): Promise<placements.Placement | null> {
    const stored = await this.store.get('placement', service, signal);
    const held = stored === null ? null : placements.Placement.parse(stored.value);
    const nowMs = this.clock.nowMs();
    const planned =
      held === null
        ? placements.Placement.first(service, live, nowMs, this.minFirstMembers)
        : held.next(live, nowMs, this.waitMs(service));
    if (planned === null) return held;
    const precondition: platform.Precondition =
      stored === null ? { type: 'absent' } : { type: 'version', version: stored.version };
    try {
      await this.store.put('placement', service, planned.toJSON(), precondition, signal);
      return planned;
    } catch (err) {
      const raced = failures.is(err, 'objectConflict');
      if (!raced && !failures.is(err, 'platformOutcomeUnknown')) throw err;
      // Whoever wrote it, the stored placement is in force; the next call plans from it.
      const current = await this.store.get('placement', service, signal);
      return current === null ? null : placements.Placement.parse(current.value);
    }
  }
}
