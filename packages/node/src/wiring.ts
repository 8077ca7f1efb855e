/** Dependency injection: builds the parts of a node and connects them. */

import 'reflect-metadata';
import { Container } from 'inversify';
import { clock, metrics } from '@godwittrack/core';
import { httpObjectStore } from '@godwittrack/platform';
import type { objectStore } from '@godwittrack/platform';
import * as adminServer from './admin/adminServer.js';
import * as auditTrail from './admin/auditTrail.js';
import * as statusReport from './admin/statusReport.js';
import * as bootstrap from './bootstrap.js';
import * as configStore from './config/configStore.js';
import * as ticketService from './config/ticketService.js';
import * as childServer from './distribution/childServer.js';
import * as documentTable from './distribution/documentTable.js';
import * as evidenceExchange from './distribution/evidenceExchange.js';
import type * as fleetState from './distribution/fleetState.js';
import * as parentTask from './distribution/parentTask.js';
import * as peerChannels from './distribution/peerChannels.js';
import * as peerProbe from './distribution/peerProbe.js';
import * as peerServer from './distribution/peerServer.js';
import * as platformLink from './distribution/platformLink.js';
import * as ticketForwarder from './distribution/ticketForwarder.js';
import * as platformWatcher from './distribution/platformWatcher.js';
import * as progress from './distribution/progress.js';
import * as logging from './logging.js';
import * as contacts from './membership/contacts.js';
import * as localMember from './membership/localMember.js';
import * as memberTable from './membership/memberTable.js';
import * as roster from './membership/roster.js';
import * as nodeProcess from './nodeProcess.js';
import * as admission from './requests/admission.js';
import * as balancer from './requests/balancer.js';
import * as callerServer from './requests/callerServer.js';
import * as dispatcher from './requests/dispatcher.js';
import * as forwardServer from './requests/forwardServer.js';
import * as localDestination from './requests/localDestination.js';
import * as peerDestination from './requests/peerDestination.js';
import * as retryBudget from './requests/retryBudget.js';
import * as upstreamClient from './requests/upstreamClient.js';
import * as recordedOnceGuard from './records/recordedOnceGuard.js';
import * as recordsRuntime from './records/recordsRuntime.js';
import * as upstreamHealth from './requests/upstreamHealth.js';
import * as rolloutRuntime from './rollouts/rolloutRuntime.js';
import type * as settings from './settings.js';

/** Container identifiers of the parts. */
export const parts = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  rootLogger: Symbol.for('rootLogger'),
  metrics: Symbol.for('metrics'),
  objectStore: Symbol.for('objectStore'),
  fleetState: Symbol.for('fleetState'),
  contacts: Symbol.for('contacts'),
  channels: Symbol.for('channels'),
  probe: Symbol.for('probe'),
  watcher: Symbol.for('watcher'),
  parentTask: Symbol.for('parentTask'),
  childServer: Symbol.for('childServer'),
  rosterWriter: Symbol.for('rosterWriter'),
  bootstrap: Symbol.for('bootstrap'),
  auditTrail: Symbol.for('auditTrail'),
  ticketService: Symbol.for('ticketService'),
  statusReport: Symbol.for('statusReport'),
  admission: Symbol.for('admission'),
  upstreamClient: Symbol.for('upstreamClient'),
  localDestination: Symbol.for('localDestination'),
  balancer: Symbol.for('balancer'),
  recordsRuntime: Symbol.for('recordsRuntime'),
  rolloutRuntime: Symbol.for('rolloutRuntime'),
  onceGuard: Symbol.for('onceGuard'),
  peerConnections: Symbol.for('peerConnections'),
  dispatcher: Symbol.for('dispatcher'),
  forwardServer: Symbol.for('forwardServer'),
  callerServer: Symbol.for('callerServer'),
  peerServer: Symbol.for('peerServer'),
  adminServer: Symbol.for('adminServer'),
  nodeProcess: Symbol.for('nodeProcess'),
} as const;

/** Creates the container of one node; parts are built on first use. */
export function createContainer(cfg: settings.ResolvedSettings): Container {
  const container = new Container({ defaultScope: 'Singleton' });
  container.bind(parts.settings).toConstantValue(cfg);
  bindBasics(container, cfg);
  bindDistribution(container, cfg);
  bindRequests(container, cfg);
  bindAdmin(container, cfg);
  return container;
}

export function createNode(cfg: settings.ResolvedSettings): nodeProcess.NodeProcess {
  return createContainer(cfg).get<nodeProcess.NodeProcess>(parts.nodeProcess);
}

/** Binds a part to a function that builds it once. */
function bindOnce<T>(container: Container, part: symbol, build: () => T): void {
  container
    .bind<T>(part)
    .toDynamicValue(() => build())
    .inSingletonScope();
}

function loggerOf(container: Container, part: logging.Part): logging.Logger {
  return logging.createPartLogger(container.get(parts.rootLogger), part);
}

function bindBasics(container: Container, cfg: settings.ResolvedSettings): void {
  bindOnce(container, parts.clock, () => new clock.SystemClock());
  bindOnce(container, parts.rootLogger, () => logging.createRootLogger(cfg.logLevel, cfg.node));
  bindOnce(container, parts.metrics, () => new metrics.Metrics());
  bindOnce(container, parts.channels, () => new peerChannels.PeerChannels());
  bindOnce<objectStore.ObjectStore>(
    container,
    parts.objectStore,
    () =>
      new httpObjectStore.HttpObjectStore({
        url: cfg.platform.url,
        timeoutMs: cfg.platform.timeoutMs,
      }),
  );
  bindOnce<fleetState.FleetState>(container, parts.fleetState, () => createState(container, cfg));
}

function createState(container: Container, cfg: settings.ResolvedSettings): fleetState.FleetState {
  const time = container.get<clock.Clock>(parts.clock);
  const config = new configStore.ConfigStore();
  const members = new memberTable.MemberTable(cfg.region, time);
  const log = loggerOf(container, 'membership');
  return {
    config,
    members,
    local: new localMember.LocalMember(cfg, members, time, log),
    rollouts: new documentTable.DocumentTable(),
    placements: new documentTable.DocumentTable(),
    progress: new progress.Progress(config),
    platformLink: new platformLink.PlatformLink(cfg.node, time),
    evidence: new evidenceExchange.EvidenceExchange(),
  };
}

function bindDistribution(container: Container, cfg: settings.ResolvedSettings): void {
  const time = () => container.get<clock.Clock>(parts.clock);
  const state = () => container.get<fleetState.FleetState>(parts.fleetState);
  const store = () => container.get<objectStore.ObjectStore>(parts.objectStore);
  const peerContacts = () => container.get<contacts.Contacts>(parts.contacts);
  const probe = () => container.get<peerProbe.PeerProbe>(parts.probe);
  bindOnce(container, parts.contacts, () => new contacts.Contacts(cfg, state().members, time()));
  bindOnce(
    container,
    parts.probe,
    () => new peerProbe.PeerProbe(cfg, container.get(parts.channels)),
  );
  bindOnce(container, parts.watcher, () => {
    const { config, rollouts, placements, platformLink: link } = state();
    const log = loggerOf(container, 'platform');
    return new platformWatcher.PlatformWatcher(
      store(),
      config,
      rollouts,
      placements,
      peerContacts(),
      link,
      log,
      time(),
    );
  });
  bindOnce(
    container,
    parts.parentTask,
    () =>
      new parentTask.ParentTask(
        cfg,
        state(),
        peerContacts(),
        container.get(parts.channels),
        probe(),
        container.get(parts.watcher),
        container.get(parts.metrics),
        loggerOf(container, 'parent'),
        time(),
      ),
  );
  bindOnce(container, parts.childServer, () => {
    const log = loggerOf(container, 'children');
    return new childServer.ChildServer(cfg, state(), peerContacts(), probe(), log, time());
  });
  bindOnce(container, parts.rosterWriter, () => {
    const log = loggerOf(container, 'membership');
    return new roster.RosterWriter(cfg, store(), state().members, peerContacts(), log);
  });
  bindOnce(container, parts.bootstrap, () => {
    const log = loggerOf(container, 'node');
    return new bootstrap.Bootstrap(cfg, state(), peerContacts(), store(), probe(), log, time());
  });
}

function bindRequests(container: Container, cfg: settings.ResolvedSettings): void {
  const time = () => container.get<clock.Clock>(parts.clock);
  const state = () => container.get<fleetState.FleetState>(parts.fleetState);
  const meters = () => container.get<metrics.Metrics>(parts.metrics);
  bindOnce(
    container,
    parts.admission,
    () => new admission.Admission(() => state().local.upstream?.service ?? '', time()),
  );
  bindOnce(container, parts.upstreamClient, () => new upstreamClient.NodeHttpUpstreamClient());
  bindOnce(
    container,
    parts.localDestination,
    () =>
      new localDestination.LocalDestination(
        state().local,
        state().config,
        container.get(parts.admission),
        container.get(parts.upstreamClient),
        new upstreamHealth.UpstreamHealth(state().local),
        meters(),
      ),
  );
  bindOnce(container, parts.balancer, () => new balancer.Balancer(cfg, state().members, time()));
  bindOnce(
    container,
    parts.recordsRuntime,
    () =>
      new recordsRuntime.RecordsRuntime(
        cfg,
        state(),
        container.get(parts.parentTask),
        container.get(parts.channels),
        container.get(parts.objectStore),
        loggerOf(container, 'records'),
        time(),
      ),
  );
  bindOnce(
    container,
    parts.rolloutRuntime,
    () =>
      new rolloutRuntime.RolloutRuntime(
        state(),
        container.get(parts.parentTask),
        container.get(parts.objectStore),
        container.get(parts.auditTrail),
        meters(),
        loggerOf(container, 'rollouts'),
        time(),
      ),
  );
  bindOnce(
    container,
    parts.onceGuard,
    () =>
      new recordedOnceGuard.RecordedOnceGuard(
        container.get<recordsRuntime.RecordsRuntime>(parts.recordsRuntime).guard,
      ),
  );
  bindOnce(container, parts.peerConnections, () => new peerDestination.PeerConnections());
  bindOnce(container, parts.dispatcher, () => {
    const local = container.get<localDestination.LocalDestination>(parts.localDestination);
    const connections = container.get<peerDestination.PeerConnections>(parts.peerConnections);
    return new dispatcher.Dispatcher(
      cfg,
      state().config,
      container.get(parts.balancer),
      container.get(parts.rolloutRuntime),
      ({ node, address }) =>
        node === cfg.node ? local : new peerDestination.PeerDestination(node, address, connections),
      container.get(parts.onceGuard),
      new retryBudget.RetryBudget(time()),
      meters(),
    );
  });
  bindOnce(container, parts.forwardServer, () => {
    const log = loggerOf(container, 'requests');
    return new forwardServer.ForwardServer(cfg.node, container.get(parts.localDestination), log);
  });
  bindOnce(container, parts.callerServer, () => {
    const { config, local } = state();
    const log = loggerOf(container, 'requests');
    const dispatch = container.get<dispatcher.Dispatcher>(parts.dispatcher);
    return new callerServer.CallerServer(cfg, config, local, dispatch, meters(), log);
  });
}

function bindAdmin(container: Container, cfg: settings.ResolvedSettings): void {
  const state = () => container.get<fleetState.FleetState>(parts.fleetState);
  const store = () => container.get<objectStore.ObjectStore>(parts.objectStore);
  bindOnce(
    container,
    parts.auditTrail,
    () => new auditTrail.AuditTrail(store(), cfg.node, loggerOf(container, 'audit')),
  );
  bindOnce(
    container,
    parts.ticketService,
    () =>
      new ticketService.TicketService(
        store(),
        state().config,
        container.get(parts.auditTrail),
        loggerOf(container, 'config'),
        container.get(parts.clock),
        container.get<platformWatcher.PlatformWatcher>(parts.watcher).manifestCache,
        new ticketForwarder.PeerTicketForwarder(
          cfg,
          state().platformLink,
          container.get(parts.contacts),
          container.get(parts.channels),
          container.get(parts.probe),
        ),
      ),
  );
  bindOnce(
    container,
    parts.statusReport,
    () =>
      new statusReport.StatusReport(
        cfg,
        state(),
        container.get(parts.parentTask),
        container.get(parts.rolloutRuntime),
      ),
  );
  bindOnce(
    container,
    parts.adminServer,
    () =>
      new adminServer.AdminServer(
        cfg,
        container.get(parts.ticketService),
        container.get(parts.statusReport),
        container.get(parts.auditTrail),
        state().local,
        container.get(parts.metrics),
        loggerOf(container, 'admin'),
      ),
  );
  bindOnce(
    container,
    parts.peerServer,
    () =>
      new peerServer.PeerServer(
        cfg,
        container.get(parts.childServer),
        container.get(parts.forwardServer),
        new ticketForwarder.TicketFileServer(container.get(parts.ticketService)),
      ),
  );
  bindOnce(
    container,
    parts.nodeProcess,
    () =>
      new nodeProcess.NodeProcess(cfg, state(), {
        admin: container.get(parts.adminServer),
        audit: container.get(parts.auditTrail),
        bootstrap: container.get(parts.bootstrap),
        callers: container.get(parts.callerServer),
        channels: container.get(parts.channels),
        children: container.get(parts.childServer),
        connections: container.get(parts.peerConnections),
        forwards: container.get(parts.forwardServer),
        log: loggerOf(container, 'node'),
        parents: container.get(parts.parentTask),
        peers: container.get(parts.peerServer),
        records: container.get(parts.recordsRuntime),
        rollouts: container.get(parts.rolloutRuntime),
        rosters: container.get(parts.rosterWriter),
        upstreams: container.get(parts.upstreamClient),
      }),
  );
}
