/**
 * Members of this node's region, and summaries of the other regions. Incarnation and revision
 * decide which of two entries is newer, so messages may arrive late, repeatedly or out of order.
 */

import { ids, rendezvous } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import * as signals from '../signals.js';

/** Source of a change: node id of the parent or child that sent it, or `LOCAL_ORIGIN`. */
export type Origin = string;
export const LOCAL_ORIGIN: Origin = '';

interface MemberEntry {
  member: distribution.Member;
  origin: Origin;
  /** Local order of changes, see `changesSince`. */
  sequence: number;
  changedAtMs: number;
}

interface RemovalEntry {
  incarnation: number;
  origin: Origin;
  sequence: number;
  atMs: number;
}

interface SummaryEntry {
  summary: distribution.RegionSummary;
  origin: Origin;
  sequence: number;
}

export interface MemberChanges {
  members: distribution.Member[];
  removals: distribution.MemberRemoval[];
  regions: distribution.RegionSummary[];
  /** Pass to the next call of `changesSince`. */
  sequence: number;
}

/** In a region's summary: relays that other regions may use as parents. */
const MAX_SUMMARY_RELAYS = 3;
/** In a region's summary: members of each service version that receive requests from outside. */
const MAX_SUMMARY_ENTRIES = 3;

function isNewer(next: distribution.Member, held: distribution.Member): boolean {
  if (next.incarnation !== held.incarnation) return next.incarnation > held.incarnation;
  return next.revision > held.revision;
}

export class MemberTable {
  private readonly members = new Map<string, MemberEntry>();

  private readonly removals = new Map<string, RemovalEntry>();

  private readonly summaries = new Map<string, SummaryEntry>();

  private sequence = 0;

  /** Raised after each change of members or summaries. */
  readonly changed = new signals.ChangeSignal();

  constructor(
    readonly region: ids.RegionName,
    private readonly time: clock.Clock,
  ) {}

  get all(): distribution.Member[] {
    return [...this.members.values()].map((entry) => entry.member);
  }

  get size(): number {
    return this.members.size;
  }

  /** Summaries of the other regions. */
  get regions(): distribution.RegionSummary[] {
    return [...this.summaries.values()]
      .map((entry) => entry.summary)
      .filter(({ region }) => region !== this.region);
  }

  get(node: string): distribution.Member | undefined {
    return this.members.get(node)?.member;
  }

  changedAtMs(node: string): number | undefined {
    return this.members.get(node)?.changedAtMs;
  }

  /** Highest known incarnation of a node, current or removed; 0 when there is none. */
  highestIncarnation(node: string): number {
    const live = this.members.get(node)?.member.incarnation ?? 0;
    return Math.max(live, this.removals.get(node)?.incarnation ?? 0);
  }

  isRemoved(node: string, incarnation: number): boolean {
    return (this.removals.get(node)?.incarnation ?? -1) >= incarnation;
  }

  /** Stores a member if it is newer than the one held; ignores members of other regions. */
  merge(member: distribution.Member, origin: Origin): boolean {
    if (member.region !== this.region) return false;
    if (this.isRemoved(member.node, member.incarnation)) return false;
    const held = this.members.get(member.node);
    if (held !== undefined && !isNewer(member, held.member)) return false;
    this.members.set(member.node, {
      member,
      origin,
      sequence: this.nextSequence(),
      changedAtMs: this.time.monotonicMs(),
    });
    this.changed.notify();
    return true;
  }

  /** Removes a node up to this incarnation; it may join again with a higher one. */
  remove(node: string, incarnation: number, origin: Origin): boolean {
    if (this.isRemoved(node, incarnation)) return false;
    const atMs = this.time.monotonicMs();
    this.removals.set(node, { incarnation, origin, sequence: this.nextSequence(), atMs });
    const held = this.members.get(node);
    if (held !== undefined && held.member.incarnation <= incarnation) this.members.delete(node);
    this.expireRemovals(atMs);
    this.changed.notify();
    return true;
  }

  mergeSummary(summary: distribution.RegionSummary, origin: Origin): boolean {
    if (summary.region === this.region && origin !== LOCAL_ORIGIN) return false;
    const held = this.summaries.get(summary.region);
    if (held !== undefined && held.summary.revision >= summary.revision) return false;
    this.summaries.set(summary.region, { summary, origin, sequence: this.nextSequence() });
    this.changed.notify();
    return true;
  }

  /**
   * Changes after `sequence`, without those received from `receiver` itself. The summary of this
   * region is sent only to other regions: a former relay still holds an outdated one.
   */
  changesSince(sequence: number, receiver: Origin, crossRegion = false): MemberChanges {
    if (sequence === this.sequence) return { members: [], removals: [], regions: [], sequence };
    const isPending = (entry: { sequence: number; origin: Origin }) =>
      entry.sequence > sequence && entry.origin !== receiver;
    return {
      members: [...this.members.values()].filter(isPending).map((entry) => entry.member),
      removals: [...this.removals]
        .filter(([, entry]) => isPending(entry))
        .map(([node, entry]) => ({ node, incarnation: entry.incarnation })),
      regions: [...this.summaries.values()]
        .filter(isPending)
        .map((entry) => entry.summary)
        .filter(({ region }) => crossRegion || region !== this.region),
      sequence: this.sequence,
    };
  }

  /** Rebuilds the summary of this region for the others; null when it did not change. */
  refreshSummary(nowMs: number): distribution.RegionSummary | null {
    const held = this.summaries.get(this.region)?.summary;
    const next = this.buildSummary(Math.max(nowMs, (held?.revision ?? 0) + 1));
    const same = held !== undefined && sameSummary(held, next);
    if (same) return null;
    this.mergeSummary(next, LOCAL_ORIGIN);
    return next;
  }

  private buildSummary(revision: number): distribution.RegionSummary {
    const members = this.all;
    const relays = rendezvous
      .rank(`region:${this.region}`, members, (member) => member.node)
      .slice(0, MAX_SUMMARY_RELAYS);
    const groups = new Map<string, distribution.Member[]>();
    for (const member of members) {
      const { upstream } = member;
      if (upstream === undefined || upstream.draining || member.draining || !member.ready) continue;
      const key = `${upstream.service}\u0000${upstream.version}`;
      groups.set(key, [...(groups.get(key) ?? []), member]);
    }
    const versions = [...groups.keys()].sort().map((key) => {
      const group = groups.get(key) ?? [];
      const [service = '', version = ''] = key.split('\u0000');
      const slots = group.reduce((sum, member) => sum + (member.upstream?.slots ?? 0), 0);
      const ranked = rendezvous.rank(key, group, (member) => member.node);
      const entries = ranked.slice(0, MAX_SUMMARY_ENTRIES);
      return { service, version, servers: group.length, slots, entries };
    });
    return { region: this.region, revision, nodes: members.length, relays, versions };
  }

  private expireRemovals(nowMs: number): void {
    for (const [node, entry] of this.removals) {
      if (nowMs - entry.atMs > constants.REMOVAL_RETENTION_MS) this.removals.delete(node);
    }
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }
}

/** Compares without revisions, because each build has another one. */
function sameSummary(a: distribution.RegionSummary, b: distribution.RegionSummary): boolean {
  const strip = (summary: distribution.RegionSummary) => ({
    ...summary,
    revision: 0,
    relays: summary.relays.map(withoutAttachment),
    versions: summary.versions.map((version) => ({
      ...version,
      entries: version.entries.map(withoutAttachment),
    })),
  });
  return JSON.stringify(strip(a)) === JSON.stringify(strip(b));
}

/** Leaves out revision and parent, which do not matter to other regions. */
function withoutAttachment(member: distribution.Member): distribution.Member {
  return { ...member, revision: 0, parent: '' };
}
