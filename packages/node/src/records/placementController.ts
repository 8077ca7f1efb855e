/** Writes the placements of services to the platform's object store; used by the root relay only. */

import { failures, placement as placements } from '@godwittrack/core';
import type { clock as clocks, ids } from '@godwittrack/core';
import type { objectStore as platform } from '@godwittrack/platform';

export interface PlacementControllerOptions {
  /**
   * Time after which a member has the full history without copies: the retention of the service plus
   * the placement lease. Default 70 minutes.
   */
  fullHistoryWaitMs?: (service: string) => number;
  /** Minimum number of members of the first placement. Default 3. */
  minFirstMembers?: number;
}

export class PlacementController {
  private readonly fullHistoryWaitMs: (service: string) => number;

  private readonly minFirstMembers: number;

  constructor(
    private readonly store: platform.ObjectStore,
    private readonly clock: clocks.Clock,
    options: PlacementControllerOptions = {},
  ) {
    this.fullHistoryWaitMs = options.fullHistoryWaitMs ?? (() => 4_200_000);
    this.minFirstMembers = options.minFirstMembers ?? placements.MIN_FIRST_MEMBERS;
  }

  /** Writes the first placement unless one is stored; returns a stored one unchanged. */
  async ensurePlacement(
    service: ids.ServiceName,
    live: readonly placements.LiveMember[],
    signal?: AbortSignal,
  ): Promise<placements.Placement | null> {
    const stored = await this.store.get('placement', service, signal);
    // A node that has not read the stored placement yet may see too few members to plan the next.
    if (stored !== null) return placements.Placement.parse(stored.value);
    return this.reconcile(service, live, signal);
  }

  /**
   * Plans from the stored placement and writes at most one new epoch. Returns the placement in
   * effect, or null if there is none yet.
   * @throws platformUnavailable, platformOverloaded; nothing was changed
   */
  async reconcile(
    service: ids.ServiceName,
    live: readonly placements.LiveMember[],
    signal?: AbortSignal,
  ): Promise<placements.Placement | null> {
    const stored = await this.store.get('placement', service, signal);
    const previous = stored === null ? null : placements.Placement.parse(stored.value);
    const nowMs = this.clock.nowMs();
    const planned =
      previous === null
        ? placements.Placement.first(service, live, nowMs, this.minFirstMembers)
        : previous.next(live, nowMs, this.fullHistoryWaitMs(service));
    if (planned === null) return previous;
    const precondition: platform.Precondition =
      stored === null ? { type: 'absent' } : { type: 'version', version: stored.version };
    try {
      await this.store.put('placement', service, planned.toJSON(), precondition, signal);
      return planned;
    } catch (err) {
      const conflict = failures.is(err, 'objectConflict');
      if (!conflict && !failures.is(err, 'platformOutcomeUnknown')) throw err;
      // The stored placement is in effect, whichever node wrote it; the next call plans from it.
      const current = await this.store.get('placement', service, signal);
      return current === null ? null : placements.Placement.parse(current.value);
    }
  }
}
