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
  reachabilityVersion: () => number;
}

interface View {
  key: string;
  isRelay: boolean;
  persistent: Set<ids.NodeId>;
  monitored: ReadonlySet<ids.NodeId>;
  domainPeers: members.Member[];
  /** Relays of the other domains. */
  remoteRelays: members.Member[];
  /** Nodes of the own domain in reach, highest rank first. */
  rankedDomain: members.Member[];
}

export class Neighbours {
  private view: View | null = null;

  /** Rendezvous weight of each node in its own domain. */
  private readonly weights = new Map<ids.NodeId, number>();

  constructor(private readonly options: NeighboursOptions) {}

  /** Whether this node carries knowledge between its failure domain and the others. */
  get isRelay(): boolean {
    return this.currentView().isRelay;
  }

  /** Nodes to which a link is kept. */
  get persistent(): ReadonlySet<ids.NodeId> {
    return this.currentView().persistent;
  }

  /** Nodes that this one hears news from or passes news on to, so that a silent link must be noticed. */
  get monitored(): ReadonlySet<ids.NodeId> {
    return this.currentView().monitored;
  }

  /** The other nodes of the own failure domain. */
  get domainPeers(): readonly members.Member[] {
    return this.currentView().domainPeers;
  }

  /** Relays of the other failure domains; none where this node is no relay. */
  get remoteRelays(): readonly members.Member[] {
    const { isRelay, remoteRelays: farRelays } = this.currentView();
    return isRelay ? farRelays : [];
  }

  /** Nodes of the own failure domain in reach, in the order in which they take its duties. */
  get rankedDomain(): readonly members.Member[] {
    return this.currentView().rankedDomain;
  }

  private currentView(): View {
    const { table, reachabilityVersion: reachVersion } = this.options;
    const key = `${table.version}.${reachVersion()}`;
    if (this.view?.key !== key) this.view = this.compute(key);
    return this.view;
  }

  private compute(key: string): View {
    const { table } = this.options;
    const { self } = table;
    const remoteRelays: members.Member[] = [];
    const others: members.Member[] = [];
    const reachableByDomain = new Map<ids.DomainName, members.Member[]>();
    for (const member of table.all()) {
      if (member.node !== self.node) others.push(member);
      if (this.options.isReachable(member.node)) {
        const sameDomain = reachableByDomain.get(member.domain);
        if (sameDomain === undefined) reachableByDomain.set(member.domain, [member]);
        else sameDomain.push(member);
      }
    }
    for (const [domain, nodes] of reachableByDomain) {
      nodes.sort((a, b) => this.compareByWeight(a, b));
      if (domain !== self.domain) remoteRelays.push(...nodes.slice(0, RELAYS_PER_DOMAIN));
    }
    const rankedDomain = reachableByDomain.get(self.domain) ?? [];
    const domainRelays = rankedDomain.slice(0, RELAYS_PER_DOMAIN);
    const isRelay = domainRelays.includes(self);
    const domainPeers = others.filter(({ domain }) => domain === self.domain);
    const isFullMesh = table.size <= FULL_MESH_LIMIT;
    const linked = isRelay ? [...domainPeers, ...remoteRelays] : domainPeers;
    const persistent = new Set((isFullMesh ? others : linked).map(({ node }) => node));
    const monitored = isFullMesh || isRelay ? persistent : new Set(domainRelays.map(({ node }) => node));
    return { key, isRelay, persistent: persistent, monitored: monitored, domainPeers, remoteRelays: remoteRelays, rankedDomain: rankedDomain };
  }

  /** Higher weight first; ties by name. */
  private compareByWeight(a: members.Member, b: members.Member): number {
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
