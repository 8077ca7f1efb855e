/** Plans the placements of all services on the root relay, from the members that it sees. */

import { failures, ids, placement as placements } from '@godwittrack/core';
import type { clock as clocks } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import type * as logging from '../logging.js';
import type * as memberTable from '../membership/memberTable.js';
import * as holderPresence from './holderPresence.js';
import * as placementController from './placementController.js';

/** Time after which a service with fewer members than usual gets its first placement. */
export const SMALL_GROUP_WAIT_MS = 10_000;

export interface PlacementPlannerOptions {
  /** Services with `once` routes. */
  onceServices: () => Iterable<string>;
  /** Placements known to this node, by service. */
  known: ReadonlyMap<string, placements.Placement>;
  /** Time that a holder without copies waits: retention and placement lease. */
  waitMs: (service: string) => number;
  /** Asks a holder for a sign of life; never rejects. */
  answers: (holder: placements.Member) => Promise<boolean>;
}

export class PlacementPlanner {
  private readonly presence: holderPresence.HolderPresence;

  private readonly planner: placementController.PlacementController;

  private readonly smallPlanner: placementController.PlacementController;

  private readonly firstSeenMs = new Map<string, number>();

  constructor(
    private readonly members: memberTable.MemberTable,
    objects: objectStore.ObjectStore,
    private readonly time: clocks.Clock,
    private readonly log: logging.Logger,
    private readonly options: PlacementPlannerOptions,
  ) {
    const { waitMs, answers } = options;
    this.presence = new holderPresence.HolderPresence(members.region, time, answers);
    this.planner = new placementController.PlacementController(objects, time, { waitMs });
    this.smallPlanner = new placementController.PlacementController(objects, time, {
      waitMs,
      minFirstMembers: 1,
    });
  }

  /** Plans each service once; call it regularly while this node is the root. */
  async round(signal?: AbortSignal): Promise<void> {
    // A placement without `once` routes is kept up, else the route's return would find no holder.
    const services = new Set([...this.options.onceServices(), ...this.options.known.keys()]);
    // A slow answer for one service holds up no other.
    await Promise.all(
      [...services].map(async (service) => {
        try {
          await this.plan(ids.serviceName(service), signal);
        } catch (err) {
          this.log.debug({ service, failure: failures.fromError(err) }, 'Placement not written.');
        }
      }),
    );
  }

  /** Forgets what was seen; call it when this node is no longer the root. */
  reset(): void {
    this.firstSeenMs.clear();
  }

  private async plan(service: ids.ServiceName, signal?: AbortSignal): Promise<void> {
    const seen = this.seenMembers(service);
    const held = this.options.known.get(service);
    if (held === undefined) {
      await this.planFirst(service, seen, signal);
      return;
    }
    const serving = new Set<string>(seen.map(({ node }) => node));
    const elsewhere = this.members.all.map(({ node }) => node).filter((node) => !serving.has(node));
    const live = await this.presence.review(held, seen, new Set(elsewhere));
    if (held.next(live, this.time.nowMs(), this.options.waitMs(service)) === null) return;
    const placement = await this.planner.reconcile(service, live, signal);
    if (placement !== null && placement.epoch > held.epoch) this.report(placement);
  }

  private async planFirst(
    service: ids.ServiceName,
    seen: readonly placements.LiveMember[],
    signal?: AbortSignal,
  ): Promise<void> {
    if (seen.length === 0) return;
    const nowMs = this.time.monotonicMs();
    const sinceMs = this.firstSeenMs.get(service) ?? nowMs;
    this.firstSeenMs.set(service, sinceMs);
    const waited = nowMs - sinceMs >= SMALL_GROUP_WAIT_MS;
    if (!waited && seen.length < placements.MIN_FIRST_MEMBERS) return;
    const planner = waited ? this.smallPlanner : this.planner;
    const placement = await planner.first(service, seen, signal);
    if (placement !== null) this.report(placement);
  }

  private report({ service, epoch, members }: placements.Placement): void {
    this.log.info({ service, epoch, members: members.length }, 'Placement written.');
  }

  private seenMembers(service: ids.ServiceName): placements.LiveMember[] {
    const far = this.members.regions
      .filter(({ region }) => region !== this.members.region)
      .flatMap(({ versions }) => versions.flatMap(({ entries }) => entries));
    const unique = new Map<string, distribution.Member>();
    [...far, ...this.members.all].forEach((member) => unique.set(member.node, member));
    return [...unique.values()]
      .filter((member) => member.upstream?.service === service && !member.draining && member.ready)
      .map((member) => ({
        node: ids.nodeId(member.node),
        incarnation: ids.incarnation(member.startedAtMs),
        region: ids.regionName(member.region),
        failureDomain: ids.domainName(member.failureDomain),
        peerAddress: member.peerAddress,
        externalPeerAddress: member.externalPeerAddress,
      }));
  }
}
