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
    const found = new Map<string, distribution.Member>();
    const nowMs = this.time.monotonicMs();
    for (const [node, hint] of this.hints) {
      const { member } = hint;
      if (nowMs - hint.atMs > HINT_RETENTION_MS) this.hints.delete(node);
      else if (member.region === region && !this.table.isRemoved(node, member.incarnation)) {
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

  /** Where this node attaches now, given who is known and not suspected. */
  attachment(): Attachment {
    const self = this.cfg.node;
    const regionRank = this.rankedRegion(this.cfg.region);
    const aboveInRegion = before(regionRank, self);
    if (aboveInRegion.length === 0) return this.topOfRegion();
    const domainRank = this.rankedDomain(regionRank[0]?.node);
    const aboveInDomain = before(domainRank, self);
    if (aboveInDomain.length === 0) return { role: 'domainRelay', parents: aboveInRegion };
    return { role: 'leaf', parents: [...aboveInDomain, ...aboveInRegion] };
  }

  /** Rank of the region's nodes that are not suspected; this node is always part of its own. */
  private rankedRegion(region: ids.RegionName): distribution.Member[] {
    const usable = this.known(region).filter(
      (member) => member.node === this.cfg.node || !this.isSuspected(member.node),
    );
    return rendezvous.rank(`region:${region}`, usable, (member) => member.node);
  }

  private rankedDomain(regionRelay: string | undefined): distribution.Member[] {
    const { failureDomain, node, region } = this.cfg;
    const usable = this.known(region).filter(
      (member) =>
        member.failureDomain === failureDomain &&
        member.node !== regionRelay &&
        (member.node === node || !this.isSuspected(member.node)),
    );
    return rendezvous.rank(`domain:${failureDomain}`, usable, (member) => member.node);
  }

  private topOfRegion(): Attachment {
    const { homeRegion, region } = this.cfg;
    if (region === homeRegion) return { role: 'root', parents: [] };
    return { role: 'regionRelay', parents: this.rankedRegion(homeRegion) };
  }
}

/** Members ranked above `node`; all of them when it is not in the list. */
function before(ranked: readonly distribution.Member[], node: string): distribution.Member[] {
  const index = ranked.findIndex((member) => member.node === node);
  return index < 0 ? [...ranked] : ranked.slice(0, index);
}
