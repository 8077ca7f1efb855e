/**
 * Spreads what nodes say of themselves. A node tells its neighbours; relays pass news of their own
 * failure domain on to the relays of the others, and news from there on to their own domain. Digests,
 * compared now and then, mend what was lost on the way. Needs no network of its own.
 */

import type { ids } from '@godwittrack/core';
import type * as members from './members.js';
import type * as neighbours from './neighbours.js';

/** Time in which a failure domain whose digest differs is asked for at most once. */
const ASK_AGAIN_AFTER_MS = 1_000;

export interface DomainDigest {
  domain: ids.DomainName;
  digest: number;
}

export type SpreadMessage =
  | { type: 'members'; members: members.Member[] }
  | { type: 'digests'; digests: DomainDigest[] }
  | { type: 'membersWanted'; domains: ids.DomainName[] }
  /** Nodes that are out of reach for their failure domain, with the last sequence heard of each. */
  | { type: 'gone'; nodes: { node: ids.NodeId; sequence: number }[] };

export interface MemberSpreadOptions {
  table: members.MemberTable;
  neighbours: neighbours.Neighbours;
  /** Sends to a node to which a link is kept; lost where there is none. */
  tell: (to: ids.NodeId, message: SpreadMessage) => void;
  /** Something waits to be sent by `flush`. */
  onPending: () => void;
  nowMs: () => number;
}

export class MemberSpread {
  /** Statements to pass on, with the node that each came from. */
  private readonly toDomain = new Map<ids.NodeId, members.Member>();

  private readonly toRelays = new Map<ids.NodeId, members.Member>();

  private readonly askedAtMs = new Map<ids.DomainName, number>();

  constructor(private readonly options: MemberSpreadOptions) {}

  /** Tells all neighbours what this node says of itself. */
  stateSelf(): void {
    const { table, neighbours: near, tell } = this.options;
    const message: SpreadMessage = { type: 'members', members: [table.self] };
    for (const node of near.kept) tell(node, message);
  }

  /**
   * @param from the node that sent it
   * @param reply sends back to that node
   */
  hear(
    from: members.NodeAddress,
    message: SpreadMessage,
    reply: (message: SpreadMessage) => void,
  ): void {
    switch (message.type) {
      case 'members':
        for (const member of message.members) this.take(from, member);
        break;
      case 'digests':
        this.compare(message.digests, reply);
        break;
      case 'membersWanted':
        reply({ type: 'members', members: this.statementsOf(new Set(message.domains)) });
        break;
      default:
        this.drop(from, message);
    }
  }

  /** Takes a statement that came from `from`, and passes it on if it is news. */
  take(from: members.NodeAddress, member: members.Member): void {
    const { table, neighbours: near, onPending } = this.options;
    if (!table.merge(member) || !near.isRelay) return;
    if (from.domain !== table.self.domain) this.toDomain.set(member.node, member);
    else if (member.domain === table.self.domain) this.toRelays.set(member.node, member);
    else return;
    onPending();
  }

  /** Sends what waits; many statements of one moment travel together. */
  flush(): void {
    const { neighbours: near, tell } = this.options;
    const send = (queue: Map<ids.NodeId, members.Member>, to: readonly members.Member[]) => {
      if (queue.size === 0) return;
      const message: SpreadMessage = { type: 'members', members: [...queue.values()] };
      queue.clear();
      for (const { node } of to) tell(node, message);
    };
    send(this.toDomain, near.domainPeers);
    send(this.toRelays, near.farRelays);
  }

  /** Digests for the own failure domain, and for the relays of others; called now and then. */
  sendDigests(): void {
    const { neighbours: near, tell, table } = this.options;
    if (!near.isRelay) return;
    const message = this.digests();
    const own: SpreadMessage = {
      type: 'digests',
      digests: message.digests.filter(({ domain }) => domain === table.self.domain),
    };
    for (const { node } of near.domainPeers) tell(node, message);
    for (const { node } of near.farRelays) tell(node, own);
  }

  /** Digests of all failure domains, for a node that has just connected. */
  digests(): SpreadMessage & { type: 'digests' } {
    const { table } = this.options;
    const digests = [...table.domains()].map((domain) => ({
      domain,
      digest: table.digestOf(domain),
    }));
    return { type: 'digests', digests };
  }

  /** A node of the own failure domain is out of reach for long. */
  forget(node: ids.NodeId): void {
    const { table, neighbours: near, tell } = this.options;
    const sequence = table.lastSequence(node);
    if (!table.remove(node)) return;
    for (const relay of near.farRelays)
      tell(relay.node, { type: 'gone', nodes: [{ node, sequence }] });
  }

  private drop(from: members.NodeAddress, message: SpreadMessage & { type: 'gone' }): void {
    const { table, neighbours: near, tell } = this.options;
    // Each failure domain decides on its own nodes, whom it sees from nearby.
    const removed = message.nodes.filter(({ node, sequence }) => {
      const known = table.get(node);
      if (known === undefined || known.domain === table.self.domain) return false;
      return table.remove(node, sequence);
    });
    if (removed.length === 0 || !near.isRelay || from.domain === table.self.domain) return;
    for (const { node } of near.domainPeers) tell(node, { type: 'gone', nodes: removed });
  }

  private compare(digests: DomainDigest[], reply: (message: SpreadMessage) => void): void {
    const { table, nowMs } = this.options;
    const now = nowMs();
    const wanted = digests
      .filter(({ domain, digest }) => table.digestOf(domain) !== digest)
      .map(({ domain }) => domain)
      .filter((domain) => now - (this.askedAtMs.get(domain) ?? -Infinity) >= ASK_AGAIN_AFTER_MS);
    if (wanted.length === 0) return;
    for (const domain of wanted) this.askedAtMs.set(domain, now);
    reply({ type: 'membersWanted', domains: wanted });
    // What this node said of itself may be the very thing that the other has missed.
    if (wanted.includes(table.self.domain)) reply({ type: 'members', members: [table.self] });
  }

  private statementsOf(domains: ReadonlySet<ids.DomainName>): members.Member[] {
    return [...this.options.table.all()].filter(
      ({ domain, sequence }) => sequence > 0 && domains.has(domain),
    );
  }
}
