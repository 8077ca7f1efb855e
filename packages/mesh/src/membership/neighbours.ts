/**
 * Selects the nodes to which a node keeps persistent links, so that updates spread with few messages: all
 * nodes of its own failure domain and, if it is a relay, the relays of the other domains. In small fleets
 * every node keeps a link to every other node, since this costs little.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import type * as members from './members.js';

/** Nodes of a failure domain that forward updates to other domains; two, so that one may hang. */
const RELAYS_PER_DOMAIN = 2;
/** Largest fleet with persistent links between all nodes; about the size of one failure domain. */
const FULL_MESH_LIMIT = 24;

export interface NeighboursOptions {
  table: members.MemberTable;
  /** False for nodes that are known to be unreachable. */
  isReachable: (node: ids.NodeId) => boolean;
  /** Increases when the result of `isReachable` changes for any node. */
  reachabilityVersion: () => number;
}

interface View {
  /** Versions of the inputs that the view was computed from. */
  key: string;
  isRelay: boolean;
  persistent: Set<ids.NodeId>;
  monitored: ReadonlySet<ids.NodeId>;
  domainPeers: members.Member[];
  /** Relays of the other domains. */
  remoteRelays: members.Member[];
  /** Reachable nodes of the same domain, highest rank first. */
  rankedDomain: members.Member[];
}

export class Neighbours {
  private view: View | null = null;

  /** Rendezvous weight of each node in its domain. */
  private readonly weights = new Map<ids.NodeId, number>();

  constructor(private readonly options: NeighboursOptions) {}

  /** Whether this node forwards updates between its failure domain and the others. */
  get isRelay(): boolean {
    return this.currentView().isRelay;
  }

  /** Nodes to which a persistent link is kept. */
  get persistent(): ReadonlySet<ids.NodeId> {
    return this.currentView().persistent;
  }

  /**
   * Nodes that this node receives updates from or forwards updates to. Their links are checked for
   * liveness even when idle.
   */
  get monitored(): ReadonlySet<ids.NodeId> {
    return this.currentView().monitored;
  }

  /** The other nodes of the same failure domain. */
  get domainPeers(): readonly members.Member[] {
    return this.currentView().domainPeers;
  }

  /** Relays of the other failure domains; empty unless this node is a relay. */
  get remoteRelays(): readonly members.Member[] {
    const { isRelay, remoteRelays } = this.currentView();
    return isRelay ? remoteRelays : [];
  }

  /** Reachable nodes of the same failure domain, highest rank first; duties of the domain go by rank. */
  get rankedDomain(): readonly members.Member[] {
    return this.currentView().rankedDomain;
  }

  private currentView(): View {
    const { table, reachabilityVersion } = this.options;
    const key = `${table.version}.${reachabilityVersion()}`;
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
    const partialMesh = isRelay ? [...domainPeers, ...remoteRelays] : domainPeers;
    const persistent = new Set((isFullMesh ? others : partialMesh).map(({ node }) => node));
    const monitored =
      isFullMesh || isRelay ? persistent : new Set(domainRelays.map(({ node }) => node));
    return { key, isRelay, persistent, monitored, domainPeers, remoteRelays, rankedDomain };
  }

  /** Higher weight first; ties are broken by node id. */
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
