/**
 * Nodes that this node may contact: live members, and hints from rosters and seeds that are not
 * confirmed yet. Nodes that did not answer are suspected for a while and left out of the ranking.
 */

import { backoff, ids, rendezvous } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as settings from '../settings.js';
import type * as memberTable from './memberTable.js';

const FIRST_SUSPICION_MS = 1_000;
const MAX_SUSPICION_MS = 8_000;
/** A hint that never became a member is dropped after this time. */
const HINT_RETENTION_MS = 600_000;

/** A top of a region that alone lost the platform lets the next one lead for this long. */
const DEMOTION_MS = 15_000;

export type Role = 'root' | 'regionRelay' | 'domainRelay' | 'leaf';

export interface Attachment {
  role: Role;
  /** Possible parents, best first; empty when only the platform is left. */
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
      new backoff.Backoff({ initialMs: FIRST_SUSPICION_MS, maxMs: MAX_SUSPICION_MS });
    const untilMs = this.time.monotonicMs() + FIRST_SUSPICION_MS + delays.nextMs();
    this.suspicions.set(node, { untilMs, delays });
  }

  clear(node: string): void {
    this.suspicions.delete(node);
  }

  isSuspected(node: string): boolean {
    const suspicion = this.suspicions.get(node);
    return suspicion !== undefined && suspicion.untilMs > this.time.monotonicMs();
  }

  /** Known nodes of a region: members where this node sees them, else relays and hints. */
  known(region: string): distribution.Member[] {
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

  /** Ranks this node last for a while, because others reach the platform and it does not. */
  demoteSelf(): void {
    this.demotedUntilMs = this.time.monotonicMs() + DEMOTION_MS;
  }

  /** Where this node attaches now, given who is known and not suspected. */
  attachment(): Attachment {
    const regionRank = this.rankedRegion(this.cfg.region);
    const aboveInRegion = this.above(regionRank);
    if (aboveInRegion.length === 0) return this.topOfRegion();
    const aboveInDomain = this.above(this.rankedDomain(regionRank[0]?.node));
    if (aboveInDomain.length === 0) return { role: 'domainRelay', parents: aboveInRegion };
    return { role: 'leaf', parents: [...aboveInDomain, ...aboveInRegion] };
  }

  /** Nodes that this node would rank behind in its region if it could be first. */
  firstAbove(): distribution.Member | undefined {
    const above = this.above(this.rankedRegion(this.cfg.region));
    return above.length === 1 ? above[0] : undefined;
  }

  /** Other usable nodes of this region, best first, whatever the rank of this node. */
  others(): distribution.Member[] {
    return this.rankedRegion(this.cfg.region).filter(({ node }) => node !== this.cfg.node);
  }

  /** Members ranked above this node; all of them when it is not in the list or steps back. */
  private above(ranked: readonly distribution.Member[]): distribution.Member[] {
    const index = ranked.findIndex((member) => member.node === this.cfg.node);
    const own = ranked[index];
    const steppedBack = own?.draining === true || this.demotedUntilMs > this.time.monotonicMs();
    if (index < 0 || steppedBack) return ranked.filter(({ node }) => node !== this.cfg.node);
    return ranked.slice(0, index);
  }

  /** Rank of the region's usable nodes; this node is always part of its own. */
  private rankedRegion(region: ids.RegionName): distribution.Member[] {
    const usable = this.known(region).filter((member) => this.isUsable(member));
    return rendezvous.rank(`region:${region}`, usable, (member) => member.node);
  }

  private rankedDomain(regionRelay: string | undefined): distribution.Member[] {
    const { failureDomain, region } = this.cfg;
    const usable = this.known(region).filter(
      (member) =>
        member.failureDomain === failureDomain &&
        member.node !== regionRelay &&
        this.isUsable(member),
    );
    return rendezvous.rank(`domain:${failureDomain}`, usable, (member) => member.node);
  }

  /** A node that is being stopped is no parent, so that its children move before it closes. */
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

  private topOfRegion(): Attachment {
    const { homeRegion, region } = this.cfg;
    if (region === homeRegion) return { role: 'root', parents: [] };
    return { role: 'regionRelay', parents: this.rankedRegion(homeRegion) };
  }
}
