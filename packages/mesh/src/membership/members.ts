/** Nodes of the fleet and the upstreams beside them, as each node states them of itself. */

import type { ids } from '@godwittrack/core';

/** The upstream beside a node, as its node lets others use it. */
export interface UpstreamState {
  instance: ids.InstanceId;
  service: ids.ServiceName;
  version: ids.VersionName;
  slots: number;
  /** Unix milliseconds of its start; null where the upstream does not say. */
  bornMs: number | null;
  /** It has said that it leaves or is gone. */
  leaving: boolean;
  /** False while it leaves or is down, and while its node is about to stop. */
  accepting: boolean;
}

/** Where a node is found; kept in the platform's store so that nodes find each other. */
export interface NodeAddress {
  node: ids.NodeId;
  /** `ip:port` of the node's listener for other nodes. */
  address: string;
  domain: ids.DomainName;
  region: ids.RegionName;
}

export interface Member extends NodeAddress {
  upstream: UpstreamState | null;
}

/** How far a request travels, nearest first. */
export const DISTANCES = ['host', 'domain', 'region', 'remote'] as const;
export type Distance = (typeof DISTANCES)[number];

export function distanceBetween(from: NodeAddress, to: NodeAddress): Distance {
  if (from.node === to.node) return 'host';
  if (from.domain === to.domain) return 'domain';
  return from.region === to.region ? 'region' : 'remote';
}

/** Table of known members. Each node states its own entry; nobody states another's. */
export class MemberTable {
  private readonly members = new Map<ids.NodeId, Member>();

  private readonly listeners: ((member: Member) => void)[] = [];

  constructor(readonly self: Member) {
    this.members.set(self.node, self);
  }

  onChange(listener: (member: Member) => void): void {
    this.listeners.push(listener);
  }

  get(node: ids.NodeId): Member | undefined {
    return this.members.get(node);
  }

  all(): IterableIterator<Member> {
    return this.members.values();
  }

  get size(): number {
    return this.members.size;
  }

  /** Adds a node, or notes its new address. @returns whether anything changed */
  introduce(address: NodeAddress): boolean {
    const known = this.members.get(address.node);
    if (known?.address === address.address) return false;
    const member = { ...address, upstream: null };
    this.members.set(address.node, member);
    this.notify(member);
    return true;
  }

  setUpstream(node: ids.NodeId, upstream: UpstreamState | null): void {
    const member = this.members.get(node);
    if (member === undefined) return;
    member.upstream = upstream;
    this.notify(member);
  }

  remove(node: ids.NodeId): void {
    if (node !== this.self.node) this.members.delete(node);
  }

  private notify(member: Member): void {
    for (const listener of this.listeners) listener(member);
  }
}
