/**
 * Decides which holders still count as live when the root plans a placement. A holder that is
 * missing from the member table has not necessarily lost its records: a new root starts with an
 * empty table, summaries of other regions list only some servers, and nodes may leave and rejoin
 * within seconds.
 */

import type { clock as clocks, ids, placement as placements } from '@godwittrack/core';

/**
 * A holder that is absent for less than this is retained. Longer than the 8 s for which members of
 * a dead relay stay listed, and long enough for a restart, which then takes one epoch and not two.
 */
export const ABSENCE_GRACE_MS = 15_000;

/** If two checks of a service are further apart than this, earlier absences are discarded. */
const MAX_CHECK_GAP_MS = 10_000;

/**
 * Maximum number of other holders of a remote region that are probed to tell an unresponsive holder
 * from a broken link to its region.
 */
const MAX_WITNESSES = 2;

export class HolderPresence {
  private readonly absentSinceMs = new Map<string, number>();

  private readonly checkedAtMs = new Map<string, number>();

  constructor(
    private readonly region: ids.RegionName,
    private readonly time: clocks.Clock,
    /** Probes whether the process of a holder responds; never rejects. */
    private readonly isAlive: (holder: placements.Member) => Promise<boolean>,
  ) {}

  /**
   * Returns the members to plan with: the visible ones, and absent holders that may still have
   * records.
   * @param visible members of the service in the member table
   * @param nonServing live nodes that do not serve the service; they are dropped without a probe
   */
  async membersForPlanning(
    current: placements.Placement,
    visible: readonly placements.LiveMember[],
    nonServing: ReadonlySet<string>,
  ): Promise<placements.LiveMember[]> {
    const nowMs = this.time.monotonicMs();
    const lastMs = this.checkedAtMs.get(current.service) ?? Number.NEGATIVE_INFINITY;
    this.checkedAtMs.set(current.service, nowMs);
    const discardAll = nowMs - lastMs > MAX_CHECK_GAP_MS;
    const visibleNodes = new Set(visible.map(({ node }) => node as string));
    const absent = current.members.filter(({ node }) => !visibleNodes.has(node));
    const absentKeys = new Set(absent.map((holder) => keyOf(current, holder)));
    for (const key of this.absentSinceMs.keys()) {
      const sameService = key.startsWith(`${current.service}/`);
      if (sameService && (discardAll || !absentKeys.has(key))) this.absentSinceMs.delete(key);
    }
    const retained = await Promise.all(
      absent.map((holder) => this.isRetained(current, holder, visibleNodes, nonServing, nowMs)),
    );
    return [...visible, ...absent.filter((_, i) => retained[i])];
  }

  private async isRetained(
    current: placements.Placement,
    holder: placements.Member,
    visibleNodes: ReadonlySet<string>,
    nonServing: ReadonlySet<string>,
    nowMs: number,
  ): Promise<boolean> {
    const key = keyOf(current, holder);
    const sinceMs = this.absentSinceMs.get(key) ?? nowMs;
    this.absentSinceMs.set(key, sinceMs);
    if (nowMs - sinceMs < ABSENCE_GRACE_MS) return true;
    if (nonServing.has(holder.node)) return false;
    const aliveCheck = this.isAlive(holder);
    // No response over a broken link proves nothing, and a new placement would not help.
    const reachableCheck =
      holder.region === this.region
        ? Promise.resolve(true)
        : this.isRegionReachable(current, holder, visibleNodes);
    const [alive, reachable] = await Promise.all([aliveCheck, reachableCheck]);
    if (!alive && reachable) return false;
    // Probed again only after the same period, because a probe may cross a link between regions.
    this.absentSinceMs.set(key, this.time.monotonicMs());
    return true;
  }

  private async isRegionReachable(
    current: placements.Placement,
    holder: placements.Member,
    visibleNodes: ReadonlySet<string>,
  ): Promise<boolean> {
    const witnesses = current.members
      .filter(({ region, node }) => region === holder.region && visibleNodes.has(node))
      .slice(0, MAX_WITNESSES);
    const results = await Promise.all(witnesses.map((member) => this.isAlive(member)));
    return results.some(Boolean);
  }
}

function keyOf(current: placements.Placement, holder: placements.Member): string {
  return `${current.service}/${holder.node}`;
}
