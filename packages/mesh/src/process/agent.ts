/** One node of the mesh: starts its parts, keeps them going, and stops without cutting requests. */

import { backoff, failures } from '@godwittrack/core';
import type * as callerServer from '../callers/callerServer.js';
import type * as configHolder from '../config/configHolder.js';
import type * as fleetStore from '../config/fleetStore.js';
import * as news from '../config/news.js';
import * as storeWatcher from '../config/storeWatcher.js';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import type * as peerNetwork from '../peers/peerNetwork.js';
import type * as peerServer from '../peers/peerServer.js';
import type * as evidence from '../rollouts/evidence.js';
import type * as rolloutBoard from '../rollouts/rolloutBoard.js';
import type * as rolloutController from '../rollouts/rolloutController.js';

/** One timer drives all that is done at intervals, since each wake-up costs processor time. */
const TICK_MS = 100;
const REVIEW_EVERY_TICKS = 2;
const EVIDENCE_EVERY_TICKS = 3;
const BEACON_EVERY_TICKS = storeWatcher.BEACON_INTERVAL_MS / TICK_MS;
/** Time for the list of nodes before this node watches the store without it. */
const JOIN_PATIENCE_MS = 700;
const REGISTER_RETRY_INITIAL_MS = 100;
const REGISTER_RETRY_MAX_MS = 1_500;
/** Time after a stop was asked for in which callers are sent elsewhere: two readiness checks. */
const LEAVE_AFTER_MS = 2_250;
/** Time after which other nodes are told to send no more requests to the upstream beside this one. */
const WITHDRAW_AFTER_MS = 1_800;
/** Part of the grace time after which new requests are refused, so that those taken can end. */
const REFUSE_AFTER_SHARE = 0.66;
/** Part of the grace time after which the process ends whatever is under way. */
const STOP_BY_SHARE = 0.91;
const STOP_POLL_MS = 50;
/** Time for the last answers to leave the buffers of their connections. */
const FLUSH_MS = 150;

export interface AgentSettings {
  /** Address for callers on this host. */
  callerAddress: string;
  graceMs: number;
}

export interface AgentParts {
  settings: AgentSettings;
  self: members.Member;
  table: members.MemberTable;
  config: configHolder.ConfigHolder;
  board: rolloutBoard.RolloutBoard;
  upstream: localUpstream.LocalUpstream;
  evidence: evidence.EvidenceRecorder;
  network: peerNetwork.PeerNetwork;
  peers: peerServer.PeerServer;
  callers: callerServer.CallerServer;
  watcher: storeWatcher.StoreWatcher;
  controller: rolloutController.RolloutController;
  store: fleetStore.FleetStore;
  onEvidence: (report: evidence.EvidenceReport) => void;
  log: observability.DecisionLog;
  nowMs: () => number;
}

export class Agent {
  private stopping = false;

  /** The store has told which nodes there are. */
  private joined = false;

  /** Other nodes have been told to send no more requests here. */
  private withdrawn = false;

  private timer: NodeJS.Timeout | null = null;

  private readonly abort = new AbortController();

  constructor(private readonly parts: AgentParts) {}

  /** Whether callers should send new work here. */
  get ready(): boolean {
    return !this.stopping && this.parts.config.current !== null && this.parts.board.isKnown;
  }

  async start(): Promise<void> {
    const { settings, self, peers, callers, network, nowMs } = this.parts;
    this.connectParts();
    await Promise.all([peers.listen(self.address), callers.listen(settings.callerAddress)]);
    const startedMs = nowMs();
    void this.join();
    let ticks = 0;
    this.timer = setInterval(() => {
      ticks += 1;
      network.checkSilence();
      if (ticks % REVIEW_EVERY_TICKS === 0) this.review(startedMs);
      if (ticks % EVIDENCE_EVERY_TICKS === 0) this.sendEvidence();
      if (ticks % BEACON_EVERY_TICKS === 0) this.sendBeacon();
    }, TICK_MS);
  }

  /** Serves on while callers are sent elsewhere, then ends when nothing is under way. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const { log, network, callers, settings, nowMs, peers, self, store } = this.parts;
    const askedMs = nowMs();
    log.belief('agent', 'stop was asked for', { inFlight: callers.inFlightCount });
    if (self.upstream === null || !self.upstream.accepting) {
      store.unregisterNode(self).catch((err: unknown) => {
        log.belief('agent', 'the node could not be unregistered', { failure: failures.of(err) });
      });
    }
    await backoff.sleep(WITHDRAW_AFTER_MS);
    this.withdrawn = true;
    this.stateUpstream(self.upstream);
    await backoff.sleep(LEAVE_AFTER_MS - WITHDRAW_AFTER_MS);
    peers.refuseNew();
    callers.drain();
    const refuseAtMs = askedMs + settings.graceMs * REFUSE_AFTER_SHARE;
    const stopByMs = askedMs + settings.graceMs * STOP_BY_SHARE;
    while (nowMs() < stopByMs && (callers.inFlightCount > 0 || peers.runningCount > 0)) {
      if (nowMs() > refuseAtMs) callers.refuseNew();
      await backoff.sleep(STOP_POLL_MS);
    }
    peers.sayGoodbye();
    callers.closeIdle();
    await backoff.sleep(FLUSH_MS);
    this.abort.abort();
    if (this.timer !== null) clearInterval(this.timer);
    this.parts.watcher.stop();
    network.stop();
    peers.close();
    log.belief('agent', 'stopped', {
      afterMs: Math.round(nowMs() - askedMs),
      inFlight: callers.inFlightCount,
    });
  }

  private review(startedMs: number): void {
    const { watcher, controller, network, nowMs } = this.parts;
    // Before it knows the others, a node cannot tell that one of them watches already.
    if (this.joined || nowMs() - startedMs > JOIN_PATIENCE_MS) watcher.review();
    controller.tick();
    network.review();
  }

  private connectParts(): void {
    const { upstream, network, config, board, evidence: recorder, log } = this.parts;
    upstream.onChange((state) => {
      log.belief('upstream', 'the upstream has a new state', { ...state });
      this.stateUpstream(state);
      recorder.reset();
    });
    config.onChange(({ cfg }, previous, source) => {
      log.belief('config', 'a configuration is in force', {
        version: cfg.version,
        source: source.name,
      });
      // After a start the others hold at least as much.
      if (previous === null && source.origin !== 'store') return;
      network.announceConfiguration(cfg, previous, news.audienceOf(source.origin));
    });
    board.onChange((state, origin) => {
      recorder.enterPhase(state.phase);
      network.broadcast({ type: 'rollouts', states: [state] }, news.audienceOf(origin));
    });
    recorder.onVeto((state, reason) => {
      board.advance(state.service, state.version, 'rolledBack', reason);
    });
  }

  /** States the upstream to others; a node about to stop offers it to nobody else. */
  private stateUpstream(state: members.UpstreamState | null): void {
    const { table, network } = this.parts;
    table.restate(
      state === null ? null : { ...state, accepting: state.accepting && !this.withdrawn },
    );
    network.stateSelf();
  }

  private sendBeacon(): void {
    const { watcher, network, config } = this.parts;
    // A node about to stop goes on watching, but lets the next one take over.
    if (this.stopping || !watcher.inContact) return;
    const beacon = { type: 'beacon', configVersion: config.version } as const;
    network.broadcast(beacon, { domain: true, farRelays: false });
  }

  /** Tells the node in charge of a running rollout what this node's upstream answered. */
  private sendEvidence(): void {
    const { self, board, controller, network, evidence: recorder } = this.parts;
    const { upstream } = self;
    if (upstream === null) return;
    const newest = board.newest(upstream.service);
    if (
      newest === null ||
      newest.state.phase === 'completed' ||
      newest.state.phase === 'rolledBack'
    )
      return;
    const { service, version, instance } = upstream;
    const report = { node: self.node, service, version, instance, routes: recorder.snapshot() };
    const leader = controller.leader(service);
    if (leader === self.node) this.parts.onEvidence(report);
    else network.tell(leader, { type: 'evidence', report });
  }

  /** Makes this node known and learns of the others; tried until it works. */
  private async join(): Promise<void> {
    const { self, store, network, log, watcher } = this.parts;
    const { signal } = this.abort;
    const delays = new backoff.Backoff({
      initialMs: REGISTER_RETRY_INITIAL_MS,
      maxMs: REGISTER_RETRY_MAX_MS,
    });
    let failed = false;
    while (!signal.aborted) {
      try {
        await store.registerNode(self);
        const nodes = await store.listNodes();
        network.introduce(nodes);
        this.joined = true;
        watcher.review();
        log.belief('agent', 'joined the fleet', { known: nodes.length });
        return;
      } catch (err) {
        if (!failed)
          log.belief('agent', 'cannot join the fleet yet', { failure: failures.of(err) });
        failed = true;
        await backoff.sleep(delays.nextMs(), signal);
      }
    }
  }
}
