/**
 * Manages the links to other nodes and the exchange of control frames. Links to neighbours are persistent;
 * links for requests are opened on demand. Member records spread by `MemberGossip`. Updates of the
 * configuration and of rollouts are forwarded too: both only advance, so the order of arrival is irrelevant.
 */

import type { ids, metrics } from '@godwittrack/core';
import * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as propagation from '../config/propagation.js';
import type * as storeEra from '../config/storeEra.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import * as eventLoop from '../eventLoop.js';
import type * as members from '../membership/members.js';
import * as memberGossip from '../membership/memberGossip.js';
import * as neighbours from '../membership/neighbours.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as crashRecords from '../quarantine/crashRecords.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as quotaMessages from '../quotas/quotaMessages.js';
import type * as evidence from '../rollouts/evidence.js';
import type * as rolloutTable from '../rollouts/rolloutTable.js';
import * as configurationRequests from './configurationRequests.js';
import * as frames from './frames.js';
import * as peerLink from './peerLink.js';
import type * as peerServer from './peerServer.js';
import type * as uplinkScheduler from './uplinkScheduler.js';

/** Time after which an unreachable node of the own failure domain is removed from the whole fleet. */
const REMOVE_AFTER_MS = 30_000;
/** Interval at which relays send digests and state summaries. */
const DIGEST_INTERVAL_MS = 2_000;
/** Time for which member records are collected before they are forwarded together. */
const FLUSH_DELAY_MS = 20;
/** Largest number of idle links that are not persistent; the least recently used are closed first. */
const MAX_ON_DEMAND_LINKS = 96;

export interface PeerNetworkOptions {
  table: members.MemberTable;
  config: configHolder.ConfigHolder;
  rollouts: rolloutTable.RolloutTable;
  evacuations: evacuationTable.EvacuationTable;
  quarantine: quarantine.Quarantine;
  uplink: uplinkScheduler.UplinkScheduler;
  storeEra: storeEra.StoreEra;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  onBeacon: (node: ids.NodeId) => void;
  onEvidence: (report: evidence.EvidenceReport) => void;
  onQuotaMessage: (
    from: ids.NodeId,
    message: quotaMessages.QuotaMessage,
    reply: (response: frames.Frame) => void,
  ) => void;
  eventLoopLag: eventLoop.LagMeter;
  /** Another node has sent the upstream state that this node published before a restart. */
  onPreviousUpstream: (upstream: members.UpstreamState) => void;
}

/** Sender of a frame, and how to reply to it. */
interface Sender {
  from: members.NodeAddress;
  reply: (frame: frames.Frame) => void;
}

export class PeerNetwork {
  private readonly links = new Map<ids.NodeId, peerLink.PeerLink>();

  private stopping = false;

  /** Increases when a node becomes reachable or unreachable. */
  private reachabilityChanges = 0;

  /** View for which the links were last updated. */
  private appliedViewKey = '';

  private digestsSentMs = 0;

  private newestAdvertised = 0;

  private flushTimer: NodeJS.Timeout | null = null;

  private readonly configRequests: configurationRequests.ConfigurationRequests;

  private readonly neighbours: neighbours.Neighbours;

  private readonly gossip: memberGossip.MemberGossip;

  private reachableCache: { key: string; members: members.Member[] } | null = null;

  constructor(private readonly options: PeerNetworkOptions) {
    const { config, table } = options;
    const nowMs = () => performance.now();
    this.configRequests = new configurationRequests.ConfigurationRequests({
      activeVersion: () => config.version,
      nowMs,
    });
    this.neighbours = new neighbours.Neighbours({
      table,
      isReachable: (node) => this.isReachable(node),
      reachabilityVersion: () => this.reachabilityChanges,
    });
    this.gossip = new memberGossip.MemberGossip({
      table,
      neighbours: this.neighbours,
      send: (node, message) => this.links.get(node)?.sendFrame(message),
      onPending: () => this.scheduleFlush(),
      nowMs,
    });
    config.onChange(() => this.configRequests.requestDue());
  }

  /** Newest version of the configuration that another node has advertised. */
  get advertisedVersion(): number {
    return this.newestAdvertised;
  }

  get openLinks(): number {
    return [...this.links.values()].filter(({ isOpen }) => isOpen).length;
  }

  /** A link that accepts requests, created if necessary; null for this node and for unreachable nodes. */
  linkForRequests(node: ids.NodeId): peerLink.PeerLink | null {
    const link = this.ensureLink(node);
    return link?.acceptsRequests ? link : null;
  }

  /** Whether a request to the node can be sent without waiting for a connection. */
  hasReadyLink(node: ids.NodeId): boolean {
    return this.links.get(node)?.isReady ?? false;
  }

  /** Sends a frame to a node; dropped if its link is not connected. @returns false if it was dropped */
  sendFrame(node: ids.NodeId, frame: frames.Frame): boolean {
    const link = this.ensureLink(node);
    link?.open();
    link?.sendFrame(frame);
    return link?.isOpen ?? false;
  }

  /** Members not known to be unreachable, including this node. */
  reachable(): readonly members.Member[] {
    const { table } = this.options;
    const key = this.viewKey();
    if (this.reachableCache?.key !== key) {
      const reachable = [...table.all()].filter(({ node }) => this.isReachable(node));
      this.reachableCache = { key, members: reachable };
    }
    return this.reachableCache.members;
  }

  /** Reachable nodes of the own failure domain; the first one watches the store. */
  watcherCandidates(): readonly members.Member[] {
    return this.neighbours.rankedDomain;
  }

  /** Adds the addresses of other nodes to the member table, and opens links to new neighbours. */
  addNodes(addresses: readonly members.NodeAddress[]): void {
    const { table, log } = this.options;
    for (const address of addresses) {
      if (address.node !== table.self.node && table.addAddress(address)) {
        log.info('members', 'node discovered', { ...address });
      }
    }
    if (this.appliedViewKey !== this.viewKey()) this.updateLinks();
  }

  /** Sends the record of this node to all neighbours. */
  announceSelf(): void {
    this.gossip.announceSelf();
  }

  /** Sends a frame to the own failure domain and, if this node is a relay, to the relays of the others. */
  broadcast(frame: frames.Frame, { domain, remoteRelays: toRelays }: propagation.Scope): void {
    const bytes = frames.encode(frame);
    const send = ({ node }: members.Member) => this.links.get(node)?.sendEncoded(bytes, frame.type);
    if (domain) this.neighbours.domainPeers.forEach(send);
    if (toRelays) this.neighbours.remoteRelays.forEach(send);
  }

  /** Sends the versions that this node knows of, such as the era of the store. */
  announceState(scope: propagation.Scope): void {
    this.broadcast(this.stateSummary(), scope);
  }

  /** Sends new reports of ends of upstreams. */
  announceCrashes(crashes: crashRecords.CrashReport[], scope: propagation.Scope): void {
    this.broadcast(this.stateSummary(crashes), scope);
  }

  /**
   * Maintains the links, removes unreachable nodes, sends due digests and repeats configuration requests.
   * Called several times a second.
   */
  maintain(): void {
    this.configRequests.requestDue();
    const { monitored } = this.neighbours;
    for (const link of this.links.values()) link.maintain(monitored.has(link.node));
    this.removeUnreachable();
    if (this.appliedViewKey !== this.viewKey()) this.updateLinks();
    this.closeExcessLinks();
    const now = performance.now();
    if (now - this.digestsSentMs < DIGEST_INTERVAL_MS) return;
    this.digestsSentMs = now;
    this.gossip.sendDigests();
    this.announceState({ domain: this.neighbours.isRelay, remoteRelays: true });
  }

  /** Checks the liveness of nodes with pending requests or transfers. Called ten times a second. */
  checkLiveness(): void {
    for (const link of this.links.values()) link.checkLiveness();
    const { uplink } = this.options;
    // Acknowledgements may have arrived during a pause of this process.
    if (uplink.hasPending) void eventLoop.nextPoll().then(() => uplink.markStalled());
  }

  /**
   * Sends a new configuration as a delta to the own failure domain. Other domains receive only its version,
   * and request the configuration if their own watching node does not deliver it.
   */
  announceConfiguration(
    cfg: configuration.Configuration,
    previous: configuration.Configuration | null,
    scope: propagation.Scope,
  ): void {
    const version = this.beacon();
    this.broadcast(version, { domain: false, remoteRelays: scope.remoteRelays });
    if (!scope.domain) return;
    const inDomain = { domain: true, remoteRelays: false };
    if (previous === null) this.broadcast(version, inDomain);
    else {
      const delta = configuration.createDelta(previous, cfg);
      this.broadcast({ type: 'configDelta', delta }, inDomain);
    }
  }

  /** Handles a frame that another node sent on its link to this node. */
  receive(session: peerServer.PeerSession, frame: frames.Frame): void {
    const reply = (response: frames.Frame) => session.sendFrame(response);
    if (frame.type === 'hello') this.handleHello({ from: frame.from, reply }, frame);
    else if (session.hello !== null) this.handleFrame({ from: session.hello.from, reply }, frame);
  }

  stop(): void {
    this.stopping = true;
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    for (const link of this.links.values()) link.stop();
  }

  private handleHello(sender: Sender, hello: frames.Hello): void {
    const { table } = this.options;
    const { from } = hello;
    this.addNodes([from]);
    const known = table.get(from.node);
    const knownSequence = table.lastSequence(from.node);
    const isStale =
      knownSequence > from.sequence ||
      (known?.sequence === from.sequence && !sameUpstream(known.upstream, from.upstream));
    if (isStale) {
      // The node has restarted and does not know its earlier record.
      const previous = known ?? { ...from, sequence: knownSequence };
      sender.reply({ type: 'previousState', member: previous });
    } else {
      this.gossip.apply(sender.from, from);
    }
    this.links.get(from.node)?.connectNow();
    this.mergeState(sender, hello);
    if (from.domain === table.self.domain) sender.reply(this.gossip.allDigests());
  }

  private handleFrame(sender: Sender, frame: frames.Frame): void {
    const { config, rollouts, evacuations, onBeacon, onEvidence } = this.options;
    if (quotaMessages.isQuotaMessage(frame)) {
      this.options.onQuotaMessage(sender.from.node, frame, sender.reply);
      return;
    }
    switch (frame.type) {
      case 'members':
      case 'digests':
      case 'membersRequest':
      case 'membersRemoved':
        this.gossip.receive(sender.from, frame, sender.reply);
        break;
      case 'configDelta':
        this.applyDelta(sender, frame.delta);
        break;
      case 'configFull':
        config.offer(frame.cfg, this.sourceOf(sender));
        break;
      case 'configRequest':
        this.sendConfiguration(sender, frame.heldVersion);
        break;
      case 'beacon':
        onBeacon(sender.from.node);
        this.observeEra(sender, frame.storeEra);
        this.onVersionAdvertised(sender, frame.configVersion);
        // A joining node does not read the store itself if another node watches it.
        if (!rollouts.isSynced || !evacuations.isSynced)
          sender.reply({ type: 'stateSummaryRequest' });
        break;
      case 'stateSummaryRequest':
        sender.reply(this.stateSummary());
        break;
      case 'stateSummary':
        this.mergeState(sender, frame);
        break;
      case 'rollouts':
        rollouts.merge(frame.states, this.originOf(sender.from));
        break;
      case 'evacuations':
        evacuations.merge(frame.set, this.originOf(sender.from));
        break;
      case 'evidence':
        onEvidence(frame.report);
        break;
      case 'previousState':
        this.handlePreviousState(frame.member);
        break;
      case 'misdirected':
        this.handleMisdirected(frame.node);
        break;
      default: {
        const { node: from } = sender.from;
        this.options.log.warn('peers', 'unexpected frame', { from, type: frame.type });
      }
    }
  }

  /** Continues the sequence of the record from before the restart, and reports its upstream state. */
  private handlePreviousState(previous: members.Member): void {
    const { table, onPreviousUpstream: restoreUpstream } = this.options;
    const { upstream, sequence } = previous;
    // Before a record of this node counts, so that none is without the limit of the upstream.
    if (upstream !== null) restoreUpstream(upstream);
    if (sequence < table.self.sequence) return;
    table.updateSelf(table.self.upstream, sequence);
    this.announceSelf();
  }

  /** Frame by which this node tells the versions that it holds, with the sign that the store answers it. */
  beacon(): frames.Frame {
    const { config, storeEra: era } = this.options;
    return { type: 'beacon', configVersion: config.version, storeEra: era.current };
  }

  private observeEra(sender: Sender, era: ids.StoreEra | null | undefined): void {
    if (era != null) this.options.storeEra.observe(era, this.sourceOf(sender));
  }

  private mergeState(sender: Sender, state: frames.SharedState): void {
    const { quarantine: suspects, rollouts, evacuations } = this.options;
    const origin = this.originOf(sender.from);
    this.observeEra(sender, state.storeEra);
    // Before this node counts as synced, so that it serves with the reports.
    suspects.merge(state.crashes ?? [], origin);
    if (state.evacuations !== undefined) evacuations.merge(state.evacuations, origin);
    rollouts.merge(state.rollouts, origin);
    if (state.rolloutsKnown) rollouts.markSynced();
    this.onVersionAdvertised(sender, state.configVersion);
  }

  private stateSummary(crashes?: crashRecords.CrashReport[]): frames.Frame {
    return { type: 'stateSummary', ...this.sharedState(crashes) };
  }

  private sharedState(crashes = this.options.quarantine.repeatedReports()): frames.SharedState {
    const { config, rollouts, storeEra: era } = this.options;
    const evacuations = this.options.evacuations.shared();
    return {
      configVersion: config.version,
      rollouts: rollouts.states(),
      rolloutsKnown: rollouts.isSynced,
      storeEra: era.current,
      ...(crashes.length === 0 ? {} : { crashes }),
      ...(evacuations === null ? {} : { evacuations }),
    };
  }

  private originOf({ domain }: members.NodeAddress): 'domain' | 'remote' {
    return domain === this.options.table.self.domain ? 'domain' : 'remote';
  }

  private sourceOf({ from }: Sender): configHolder.Source {
    return { origin: this.originOf(from), name: `node ${from.node}` };
  }

  private onVersionAdvertised(sender: Sender, version: number): void {
    const { config, log, meters: metricsRegistry } = this.options;
    const origin = this.originOf(sender.from);
    const advertisedMs = performance.now();
    const request = () => {
      const waitedMs = Math.round(performance.now() - advertisedMs);
      const { node } = sender.from;
      log.info('config', 'configuration requested', {
        version,
        held: config.version,
        from: node,
        waitedMs,
      });
      metricsRegistry.increment(meters.CONFIG_REQUESTS, { origin });
      sender.reply({ type: 'configRequest', heldVersion: config.version });
    };
    this.newestAdvertised = Math.max(this.newestAdvertised, version);
    const isUrgent = origin === 'domain' || config.isInitial;
    const delayMs = isUrgent ? 0 : configurationRequests.REMOTE_REQUEST_DELAY_MS;
    this.configRequests.onAdvertised({ node: sender.from.node, version, delayMs, request });
  }

  private sendConfiguration(sender: Sender, heldVersion: number): void {
    const { config } = this.options;
    const cfg = config.current?.cfg;
    if (cfg === undefined || cfg.version <= heldVersion) return;
    const base = config.find(heldVersion);
    if (base === null) sender.reply({ type: 'configFull', cfg });
    else sender.reply({ type: 'configDelta', delta: configuration.createDelta(base, cfg) });
  }

  private applyDelta(sender: Sender, delta: configuration.ConfigurationDelta): void {
    const { config } = this.options;
    if (delta.version <= config.version) return;
    const base = config.find(delta.base);
    if (base === null) this.onVersionAdvertised(sender, delta.version);
    else config.offer(configuration.applyDelta(base, delta), this.sourceOf(sender));
  }

  /** Whether the node is a member and not known to be unreachable. */
  isReachableMember(node: ids.NodeId): boolean {
    return this.options.table.get(node) !== undefined && this.isReachable(node);
  }

  private isReachable(node: ids.NodeId): boolean {
    if (node === this.options.table.self.node) return true;
    const link = this.links.get(node);
    return link === undefined || link.isReachable;
  }

  private viewKey(): string {
    return `${this.options.table.version}.${this.reachabilityChanges}`;
  }

  private scheduleFlush(): void {
    if (this.flushTimer !== null || this.stopping) return;
    this.flushTimer = setTimeout(() => {
      this.flushTimer = null;
      this.gossip.flush();
    }, FLUSH_DELAY_MS);
  }

  private updateLinks(): void {
    if (this.stopping) return;
    const { table } = this.options;
    const { persistent } = this.neighbours;
    for (const node of persistent) this.ensureLink(node)?.setPersistent(true);
    for (const link of this.links.values()) {
      if (!persistent.has(link.node)) {
        if (table.get(link.node) === undefined) this.removeLink(link);
        else link.setPersistent(false);
      }
    }
    this.appliedViewKey = this.viewKey();
  }

  /** Removes nodes of the own failure domain that have been disconnected for too long. */
  private removeUnreachable(): void {
    const { table, log } = this.options;
    const now = performance.now();
    for (const link of this.links.values()) {
      const isOwn = table.get(link.node)?.domain === table.self.domain;
      if (isOwn && link.isDown && now - link.downSinceMs > REMOVE_AFTER_MS) {
        log.info('members', 'unreachable node removed', { node: link.node });
        this.gossip.removeNode(link.node);
        this.removeLink(link);
      }
    }
  }

  /** Removes a node whose address another node now has: an address belongs to one host at a time. */
  private handleMisdirected(node: ids.NodeId): void {
    const link = this.links.get(node);
    if (link === undefined) return;
    this.options.log.info('members', 'address reassigned to another node, node removed', {
      node,
    });
    link.retire();
    this.gossip.removeNode(node);
  }

  private closeExcessLinks(): void {
    const idle = [...this.links.values()].filter((link) => link.isIdle);
    if (idle.length <= MAX_ON_DEMAND_LINKS) return;
    idle.sort((a, b) => a.lastUsedMs - b.lastUsedMs);
    for (const link of idle.slice(0, idle.length - MAX_ON_DEMAND_LINKS)) link.closeIfIdle();
  }

  private removeLink(link: peerLink.PeerLink): void {
    this.links.delete(link.node);
    link.stop();
  }

  /** Returns the link to a member; creates it if there is none or if the address has changed. */
  private ensureLink(node: ids.NodeId): peerLink.PeerLink | null {
    const { table } = this.options;
    const member = table.get(node);
    if (member === undefined || node === table.self.node || this.stopping) return null;
    let link = this.links.get(node);
    if (link !== undefined && link.address === member.address) return link;
    if (link !== undefined) this.removeLink(link);
    link = this.createLink(member);
    this.links.set(node, link);
    return link;
  }

  private createLink(address: members.NodeAddress): peerLink.PeerLink {
    const { table, eventLoopLag, log } = this.options;
    const { meters: metricsRegistry } = this.options;
    const onReachabilityChanged = () => {
      this.reachabilityChanges += 1;
    };
    return new peerLink.PeerLink({
      node: address.node,
      address: address.address,
      isPersistent: this.neighbours.persistent.has(address.node),
      uplink: this.options.uplink,
      hello: () => ({
        type: 'hello',
        from: table.self,
        to: address.node,
        ...this.sharedState(),
      }),
      onFrame: (link, frame) =>
        this.handleFrame({ from: address, reply: (reply) => link.sendFrame(reply) }, frame),
      onConnected: (link) => log.info('members', 'node connected', { node: link.node }),
      onReachabilityChanged,
      onDisconnected: (link, loss) => {
        onReachabilityChanged();
        metricsRegistry.increment(meters.LINKS_LOST, { reason: loss.reason });
        log.info('members', 'node disconnected', {
          node: link.node,
          ...loss,
          eventLoopLagMs: Math.round(eventLoopLag.highestMs),
        });
      },
    });
  }
}

function sameUpstream(a: members.UpstreamState | null, b: members.UpstreamState | null): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
