/**
 * Gossip protocol for member records. A node sends its record to its neighbours; relays forward records of
 * their own failure domain to the relays of the other domains, and records from other domains to their own
 * domain. Periodic comparison of digests repairs lost messages. The transport is supplied by the caller.
 */

import type { ids } from '@godwittrack/core';
import type * as members from './members.js';
import type * as neighbours from './neighbours.js';

/** Shortest interval between two requests for the records of the same failure domain. */
const MIN_REQUEST_INTERVAL_MS = 1_000;

export interface DomainDigest {
  domain: ids.DomainName;
  digest: number;
}

export type GossipMessage =
  | { type: 'members'; members: members.Member[] }
  | { type: 'digests'; digests: DomainDigest[] }
  | { type: 'membersRequest'; domains: ids.DomainName[] }
  /** Nodes that their failure domain has removed as unreachable, with the last known sequence of each. */
  | { type: 'membersRemoved'; nodes: { node: ids.NodeId; sequence: number }[] };

export interface MemberGossipOptions {
  table: members.MemberTable;
  neighbours: neighbours.Neighbours;
  /** Sends to a node with an open link; the message is dropped if there is none. */
  send: (to: ids.NodeId, message: GossipMessage) => void;
  /** Called when there are records for `flush` to send. */
  onPending: () => void;
  nowMs: () => number;
}

export class MemberGossip {
  /** Records to forward, by the node that they describe. */
  private readonly pendingForDomain = new Map<ids.NodeId, members.Member>();

  private readonly pendingForRelays = new Map<ids.NodeId, members.Member>();

  private readonly requestedAtMs = new Map<ids.DomainName, number>();

  constructor(private readonly options: MemberGossipOptions) {}

  /** Sends the record of this node to all neighbours. */
  announceSelf(): void {
    const { table, neighbours: overlay, send } = this.options;
    const message: GossipMessage = { type: 'members', members: [table.self] };
    for (const node of overlay.persistent) send(node, message);
  }

  /**
   * @param from the sender of the message
   * @param reply sends a message back to the sender
   */
  receive(
    from: members.NodeAddress,
    message: GossipMessage,
    reply: (message: GossipMessage) => void,
  ): void {
    switch (message.type) {
      case 'members':
        for (const member of message.members) this.apply(from, member);
        break;
      case 'digests':
        this.compareDigests(message.digests, reply);
        break;
      case 'membersRequest':
        reply({ type: 'members', members: this.recordsOf(new Set(message.domains)) });
        break;
      default:
        this.applyRemovals(from, message);
    }
  }

  /** Stores a record received from `from`, and queues it for forwarding if it is new. */
  apply(from: members.NodeAddress, member: members.Member): void {
    const { table, neighbours: overlay, onPending } = this.options;
    if (!table.merge(member) || !overlay.isRelay) return;
    if (from.domain !== table.self.domain) this.pendingForDomain.set(member.node, member);
    else if (member.domain === table.self.domain) this.pendingForRelays.set(member.node, member);
    else return;
    onPending();
  }

  /** Sends the queued records; records that arrived at the same time share a message. */
  flush(): void {
    const { neighbours: overlay, send } = this.options;
    const sendQueue = (queue: Map<ids.NodeId, members.Member>, to: readonly members.Member[]) => {
      if (queue.size === 0) return;
      const message: GossipMessage = { type: 'members', members: [...queue.values()] };
      queue.clear();
      for (const { node } of to) send(node, message);
    };
    sendQueue(this.pendingForDomain, overlay.domainPeers);
    sendQueue(this.pendingForRelays, overlay.remoteRelays);
  }

  /**
   * As a relay, sends all digests to the own failure domain, and the digest of the own domain to the relays
   * of the others; called periodically.
   */
  sendDigests(): void {
    const { neighbours: overlay, send, table } = this.options;
    if (!overlay.isRelay) return;
    const message = this.allDigests();
    const own: GossipMessage = {
      type: 'digests',
      digests: message.digests.filter(({ domain }) => domain === table.self.domain),
    };
    for (const { node } of overlay.domainPeers) send(node, message);
    for (const { node } of overlay.remoteRelays) send(node, own);
  }

  /** Digests of all failure domains. */
  allDigests(): GossipMessage & { type: 'digests' } {
    const { table } = this.options;
    const digests = [...table.domains()].map((domain) => ({
      domain,
      digest: table.digestOf(domain),
    }));
    return { type: 'digests', digests };
  }

  /** Removes a node of the own failure domain, and tells the relays of the other domains. */
  removeNode(node: ids.NodeId): void {
    const { table, neighbours: overlay, send } = this.options;
    const sequence = table.lastSequence(node);
    if (!table.remove(node)) return;
    for (const relay of overlay.remoteRelays)
      send(relay.node, { type: 'membersRemoved', nodes: [{ node, sequence }] });
  }

  private applyRemovals(
    from: members.NodeAddress,
    message: GossipMessage & { type: 'membersRemoved' },
  ): void {
    const { table, neighbours: overlay, send } = this.options;
    // Each failure domain removes its own nodes itself, since it has direct links to them.
    const removed = message.nodes.filter(({ node, sequence }) => {
      const known = table.get(node);
      if (known === undefined || known.domain === table.self.domain) return false;
      return table.remove(node, sequence);
    });
    if (removed.length === 0 || !overlay.isRelay || from.domain === table.self.domain) return;
    for (const { node } of overlay.domainPeers)
      send(node, { type: 'membersRemoved', nodes: removed });
  }

  private compareDigests(digests: DomainDigest[], reply: (message: GossipMessage) => void): void {
    const { table, nowMs } = this.options;
    const now = nowMs();
    const differing = digests
      .filter(({ domain, digest }) => table.digestOf(domain) !== digest)
      .map(({ domain }) => domain)
      .filter(
        (domain) => now - (this.requestedAtMs.get(domain) ?? -Infinity) >= MIN_REQUEST_INTERVAL_MS,
      );
    if (differing.length === 0) return;
    for (const domain of differing) this.requestedAtMs.set(domain, now);
    reply({ type: 'membersRequest', domains: differing });
    // The other node may have missed the record of this node.
    if (differing.includes(table.self.domain)) reply({ type: 'members', members: [table.self] });
  }

  private recordsOf(domains: ReadonlySet<ids.DomainName>): members.Member[] {
    return [...this.options.table.all()].filter(
      ({ domain, sequence }) => sequence > 0 && domains.has(domain),
    );
  }
}
