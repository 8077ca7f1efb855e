/**
 * Connects idempotency records with the node: placements from the tree, the holder's store and its
 * recovery, and on the root relay the planning of placements.
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
/** Time that a claim under an old epoch waits for the placement that a holder named. */
const REFRESH_WAIT_MS = 300;
/** Time for a holder that is out of sight to show that it lives. */
const PROBE_TIMEOUT_MS = 1_000;
/** A holder stops granting when its placement was not confirmed for this long. */
const PLACEMENT_LEASE_MS = 3_600_000;
const DEFAULT_RETENTION_MS = 600_000;

export class RecordsRuntime implements keyGuard.PlacementSource {
  readonly store: recordStore.RecordStore;

  readonly guard: keyGuard.KeyGuard;

  private readonly peers: grpcRecordPeers.GrpcRecordPeers;

  private readonly recovery: recovery.Recovery;

  private readonly planner: placementPlanner.PlacementPlanner;

  private readonly known = new Map<string, placements.Placement>();

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
    this.store = new recordStore.RecordStore(cfg.node, life, time, {
      retentionMs,
      placementLeaseMs: PLACEMENT_LEASE_MS,
    });
    this.peers = new grpcRecordPeers.GrpcRecordPeers(this.store, (holder) => this.clientOf(holder));
    this.guard = new keyGuard.KeyGuard(cfg.node, life, this, this.peers, time);
    this.recovery = new recovery.Recovery(this.store, this.peers, () => this.known.keys());
    this.planner = new placementPlanner.PlacementPlanner(state.members, objects, time, log, {
      onceServices: () => this.onceServices(),
      known: this.known,
      waitMs: (service) => this.retentionOf(service) + PLACEMENT_LEASE_MS,
      answers: (holder) => this.answers(holder),
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
  private clientOf(holder: placements.Member) {
    const seen = this.state.members.get(holder.node);
    const { peerAddress, externalPeerAddress, region } = seen ?? holder;
    const address = region === this.cfg.region ? peerAddress : externalPeerAddress;
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
        const failure = failures.fromError(err);
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
      if (signal.aborted) return;
      if (this.parents.role === 'root') await this.planner.round(signal);
      else this.planner.reset();
    }
  }

  /** A claim of epoch 0 is never granted; any answer shows that the holder's process lives. */
  private async answers(holder: placements.Member): Promise<boolean> {
    const probe = records.ClaimRequest.fromPartial({});
    try {
      await this.peers.claim(holder, probe, PROBE_TIMEOUT_MS);
      return true;
    } catch {
      return false;
    }
  }

  /** Services that need records at all. */
  private onceServices(): Set<ids.ServiceName> {
    const { routes } = this.state.config.current;
    const once = routes.filter((route: configuration.Route) => route.semantics === 'once');
    return new Set(once.map((route) => route.service));
  }
}
