/**
 * Load balancer: draws two random candidates of the nearest locality that has any with free
 * capacity, and takes the one with fewer outstanding requests per slot. Servers that fail are
 * ejected for a while.
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
  /** The server started only seconds ago; attempts at it are no evidence about its version yet. */
  coldStart: boolean;
  incarnation: number;
}

/** Result of a request as evidence of its server's health; `neutral` says nothing about it. */
export type AttemptResult = 'ok' | 'busy' | 'failed' | 'unreachable' | 'neutral';

/** Nearest first: same failure domain, same region, another region. */
type Locality = 0 | 1 | 2;

interface Health {
  incarnation: number;
  outstanding: number;
  /** Until then the server is skipped, because it refused a request for lack of capacity. */
  busyUntilMs: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
}

const MAX_EJECTION_DOUBLINGS = 6;
/**
 * Short compared with the time in which queues change, so that a server with free capacity is soon
 * used again.
 */
const BUSY_MS = 25;

export class Balancer {
  private readonly health = new Map<string, Health>();

  /** Candidates of each locality by service and version; null when members have changed. */
  private index: Map<string, [Candidate[], Candidate[], Candidate[]]> | null = null;

  constructor(
    private readonly nodeSettings: settings.ResolvedSettings,
    private readonly members: memberTable.MemberTable,
    private readonly time: clock.Clock,
    private readonly random: () => number = Math.random,
  ) {
    members.changed.subscribe(() => {
      this.index = null;
    });
  }

  /** Chooses a server that is not in `exclude`; null when none is known. */
  pick(service: string, version: string, exclude: ReadonlySet<string>): Candidate | null {
    const tiers = this.candidates().get(indexKey(service, version));
    if (tiers === undefined) return null;
    const nowMs = this.time.monotonicMs();
    const remaining = tiers.map((tier) => tier.filter(({ node }) => !exclude.has(node)));
    const usable = remaining.map((tier) =>
      tier.filter(({ node }) => this.healthOf(node).ejectedUntilMs <= nowMs),
    );
    for (const tier of usable) {
      // Spills over to the next locality when this one is full, before its servers have to refuse.
      const withCapacity = tier.filter((candidate) => this.hasCapacity(candidate, nowMs));
      const chosen = this.leastLoadedOfTwo(withCapacity);
      if (chosen !== null) return chosen;
    }
    // All are full or ejected: try one of them rather than refuse the request.
    return this.leastLoadedOfTwo(usable.flat()) ?? this.leastLoadedOfTwo(remaining.flat());
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

  /** Number of servers of a service and version known to this node, in all regions. */
  serverCount(service: string, version: string): number {
    return this.candidates().get(indexKey(service, version))?.flat().length ?? 0;
  }

  beginRequest(candidate: Candidate): void {
    const health = this.healthOf(candidate.node);
    if (health.incarnation < candidate.incarnation) {
      // Failures of the previous process do not count against a node that has restarted.
      Object.assign(health, createHealth(), { outstanding: health.outstanding });
      health.incarnation = candidate.incarnation;
    }
    health.outstanding += 1;
  }

  /** Records the result of a request, and ejects the server if it failed too often. */
  endRequest(
    candidate: Candidate,
    service: string,
    result: AttemptResult,
    outlier: resources.ServiceSpec['outlier'],
  ): void {
    const health = this.healthOf(candidate.node);
    health.outstanding = Math.max(0, health.outstanding - 1);
    if (health.incarnation > candidate.incarnation) return;
    if (result === 'ok') {
      health.consecutiveFailures = 0;
      health.ejections = 0;
    }
    if (result === 'busy') health.busyUntilMs = this.time.monotonicMs() + BUSY_MS;
    if (result === 'failed') health.consecutiveFailures += 1;
    // Nothing listens at an unreachable server: it is ejected without waiting for more failures.
    const shouldEject =
      result === 'unreachable' ||
      (result === 'failed' && health.consecutiveFailures >= outlier.consecutiveFailures);
    if (!shouldEject || this.isEjected(candidate.node)) return;
    if (!this.mayEject(candidate, service, outlier.maxEjectedPct)) return;
    const factor = 2 ** Math.min(health.ejections, MAX_EJECTION_DOUBLINGS);
    health.ejectedUntilMs = this.time.monotonicMs() + outlier.ejectionTime * factor;
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
    const firstIndex = Math.floor(this.random() * candidates.length);
    // Two different ones: with two servers, drawing the same twice would ignore load half the time.
    const offset = 1 + Math.floor(this.random() * (candidates.length - 1));
    const first = candidates[firstIndex];
    const second = candidates[(firstIndex + offset) % candidates.length];
    if (first === undefined || second === undefined) return null;
    return this.load(second) < this.load(first) ? second : first;
  }

  private hasCapacity(candidate: Candidate, nowMs: number): boolean {
    return this.healthOf(candidate.node).busyUntilMs <= nowMs && this.load(candidate) < 1;
  }

  private load(candidate: Candidate): number {
    return this.healthOf(candidate.node).outstanding / Math.max(1, candidate.slots);
  }

  private healthOf(node: string): Health {
    let health = this.health.get(node);
    if (health === undefined) {
      health = createHealth();
      this.health.set(node, health);
    }
    return health;
  }

  private candidates(): Map<string, [Candidate[], Candidate[], Candidate[]]> {
    if (this.index !== null) return this.index;
    const index = new Map<string, [Candidate[], Candidate[], Candidate[]]>();
    for (const member of this.members.all) this.addCandidate(index, member);
    for (const summary of this.members.regions) {
      if (summary.region === this.nodeSettings.region) continue;
      summary.versions
        .flatMap(({ entries }) => entries)
        .forEach((member) => {
          this.addCandidate(index, member);
        });
    }
    this.index = index;
    this.removeUnknownNodes(index);
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
    const isSameRegion = member.region === this.nodeSettings.region;
    tiers[this.localityOf(member)].push({
      node: member.node,
      region: member.region,
      address: isSameRegion ? member.peerAddress : member.externalPeerAddress,
      slots: upstream.slots,
      version: upstream.version,
      coldStart: upstream.coldStart,
      incarnation: member.incarnation,
    });
  }

  private localityOf(member: distribution.Member): Locality {
    if (member.region !== this.nodeSettings.region) return 2;
    return member.failureDomain === this.nodeSettings.failureDomain ? 0 : 1;
  }

  private removeUnknownNodes(index: Map<string, Candidate[][]>): void {
    const known = new Set([...index.values()].flat(2).map(({ node }) => node));
    for (const [node, health] of this.health) {
      if (!known.has(node) && health.outstanding === 0) this.health.delete(node);
    }
  }
}

function createHealth(): Health {
  return {
    incarnation: 0,
    outstanding: 0,
    busyUntilMs: 0,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
  };
}

function indexKey(service: string, version: string): string {
  return `${service}\u0000${version}`;
}
