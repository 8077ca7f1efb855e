/**
 * Links to all members. Every node states its own upstream on its own links, so that there is one
 * source for each fact; configuration and rollouts are passed on as well, since they only advance.
 */

import type { failures, ids } from '@godwittrack/core';
import * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import type * as evidence from '../rollouts/evidence.js';
import type * as rolloutBoard from '../rollouts/rolloutBoard.js';
import * as configurationRequests from './configurationRequests.js';
import * as frames from './frames.js';
import * as peerLink from './peerLink.js';
import type * as peerServer from './peerServer.js';

/** A member out of reach for longer is forgotten; it comes back when it connects here. */
const FORGET_AFTER_MS = 30_000;

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

export class PeerNetwork {
  private readonly links = new Map<ids.NodeId, peerLink.PeerLink>();

  private stopping = false;

  private readonly requests: configurationRequests.ConfigurationRequests;

  constructor(private readonly options: PeerNetworkOptions) {
    const { config } = options;
    this.requests = new configurationRequests.ConfigurationRequests({
      heldVersion: () => config.version,
      nowMs: () => performance.now(),
    });
    config.onChange(() => this.requests.review());
  }

  /** Null for this node itself and for nodes never heard of. */
  link(node: ids.NodeId): peerLink.PeerLink | null {
    return this.links.get(node) ?? null;
  }

  /** Members that can be reached now, with this node. */
  reachable(): members.Member[] {
    const { table } = this.options;
    return [...table.all()].filter(
      ({ node }) => node === table.self.node || this.links.get(node)?.usable === true,
    );
  }

  /** Learns of a node and keeps a link to it. */
  introduce(address: members.NodeAddress): void {
    if (address.node === this.options.table.self.node) return;
    const changed = this.options.table.introduce(address);
    const known = this.links.get(address.node);
    if (known !== undefined && !changed) {
      known.hurry();
      return;
    }
    known?.stop();
    if (this.stopping) return;
    this.options.log.belief('members', 'a node is known', { ...address });
    this.links.set(address.node, this.createLink(address));
  }

  broadcast(frame: frames.Frame, to: (member: members.Member) => boolean = () => true): void {
    const bytes = frames.encode(frame);
    for (const link of this.links.values()) {
      const member = this.options.table.get(link.node);
      if (member !== undefined && to(member)) link.tellEncoded(bytes);
    }
  }

  /** Asks again for what was not answered, and drops members that have been out of reach for long. */
  review(): void {
    this.requests.review();
    const now = performance.now();
    for (const link of this.links.values()) {
      if (!link.connected && now - link.downSinceMs > FORGET_AFTER_MS) {
        link.stop();
        this.links.delete(link.node);
        this.options.table.remove(link.node);
        this.options.log.belief('members', 'a node out of reach is forgotten', { node: link.node });
      }
    }
  }

  /** Tells a new configuration: as a difference where one is held, else whole on request. */
  announceConfiguration(
    cfg: configuration.Configuration,
    previous: configuration.Configuration | null,
    to: (member: members.Member) => boolean,
  ): void {
    if (previous === null) {
      this.broadcast({ type: 'beacon', configVersion: cfg.version }, to);
    } else {
      const delta = configuration.difference(previous, cfg);
      this.broadcast({ type: 'configDelta', delta }, to);
    }
  }

  /** Frames that another node sent on its own link to this one. */
  hear(session: peerServer.PeerSession, frame: frames.Frame): void {
    const { table, config, rollouts, onBeacon, onEvidence } = this.options;
    if (frame.type === 'hello') {
      const remembered = table.get(frame.from.node)?.upstream ?? null;
      this.introduce(frame.from);
      table.setUpstream(frame.from.node, frame.upstream);
      rollouts.merge(frame.rollouts, this.sourceOf(frame.from).origin);
      if (frame.rolloutsKnown) rollouts.setKnown();
      this.want(session, frame.configVersion);
      if (frame.upstream === null && remembered !== null && !remembered.leaving) {
        session.tell({ type: 'recall', upstream: remembered });
      }
      return;
    }
    if (session.hello === null) return;
    const { node: from } = session.hello.from;
    const source = this.sourceOf(session.hello.from);
    switch (frame.type) {
      case 'upstream':
        table.setUpstream(from, frame.upstream);
        break;
      case 'configDelta':
        this.takeDelta(session, source, frame.delta);
        break;
      case 'configWhole':
        config.offer(frame.cfg, source);
        break;
      case 'beacon':
        onBeacon(from);
        this.want(session, frame.configVersion);
        break;
      case 'rollouts':
        rollouts.merge(frame.states, source.origin);
        break;
      case 'evidence':
        onEvidence(frame.report);
        break;
      default:
        this.options.log.warn('peers', 'unexpected message', { from, type: frame.type });
    }
  }

  stop(): void {
    this.stopping = true;
    for (const link of this.links.values()) link.stop();
  }

  private sourceOf({ node, domain }: members.NodeAddress): configHolder.Source {
    const origin = domain === this.options.table.self.domain ? 'domain' : 'remote';
    return { origin, name: `node ${node}` };
  }

  private want(session: peerServer.PeerSession, version: number): void {
    const { config } = this.options;
    const ask = () => session.tell({ type: 'configWanted', heldVersion: config.version });
    this.requests.offered({ version, ask });
  }

  private takeDelta(
    session: peerServer.PeerSession,
    source: configHolder.Source,
    delta: configuration.ConfigurationDelta,
  ): void {
    const { config } = this.options;
    if (delta.version <= config.version) return;
    const base = config.find(delta.base);
    if (base === null) {
      this.want(session, delta.version);
      return;
    }
    config.offer(configuration.applyDelta(base, delta), source);
  }

  private createLink(address: members.NodeAddress): peerLink.PeerLink {
    const { table, config, rollouts, log } = this.options;
    return new peerLink.PeerLink({
      node: address.node,
      address: address.address,
      hello: () => ({
        type: 'hello',
        from: {
          node: table.self.node,
          address: table.self.address,
          domain: table.self.domain,
          region: table.self.region,
        },
        upstream: table.self.upstream,
        configVersion: config.version,
        rollouts: rollouts.states(),
        rolloutsKnown: rollouts.isKnown,
      }),
      onFrame: (link, frame) => this.answer(link, frame),
      onUp: (link) => log.belief('members', 'a node is reached', { node: link.node }),
      onDown: (link, detail) =>
        log.belief('members', 'a node is lost', { node: link.node, detail }),
    });
  }

  /** Frames that come back on this node's own links. */
  private answer(link: peerLink.PeerLink, frame: frames.Frame): void {
    const { config, log } = this.options;
    const cfg = config.current?.cfg;
    if (frame.type === 'configWanted') {
      if (cfg !== undefined && cfg.version > frame.heldVersion)
        link.tell({ type: 'configWhole', cfg });
    } else if (frame.type === 'recall') {
      this.options.onRecall(frame.upstream);
    } else {
      const failure: failures.Failure = {
        type: 'protocolViolation',
        peer: link.node,
        detail: `unexpected ${frame.type}`,
      };
      log.warn('peers', 'unexpected message', { failure });
    }
  }
}
