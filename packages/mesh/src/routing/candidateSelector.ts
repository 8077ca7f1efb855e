/**
 * Selects the upstreams that a node considers for a request: all of its own failure domain, and a limited
 * number of each greater distance, so that the cost per request does not grow with the fleet.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import * as members from '../membership/members.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as rolloutTable from '../rollouts/rolloutTable.js';
import type * as balancer from './balancer.js';
import * as placements from './placement.js';
import * as rankedMembers from './rankedMembers.js';
import type * as upstreamStats from './upstreamStats.js';
import * as versionChooser from './versionChooser.js';

/** Candidates per request at each distance. Members that are not eligible don't count. */
const MAX_CANDIDATES: Record<members.Distance, number> = {
  host: Infinity,
  domain: Infinity,
  region: 8,
  remote: 6,
};

/** No upstream of the service is known, or none can be reached. */
export const NO_UPSTREAM = 'noUpstream';
/** There are upstreams of the service, but none in the home regions of the request. */
export const NO_UPSTREAM_AT_HOME = 'noUpstreamAtHome';

export type AbsenceReason =
  typeof NO_UPSTREAM | typeof NO_UPSTREAM_AT_HOME | typeof placements.EVACUATED;

/** What decides which upstreams may get a request now. */
export interface SelectionRequest {
  route: configuration.Route;
  service: ids.ServiceName;
  /** Null for any version. */
  versionChoice: versionChooser.VersionChoice | null;
  /** Null for requests without a customer. */
  customer: ids.CustomerName | null;
  customerPriority: number;
  /** Regions that may serve the request. */
  placement: placements.Placement;
  targetLeftMs: number;
  /** Nodes that get no further offer of the request. */
  tried: ReadonlySet<ids.NodeId>;
  isFirstOffer: boolean;
}

export interface Selection {
  candidates: balancer.Candidate[];
  /** Shortest time until a member may be asked again that had no capacity lately; null if there is none. */
  shortestBackoffMs: number | null;
  /** Shortest rest of the waits that such members have stated; only for requests with home regions. */
  shortestStatedMs: number | null;
}

export interface CandidateSelectorOptions {
  table: members.MemberTable;
  rollouts: rolloutTable.RolloutTable;
  evacuations: evacuationTable.EvacuationTable;
  versionChooser: versionChooser.VersionChooser;
  upstreamStats: upstreamStats.UpstreamStats;
  /** Whether requests can be sent to another node at present. */
  isReachable: (node: ids.NodeId) => boolean;
  /** Whether a link to the node is already open. */
  hasOpenLink: (node: ids.NodeId) => boolean;
  /** In-flight requests from this node to the other one. */
  outstandingAt: (node: ids.NodeId) => number;
  /** Requests per second that a cold upstream of the service takes; null if it needs no protection. */
  coldPerSecond?: (service: ids.ServiceName) => number | null;
}

export class CandidateSelector {
  private readonly ranked: rankedMembers.RankedMembers;

  constructor(private readonly options: CandidateSelectorOptions) {
    this.ranked = new rankedMembers.RankedMembers(options.table);
  }

  /**
   * Candidates of the chosen version. If it has no usable upstream at all, for example before the first one
   * of a new version has started, those of the other versions are used.
   */
  select(req: SelectionRequest): Selection {
    let selection = this.collect(req, req.versionChoice);
    if (req.versionChoice === null || !req.isFirstOffer) return selection;
    for (const choice of versionChooser.fallbacksOf(req.versionChoice)) {
      const isDecided = selection.candidates.length > 0 || selection.shortestBackoffMs !== null;
      if (isDecided) break;
      selection = this.collect(req, choice);
    }
    return selection;
  }

  /**
   * The first member by rank for a request that upstreams may have ended over. The rank is the same from all
   * nodes, so that attempts at such a request meet at one upstream instead of ending several.
   * @param probed nodes that refused for now, which are asked after the others
   */
  selectForSuspect(
    req: SelectionRequest,
    { fingerprint, ends }: quarantine.SuspectVerdict,
    probed: ReadonlySet<ids.NodeId>,
  ): balancer.Candidate[] {
    const { table } = this.options;
    const ranked = rendezvous
      .rank(fingerprint, table.serving(req.service), ({ node }) => node)
      .filter((member) => this.isUsable(member, req))
      .filter(({ upstream }) => !ends.has(members.endIdOf(upstream!)));
    const ofVersion = ranked.filter((each) => this.allows(req.versionChoice, each));
    const eligible = ofVersion.length > 0 ? ofVersion : ranked;
    const member = eligible.find(({ node }) => !probed.has(node)) ?? eligible[0];
    if (member === undefined) return [];
    const distance = members.distanceBetween(table.self, member);
    return [this.toCandidate(member, distance, req.route, this.routeAverageMs(req.route))];
  }

  /** Why a request has no candidate at all, whichever nodes it was offered to. */
  absenceReason({ service, placement }: SelectionRequest): AbsenceReason {
    const { table, evacuations } = this.options;
    const serving = table.serving(service);
    const atHome = serving.filter((member) => placements.allows(placement, member));
    if (atHome.length === 0) return serving.length > 0 ? NO_UPSTREAM_AT_HOME : NO_UPSTREAM;
    const isEvacuated = atHome.every(({ domain }) => evacuations.isEvacuated(domain));
    return isEvacuated ? placements.EVACUATED : NO_UPSTREAM;
  }

  /**
   * After a refusal for the place of a node, adds the other nodes of that place to `tried`: the sender may not
   * know of an evacuation or of new home regions, and would make all offers there.
   */
  leaveOutPlace(refusing: members.Member, reason: string, tried: Set<ids.NodeId>): void {
    if (reason !== placements.OUTSIDE_HOME && reason !== placements.EVACUATED) return;
    const { domain, region, upstream } = refusing;
    for (const member of this.options.table.serving(upstream!.service)) {
      const isSamePlace =
        reason === placements.EVACUATED ? member.domain === domain : member.region === region;
      if (isSamePlace) tried.add(member.node);
    }
  }

  /** Leaves out nodes that had no capacity a moment ago, which would only delay the refusal. */
  private collect(
    req: SelectionRequest,
    versionChoice: versionChooser.VersionChoice | null,
  ): Selection {
    const { upstreamStats: stats } = this.options;
    const { route, placement } = req;
    const backoffRequest = { ...req, route: route.name };
    const routeAverageMs = this.routeAverageMs(route);
    const candidates: balancer.Candidate[] = [];
    let shortestBackoffMs: number | null = null;
    let shortestStatedMs: number | null = null;
    const byDistance = this.ranked.of(req.service);
    for (const distance of members.DISTANCES) {
      let remaining = MAX_CANDIDATES[distance];
      for (const member of byDistance[distance]) {
        if (remaining === 0) break;
        if (this.allows(versionChoice, member) && this.isUsable(member, req)) {
          const backoffMs = stats.fullBackoffMs(member.node, backoffRequest);
          if (backoffMs === 0) {
            candidates.push(this.toCandidate(member, distance, route, routeAverageMs));
            remaining -= 1;
          } else {
            shortestBackoffMs = Math.min(shortestBackoffMs ?? Infinity, backoffMs);
            if (placement !== null) {
              const statedMs = stats.statedWaitMs(member.node, backoffRequest);
              shortestStatedMs = Math.min(shortestStatedMs ?? Infinity, statedMs);
            }
          }
        }
      }
    }
    return { candidates, shortestBackoffMs, shortestStatedMs };
  }

  private allows(
    choice: versionChooser.VersionChoice | null,
    { upstream }: members.Member,
  ): boolean {
    return this.options.versionChooser.allows(choice, upstream!.version);
  }

  private isUsable(member: members.Member, req: SelectionRequest): boolean {
    const { table, isReachable, rollouts, evacuations } = this.options;
    const { node, upstream } = member;
    return (
      !req.tried.has(node) &&
      placements.allows(req.placement, member) &&
      !evacuations.isEvacuated(member.domain) &&
      rollouts.mayServe(req.service, upstream!.version) &&
      (node === table.self.node || isReachable(node))
    );
  }

  private routeAverageMs({ name, targetLatencyMs }: configuration.Route): number {
    return this.options.upstreamStats.averageServiceMs(name, targetLatencyMs);
  }

  private toCandidate(
    { node, upstream }: members.Member,
    distance: members.Distance,
    { name: route }: configuration.Route,
    routeAverageMs: number,
  ): balancer.Candidate {
    const { upstreamStats: stats, table, hasOpenLink, outstandingAt } = this.options;
    const isSelf = node === table.self.node;
    return {
      node,
      distance,
      slots: upstream!.slots,
      limitPerSecond: upstream!.limitPerSecond,
      isCold: this.isCold(upstream!),
      load: outstandingAt(node) + stats.loadFromOthers(node),
      reportedLoad: stats.reportedLoad(node),
      reportWeight: stats.reportWeight(node),
      serviceMs: stats.serviceMsAt(node, route, routeAverageMs),
      transferWaitMs: isSelf ? 0 : this.transferWaitMs(node, route),
      failureShare: stats.failureShare(node),
      hasOpenLink: isSelf || hasOpenLink(node),
    };
  }

  private isCold({ service, limitPerSecond }: members.UpstreamState): boolean {
    if (limitPerSecond === null) return false;
    const coldPerSecond = this.options.coldPerSecond?.(service) ?? null;
    return coldPerSecond !== null && limitPerSecond <= coldPerSecond;
  }

  /** Expected wait of the answer for the uplink of the node's host; small answers overtake large ones. */
  private transferWaitMs(node: ids.NodeId, route: ids.RouteName): number {
    const { upstreamStats: stats } = this.options;
    return stats.hasLargeAnswers(route) ? stats.transferWaitMs(node) : 0;
  }
}
