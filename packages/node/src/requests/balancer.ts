/**
 * Chooses the server for a request: two random candidates of the nearest locality that has any, and
 * of these the one with less outstanding work for its slots. Servers that fail are ejected for a
 * while.
 */

import type { clock, resources } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as memberTable from '../membership/memberTable.js';
import type * as settings from '../settings.js';

export interface Candidate {
  node: string;
  region: string;
  /** Peer address as seen from this node. */
  address: string;
  slots: number;
  version: string;
  /** The server is in its cold start. */
  coldStart: boolean;
}

/** Nearest first: same failure domain, same region, across a link. */
type Locality = 0 | 1 | 2;

interface Health {
  outstanding: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
}

const MAX_EJECTION_DOUBLINGS = 6;

export class Balancer {
  private readonly health = new Map<string, Health>();

  /** Candidates by service and version, rebuilt when members change. */
  private index: Map<string, [Candidate[], Candidate[], Candidate[]]> | null = null;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly members: memberTable.MemberTable,
    private readonly time: clock.Clock,
    private readonly random: () => number = Math.random,
  ) {
    members.changed.subscribe(() => {
      this.index = null;
    });
  }

  /** Null when no usable server is known. */
  pick(service: string, version: string, exclude: ReadonlySet<string>): Candidate | null {
    const tiers = this.candidates().get(indexKey(service, version));
    if (tiers === undefined) return null;
    const nowMs = this.time.monotonicMs();
    for (const tier of tiers) {
      const usable = tier.filter(
        ({ node }) => !exclude.has(node) && this.healthOf(node).ejectedUntilMs <= nowMs,
      );
      const chosen = this.leastLoadedOfTwo(usable);
      if (chosen !== null) return chosen;
    }
    // When everything is ejected, an ejected server is better than none.
    const rest = tiers.flat().filter(({ node }) => !exclude.has(node));
    return this.leastLoadedOfTwo(rest);
  }

  /** Versions of a service that have at least one usable server. */
  versions(service: string): Set<string> {
    const found = new Set<string>();
    for (const key of this.candidates().keys()) {
      const [name = '', version = ''] = key.split('\u0000');
      if (name === service) found.add(version);
    }
    return found;
  }

  /** Servers of a service and version known to this node, those across links included. */
  count(service: string, version: string): number {
    return this.candidates().get(indexKey(service, version))?.flat().length ?? 0;
  }

  begin(node: string): void {
    this.healthOf(node).outstanding += 1;
  }

  /** Notes the end of a request; a failure is one that speaks against the server. */
  end(
    candidate: Candidate,
    service: string,
    failed: boolean,
    limits: resources.ServiceSpec['outlier'],
  ): void {
    const health = this.healthOf(candidate.node);
    health.outstanding = Math.max(0, health.outstanding - 1);
    if (!failed) {
      health.consecutiveFailures = 0;
      health.ejections = 0;
      return;
    }
    health.consecutiveFailures += 1;
    if (health.consecutiveFailures < limits.consecutiveFailures) return;
    if (!this.mayEject(candidate, service, limits.maxEjectedPct)) return;
    const factor = 2 ** Math.min(health.ejections, MAX_EJECTION_DOUBLINGS);
    health.ejectedUntilMs = this.time.monotonicMs() + limits.ejectionTime * factor;
    health.ejections += 1;
    health.consecutiveFailures = 0;
  }

  isEjected(node: string): boolean {
    return this.healthOf(node).ejectedUntilMs > this.time.monotonicMs();
  }

  private mayEject(candidate: Candidate, service: string, maxEjectedPct: number): boolean {
    const group = this.candidates().get(indexKey(service, candidate.version))?.flat() ?? [];
    const nowMs = this.time.monotonicMs();
    const ejected = group.filter(({ node }) => this.healthOf(node).ejectedUntilMs > nowMs).length;
    return (ejected + 1) * 100 <= group.length * maxEjectedPct;
  }

  private leastLoadedOfTwo(candidates: readonly Candidate[]): Candidate | null {
    if (candidates.length === 0) return null;
    const first = candidates[Math.floor(this.random() * candidates.length)];
    const second = candidates[Math.floor(this.random() * candidates.length)];
    if (first === undefined || second === undefined) return null;
    return this.load(second) < this.load(first) ? second : first;
  }

  private load(candidate: Candidate): number {
    return this.healthOf(candidate.node).outstanding / Math.max(1, candidate.slots);
  }

  private healthOf(node: string): Health {
    let health = this.health.get(node);
    if (health === undefined) {
      health = { outstanding: 0, consecutiveFailures: 0, ejections: 0, ejectedUntilMs: 0 };
      this.health.set(node, health);
    }
    return health;
  }

  private candidates(): Map<string, [Candidate[], Candidate[], Candidate[]]> {
    if (this.index !== null) return this.index;
    const index = new Map<string, [Candidate[], Candidate[], Candidate[]]>();
    for (const member of this.members.all) this.addCandidate(index, member);
    for (const summary of this.members.regions) {
      if (summary.region === this.cfg.region) continue;
      summary.versions
        .flatMap(({ entries }) => entries)
        .forEach((member) => {
          this.addCandidate(index, member);
        });
    }
    this.index = index;
    this.forgetUnknown(index);
    return index;
  }

  private addCandidate(
    index: Map<string, [Candidate[], Candidate[], Candidate[]]>,
    member: distribution.Member,
  ): void {
    const { upstream } = member;
    if (upstream === undefined || upstream.draining || member.draining) return;
    if (!upstream.healthy || !member.ready) return;
    const key = indexKey(upstream.service, upstream.version);
    const tiers = index.get(key) ?? [[], [], []];
    index.set(key, tiers);
    const near = member.region === this.cfg.region;
    tiers[this.localityOf(member)].push({
      node: member.node,
      region: member.region,
      address: near ? member.peerAddress : member.externalPeerAddress,
      slots: upstream.slots,
      version: upstream.version,
      coldStart: upstream.coldStart,
    });
  }

  private localityOf(member: distribution.Member): Locality {
    if (member.region !== this.cfg.region) return 2;
    return member.failureDomain === this.cfg.failureDomain ? 0 : 1;
  }

  private forgetUnknown(index: Map<string, Candidate[][]>): void {
    const known = new Set([...index.values()].flat(2).map(({ node }) => node));
    for (const [node, health] of this.health) {
      if (!known.has(node) && health.outstanding === 0) this.health.delete(node);
    }
  }
}

function indexKey(service: string, version: string): string {
  return `${service}\u0000${version}`;
}
