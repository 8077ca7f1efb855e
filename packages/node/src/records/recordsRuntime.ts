/**
 * Connects idempotency records with the node: placements from the tree, the holder's store and its
 * recovery, and on the root relay the planning of placements.
 */

import { backoff, failures, ids, placement as placements } from '@godwittrack/core';
import type { clock, configuration } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import type * as fleetState from '../distribution/fleetState.js';
import type * as parentTask from '../distribution/parentTask.js';
import type * as peerChannels from '../distribution/peerChannels.js';
import type * as logging from '../logging.js';
import type * as settings from '../settings.js';
import * as signals from '../signals.js';
import * as grpcRecordPeers from './grpcRecordPeers.js';
import * as keyGuard from './keyGuard.js';
import * as placementController from './placementController.js';
import * as recordStore from './recordStore.js';
import * as recovery from './recovery.js';

const PLAN_INTERVAL_MS = 1_000;
/** Time that a claim under an old epoch waits for the placement that a holder named. */
const REFRESH_WAIT_MS = 300;
/** Time after which a service with fewer members than usual gets its first placement. */
const SMALL_GROUP_WAIT_MS = 10_000;
/** A holder stops granting when its placement was not confirmed for this long. */
const PLACEMENT_LEASE_MS = 3_600_000;
const DEFAULT_RETENTION_MS = 600_000;

export class RecordsRuntime implements keyGuard.PlacementSource {
  readonly store: recordStore.RecordStore;

  readonly guard: keyGuard.KeyGuard;

  private readonly peers: grpcRecordPeers.GrpcRecordPeers;

  private readonly recovery: recovery.Recovery;

  private readonly planner: placementController.PlacementController;

  private readonly smallPlanner: placementController.PlacementController;

  private readonly known = new Map<string, placements.Placement>();

  private readonly firstSeenMs = new Map<string, number>();

  private readonly placed = new signals.ChangeSignal();

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly parents: parentTask.ParentTask,
    private readonly channels: peerChannels.PeerChannels,
    objects: objectStore.ObjectStore,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {
    const life = ids.incarnation(state.local.startedAtMs);
    const retentionMs = (service: string) => this.retentionOf(service);
    const waitMs = (service: string) => this.retentionOf(service) + PLACEMENT_LEASE_MS;
    this.store = new recordStore.RecordStore(cfg.node, life, time, {
      retentionMs,
      placementLeaseMs: PLACEMENT_LEASE_MS,
    });
    this.peers = new grpcRecordPeers.GrpcRecordPeers(this.store, (node) => this.clientOf(node));
    this.guard = new keyGuard.KeyGuard(cfg.node, life, this, this.peers, time);
    this.recovery = new recovery.Recovery(this.store, this.peers, () => this.known.keys());
    this.planner = new placementController.PlacementController(objects, time, { waitMs });
    this.smallPlanner = new placementController.PlacementController(objects, time, {
      waitMs,
      minFirstMembers: 1,
    });
    state.placements.changed.subscribe(() => this.takePlacements());
    state.link.contacted.subscribe(() => this.confirm());
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.recovery.run(signal), this.plan(signal)]);
  }

  current(service: string): placements.Placement | null {
    return this.known.get(service) ?? null;
  }

  async refresh(service: string, epoch: number): Promise<placements.Placement | null> {
    const wakeup = new signals.Wakeup();
    const unsubscribe = this.placed.subscribe(() => wakeup.notify());
    const endMs = this.time.monotonicMs() + REFRESH_WAIT_MS;
    while ((this.current(service)?.epoch ?? 0) < epoch) {
      const leftMs = endMs - this.time.monotonicMs();
      if (leftMs <= 0) break;
      await wakeup.wait(leftMs);
    }
    unsubscribe();
    return this.current(service);
  }

  private retentionOf(service: string): number {
    const { services } = this.state.config.current;
    return services.get(ids.serviceName(service))?.idempotencyRetention ?? DEFAULT_RETENTION_MS;
  }

  /** Client of a holder: by its member record if there is one, else by the placement. */
  private clientOf(node: string) {
    const { region } = this.cfg;
    const holder = [...this.known.values()]
      .flatMap((placement) => placement.members)
      .find((member) => member.node === node);
    const near = (this.state.members.get(node)?.region ?? holder?.region) === region;
    const source = this.state.members.get(node) ?? holder;
    const address = near ? source?.peerAddress : source?.externalPeerAddress;
    return address === undefined || address === '' ? null : this.channels.get(address).records;
  }

  private takePlacements(): void {
    for (const { name, json } of this.state.placements.all) {
      try {
        const placement = placements.Placement.parse(JSON.parse(json));
        if (placement.epoch > (this.current(name)?.epoch ?? 0)) {
          this.known.set(name, placement);
          this.store.adopt(placement, this.state.link.ageMs ?? 0);
          void this.recovery.round(name);
        }
      } catch (err) {
        const failure = failures.of(err);
        this.log.error({ service: name, failure }, 'Placement is unreadable.');
      }
    }
    this.placed.notify();
  }

  /** The tree sends placements before it passes on a contact, so the ones held are current. */
  private confirm(): void {
    const ageMs = this.state.link.ageMs ?? 0;
    this.known.forEach((placement) => this.store.adopt(placement, ageMs));
  }

  private async plan(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await backoff.sleep(PLAN_INTERVAL_MS, signal);
      if (this.parents.role !== 'root') continue;
      for (const service of this.onceServices()) {
        try {
          await this.planService(service, signal);
        } catch (err) {
          this.log.debug({ service, failure: failures.of(err) }, 'Placement not written.');
        }
      }
    }
  }

  private async planService(service: ids.ServiceName, signal: AbortSignal): Promise<void> {
    const live = this.liveMembers(service);
    const held = this.current(service);
    const nowMs = this.time.nowMs();
    const waitMs = this.retentionOf(service) + PLACEMENT_LEASE_MS;
    if (held !== null && held.next(live, nowMs, waitMs) === null) return;
    if (live.length > 0 && !this.firstSeenMs.has(service)) {
      this.firstSeenMs.set(service, this.time.monotonicMs());
    }
    const sinceMs = this.firstSeenMs.get(service) ?? Number.POSITIVE_INFINITY;
    const waited = this.time.monotonicMs() - sinceMs >= SMALL_GROUP_WAIT_MS;
    const planner = waited ? this.smallPlanner : this.planner;
    const placement = await planner.reconcile(service, live, signal);
    if (placement !== null && placement.epoch > (held?.epoch ?? 0)) {
      const members = placement.members.length;
      this.log.info({ service, epoch: placement.epoch, members }, 'Placement written.');
    }
  }

  /** Services that need records at all. */
  private onceServices(): Set<ids.ServiceName> {
    const { routes } = this.state.config.current;
    const once = routes.filter((route: configuration.Route) => route.semantics === 'once');
    return new Set(once.map((route) => route.service));
  }

  private liveMembers(service: ids.ServiceName): placements.LiveMember[] {
    const { members } = this.state;
    const far = members.regions
      .filter(({ region }) => region !== members.region)
      .flatMap(({ versions }) => versions.flatMap(({ entries }) => entries));
    const unique = new Map<string, distribution.Member>();
    [...far, ...members.all].forEach((member) => unique.set(member.node, member));
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
