/**
 * Connects rollouts to the rest of the node: traffic shares for the request path, evidence from it,
 * vetoes to and from the distribution tree, and the controller, which is active on the root relay.
 */

import { backoff, failures, ids, rollout as rollouts } from '@godwittrack/core';
import type { clock, configuration, metrics } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import type * as auditTrail from '../admin/auditTrail.js';
import type * as fleetState from '../distribution/fleetState.js';
import type * as parentTask from '../distribution/parentTask.js';
import type * as logging from '../logging.js';
import * as versionChooser from '../requests/versionChooser.js';
import * as evidenceMerge from './evidenceMerge.js';
import * as evidenceRecorder from './evidenceRecorder.js';
import * as leases from './lease.js';
import * as loadEstimate from './loadEstimate.js';
import * as localGuard from './localGuard.js';
import * as rolloutController from './rolloutController.js';
import * as trafficShares from './trafficShares.js';
import * as vetoSet from './vetoSet.js';

/** Interval at which a node evaluates its own counters and reports them to its parent. */
const EVIDENCE_INTERVAL_MS = 250;

export class RolloutRuntime extends versionChooser.VersionChooser {
  private readonly vetoes = new vetoSet.VetoSet();

  private readonly shares: trafficShares.TrafficShares;

  private readonly recorder: evidenceRecorder.EvidenceRecorder;

  /** Evidence of this node alone, for its local guard. */
  private readonly ownEvidence = new evidenceMerge.EvidenceMerge();

  /** Evidence of this node and all nodes below it, for the controller. */
  private readonly fleetEvidence = new evidenceMerge.EvidenceMerge();

  private readonly guard: localGuard.LocalGuard;

  private readonly load: loadEstimate.LoadEstimate;

  readonly controller: rolloutController.RolloutController;

  constructor(
    private readonly state: fleetState.FleetState,
    private readonly parents: parentTask.ParentTask,
    store: objectStore.ObjectStore,
    audit: auditTrail.AuditTrail,
    private readonly meters: metrics.Metrics,
    private readonly log: logging.Logger,
    time: clock.Clock,
    private readonly random: () => number = Math.random,
  ) {
    super();
    const { local } = state;
    this.recorder = new evidenceRecorder.EvidenceRecorder(
      local.node,
      local.incarnation,
      time.nowMs(),
    );
    this.load = new loadEstimate.LoadEstimate(time);
    this.guard = new localGuard.LocalGuard({
      node: local.node,
      nowMs: () => time.nowMs(),
      onVeto: (veto) => this.addVeto(veto),
      readyServers: (rollout, version) => this.readyServers(rollout, version),
      entryNodes: () => this.entryNodes(),
    });
    this.shares = new trafficShares.TrafficShares(this.vetoes, (id) => this.guard.isSuspect(id));
    this.controller = new rolloutController.RolloutController({
      node: local.node,
      store,
      lease: new leases.ControllerLease(store, time, `${local.node}.${local.incarnation}`),
      clock: time,
      inputs: this.controllerInputs(),
      audit: {
        record: (entry) => {
          void audit.record({ ...entry, version: null });
        },
      },
      logger: log,
      // Written documents return through the platform watch with their object version and are
      // distributed from there.
      onDocument: () => {},
      onVeto: (veto) => this.addVeto(veto),
    });
    state.config.changed.subscribe(() => this.applyConfiguration());
    state.rollouts.changed.subscribe(() => this.applyDocuments());
    state.evidence.vetoed.subscribe(() => this.applyVetoes());
  }

  override choose(
    route: configuration.Route,
    isReady: (version: string) => boolean,
  ): versionChooser.VersionChoice | null {
    return this.shares.chooseVersion(route.service, route.name, this.random(), isReady);
  }

  override recordAttempt(attempt: versionChooser.FinishedAttempt): void {
    this.recorder.record(attempt);
    this.guard.record(attempt);
    const { version, outcome } = attempt;
    this.meters.increment('godwittrack_rollout_requests_total', { version, outcome });
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.reportEvidence(signal), this.controller.run(signal)]);
  }

  /** Known documents, newest ticket first. */
  documents(): rollouts.Rollout[] {
    return this.shares.all().sort((a, b) => b.data.ticket - a.data.ticket);
  }

  /** Share of the whole service, regardless of routes; null when it has no plan. */
  shareOf(service: string): trafficShares.VersionShare | null {
    return this.shares.shareOf(service, '');
  }

  vetoesOf(rollout: string): distribution.Veto[] {
    return this.vetoes.of(rollout);
  }

  private async reportEvidence(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await backoff.sleep(EVIDENCE_INTERVAL_MS, signal);
      const samples = this.recorder.samples();
      this.ownEvidence.merge(samples);
      samples.forEach((sample) => this.state.evidence.addSample(sample, ''));
      for (const document of this.running()) {
        const { id, sharePct } = document.data;
        this.guard.evaluate(id, this.ownEvidence.totals(id), sharePct);
      }
    }
  }

  private running(): rollouts.Rollout[] {
    return this.shares.all().filter((document) => !document.isFinal);
  }

  private applyConfiguration(): void {
    this.shares.setConfiguration(this.state.config.current);
    this.updateRunningRollouts();
  }

  private applyDocuments(): void {
    for (const { name, json } of this.state.rollouts.all) {
      try {
        this.shares.apply(rollouts.Rollout.parse(JSON.parse(json)));
      } catch (err) {
        const failure = failures.fromError(err);
        this.log.error(
          { rollout: name, failure },
          'Rollout document could not be parsed; it is ignored.',
        );
      }
    }
    this.updateRunningRollouts();
  }

  private applyVetoes(): void {
    for (const veto of this.vetoes.merge(this.state.evidence.allVetoes)) {
      const { rollout, version, route, node, reason } = veto;
      this.log.warn(
        { rollout, version, route, node, reason },
        'Veto recorded against the version.',
      );
    }
  }

  private addVeto(veto: distribution.Veto): void {
    this.state.evidence.addVeto(veto, '');
  }

  private updateRunningRollouts(): void {
    const running = this.running().map(({ data }) => ({
      rollout: data.id,
      stable: data.stable,
      target: data.target,
      balance: data.balance,
    }));
    this.guard.watch(running);
    const targets = new Map(running.map(({ rollout, target }) => [rollout, target]));
    this.recorder.retain(targets);
    const active = new Set(targets.keys());
    this.ownEvidence.retain(active);
    this.fleetEvidence.retain(active);
    this.state.evidence.retainRollouts((id) => active.has(id) || !this.isKnown(id));
  }

  /** False for a rollout whose document has not arrived yet; it may be running. */
  private isKnown(rollout: string): boolean {
    return this.shares.all().some((document) => document.id === rollout);
  }

  private readyServers(rollout: string, version: string): number {
    const service = rollout.slice(0, rollout.lastIndexOf('.'));
    return this.upstreams().filter(
      (one) => one.service === service && one.version === version && one.ready,
    ).length;
  }

  /** Number of nodes in this region, plus the servers counted in other regions' summaries. */
  private entryNodes(): number {
    const { members } = this.state;
    const remote = members.regions.filter((summary) => summary.region !== members.region);
    const servers = remote.flatMap(({ versions }) => versions.map((version) => version.servers));
    return members.all.length + servers.reduce((total, count) => total + count, 0);
  }

  /** Servers of this region by name, and one entry per server in other regions' summaries. */
  private upstreams(): rolloutController.UpstreamMember[] {
    const { members } = this.state;
    const local = members.all.flatMap(({ node, ready, draining, upstream }) => {
      if (upstream === undefined) return [];
      const { service, version, coldStart, slots, healthy } = upstream;
      const usable = ready && healthy && !draining && !upstream.draining;
      return [{ server: node, service, version, ready: usable, coldStart, slots }];
    });
    const remote = members.regions
      .filter((summary) => summary.region !== members.region)
      .flatMap(({ region, versions }) =>
        versions.flatMap(({ service, version, servers, slots, entries }) => {
          const coldStart = entries.every((entry) => entry.upstream?.coldStart ?? false);
          const slotsPerServer = slots / Math.max(1, servers);
          return Array.from({ length: servers }, (_, index) => ({
            ...{ server: `${region}/${index}`, service, version, ready: true, coldStart },
            slots: slotsPerServer,
          }));
        }),
      );
    return [...local, ...remote];
  }

  private controllerInputs(): rolloutController.RolloutInputs {
    const { config, evidence } = this.state;
    return {
      isEligible: () => this.parents.role === 'root',
      configuration: () => config.current,
      evidence: (rollout) => {
        this.fleetEvidence.merge(evidence.allSamples.filter((one) => one.rollout === rollout));
        const totals = this.fleetEvidence.totals(rollout);
        const service = ids.serviceName(rollout.slice(0, rollout.lastIndexOf('.')));
        this.load.observe(service, totals);
        return totals;
      },
      vetoes: (rollout) => this.vetoes.of(rollout),
      members: () => this.upstreams(),
      load: (service) => this.load.slotsOf(service),
    };
  }
}
