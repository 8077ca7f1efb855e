/**
 * Which holders still count as living when the root plans a placement. A member that is out of
 * sight has not lost its records: a new root starts with an empty member table, summaries of other
 * regions name only some servers, and nodes leave and join again within seconds.
 */

import type { clock as clocks, ids, placement as placements } from '@godwittrack/core';

/**
 * A holder out of sight for less than this stays. Above the 8 s that a dead relay's members stay
 * listed, and long enough for a restart, which then costs one epoch instead of two.
 */
export const ABSENCE_MS = 15_000;

/** After a gap this long between two reviews the absences seen before count no more. */
const MAX_REVIEW_GAP_MS = 10_000;

/** Seen holders of another region that are asked, to tell a silent holder from a cut link. */
const WITNESSES = 2;

export class HolderPresence {
  private readonly absentSinceMs = new Map<string, number>();

  private readonly reviewedAtMs = new Map<string, number>();

  constructor(
    private readonly region: ids.RegionName,
    private readonly time: clocks.Clock,
    /** Asks a holder for a sign of life; never rejects. */
    private readonly answers: (holder: placements.Member) => Promise<boolean>,
  ) {}

  /**
   * Members to plan with: those in sight, and holders out of sight that may still hold records.
   * `elsewhere` are nodes known to live without serving the service; they leave without a question.
   */
  async review(
    held: placements.Placement,
    seen: readonly placements.LiveMember[],
    elsewhere: ReadonlySet<string>,
  ): Promise<placements.LiveMember[]> {
    const nowMs = this.time.monotonicMs();
    const lastMs = this.reviewedAtMs.get(held.service) ?? Number.NEGATIVE_INFINITY;
    this.reviewedAtMs.set(held.service, nowMs);
    const restart = nowMs - lastMs > MAX_REVIEW_GAP_MS;
    const inSight = new Set(seen.map(({ node }) => node as string));
    const absent = held.members.filter(({ node }) => !inSight.has(node));
    const absentKeys = new Set(absent.map((holder) => keyOf(held, holder)));
    for (const key of this.absentSinceMs.keys()) {
      const own = key.startsWith(`${held.service}/`);
      if (own && (restart || !absentKeys.has(key))) this.absentSinceMs.delete(key);
    }
    const stays = await Promise.all(
      absent.map((holder) => this.stays(held, holder, inSight, elsewhere, nowMs)),
    );
    return [...seen, ...absent.filter((_, i) => stays[i])];
  }

  private async stays(
    held: placements.Placement,
    holder: placements.Member,
    inSight: ReadonlySet<string>,
    elsewhere: ReadonlySet<string>,
    nowMs: number,
  ): Promise<boolean> {
    const key = keyOf(held, holder);
    const sinceMs = this.absentSinceMs.get(key) ?? nowMs;
    this.absentSinceMs.set(key, sinceMs);
    if (nowMs - sinceMs < ABSENCE_MS) return true;
    if (elsewhere.has(holder.node)) return false;
    const asked = this.answers(holder);
    // Silence behind a cut link says nothing, and a change of placement would not help.
    const reachable =
      holder.region === this.region ? Promise.resolve(true) : this.reaches(held, holder, inSight);
    const [alive, linked] = await Promise.all([asked, reachable]);
    if (!alive && linked) return false;
    // Asked again only after the same time, because each question crosses the link.
    this.absentSinceMs.set(key, this.time.monotonicMs());
    return true;
  }

  private async reaches(
    held: placements.Placement,
    holder: placements.Member,
    inSight: ReadonlySet<string>,
  ): Promise<boolean> {
    const witnesses = held.members
      .filter(({ region, node }) => region === holder.region && inSight.has(node))
      .slice(0, WITNESSES);
    const answers = await Promise.all(witnesses.map((member) => this.answers(member)));
    return answers.some(Boolean);
  }
}

function keyOf(held: placements.Placement, holder: placements.Member): string {
  return `${held.service}/${holder.node}`;
}
