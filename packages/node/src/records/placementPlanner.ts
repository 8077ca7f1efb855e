/** Plans the placements of all services on the root relay, from the members in its member table. */

import { failures, ids, placement as placements } from '@godwittrack/core';
import type { clock as clocks } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import type * as logging from '../logging.js';
import type * as memberTable from '../membership/memberTable.js';
import * as holderPresence from './holderPresence.js';
import * as placementController from './placementController.js';

/** Time after which a service with fewer members than the minimum gets its first placement. */
export const SMALL_GROUP_WAIT_MS = 10_000;

export interface PlacementPlannerOptions {
  /** Services with `once` routes. */
  onceServices: () => Iterable<string>;
  /** Latest placements that this node has read, by service. */
  known: ReadonlyMap<string, placements.Placement>;
  /** Time after which a holder is ready without copies: retention plus placement lease. */
  fullHistoryWaitMs: (service: string) => number;
  /** Probes whether the process of a holder responds; never rejects. */
  isAlive: (holder: placements.Member) => Promise<boolean>;
}

export class PlacementPlanner {
  private readonly presence: holderPresence.HolderPresence;

  private readonly controller: placementController.PlacementController;

  private readonly smallGroupController: placementController.PlacementController;

  private readonly firstVisibleAtMs = new Map<string, number>();

  constructor(
    private readonly members: memberTable.MemberTable,
    objects: objectStore.ObjectStore,
    private readonly time: clocks.Clock,
    private readonly log: logging.Logger,
    private readonly options: PlacementPlannerOptions,
  ) {
    const { fullHistoryWaitMs, isAlive } = options;
    this.presence = new holderPresence.HolderPresence(members.region, time, isAlive);
    this.controller = new placementController.PlacementController(objects, time, {
      fullHistoryWaitMs,
    });
    this.smallGroupController = new placementController.PlacementController(objects, time, {
      fullHistoryWaitMs,
      minFirstMembers: 1,
    });
  }

  /** Plans the placement of each service once; called periodically while this node is the root. */
  async planAll(signal?: AbortSignal): Promise<void> {
    // Placements are maintained after the last `once` route is removed; otherwise a route that is
    // added again would have no live holders.
    const services = new Set([...this.options.onceServices(), ...this.options.known.keys()]);
    // In parallel, so that a slow call for one service does not delay the others.
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

  /** Resets the waits for first placements; called while this node is not the root. */
  reset(): void {
    this.firstVisibleAtMs.clear();
  }

  private async plan(service: ids.ServiceName, signal?: AbortSignal): Promise<void> {
    const visible = this.visibleMembers(service);
    const current = this.options.known.get(service);
    if (current === undefined) {
      await this.planFirst(service, visible, signal);
      return;
    }
    const serving = new Set<string>(visible.map(({ node }) => node));
    const nonServing = this.members.all
      .map(({ node }) => node)
      .filter((node) => !serving.has(node));
    const live = await this.presence.membersForPlanning(current, visible, new Set(nonServing));
    if (current.next(live, this.time.nowMs(), this.options.fullHistoryWaitMs(service)) === null)
      return;
    const placement = await this.controller.reconcile(service, live, signal);
    if (placement !== null && placement.epoch > current.epoch) this.logWritten(placement);
  }

  private async planFirst(
    service: ids.ServiceName,
    visible: readonly placements.LiveMember[],
    signal?: AbortSignal,
  ): Promise<void> {
    if (visible.length === 0) return;
    const nowMs = this.time.monotonicMs();
    const sinceMs = this.firstVisibleAtMs.get(service) ?? nowMs;
    this.firstVisibleAtMs.set(service, sinceMs);
    const waited = nowMs - sinceMs >= SMALL_GROUP_WAIT_MS;
    if (!waited && visible.length < placements.MIN_FIRST_MEMBERS) return;
    const controller = waited ? this.smallGroupController : this.controller;
    const placement = await controller.ensurePlacement(service, visible, signal);
    if (placement !== null) this.logWritten(placement);
  }

  private logWritten({ service, epoch, members }: placements.Placement): void {
    this.log.info({ service, epoch, members: members.length }, 'Placement written.');
  }

  private visibleMembers(service: ids.ServiceName): placements.LiveMember[] {
    const remoteMembers = this.members.regions
      .filter(({ region }) => region !== this.members.region)
      .flatMap(({ versions }) => versions.flatMap(({ entries }) => entries));
    const unique = new Map<string, distribution.Member>();
    [...remoteMembers, ...this.members.all].forEach((member) => unique.set(member.node, member));
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
