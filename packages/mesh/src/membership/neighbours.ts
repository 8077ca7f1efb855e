/**
 * Which nodes a node keeps links to, so that knowledge spreads by few messages: all of its own failure
 * domain, and between domains only a few relays of each side. Fleets so small that a link to everyone
 * costs little keep one to everyone.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import type * as members from './members.js';

/** Nodes of a failure domain that carry knowledge between domains; two, so that one may stand still. */
const RELAYS_PER_DOMAIN = 2;
/** Largest fleet in which each node keeps a link to each other; about the size of one domain. */
const FULL_MESH_LIMIT = 24;

export interface NeighboursOptions {
  table: members.MemberTable;
  /** False for nodes that are known to be out of reach. */
  isReachable: (node: ids.NodeId) => boolean;
  /** Rises when the answer of `isReachable` changes for any node. */
  reachVersion: () => number;
}

interface View {
  key: string;
  isRelay: boolean;
  kept: Set<ids.NodeId>;
  vital: ReadonlySet<ids.NodeId>;
  domainPeers: members.Member[];
  /** Relays of the other domains. */
  farRelays: members.Member[];
  /** Nodes of the own domain in reach, highest rank first. */
  domainRank: members.Member[];
}

export class Neighbours {
  private view: View | null = null;

  /** Rendezvous weight of each node in its own domain. */
  private readonly weights = new Map<ids.NodeId, number>();

  constructor(private readonly options: NeighboursOptions) {}

  /** Whether this node carries knowledge between its failure domain and the others. */
  get isRelay(): boolean {
    return this.look().isRelay;
  }

  /** Nodes to which a link is kept. */
  get kept(): ReadonlySet<ids.NodeId> {
    return this.look().kept;
  }

  /** Nodes that this one hears news from or passes news on to, so that a silent link must be noticed. */
  get vital(): ReadonlySet<ids.NodeId> {
    return this.look().vital;
  }

  /** The other nodes of the own failure domain. */
  get domainPeers(): readonly members.Member[] {
    return this.look().domainPeers;
  }

  /** Relays of the other failure domains; none where this node is no relay. */
  get farRelays(): readonly members.Member[] {
    const { isRelay, farRelays } = this.look();
    return isRelay ? farRelays : [];
  }

  /** Nodes of the own failure domain in reach, in the order in which they take its duties. */
  get domainRank(): readonly members.Member[] {
    return this.look().domainRank;
  }

  private look(): View {
    const { table, reachVersion } = this.options;
    const key = `${table.version}.${reachVersion()}`;
    if (this.view?.key !== key) this.view = this.compute(key);
    return this.view;
  }

  private compute(key: string): View {
    const { table } = this.options;
    const { self } = table;
    const farRelays: members.Member[] = [];
    const others: members.Member[] = [];
    const inReach = new Map<ids.DomainName, members.Member[]>();
    for (const member of table.all()) {
      if (member.node !== self.node) others.push(member);
      if (this.options.isReachable(member.node)) {
        const known = inReach.get(member.domain);
        if (known === undefined) inReach.set(member.domain, [member]);
        else known.push(member);
      }
    }
    for (const [domain, nodes] of inReach) {
      nodes.sort((a, b) => this.compare(a, b));
      if (domain !== self.domain) farRelays.push(...nodes.slice(0, RELAYS_PER_DOMAIN));
    }
    const domainRank = inReach.get(self.domain) ?? [];
    const domainRelays = domainRank.slice(0, RELAYS_PER_DOMAIN);
    const isRelay = domainRelays.includes(self);
    const domainPeers = others.filter(({ domain }) => domain === self.domain);
    const toAll = table.size <= FULL_MESH_LIMIT;
    const near = isRelay ? [...domainPeers, ...farRelays] : domainPeers;
    const kept = new Set((toAll ? others : near).map(({ node }) => node));
    const vital = toAll || isRelay ? kept : new Set(domainRelays.map(({ node }) => node));
    return { key, isRelay, kept, vital, domainPeers, farRelays, domainRank };
  }

  /** Higher weight first; ties by name. */
  private compare(a: members.Member, b: members.Member): number {
    return this.weightOf(b) - this.weightOf(a) || (a.node < b.node ? -1 : 1);
  }

  private weightOf({ node, domain }: members.Member): number {
    let weight = this.weights.get(node);
    if (weight === undefined) {
      weight = rendezvous.weightOf(domain, node);
      this.weights.set(node, weight);
    }
    return weight;
  }
}
