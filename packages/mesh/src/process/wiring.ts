/** Builds a node of the mesh from its settings and from what the platform's adapter provides. */

import type { ids, metrics } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as pino from 'pino';
import * as callerServer from '../callers/callerServer.js';
import * as configHolder from '../config/configHolder.js';
import type * as fleetStore from '../config/fleetStore.js';
import * as storeWatcher from '../config/storeWatcher.js';
import * as retryBudget from '../limits/retryBudget.js';
import * as localUpstream from '../membership/localUpstream.js';
import * as members from '../membership/members.js';
import * as decisionLog from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as peerNetwork from '../peers/peerNetwork.js';
import * as peerServer from '../peers/peerServer.js';
import * as evidence from '../rollouts/evidence.js';
import * as rolloutBoard from '../rollouts/rolloutBoard.js';
import * as rolloutController from '../rollouts/rolloutController.js';
import * as versionJudge from '../rollouts/versionJudge.js';
import * as balancer from '../routing/balancer.js';
import * as dispatcher from '../routing/dispatcher.js';
import * as observations from '../routing/observations.js';
import * as splitChooser from '../routing/splitChooser.js';
import type * as headerCodec from '../upstream/headerCodec.js';
import * as localDestination from '../upstream/localDestination.js';
import * as upstreamPool from '../upstream/upstreamPool.js';
import * as agent from './agent.js';

/**
 * Time for which an upstream is used that other nodes remember; shorter than the time after its leaving
 * was acknowledged in which requests may still reach it, and about one interval of announcements.
 */
const RECALLED_FOR_MS = 1_200;

export interface MeshSettings {
  self: members.NodeAddress;
  /** Service of the upstream on this host; requests from here carry it. */
  service: ids.ServiceName;
  /** Address for callers on this host. */
  callerAddress: string;
  /** Address of the upstream on this host. */
  upstreamAddress: string;
  /** Time between a request to stop and the forced end of the process. */
  graceMs: number;
  /** Limits of repeats over the whole fleet. */
  retryRatio: number;
  retryExtra: number;
}

export interface MeshPlatform {
  store: fleetStore.FleetStore;
  codec: headerCodec.HeaderCodec;
}

export interface Mesh {
  agent: agent.Agent;
  upstream: localUpstream.LocalUpstream;
  log: decisionLog.DecisionLog;
  meters: metrics.Metrics;
  /** Takes settings that changed while the process runs. */
  reload(settings: MeshSettings): void;
}

/** Log lines that wait for a slow reader; further ones are dropped. */
const MAX_LOG_BYTES = 1024 * 1024;

export function createLog(name: string, counted: metrics.Metrics): decisionLog.DecisionLog {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: 0,
    maxLength: MAX_LOG_BYTES,
  });
  const logger = pino.pino(
    { base: { node: name }, timestamp: pino.stdTimeFunctions.epochTime },
    destination,
  );
  return new decisionLog.DecisionLog(logger, () => performance.now(), counted);
}

export function createMesh(
  initial: MeshSettings,
  platform: MeshPlatform,
  log: decisionLog.DecisionLog,
  counted: metrics.Metrics,
): Mesh {
  let settings = initial;
  const nowMs = () => performance.now();
  const rng = random.xoroshiro128plus(Date.now() ^ process.pid);
  const nextRandom = () => uniform.uniformFloat64(rng);
  const self: members.Member = { ...settings.self, sequence: 1, upstream: null };
  const table = new members.MemberTable(self);
  const config = new configHolder.ConfigHolder(nowMs);
  const board = new rolloutBoard.RolloutBoard(log, nowMs);
  const judge = new versionJudge.VersionJudge();
  const recorder = new evidence.EvidenceRecorder((service, version) =>
    board.isOnTrial(service, version),
  );
  const upstream = new localUpstream.LocalUpstream(settings.upstreamAddress);
  const local = new localDestination.LocalDestination({
    upstream,
    pool: new upstreamPool.UpstreamPool(settings.upstreamAddress, platform.codec),
    codec: platform.codec,
    log,
    meters: counted,
    evidence: recorder,
    mayServe: (service, version) => board.mayServe(service, version),
    nowMs,
  });
  const onEvidence = (report: evidence.EvidenceReport) => judge.hear(report);
  // The watcher and the network refer to each other.
  let watcher: storeWatcher.StoreWatcher;
  const network = new peerNetwork.PeerNetwork({
    table,
    config,
    rollouts: board,
    log,
    onBeacon: (node) => watcher.hearBeacon(node),
    onEvidence,
    onRecall: (state) => recall(upstream, state),
  });
  const reachable = () => network.reachable();
  watcher = new storeWatcher.StoreWatcher(
    [
      new storeWatcher.ConfigurationSubject(platform.store.configuration, config),
      new storeWatcher.RolloutsSubject(platform.store.rollouts, board),
    ],
    { table, watchers: () => network.watchers(), log, nowMs },
  );
  const dispatch = new dispatcher.Dispatcher({
    table,
    local,
    destinationOf: (node) => network.route(node),
    isOpen: (node) => network.isOpen(node),
    rollouts: board,
    balancer: new balancer.Balancer(nextRandom),
    split: new splitChooser.SplitChooser(nextRandom),
    observations: new observations.Observations(nowMs),
    budget: new retryBudget.RetryBudget(
      { ratio: settings.retryRatio, extra: settings.retryExtra },
      () => table.size,
    ),
    log,
    meters: counted,
    callerService: () => settings.service,
    random: nextRandom,
    nowMs,
  });
  counted.gauge(meters.CONFIG_VERSION, () => config.version);
  counted.gauge(meters.MEMBERS, () => table.size);
  counted.gauge(meters.MEMBERS_REACHED, () => network.reachable().length);
  counted.gauge(meters.LINKS_OPEN, () => network.openLinks);
  counted.gauge(meters.STORE_WATCHED, () => Number(watcher.inContact));
  counted.gauge(meters.LOCAL_LOAD, () => local.load);
  board.onChange(({ phase }) => counted.increment(meters.ROLLOUT_PHASES, { phase }));
  const parts: agent.AgentParts = {
    settings,
    self,
    table,
    config,
    board,
    upstream,
    evidence: recorder,
    network,
    peers: new peerServer.PeerServer({
      destination: local,
      statement: () => self,
      onFrame: (session, frame) => network.hear(session, frame),
      onViolation: (detail) => log.warn('peers', 'a connection was ended', { detail }),
    }),
    callers: new callerServer.CallerServer({
      config,
      dispatcher: dispatch,
      isKnown: () => board.isKnown,
      codec: platform.codec,
      log,
      meters: counted,
      nowMs,
    }),
    watcher,
    controller: new rolloutController.RolloutController({
      table,
      reachable,
      board,
      judge,
      store: platform.store,
      log,
      nowMs,
    }),
    store: platform.store,
    onEvidence,
    log,
    nowMs,
  };
  const reload = (next: MeshSettings) => {
    settings = next;
  };
  return { agent: new agent.Agent(parts), upstream, log, meters: counted, reload };
}

function recall(upstream: localUpstream.LocalUpstream, state: members.UpstreamState): void {
  upstream.recall(state);
  setTimeout(() => upstream.dropUnconfirmed(), RECALLED_FOR_MS);
}
