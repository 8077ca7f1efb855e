/**
 * Integrates idempotency records into a node: receives placements over the distribution tree, runs
 * the record store and its recovery, and plans placements while the node is the root relay.
 */

import { backoff, failures, ids, placement as placements } from '@godwittrack/core';
import type { clock, configuration } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import { records } from '@godwittrack/protocol';
import type * as fleetState from '../distribution/fleetState.js';
import type * as parentTask from '../distribution/parentTask.js';
import type * as peerChannels from '../distribution/peerChannels.js';
import type * as logging from '../logging.js';
import type * as settings from '../settings.js';
import * as signals from '../signals.js';
import * as grpcRecordPeers from './grpcRecordPeers.js';
import * as keyGuard from './keyGuard.js';
import * as placementPlanner from './placementPlanner.js';
import * as recordStore from './recordStore.js';
import * as recovery from './recovery.js';

const PLAN_INTERVAL_MS = 1_000;
/** How long a claim under an old epoch waits for the newer placement that a holder has named. */
const REFRESH_WAIT_MS = 300;
/** Timeout of a probe of a holder that is missing from the member table. */
const PROBE_TIMEOUT_MS = 1_000;
/** A holder stops granting claims when its placement has not been confirmed for this long. */
const PLACEMENT_LEASE_MS = 3_600_000;
const DEFAULT_RETENTION_MS = 600_000;

export class RecordsRuntime implements keyGuard.PlacementSource {
  readonly store: recordStore.RecordStore;

  readonly guard: keyGuard.KeyGuard;

  private readonly peers: grpcRecordPeers.GrpcRecordPeers;

  private readonly recovery: recovery.Recovery;

  private readonly planner: placementPlanner.PlacementPlanner;

  private readonly knownPlacements = new Map<string, placements.Placement>();

  private readonly placementsChanged = new signals.ChangeSignal();

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly parents: parentTask.ParentTask,
    private readonly channels: peerChannels.PeerChannels,
    objects: objectStore.ObjectStore,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {
    const incarnation = ids.incarnation(state.local.startedAtMs);
    const retentionMs = (service: string) => this.retentionOf(service);
    this.store = new recordStore.RecordStore(cfg.node, incarnation, time, {
      retentionMs,
      placementLeaseMs: PLACEMENT_LEASE_MS,
    });
    this.peers = new grpcRecordPeers.GrpcRecordPeers(this.store, (holder) => this.clientOf(holder));
    this.guard = new keyGuard.KeyGuard(cfg.node, incarnation, this, this.peers, time);
    this.recovery = new recovery.Recovery(this.store, this.peers, () =>
      this.knownPlacements.keys(),
    );
    this.planner = new placementPlanner.PlacementPlanner(state.members, objects, time, log, {
      onceServices: () => this.onceServices(),
      known: this.knownPlacements,
      fullHistoryWaitMs: (service) => this.retentionOf(service) + PLACEMENT_LEASE_MS,
      isAlive: (holder) => this.isAlive(holder),
    });
    state.placements.changed.subscribe(() => this.adoptPlacements());
    state.platformLink.changed.subscribe(() => this.confirmPlacements());
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.recovery.run(signal), this.runPlanner(signal)]);
  }

  current(service: string): placements.Placement | null {
    return this.knownPlacements.get(service) ?? null;
  }

  async refresh(service: string, epoch: number): Promise<placements.Placement | null> {
    const wakeup = new signals.Wakeup();
    const unsubscribe = this.placementsChanged.subscribe(() => wakeup.notify());
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

  /** Returns the client of a holder; the member table has newer addresses than the placement. */
  private clientOf(holder: placements.Member) {
    const seen = this.state.members.get(holder.node);
    const { peerAddress, externalPeerAddress, region } = seen ?? holder;
    const address = region === this.cfg.region ? peerAddress : externalPeerAddress;
    return address === undefined || address === '' ? null : this.channels.get(address).records;
  }

  private adoptPlacements(): void {
    for (const { name, json } of this.state.placements.all) {
      try {
        const placement = placements.Placement.parse(JSON.parse(json));
        if (placement.epoch > (this.current(name)?.epoch ?? 0)) {
          this.knownPlacements.set(name, placement);
          this.store.adopt(placement, this.state.platformLink.ageMs ?? 0);
          void this.recovery.round(name);
        }
      } catch (err) {
        const failure = failures.fromError(err);
        this.log.error({ service: name, failure }, 'Placement is unreadable.');
      }
    }
    this.placementsChanged.notify();
  }

  /**
   * Renews the lease of the known placements. The distribution tree delivers placements before it
   * reports a contact with the platform, so the known ones are current.
   */
  private confirmPlacements(): void {
    const ageMs = this.state.platformLink.ageMs ?? 0;
    this.knownPlacements.forEach((placement) => this.store.adopt(placement, ageMs));
  }

  private async runPlanner(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await backoff.sleep(PLAN_INTERVAL_MS, signal);
      if (signal.aborted) return;
      if (this.parents.role === 'root') await this.planner.planAll(signal);
      else this.planner.reset();
    }
  }

  /** Probes a holder with a claim of epoch 0, which is never granted; any reply means it is alive. */
  private async isAlive(holder: placements.Member): Promise<boolean> {
    const probe = records.ClaimRequest.fromPartial({});
    try {
      await this.peers.claim(holder, probe, PROBE_TIMEOUT_MS);
      return true;
    } catch {
      return false;
    }
  }

  /** Services with `once` routes; only these need records. */
  private onceServices(): Set<ids.ServiceName> {
    const { routes } = this.state.config.current;
    const once = routes.filter((route: configuration.Route) => route.semantics === 'once');
    return new Set(once.map((route) => route.service));
  }
}
