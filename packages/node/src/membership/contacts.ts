/**
 * Nodes that this node may contact: members, and unconfirmed hints from rosters, seeds and region
 * summaries. Their rank decides where this node attaches to the tree. A node that did not answer is
 * suspected for a while and left out of the ranking.
 */

import { backoff, ids, rendezvous } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as settings from '../settings.js';
import type * as memberTable from './memberTable.js';

const MIN_SUSPICION_MS = 1_000;
const MAX_SUSPICION_MS = 8_000;
/** A hint that never became a member is dropped after this time. */
const HINT_RETENTION_MS = 600_000;

/** A region's first node that alone has lost the platform ranks itself last for this time. */
const DEMOTION_MS = 15_000;

/**
 * Place of a node in the distribution tree: the root watches the platform, a region relay connects
 * its region to the root, a domain relay connects its failure domain to the first node of its
 * region, and all other nodes are leaves.
 */
export type Role = 'root' | 'regionRelay' | 'domainRelay' | 'leaf';

export interface Attachment {
  role: Role;
  /** Possible parents, best first; empty when the node can only watch the platform. */
  parents: distribution.Member[];
}

interface Suspicion {
  untilMs: number;
  delays: backoff.Backoff;
}

export class Contacts {
  private readonly hints = new Map<string, { member: distribution.Member; atMs: number }>();

  private demotedUntilMs = Number.NEGATIVE_INFINITY;

  private readonly suspicions = new Map<string, Suspicion>();

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly table: memberTable.MemberTable,
    private readonly time: clock.Clock,
  ) {}

  addHint(member: distribution.Member): void {
    if (member.node === this.cfg.node) return;
    const held = this.hints.get(member.node);
    if (held !== undefined && held.member.incarnation > member.incarnation) return;
    this.hints.set(member.node, { member, atMs: this.time.monotonicMs() });
  }

  suspect(node: string): void {
    const delays =
      this.suspicions.get(node)?.delays ??
      new backoff.Backoff({ initialMs: MIN_SUSPICION_MS, maxMs: MAX_SUSPICION_MS });
    const untilMs = this.time.monotonicMs() + MIN_SUSPICION_MS + delays.nextMs();
    this.suspicions.set(node, { untilMs, delays });
  }

  clearSuspicion(node: string): void {
    this.suspicions.delete(node);
  }

  isSuspected(node: string): boolean {
    const suspicion = this.suspicions.get(node);
    return suspicion !== undefined && suspicion.untilMs > this.time.monotonicMs();
  }

  /** Known nodes of a region; a member record replaces a relay's summary entry, and that a hint. */
  knownNodes(region: string): distribution.Member[] {
    this.dropOldHints();
    const found = new Map<string, distribution.Member>();
    for (const [node, { member }] of this.hints) {
      if (member.region === region && !this.table.isRemoved(node, member.incarnation)) {
        found.set(node, member);
      }
    }
    for (const summary of this.table.regions) {
      if (summary.region !== region) continue;
      for (const relay of summary.relays) found.set(relay.node, relay);
    }
    for (const member of this.table.all) {
      if (member.region === region) found.set(member.node, member);
    }
    return [...found.values()];
  }

  /** Ranks this node last for `DEMOTION_MS`: others reach the platform while it does not. */
  demoteSelf(): void {
    this.demotedUntilMs = this.time.monotonicMs() + DEMOTION_MS;
  }

  /** Role and possible parents of this node, given the known nodes that are not suspected. */
  attachment(): Attachment {
    const regionRank = this.rankedRegion(this.cfg.region);
    const aboveInRegion = this.rankedAbove(regionRank);
    if (aboveInRegion.length === 0) return this.topAttachment();
    const aboveInDomain = this.rankedAbove(this.rankedDomain(regionRank[0]?.node));
    if (aboveInDomain.length === 0) return { role: 'domainRelay', parents: aboveInRegion };
    return { role: 'leaf', parents: [...aboveInDomain, ...aboveInRegion] };
  }

  /** The node ranked above this one in its region if there is exactly one, else undefined. */
  onlyNodeAbove(): distribution.Member | undefined {
    const above = this.rankedAbove(this.rankedRegion(this.cfg.region));
    return above.length === 1 ? above[0] : undefined;
  }

  /** All other usable nodes of this region, best first, also those ranked below this node. */
  others(): distribution.Member[] {
    return this.rankedRegion(this.cfg.region).filter(({ node }) => node !== this.cfg.node);
  }

  /** Nodes ranked above this one; all others when it is not in the list, draining or demoted. */
  private rankedAbove(ranked: readonly distribution.Member[]): distribution.Member[] {
    const index = ranked.findIndex((member) => member.node === this.cfg.node);
    const own = ranked[index];
    const ranksLast = own?.draining === true || this.demotedUntilMs > this.time.monotonicMs();
    if (index < 0 || ranksLast) return ranked.filter(({ node }) => node !== this.cfg.node);
    return ranked.slice(0, index);
  }

  /** The region's usable nodes, best first; this node itself always counts as usable. */
  private rankedRegion(region: ids.RegionName): distribution.Member[] {
    const usable = this.knownNodes(region).filter((member) => this.isUsable(member));
    return rendezvous.rank(`region:${region}`, usable, (member) => member.node);
  }

  private rankedDomain(regionRelay: string | undefined): distribution.Member[] {
    const { failureDomain, region } = this.cfg;
    const usable = this.knownNodes(region).filter(
      (member) =>
        member.failureDomain === failureDomain &&
        member.node !== regionRelay &&
        this.isUsable(member),
    );
    return rendezvous.rank(`domain:${failureDomain}`, usable, (member) => member.node);
  }

  /** Excludes draining nodes, so that their children move before they close. */
  private isUsable(member: distribution.Member): boolean {
    if (member.node === this.cfg.node) return true;
    return !member.draining && !this.isSuspected(member.node);
  }

  private dropOldHints(): void {
    const nowMs = this.time.monotonicMs();
    for (const [node, { atMs }] of this.hints) {
      if (nowMs - atMs > HINT_RETENTION_MS) this.hints.delete(node);
    }
  }

  private topAttachment(): Attachment {
    const { homeRegion, region } = this.cfg;
    if (region === homeRegion) return { role: 'root', parents: [] };
    return { role: 'regionRelay', parents: this.rankedRegion(homeRegion) };
  }
}
