/**
 * Links to other nodes and what is told on them. Links to neighbours are kept; links for requests are
 * opened when they are first needed. Knowledge of members spreads by `MemberSpread`; configuration and
 * rollouts are passed on as well, since they only advance.
 */

import type { ids } from '@godwittrack/core';
import * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as news from '../config/news.js';
import type * as members from '../membership/members.js';
import * as memberGossip from '../membership/memberGossip.js';
import * as neighbours from '../membership/neighbours.js';
import type * as observability from '../observability/decisionLog.js';
import type * as evidence from '../rollouts/evidence.js';
import type * as rolloutBoard from '../rollouts/rolloutBoard.js';
import * as configurationRequests from './configurationRequests.js';
import * as frames from './frames.js';
import * as peerLink from './peerLink.js';
import type * as peerServer from './peerServer.js';

/** A node of the own failure domain out of reach for longer is forgotten by all. */
const REMOVE_AFTER_MS = 30_000;
/** How often relays tell digests of what they know. */
const DIGEST_INTERVAL_MS = 2_000;
/** Time in which statements of several nodes are collected before they are passed on. */
const FLUSH_DELAY_MS = 20;
/** Links for requests beside those that are kept; the one unused for longest is closed first. */
const MAX_ON_DEMAND_LINKS = 96;

export interface PeerNetworkOptions {
  table: members.MemberTable;
  config: configHolder.ConfigHolder;
  rollouts: rolloutBoard.RolloutBoard;
  log: observability.DecisionLog;
  onBeacon: (node: ids.NodeId) => void;
  onEvidence: (report: evidence.EvidenceReport) => void;
  /** Another node remembers the upstream beside this one from before a restart. */
  onRecall: (upstream: members.UpstreamState) => void;
}

/** Where a message came from, and how to send back to there. */
interface Sender {
  from: members.NodeAddress;
  reply: (frame: frames.Frame) => void;
}

export class PeerNetwork {
  private readonly links = new Map<ids.NodeId, peerLink.PeerLink>();

  private stopping = false;

  /** Rises when a node comes into reach or goes out of it. */
  private reachabilityChanges = 0;

  private appliedViewKey = '';

  private digestsSentMs = 0;

  private flushTimer: NodeJS.Timeout | null = null;

  private readonly configRequests: configurationRequests.ConfigurationRequests;

  private readonly neighbours: neighbours.Neighbours;

  private readonly gossip: memberGossip.MemberGossip;

  private reachableCache: { key: string; members: members.Member[] } | null = null;

  constructor(private readonly options: PeerNetworkOptions) {
    const { config, table } = options;
    const nowMs = () => performance.now();
    this.configRequests = new configurationRequests.ConfigurationRequests({
      heldVersion: () => config.version,
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
    config.onChange(() => this.configRequests.requestDeferred());
  }

  get openLinks(): number {
    return [...this.links.values()].filter(({ isOpen }) => isOpen).length;
  }

  /** A link that can be given a request, opened if need be; null for this node and those out of reach. */
  route(node: ids.NodeId): peerLink.PeerLink | null {
    const link = this.ensureLink(node);
    return link?.acceptsRequests ? link : null;
  }

  /** Whether a request to the node pays for opening a link first. */
  isOpen(node: ids.NodeId): boolean {
    return this.links.get(node)?.isReady ?? false;
  }

  /** Tells one node something; lost where it is out of reach. */
  tell(node: ids.NodeId, frame: frames.Frame): void {
    const link = this.ensureLink(node);
    link?.open();
    link?.sendFrame(frame);
  }

  /** Members that nothing speaks against, with this node. */
  reachable(): readonly members.Member[] {
    const { table } = this.options;
    const key = this.viewKey();
    if (this.reachableCache?.key !== key) {
      const reachable = [...table.all()].filter(({ node }) => this.isReachable(node));
      this.reachableCache = { key, members: reachable };
    }
    return this.reachableCache.members;
  }

  /** Nodes of the own failure domain in reach, in the order in which they watch the store. */
  watchers(): readonly members.Member[] {
    return this.neighbours.rankedDomain;
  }

  /** Learns the addresses of nodes, and keeps links to those that are neighbours. */
  introduce(addresses: readonly members.NodeAddress[]): void {
    const { table, log } = this.options;
    for (const address of addresses) {
      if (address.node !== table.self.node && table.addAddress(address)) {
        log.belief('members', 'a node is known', { ...address });
      }
    }
    if (this.appliedViewKey !== this.viewKey()) this.updateLinks();
  }

  /** Tells all neighbours what this node says of itself. */
  stateSelf(): void {
    this.gossip.announceSelf();
  }

  /** Tells news to the own failure domain, and from a relay to the others. */
  broadcast(frame: frames.Frame, { domain, farRelays }: news.Audience): void {
    const bytes = frames.encode(frame);
    if (domain) this.sendToAll(this.neighbours.domainPeers, bytes);
    if (farRelays) this.sendToAll(this.neighbours.remoteRelays, bytes);
  }

  /** Called several times a second: keeps the links that are needed, and asks again for what is missing. */
  review(): void {
    this.configRequests.requestDeferred();
    const { monitored: vital } = this.neighbours;
    for (const link of this.links.values()) link.maintain(vital.has(link.node));
    this.removeUnreachable();
    if (this.appliedViewKey !== this.viewKey()) this.updateLinks();
    this.closeExcessLinks();
    const now = performance.now();
    if (now - this.digestsSentMs < DIGEST_INTERVAL_MS) return;
    this.digestsSentMs = now;
    this.gossip.sendDigests();
    this.broadcast(this.stateSummary(), { domain: this.neighbours.isRelay, farRelays: true });
  }

  /** Called ten times a second: nodes that have requests of this one must give signs of life. */
  checkSilence(): void {
    for (const link of this.links.values()) link.checkLiveness();
  }

  /**
   * Tells a new configuration: a difference to the own failure domain, the version to others, which ask
   * for it if they do not hear of it from their own watching node.
   */
  announceConfiguration(
    cfg: configuration.Configuration,
    previous: configuration.Configuration | null,
    scope: news.Audience,
  ): void {
    const version: frames.Frame = { type: 'beacon', configVersion: cfg.version };
    this.broadcast(version, { domain: false, farRelays: scope.farRelays });
    if (!scope.domain) return;
    const inDomain = { domain: true, farRelays: false };
    if (previous === null) this.broadcast(version, inDomain);
    else {
      const delta = configuration.difference(previous, cfg);
      this.broadcast({ type: 'configDelta', delta }, inDomain);
    }
  }

  /** Frames that another node sent on its own link to this one. */
  hear(session: peerServer.PeerSession, frame: frames.Frame): void {
    const reply = (reply: frames.Frame) => session.sendFrame(reply);
    if (frame.type === 'hello') this.handleHello({ from: frame.from, reply: reply }, frame);
    else if (session.hello !== null) this.handleFrame({ from: session.hello.from, reply: reply }, frame);
  }

  stop(): void {
    this.stopping = true;
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    for (const link of this.links.values()) link.stop();
  }

  private handleHello(
    sender: Sender,
    { from, rollouts, rolloutsKnown, configVersion }: frames.Hello,
  ): void {
    const { table, rollouts: board } = this.options;
    this.introduce([from]);
    const held = table.get(from.node);
    const heldSequence = table.lastSequence(from.node);
    const isStale =
      heldSequence > from.sequence ||
      (held?.sequence === from.sequence && !sameUpstream(held.upstream, from.upstream));
    if (isStale) {
      // The node was restarted and does not know what it said before.
      const remembered = held ?? { ...from, sequence: heldSequence };
      sender.reply({ type: 'recall', member: remembered });
    } else {
      this.gossip.apply(sender.from, from);
    }
    this.links.get(from.node)?.connectNow();
    board.merge(rollouts, this.originOf(from));
    if (rolloutsKnown) board.setKnown();
    this.onVersionAdvertised(sender, configVersion);
    if (from.domain === table.self.domain) sender.reply(this.gossip.allDigests());
  }

  private handleFrame(sender: Sender, frame: frames.Frame): void {
    const { config, rollouts, onBeacon, onEvidence } = this.options;
    switch (frame.type) {
      case 'members':
      case 'digests':
      case 'membersWanted':
      case 'gone':
        this.gossip.receive(sender.from, frame, sender.reply);
        break;
      case 'configDelta':
        this.applyDelta(sender, frame.delta);
        break;
      case 'configWhole':
        config.offer(frame.cfg, this.sourceOf(sender));
        break;
      case 'configWanted':
        this.sendConfiguration(sender, frame.heldVersion);
        break;
      case 'beacon':
        onBeacon(sender.from.node);
        this.onVersionAdvertised(sender, frame.configVersion);
        // A node that joins does not read the store itself where another watches.
        if (!rollouts.isKnown) sender.reply({ type: 'newsWanted' });
        break;
      case 'newsWanted':
        sender.reply(this.stateSummary());
        break;
      case 'newsDigest':
        rollouts.merge(frame.rollouts, this.originOf(sender.from));
        if (frame.rolloutsKnown) rollouts.setKnown();
        this.onVersionAdvertised(sender, frame.configVersion);
        break;
      case 'rollouts':
        rollouts.merge(frame.states, this.originOf(sender.from));
        break;
      case 'evidence':
        onEvidence(frame.report);
        break;
      case 'recall':
        this.handlePreviousState(frame.member);
        break;
      case 'misdirected':
        this.handleMisdirected(frame.node);
        break;
      default: {
        const { node: from } = sender.from;
        this.options.log.warn('peers', 'unexpected message', { from, type: frame.type });
      }
    }
  }

  /** Others hold a later statement than this process has made, so it goes on from there. */
  private handlePreviousState(remembered: members.Member): void {
    const { table, onRecall } = this.options;
    if (remembered.sequence >= table.self.sequence) {
      table.restate(table.self.upstream, remembered.sequence);
      this.stateSelf();
    }
    const { upstream } = remembered;
    if (upstream !== null) onRecall(upstream);
  }

  private stateSummary(): frames.Frame {
    const { config, rollouts } = this.options;
    return {
      type: 'newsDigest',
      configVersion: config.version,
      rollouts: rollouts.states(),
      rolloutsKnown: rollouts.isKnown,
    };
  }

  private originOf({ domain }: members.NodeAddress): 'domain' | 'remote' {
    return domain === this.options.table.self.domain ? 'domain' : 'remote';
  }

  private sourceOf({ from }: Sender): configHolder.Source {
    return { origin: this.originOf(from), name: `node ${from.node}` };
  }

  private onVersionAdvertised(sender: Sender, version: number): void {
    const { config } = this.options;
    const request = () => sender.reply({ type: 'configWanted', heldVersion: config.version });
    const isNear = this.originOf(sender.from) === 'domain' || config.current === null;
    const delayMs = isNear ? 0 : configurationRequests.REMOTE_REQUEST_DELAY_MS;
    this.configRequests.onAdvertised({ version, delayMs: delayMs, request: request });
  }

  private sendConfiguration(sender: Sender, heldVersion: number): void {
    const { config } = this.options;
    const cfg = config.current?.cfg;
    if (cfg === undefined || cfg.version <= heldVersion) return;
    const base = config.find(heldVersion);
    if (base === null) sender.reply({ type: 'configWhole', cfg });
    else sender.reply({ type: 'configDelta', delta: configuration.difference(base, cfg) });
  }

  private applyDelta(sender: Sender, delta: configuration.ConfigurationDelta): void {
    const { config } = this.options;
    if (delta.version <= config.version) return;
    const base = config.find(delta.base);
    if (base === null) this.onVersionAdvertised(sender, delta.version);
    else config.offer(configuration.applyDelta(base, delta), this.sourceOf(sender));
  }

  private sendToAll(nodes: readonly members.Member[], bytes: Buffer): void {
    for (const { node } of nodes) this.links.get(node)?.sendEncoded(bytes);
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
    const { persistent: kept } = this.neighbours;
    for (const node of kept) this.ensureLink(node)?.setPersistent(true);
    for (const link of this.links.values()) {
      if (!kept.has(link.node)) {
        if (table.get(link.node) === undefined) this.removeLink(link);
        else link.setPersistent(false);
      }
    }
    this.appliedViewKey = this.viewKey();
  }

  /** Drops nodes of the own failure domain that have been out of reach for long. */
  private removeUnreachable(): void {
    const { table, log } = this.options;
    const now = performance.now();
    for (const link of this.links.values()) {
      const isOwn = table.get(link.node)?.domain === table.self.domain;
      if (isOwn && link.isDown && now - link.downSinceMs > REMOVE_AFTER_MS) {
        log.belief('members', 'a node out of reach is forgotten', { node: link.node });
        this.gossip.removeUnreachable(link.node);
        this.removeLink(link);
      }
    }
  }

  /** An address belongs to one host at a time, so the node that had it before is gone. */
  private handleMisdirected(node: ids.NodeId): void {
    const link = this.links.get(node);
    if (link === undefined) return;
    this.options.log.belief('members', 'another node has the address', { node });
    link.retire();
    this.gossip.removeUnreachable(node);
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

  /** The link to a member, made where there is none yet or its address has changed. */
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
    const { table, config, rollouts, log } = this.options;
    const onReachabilityChanged = () => {
      this.reachabilityChanges += 1;
    };
    return new peerLink.PeerLink({
      node: address.node,
      address: address.address,
      isPersistent: this.neighbours.persistent.has(address.node),
      hello: () => ({
        type: 'hello',
        from: table.self,
        to: address.node,
        configVersion: config.version,
        rollouts: rollouts.states(),
        rolloutsKnown: rollouts.isKnown,
      }),
      onFrame: (link, frame) =>
        this.handleFrame({ from: address, reply: (reply) => link.sendFrame(reply) }, frame),
      onConnected: (link) => log.belief('members', 'a node is reached', { node: link.node }),
      onReachabilityChanged: onReachabilityChanged,
      onDisconnected: (link, detail) => {
        onReachabilityChanged();
        log.belief('members', 'a node is lost', { node: link.node, detail });
      },
    });
  }
}

function sameUpstream(a: members.UpstreamState | null, b: members.UpstreamState | null): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
