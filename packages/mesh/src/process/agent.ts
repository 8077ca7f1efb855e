/** Lifecycle of a mesh node: starts its components, runs their periodic work and stops them gracefully. */

import { backoff, failures } from '@godwittrack/core';
import type * as callerServer from '../callers/callerServer.js';
import type * as configHolder from '../config/configHolder.js';
import type * as fleetStore from '../config/fleetStore.js';
import * as propagation from '../config/propagation.js';
import * as storeWatcher from '../config/storeWatcher.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as eventLoop from '../eventLoop.js';
import type * as departureRecords from '../membership/departureRecords.js';
import type * as localUpstream from '../membership/localUpstream.js';
import * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import type * as peerNetwork from '../peers/peerNetwork.js';
import type * as peerServer from '../peers/peerServer.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as evidence from '../rollouts/evidence.js';
import * as phases from '../rollouts/phases.js';
import type * as quotaService from '../quotas/quotaService.js';
import type * as rolloutTable from '../rollouts/rolloutTable.js';
import type * as rolloutController from '../rollouts/rolloutController.js';

/** Period of the one timer for all periodic work; separate timers would cost more CPU wake-ups. */
export const TICK_MS = 100;
const REVIEW_EVERY_TICKS = 2;
const BEACON_EVERY_TICKS = storeWatcher.BEACON_INTERVAL_MS / TICK_MS;
/** Time to wait for the list of nodes before watching the store without it. */
const JOIN_TIMEOUT_MS = 700;
const REGISTER_RETRY_INITIAL_MS = 100;
const REGISTER_RETRY_MAX_MS = 1_500;
/** Time over which the nodes spread their writes to a store that was restored from a copy. */
const JOIN_AGAIN_SPREAD_MS = 1_000;
/** Time between a stop request and draining: callers move to other nodes within two readiness checks. */
const DRAIN_AFTER_MS = 2_250;
/** Time between a stop request and telling other nodes to send no more requests to the local upstream. */
const WITHDRAW_AFTER_MS = 1_800;
/**
 * Time between a stop request and refusing new requests. The platform grants that requests sent up to 3 s after
 * it may be broken off at the end of the grace period; a request that is accepted later must finish.
 */
const REFUSE_AFTER_MS = 2_800;
/** Fraction of the grace period after which the process stops even if requests are in flight. */
const STOP_BY_SHARE = 0.91;
const STOP_POLL_MS = 50;
/** Time for the last frames and refusals to be written. */
const FLUSH_MS = 150;
/** Time for callers and other nodes to read the last answers and to close their connections. */
const CLOSE_TIMEOUT_MS = 1_000;

export interface AgentSettings {
  /** Listen address for callers on this host. */
  callerAddress: string;
  graceMs: number;
}

export interface AgentParts {
  settings: AgentSettings;
  self: members.Member;
  table: members.MemberTable;
  config: configHolder.ConfigHolder;
  rollouts: rolloutTable.RolloutTable;
  evacuations: evacuationTable.EvacuationTable;
  quarantine: quarantine.Quarantine;
  upstream: localUpstream.LocalUpstream;
  departures: departureRecords.DepartureRecords;
  evidence: evidence.EvidenceRecorder;
  network: peerNetwork.PeerNetwork;
  peers: peerServer.PeerServer;
  callers: callerServer.CallerServer;
  quotas: quotaService.QuotaService;
  watcher: storeWatcher.StoreWatcher;
  controller: rolloutController.RolloutController;
  store: fleetStore.FleetStore;
  onEvidence: (report: evidence.EvidenceReport) => void;
  /** Requests running or waiting at the local upstream. */
  load: () => number;
  eventLoopLag: eventLoop.LagMeter;
  log: observability.DecisionLog;
  /** In [0, 1). */
  random: () => number;
  nowMs: () => number;
}

export class Agent {
  /** Resolves when the node has stopped; null until a stop is requested. */
  private stopped: Promise<void> | null = null;

  /** The list of nodes has been read from the store. */
  private joined = false;

  /** Other nodes are told not to send requests here any more. */
  private withdrawn = false;

  private timer: NodeJS.Timeout | null = null;

  /** Ends the current `join`, when another one begins or the node stops. */
  private joining = new AbortController();

  /** Resolves when the last call of `join` has ended. */
  private joinEnded: Promise<void> = Promise.resolve();

  constructor(private readonly parts: AgentParts) {}

  /** Whether callers should send new requests to this node; reported to readiness probes. */
  get ready(): boolean {
    const { config, rollouts, evacuations } = this.parts;
    const isInformed = config.current !== null && rollouts.isSynced && evacuations.isSynced;
    return !this.isStopping && isInformed;
  }

  /** Whether the list of nodes has been read from the store. */
  get isJoined(): boolean {
    return this.joined;
  }

  async start(): Promise<void> {
    const { settings, self, peers, callers, network, eventLoopLag, nowMs } = this.parts;
    this.subscribe();
    this.parts.departures.start();
    await Promise.all([peers.listen(self.address), callers.listen(settings.callerAddress)]);
    const startedMs = nowMs();
    this.joinEnded = this.join(0);
    let ticks = 0;
    this.timer = setInterval(() => {
      ticks += 1;
      eventLoopLag.tick();
      network.checkLiveness();
      if (ticks % REVIEW_EVERY_TICKS === 0) this.review(startedMs);
      this.parts.controller.tick();
      this.sendEvidence(ticks);
      if (ticks % BEACON_EVERY_TICKS === 0) this.sendBeacon();
    }, TICK_MS);
  }

  /**
   * Keeps serving until callers have moved to other nodes, then stops once no request is in flight. Further calls
   * wait for the same stop.
   */
  stop(): Promise<void> {
    this.stopped ??= this.drainAndStop();
    return this.stopped;
  }

  private get isStopping(): boolean {
    return this.stopped !== null;
  }

  private async drainAndStop(): Promise<void> {
    const { log, network, callers, settings, nowMs, peers, self } = this.parts;
    const stopRequestedMs = nowMs();
    log.info('agent', 'stop requested', { inFlight: callers.inFlightCount });
    const stopByMs = stopRequestedMs + settings.graceMs * STOP_BY_SHARE;
    callers.answerBy(stopByMs);
    this.joining.abort();
    if (self.upstream === null || !self.upstream.accepting) void this.unregister();
    await backoff.sleep(WITHDRAW_AFTER_MS);
    this.withdrawn = true;
    this.parts.quotas.leave();
    this.publishUpstream(self.upstream);
    await backoff.sleep(DRAIN_AFTER_MS - WITHDRAW_AFTER_MS);
    peers.refuseNew();
    callers.drain();
    const refuseAtMs = Math.min(stopRequestedMs + REFUSE_AFTER_MS, stopByMs);
    const isBusy = () => this.hasUnsentAnswers || peers.runningCount > 0;
    await this.waitWhile(isBusy, refuseAtMs);
    callers.refuseNew();
    await this.waitWhile(isBusy, stopByMs);
    peers.sendGoAway();
    callers.closeIdle();
    await backoff.sleep(FLUSH_MS);
    const exitByMs = stopByMs + FLUSH_MS;
    await this.waitWhile(() => this.hasUnsentAnswers, exitByMs);
    peers.endSessions();
    const closeByMs = Math.min(exitByMs, nowMs() + CLOSE_TIMEOUT_MS);
    await this.waitWhile(() => peers.hasOpenSessions || callers.hasEndingConnections, closeByMs);
    if (this.timer !== null) clearInterval(this.timer);
    this.parts.watcher.stop();
    this.parts.departures.stop();
    this.parts.quotas.stop();
    network.stop();
    peers.close();
    callers.recordUnanswered();
    log.info('agent', 'stopped', {
      afterMs: Math.round(nowMs() - stopRequestedMs),
      inFlight: callers.inFlightCount,
    });
  }

  private async waitWhile(condition: () => boolean, untilMs: number): Promise<void> {
    while (this.parts.nowMs() < untilMs && condition()) await backoff.sleep(STOP_POLL_MS);
  }

  /** Whether this process holds answers, or has yet to give them, that would be lost if it exited now. */
  private get hasUnsentAnswers(): boolean {
    const { callers, peers } = this.parts;
    return callers.inFlightCount > 0 || peers.hasUnsentOutcomes;
  }

  private review(startedMs: number): void {
    const { watcher, network, quarantine: suspects, evacuations, table, nowMs } = this.parts;
    // Until the list of nodes is known, this node cannot tell whether another one watches the store.
    if (this.joined || nowMs() - startedMs > JOIN_TIMEOUT_MS) watcher.updateRole();
    suspects.prune();
    evacuations.review();
    if (this.joined) evacuations.warnOfUnknown(() => table.domains());
    network.maintain();
  }

  private subscribe(): void {
    const { upstream, network, config, rollouts, watcher, evidence: recorder, log } = this.parts;
    const { store, quarantine: suspects, evacuations, departures } = this.parts;
    let previousState: members.UpstreamState | null = null;
    upstream.onChange((state) => {
      log.info('upstream', 'upstream state changed', { ...state });
      this.publishUpstream(state);
      const isSame =
        members.isSameIncarnation(previousState, state) &&
        previousState?.version === state?.version;
      if (!isSame) recorder.reset();
      previousState = state;
    });
    config.onChange(({ cfg }, previous, source) => {
      log.info('config', 'configuration applied', {
        version: cfg.version,
        source: source.name,
      });
      // A first configuration that came from another node is already known to the others.
      if (previous === null && source.origin !== 'store') return;
      network.announceConfiguration(cfg, previous, propagation.scopeOf(source.origin));
    });
    rollouts.onOrder((service) => {
      if (service === upstream.state?.service) recorder.reset();
    });
    rollouts.onChange((state, origin) => {
      network.broadcast({ type: 'rollouts', states: [state] }, propagation.scopeOf(origin));
    });
    evacuations.onUpdate((set, origin) => {
      network.broadcast({ type: 'evacuations', set }, propagation.scopeOf(origin));
    });
    suspects.onChange((reports, origin) => {
      network.announceCrashes(reports, propagation.scopeOf(origin));
    });
    watcher.onContact(() => this.sendBeacon());
    store.era.onRise(({ origin }) => {
      network.announceState(propagation.scopeOf(origin));
      watcher.readAgain();
      departures.recordAgain();
      this.joinAgain();
    });
  }

  /** Publishes the state of the local upstream; other nodes must not use it once this one is stopping. */
  private publishUpstream(state: members.UpstreamState | null): void {
    const { table, network } = this.parts;
    table.updateSelf(
      state === null ? null : { ...state, accepting: state.accepting && !this.withdrawn },
    );
    network.announceSelf();
  }

  private sendBeacon(): void {
    const { watcher, network } = this.parts;
    // A stopping node keeps watching but sends no beacons, so that the next node takes over.
    if (this.isStopping || !watcher.hasStoreContact) return;
    network.broadcast(network.beacon(), { domain: true, remoteRelays: false });
  }

  /** Sends the response counts of the local upstream to the leader of a running rollout. */
  private sendEvidence(ticks: number): void {
    const { self, rollouts, controller, network, evidence: recorder, load } = this.parts;
    const { upstream } = self;
    const newest = upstream === null ? null : rollouts.newest(upstream.service);
    if (upstream === null || newest === null || phases.isFinal(newest.state.phase)) return;
    recorder.follow(newest.state.target);
    if (!evidence.isReportDue(newest.state.phase, ticks)) return;
    const { service, version, instance } = upstream;
    const report = {
      node: self.node,
      service,
      version,
      instance,
      routes: recorder.countsByRoute(),
      load: load(),
    };
    const leader = controller.leader(service);
    if (leader === self.node) this.parts.onEvidence(report);
    else network.sendFrame(leader, { type: 'evidence', report });
  }

  /** Removes the entry of this node from the store, after a write of it that is under way. */
  private async unregister(): Promise<void> {
    const { store, self, log } = this.parts;
    await this.joinEnded;
    try {
      await store.unregisterNode(self);
    } catch (err) {
      log.info('agent', 'failed to unregister the node', { failure: failures.fromError(err) });
    }
  }

  /** A restored store may have lost the entries of this node and of nodes that joined since the copy. */
  private joinAgain(): void {
    if (this.isStopping) return;
    const delayMs = this.joined ? this.parts.random() * JOIN_AGAIN_SPREAD_MS : 0;
    this.joinEnded = Promise.all([this.joinEnded, this.join(delayMs)]).then(() => undefined);
  }

  /** Registers this node in the store and reads the list of nodes; retries until that succeeds. */
  private async join(delayMs: number): Promise<void> {
    const { self, store, network, log, watcher } = this.parts;
    this.joining.abort();
    this.joining = new AbortController();
    const { signal } = this.joining;
    await backoff.sleep(delayMs, signal);
    // A stopping node may have removed its entry.
    if (this.isStopping) return;
    const delays = new backoff.Backoff({
      initialMs: REGISTER_RETRY_INITIAL_MS,
      maxMs: REGISTER_RETRY_MAX_MS,
    });
    let hasLoggedFailure = false;
    while (!signal.aborted) {
      try {
        // Of two nodes that join at the same time, at least one sees the other in the list.
        await store.registerNode(self);
        const nodes = await store.listNodes();
        if (signal.aborted) return;
        network.addNodes(nodes);
        this.joined = true;
        watcher.updateRole();
        log.info('agent', 'joined the fleet', { known: nodes.length });
        return;
      } catch (err) {
        if (!hasLoggedFailure)
          log.info('agent', 'failed to join the fleet; retrying', {
            failure: failures.fromError(err),
          });
        hasLoggedFailure = true;
        await backoff.sleep(delays.nextMs(), signal);
      }
    }
  }
}
