/** Composition root: builds a mesh node from its settings and a platform adapter. */

import type { ids, metrics } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as pino from 'pino';
import * as callerServer from '../callers/callerServer.js';
import * as configHolder from '../config/configHolder.js';
import type * as fleetStore from '../config/fleetStore.js';
import * as storeWatcher from '../config/storeWatcher.js';
import * as evacuationTable from '../evacuations/evacuationTable.js';
import * as eventLoop from '../eventLoop.js';
import * as calleePressure from '../limits/calleePressure.js';
import * as retryBudget from '../limits/retryBudget.js';
import * as coldState from '../membership/coldState.js';
import * as coldWatch from '../membership/coldWatch.js';
import * as departureRecords from '../membership/departureRecords.js';
import * as localUpstream from '../membership/localUpstream.js';
import * as members from '../membership/members.js';
import * as decisionLog from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as peerNetwork from '../peers/peerNetwork.js';
import * as peerServer from '../peers/peerServer.js';
import * as uplinkScheduler from '../peers/uplinkScheduler.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as quotaService from '../quotas/quotaService.js';
import type * as quotaTolerance from '../quotas/quotaTolerance.js';
import * as evidence from '../rollouts/evidence.js';
import * as rolloutTable from '../rollouts/rolloutTable.js';
import * as rolloutController from '../rollouts/rolloutController.js';
import * as versionComparison from '../rollouts/versionComparison.js';
import * as balancer from '../routing/balancer.js';
import * as dispatcher from '../routing/dispatcher.js';
import * as upstreamStats from '../routing/upstreamStats.js';
import * as trafficSplitter from '../routing/trafficSplitter.js';
import * as versionChooser from '../routing/versionChooser.js';
import type * as headerCodec from '../upstream/headerCodec.js';
import * as localDestination from '../upstream/localDestination.js';
import * as placementCheck from '../upstream/placementCheck.js';
import * as upstreamPool from '../upstream/upstreamPool.js';
import * as agent from './agent.js';

/**
 * Time for which a restarted node uses the upstream state that other nodes remember, until the upstream
 * announces itself. About one announcement interval, and shorter than the time for which requests may
 * still reach an upstream after its leaving was acknowledged.
 */
const RECALL_TTL_MS = 1_200;

export interface MeshSettings {
  self: members.NodeAddress;
  /** Service of the upstream on this host; sent as the caller's service with its requests. */
  service: ids.ServiceName;
  /** Listen address for callers on this host. */
  callerAddress: string;
  /** Address of the upstream on this host. */
  upstreamAddress: string;
  /** Time between a stop request and the forced termination of the process. */
  graceMs: number;
  /** Retry budget of the whole fleet: retries per request, and extra retries beyond that ratio. */
  retryRatio: number;
  retryExtra: number;
  /** Share of a service's requests that an unproved version may get between its order and the deadline. */
  maxExposureShare: number;
  /** Requests of the fleet that an unproved version may get beyond that share. */
  exposureSlack: number;
  quotaTolerance: quotaTolerance.QuotaTolerance;
  /** Whether operators evacuate failure domains; if not, the store is not asked for it. */
  evacuations: boolean;
}

export interface PlatformAdapter {
  store: fleetStore.FleetStore;
  codec: headerCodec.HeaderCodec;
  /** Applies the settings as they are now; they may have changed without notice. */
  reloadSettings?: () => void;
}

export interface MeshNode {
  agent: agent.Agent;
  upstream: localUpstream.LocalUpstream;
  departures: departureRecords.DepartureRecords;
  log: decisionLog.DecisionLog;
  metrics: metrics.Metrics;
  /** Applies changed settings; only `service` takes effect in a running node. */
  reload(settings: MeshSettings): void;
}

/** Log output buffered for a slow reader; further lines are dropped. */
const MAX_LOG_BUFFER_BYTES = 1024 * 1024;

export function createLog(name: string, metricsRegistry: metrics.Metrics): decisionLog.DecisionLog {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: 0,
    maxLength: MAX_LOG_BUFFER_BYTES,
  });
  const logger = pino.pino(
    { base: { node: name }, timestamp: pino.stdTimeFunctions.epochTime },
    destination,
  );
  return new decisionLog.DecisionLog(logger, () => performance.now(), metricsRegistry);
}

export function createMeshNode(
  initial: MeshSettings,
  platform: PlatformAdapter,
  log: decisionLog.DecisionLog,
  metricsRegistry: metrics.Metrics,
): MeshNode {
  let settings = initial;
  const nowMs = () => performance.now();
  const rng = random.xoroshiro128plus(Date.now() ^ process.pid);
  const nextRandom = () => uniform.uniformFloat64(rng);
  const self: members.Member = { ...settings.self, sequence: 1, upstream: null };
  const table = new members.MemberTable(self);
  const config = new configHolder.ConfigHolder(nowMs);
  const hasCustomers = () => config.current?.customers != null;
  const rollouts = new rolloutTable.RolloutTable(log, nowMs, (service, includes) =>
    table.serving(service).some(({ upstream: each }) => includes(each!.version)),
  );
  const evacuations = new evacuationTable.EvacuationTable({
    isEnabled: settings.evacuations,
    log,
    nowMs,
  });
  const comparison = new versionComparison.VersionComparison(nowMs);
  const recorder = new evidence.EvidenceRecorder(nowMs);
  const suspects = new quarantine.Quarantine({ log, nowMs });
  const coldStartOf = (service: ids.ServiceName) =>
    config.current?.cfg.services[service]?.coldStart ?? null;
  const cold = new coldState.ColdState({
    coldStartOf,
    isConfigured: () => config.current !== null,
    nowMs,
  });
  const isExpectedService = (service: ids.ServiceName) => {
    if (service !== settings.service) platform.reloadSettings?.();
    return service === settings.service;
  };
  const upstream = new localUpstream.LocalUpstream(
    settings.upstreamAddress,
    nowMs,
    cold,
    isExpectedService,
  );
  const departures = new departureRecords.DepartureRecords({
    node: self.node,
    store: platform.store,
    upstream,
    log,
  });
  const eventLoopLag = new eventLoop.LagMeter(agent.TICK_MS, nowMs);
  const uplink = new uplinkScheduler.UplinkScheduler(nowMs);
  const pressure = new calleePressure.CalleePressure();
  const local = new localDestination.LocalDestination({
    upstream,
    pool: new upstreamPool.UpstreamPool(settings.upstreamAddress, platform.codec),
    codec: platform.codec,
    log,
    meters: metricsRegistry,
    evidence: recorder,
    quarantine: suspects,
    placement: new placementCheck.PlacementCheck({ self, config, evacuations }),
    mayServe: (service, version) => rollouts.mayServe(service, version),
    hasCustomers,
    calleePressure: pressure,
    transferWaitMs: (bytes) => uplink.backlogMs(bytes),
    stoodStillMs: () => eventLoopLag.totalMs,
    nowMs,
  });
  createColdWatch(cold, local, config, log, metricsRegistry, nowMs);
  evacuations.onChange(({ removed }) => {
    // Upstreams may have become cold while they got no requests.
    if (removed.includes(self.domain)) cold.invalidate('evacuationEnded');
  });
  const onEvidence = (report: evidence.EvidenceReport) => comparison.addReport(report);
  // The network refers to these, and they to it.
  let watcher: storeWatcher.StoreWatcher;
  let quotas: quotaService.QuotaService;
  const network = new peerNetwork.PeerNetwork({
    table,
    config,
    rollouts,
    evacuations,
    quarantine: suspects,
    uplink,
    storeEra: platform.store.era,
    log,
    meters: metricsRegistry,
    onBeacon: (node) => watcher.recordBeacon(node),
    onEvidence,
    onQuotaMessage: (from, message, reply) => quotas.receive(from, message, reply),
    eventLoopLag,
    onPreviousUpstream: (state) => recallUpstream(upstream, state),
  });
  const reachable = () => network.reachable();
  watcher = new storeWatcher.StoreWatcher(
    [
      new storeWatcher.WatchedConfiguration(platform.store.configuration, config),
      new storeWatcher.WatchedRollouts(platform.store.rollouts, rollouts),
      ...(settings.evacuations
        ? [new storeWatcher.WatchedEvacuations(platform.store.evacuations, evacuations)]
        : []),
    ],
    {
      table,
      watcherCandidates: () => network.watcherCandidates(),
      dropConnections: () => platform.store.dropConnections(),
      log,
      nowMs,
    },
  );
  let isJoined = () => false;
  quotas = new quotaService.QuotaService({
    table,
    config,
    network,
    tolerance: settings.quotaTolerance,
    areMembersKnown: () => table.size > 1 || isJoined(),
    log,
    meters: metricsRegistry,
    nowMs,
  });
  const dispatch = new dispatcher.Dispatcher({
    table,
    local,
    destinationOf: (node) => network.linkForRequests(node),
    hasOpenLink: (node) => network.hasReadyLink(node),
    rollouts,
    evacuations,
    quarantine: suspects,
    balancer: new balancer.Balancer(nextRandom),
    trafficSplitter: new trafficSplitter.TrafficSplitter(nextRandom),
    versionChooser: new versionChooser.VersionChooser({
      rollouts,
      maxExposureShare: settings.maxExposureShare,
      exposureSlack: settings.exposureSlack,
      nodeCount: () => table.size,
      random: nextRandom,
    }),
    upstreamStats: new upstreamStats.UpstreamStats(nowMs, nextRandom),
    retryBudget: new retryBudget.RetryBudget(
      { ratio: settings.retryRatio, extra: settings.retryExtra },
      () => table.size,
    ),
    log,
    meters: metricsRegistry,
    callerService: () => settings.service,
    coldPerSecond: (service) => coldStartOf(service)?.perSecond ?? null,
    hasCustomers,
    nowMs,
  });
  metricsRegistry.gauge(meters.CONFIG_VERSION, () => config.version);
  metricsRegistry.gauge(meters.CONFIG_ADVERTISED_VERSION, () => network.advertisedVersion);
  metricsRegistry.gauge(meters.MEMBERS, () => table.size);
  metricsRegistry.gauge(meters.MEMBERS_REACHED, () => network.reachable().length);
  metricsRegistry.gauge(meters.LINKS_OPEN, () => network.openLinks);
  metricsRegistry.gauge(meters.UPLINK_QUEUED_BYTES, () => uplink.queuedBytes);
  metricsRegistry.gauge(meters.UPLINK_OUTSTANDING_BYTES, () => uplink.outstandingBytes);
  metricsRegistry.gauge(meters.UPLINK_STALLED_LINKS, () => uplink.stalledConnections);
  metricsRegistry.gauge(meters.EVENT_LOOP_LAG_SECONDS, () => eventLoopLag.highestMs / 1_000);
  metricsRegistry.gauge(meters.STORE_WATCHED, () => Number(watcher.hasStoreContact));
  metricsRegistry.gauge(meters.STORE_ERA, () => platform.store.era.current ?? 0);
  metricsRegistry.gauge(meters.UPSTREAM_LIMIT, () => upstream.limitPerSecond ?? 0);
  metricsRegistry.gauge(meters.UPSTREAM_COLD_LIMIT, () => cold.limitPerSecond ?? 0);
  metricsRegistry.gauge(meters.UPSTREAM_STALLED, () => Number(local.isStalled));
  metricsRegistry.gauge(meters.SUSPECT_REQUESTS, () => suspects.count('suspect'));
  metricsRegistry.gauge(meters.BLOCKED_REQUESTS, () => suspects.count('blocked'));
  metricsRegistry.gauge(meters.UPSTREAM_LOAD, () => local.load);
  metricsRegistry.gauge(meters.LIMITED_CALLS, () => pressure.limitedCount);
  metricsRegistry.gauge(meters.UPSTREAM_SHARES, () => local.shareCount);
  metricsRegistry.gauge(meters.EVACUATED_DOMAINS, () => evacuations.size);
  metricsRegistry.gauge(meters.EVACUATED, () => Number(evacuations.isEvacuated(self.domain)));
  metricsRegistry.gauge(meters.QUOTA_OWNED, () => quotas.owned);
  rollouts.onChange(({ phase }, _origin, isRepeated) => {
    if (!isRepeated) metricsRegistry.increment(meters.ROLLOUT_PHASES, { phase });
  });
  const parts: agent.AgentParts = {
    settings,
    self,
    table,
    config,
    rollouts,
    evacuations,
    quarantine: suspects,
    upstream,
    departures,
    evidence: recorder,
    network,
    peers: new peerServer.PeerServer({
      destination: local,
      uplink,
      selfRecord: () => self,
      onFrame: (session, frame) => network.receive(session, frame),
      onProtocolViolation: (detail) =>
        log.warn('peers', 'closed a peer connection after a protocol violation', { detail }),
    }),
    callers: new callerServer.CallerServer({
      config,
      dispatcher: dispatch,
      isStateKnown: () => rollouts.isSynced && evacuations.isSynced,
      quotas,
      codec: platform.codec,
      calleePressure: pressure,
      log,
      meters: metricsRegistry,
      nowMs,
    }),
    quotas,
    watcher,
    controller: new rolloutController.RolloutController({
      table,
      reachable,
      rollouts,
      comparison,
      store: platform.store,
      maxExposureShare: settings.maxExposureShare,
      log,
      nowMs,
    }),
    store: platform.store,
    onEvidence,
    load: () => local.load,
    eventLoopLag,
    log,
    random: nextRandom,
    nowMs,
  };
  const reload = (next: MeshSettings) => {
    settings = next;
  };
  const meshAgent = new agent.Agent(parts);
  isJoined = () => meshAgent.isJoined;
  return { agent: meshAgent, upstream, departures, log, metrics: metricsRegistry, reload };
}

function createColdWatch(
  state: coldState.ColdState,
  local: localDestination.LocalDestination,
  config: configHolder.ConfigHolder,
  log: decisionLog.DecisionLog,
  metricsRegistry: metrics.Metrics,
  nowMs: () => number,
): coldWatch.ColdWatch {
  config.onChange(() => state.review());
  const checkHealth = (service: ids.ServiceName): Promise<coldWatch.HealthOutcome> => {
    const path = config.current?.cfg.services[service]?.healthPath;
    return path === undefined
      ? Promise.resolve({ type: 'none', reason: 'serviceUnknown' })
      : local.checkHealth(path);
  };
  return new coldWatch.ColdWatch({ state, checkHealth, log, meters: metricsRegistry, nowMs });
}

function recallUpstream(upstream: localUpstream.LocalUpstream, state: members.UpstreamState): void {
  upstream.restore(state);
  setTimeout(() => upstream.dropUnconfirmed(), RECALL_TTL_MS);
}
