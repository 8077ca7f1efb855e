/**
 * Spreads what nodes say of themselves. A node tells its neighbours; relays pass news of their own
 * failure domain on to the relays of the others, and news from there on to their own domain. Digests,
 * compared now and then, mend what was lost on the way. Needs no network of its own.
 */

import type { ids } from '@godwittrack/core';
import type * as members from './members.js';
import type * as neighbours from './neighbours.js';

/** Time in which a failure domain whose digest differs is asked for at most once. */
const MIN_REQUEST_INTERVAL_MS = 1_000;

export interface DomainDigest {
  domain: ids.DomainName;
  digest: number;
}

export type GossipMessage =
  | { type: 'members'; members: members.Member[] }
  | { type: 'digests'; digests: DomainDigest[] }
  | { type: 'membersWanted'; domains: ids.DomainName[] }
  /** Nodes that are out of reach for their failure domain, with the last sequence heard of each. */
  | { type: 'gone'; nodes: { node: ids.NodeId; sequence: number }[] };

export interface MemberGossipOptions {
  table: members.MemberTable;
  neighbours: neighbours.Neighbours;
  /** Sends to a node to which a link is kept; lost where there is none. */
  send: (to: ids.NodeId, message: GossipMessage) => void;
  /** Something waits to be sent by `flush`. */
  onPending: () => void;
  nowMs: () => number;
}

export class MemberGossip {
  /** Statements to pass on, with the node that each came from. */
  private readonly pendingForDomain = new Map<ids.NodeId, members.Member>();

  private readonly pendingForRelays = new Map<ids.NodeId, members.Member>();

  private readonly requestedAtMs = new Map<ids.DomainName, number>();

  constructor(private readonly options: MemberGossipOptions) {}

  /** Tells all neighbours what this node says of itself. */
  announceSelf(): void {
    const { table, neighbours: near, send: tell } = this.options;
    const message: GossipMessage = { type: 'members', members: [table.self] };
    for (const node of near.persistent) tell(node, message);
  }

  /**
   * @param from the node that sent it
   * @param reply sends back to that node
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
      case 'membersWanted':
        reply({ type: 'members', members: this.recordsOf(new Set(message.domains)) });
        break;
      default:
        this.applyRemovals(from, message);
    }
  }

  /** Takes a statement that came from `from`, and passes it on if it is news. */
  apply(from: members.NodeAddress, member: members.Member): void {
    const { table, neighbours: near, onPending } = this.options;
    if (!table.merge(member) || !near.isRelay) return;
    if (from.domain !== table.self.domain) this.pendingForDomain.set(member.node, member);
    else if (member.domain === table.self.domain) this.pendingForRelays.set(member.node, member);
    else return;
    onPending();
  }

  /** Sends what waits; many statements of one moment travel together. */
  flush(): void {
    const { neighbours: near, send: tell } = this.options;
    const send = (queue: Map<ids.NodeId, members.Member>, to: readonly members.Member[]) => {
      if (queue.size === 0) return;
      const message: GossipMessage = { type: 'members', members: [...queue.values()] };
      queue.clear();
      for (const { node } of to) tell(node, message);
    };
    send(this.pendingForDomain, near.domainPeers);
    send(this.pendingForRelays, near.remoteRelays);
  }

  /** Digests for the own failure domain, and for the relays of others; called now and then. */
  sendDigests(): void {
    const { neighbours: near, send: tell, table } = this.options;
    if (!near.isRelay) return;
    const message = this.allDigests();
    const own: GossipMessage = {
      type: 'digests',
      digests: message.digests.filter(({ domain }) => domain === table.self.domain),
    };
    for (const { node } of near.domainPeers) tell(node, message);
    for (const { node } of near.remoteRelays) tell(node, own);
  }

  /** Digests of all failure domains, for a node that has just connected. */
  allDigests(): GossipMessage & { type: 'digests' } {
    const { table } = this.options;
    const digests = [...table.domains()].map((domain) => ({
      domain,
      digest: table.digestOf(domain),
    }));
    return { type: 'digests', digests };
  }

  /** A node of the own failure domain is out of reach for long. */
  removeUnreachable(node: ids.NodeId): void {
    const { table, neighbours: near, send: tell } = this.options;
    const sequence = table.lastSequence(node);
    if (!table.remove(node)) return;
    for (const relay of near.remoteRelays)
      tell(relay.node, { type: 'gone', nodes: [{ node, sequence }] });
  }

  private applyRemovals(from: members.NodeAddress, message: GossipMessage & { type: 'gone' }): void {
    const { table, neighbours: near, send: tell } = this.options;
    // Each failure domain decides on its own nodes, whom it sees from nearby.
    const removed = message.nodes.filter(({ node, sequence }) => {
      const known = table.get(node);
      if (known === undefined || known.domain === table.self.domain) return false;
      return table.remove(node, sequence);
    });
    if (removed.length === 0 || !near.isRelay || from.domain === table.self.domain) return;
    for (const { node } of near.domainPeers) tell(node, { type: 'gone', nodes: removed });
  }

  private compareDigests(digests: DomainDigest[], reply: (message: GossipMessage) => void): void {
    const { table, nowMs } = this.options;
    const now = nowMs();
    const differing = digests
      .filter(({ domain, digest }) => table.digestOf(domain) !== digest)
      .map(({ domain }) => domain)
      .filter((domain) => now - (this.requestedAtMs.get(domain) ?? -Infinity) >= MIN_REQUEST_INTERVAL_MS);
    if (differing.length === 0) return;
    for (const domain of differing) this.requestedAtMs.set(domain, now);
    reply({ type: 'membersWanted', domains: differing });
    // What this node said of itself may be the very thing that the other has missed.
    if (differing.includes(table.self.domain)) reply({ type: 'members', members: [table.self] });
  }

  private recordsOf(domains: ReadonlySet<ids.DomainName>): members.Member[] {
    return [...this.options.table.all()].filter(
      ({ domain, sequence }) => sequence > 0 && domains.has(domain),
    );
  }
}
