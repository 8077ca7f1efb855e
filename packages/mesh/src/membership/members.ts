/** Nodes of the fleet and the upstreams beside them, as each node states them of itself. */

import { type ids, rendezvous } from '@godwittrack/core';

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

/** What a node says of itself. Of two statements the one with the higher sequence is newer. */
export interface Member extends NodeAddress {
  /** Rises with each change; 0 where only the address is known. */
  sequence: number;
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

/**
 * Time for which old statements do not bring a removed node back; the nodes of its failure domain remove
 * it within a few seconds of each other. After it, a node that was removed by mistake returns.
 */
const TOMBSTONE_TTL_MS = 15_000;
/** Removed nodes that are remembered. */
const MAX_TOMBSTONES = 512;

interface Tombstone {
  sequence: number;
  untilMs: number;
}

/**
 * Table of known members. Each node numbers its own statements, so they merge in any order and by any
 * way; nobody states another's upstream.
 */
export class MemberTable {
  private readonly members = new Map<ids.NodeId, Member>();

  private readonly tombstones = new Map<ids.NodeId, Tombstone>();

  private readonly byService = new Map<ids.ServiceName, Member[]>();

  private readonly digests = new Map<ids.DomainName, number>();

  private changeCount = 0;

  constructor(
    readonly self: Member,
    private readonly nowMs: () => number = () => performance.now(),
  ) {
    this.members.set(self.node, self);
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

  /** Rises with each change of the table. */
  get version(): number {
    return this.changeCount;
  }

  /** Members whose upstream is of a service and takes work. */
  serving(service: ids.ServiceName): readonly Member[] {
    let found = this.byService.get(service);
    if (found === undefined) {
      found = [...this.members.values()].filter(
        ({ upstream }) => upstream !== null && upstream.accepting && upstream.service === service,
      );
      this.byService.set(service, found);
    }
    return found;
  }

  /** Nodes with statements in a failure domain, reduced to one number; equal sets have equal numbers. */
  digestOf(domain: ids.DomainName): number {
    let digest = this.digests.get(domain);
    if (digest === undefined) {
      digest = 0;
      for (const { node, sequence, domain: memberDomain } of this.members.values()) {
        if (memberDomain === domain && sequence > 0) {
          digest = (digest + rendezvous.hash32(`${node}\u0000${sequence}`)) >>> 0;
        }
      }
      this.digests.set(domain, digest);
    }
    return digest;
  }

  domains(): Set<ids.DomainName> {
    return new Set([...this.members.values()].map(({ domain }) => domain));
  }

  /** Adds a node of which only the address is known. @returns whether anything changed */
  addAddress({ node, address, domain, region }: NodeAddress): boolean {
    const known = this.members.get(node);
    if (known !== undefined && (known.sequence > 0 || known.address === address)) return false;
    this.put({ node, address, domain, region, sequence: 0, upstream: null });
    return true;
  }

  /** Takes a node's statement of itself if it is newer than what is held. @returns whether it was */
  merge(record: Member): boolean {
    const { node, sequence } = record;
    if (node === this.self.node || sequence <= this.lastSequence(node)) return false;
    this.put({ ...record });
    return true;
  }

  /** Newest sequence heard of a node, also if it was removed since; -1 if never heard of. */
  lastSequence(node: ids.NodeId): number {
    const tombstone = this.tombstones.get(node);
    const removedSequence = tombstone !== undefined && this.nowMs() < tombstone.untilMs ? tombstone.sequence : -1;
    return Math.max(this.members.get(node)?.sequence ?? -1, removedSequence);
  }

  /** A new statement of this node of itself, after `atLeast` if others hold one of an earlier process. */
  restate(upstream: UpstreamState | null, minSequence = 0): void {
    this.self.upstream = upstream;
    this.self.sequence = Math.max(this.self.sequence, minSequence) + 1;
    this.invalidate();
  }

  /** Removes a node; only a newer statement than those heard so far brings it back. */
  remove(node: ids.NodeId, upToSequence = this.lastSequence(node)): boolean {
    const known = this.members.get(node);
    if (node === this.self.node || known === undefined || known.sequence > upToSequence) return false;
    this.members.delete(node);
    this.tombstones.set(node, { sequence: upToSequence, untilMs: this.nowMs() + TOMBSTONE_TTL_MS });
    if (this.tombstones.size > MAX_TOMBSTONES) this.tombstones.delete(this.tombstones.keys().next().value!);
    this.invalidate();
    return true;
  }

  private put(member: Member): void {
    this.members.set(member.node, member);
    this.invalidate();
  }

  private invalidate(): void {
    this.changeCount += 1;
    this.byService.clear();
    this.digests.clear();
  }
}
