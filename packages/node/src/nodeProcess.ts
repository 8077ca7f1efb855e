/** Life cycle of a node: starts its listeners and tasks, and drains requests before it stops. */

import { backoff } from '@godwittrack/core';
import type * as adminServer from './admin/adminServer.js';
import type * as auditTrail from './admin/auditTrail.js';
import type * as bootstrap from './bootstrap.js';
import type * as childServer from './distribution/childServer.js';
import type * as fleetState from './distribution/fleetState.js';
import type * as parentTask from './distribution/parentTask.js';
import type * as peerChannels from './distribution/peerChannels.js';
import type * as peerServer from './distribution/peerServer.js';
import type * as logging from './logging.js';
import type * as roster from './membership/roster.js';
import type * as callerServer from './requests/callerServer.js';
import type * as forwardServer from './requests/forwardServer.js';
import type * as peerDestination from './requests/peerDestination.js';
import type * as upstreamClient from './requests/upstreamClient.js';
import * as recordsService from './records/recordsService.js';
import type * as recordsRuntime from './records/recordsRuntime.js';
import type * as rolloutRuntime from './rollouts/rolloutRuntime.js';
import type * as settings from './settings.js';

export interface NodeParts {
  admin: adminServer.AdminServer;
  audit: auditTrail.AuditTrail;
  bootstrap: bootstrap.Bootstrap;
  callers: callerServer.CallerServer;
  channels: peerChannels.PeerChannels;
  children: childServer.ChildServer;
  connections: peerDestination.PeerConnections;
  forwards: forwardServer.ForwardServer;
  log: logging.Logger;
  parents: parentTask.ParentTask;
  peers: peerServer.PeerServer;
  records: recordsRuntime.RecordsRuntime;
  rollouts: rolloutRuntime.RolloutRuntime;
  rosters: roster.RosterWriter;
  upstreams: upstreamClient.UpstreamClient;
}

const LEASE_CHECK_INTERVAL_MS = 500;
const DRAIN_POLL_INTERVAL_MS = 20;
/**
 * Time for the draining state to reach the other nodes before the node stops accepting requests.
 * Also the limit of each wait for tasks and audit entries while the node closes.
 */
const LEAVE_NOTICE_MS = 1_000;

export class NodeProcess {
  private readonly stopping = new AbortController();

  private tasks: Promise<void>[] = [];

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly parts: NodeParts,
  ) {}

  /** Returns when the listeners are open and discovery has finished; the node is ready later. */
  async start(): Promise<void> {
    const { admin, bootstrap: starter, callers, children, parents, peers } = this.parts;
    const { records, rollouts, rosters } = this.parts;
    const { signal } = this.stopping;
    peers.addRecords(recordsService.createRecordsService(records.store));
    await peers.listen();
    await admin.listen();
    await callers.listen();
    this.state.local.publish();
    this.parts.log.info({ listen: this.cfg.listen }, 'Listening.');
    await starter.discover(signal);
    this.tasks = [
      parents.run(signal),
      children.sweep(signal),
      rosters.run(signal),
      records.run(signal),
      rollouts.run(signal),
      starter.run(signal),
      this.checkUpstreamLease(),
    ];
  }

  /** Drains and closes: refuses new requests and waits up to the drain time for those in flight. */
  async stop(): Promise<void> {
    const { callers, forwards, log } = this.parts;
    const { local } = this.state;
    if (local.isDraining) return;
    const deadlineMs = performance.now() + this.cfg.drainTimeMs;
    log.info('Stopping.');
    local.setDraining();
    await backoff.sleep(Math.min(LEAVE_NOTICE_MS, this.cfg.drainTimeMs));
    callers.stopAccepting();
    forwards.drain();
    while (callers.inFlight + forwards.inFlight > 0 && performance.now() < deadlineMs) {
      await backoff.sleep(DRAIN_POLL_INTERVAL_MS);
    }
    const unfinished = callers.inFlight + forwards.inFlight;
    if (unfinished > 0)
      log.warn({ requests: unfinished }, 'Drain time ended; closing with requests in flight.');
    await this.close();
    log.info('Stopped.');
  }

  private async close(): Promise<void> {
    const { admin, audit, callers, channels, children, peers, upstreams } = this.parts;
    const { connections, forwards } = this.parts;
    children.close();
    this.state.members.remove(this.cfg.node, this.state.local.incarnation, '');
    await backoff.sleep(DRAIN_POLL_INTERVAL_MS);
    this.stopping.abort();
    await Promise.race([Promise.all(this.tasks), backoff.sleep(LEAVE_NOTICE_MS)]);
    await Promise.race([audit.settled(), backoff.sleep(LEAVE_NOTICE_MS)]);
    callers.close();
    forwards.close();
    connections.close();
    admin.close();
    peers.close();
    channels.close();
    upstreams.close();
  }

  private async checkUpstreamLease(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await backoff.sleep(LEASE_CHECK_INTERVAL_MS, this.stopping.signal);
      this.state.local.expireUpstream();
      this.state.local.publishColdStartEnd();
    }
  }
}
