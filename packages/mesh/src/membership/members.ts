/** Member records: each node publishes its own address and the state of its upstream. */

import { ids, rendezvous } from '@godwittrack/core';

/** State of the upstream on a node's host, as published to other nodes. */
export interface UpstreamState {
  instance: ids.InstanceId;
  service: ids.ServiceName;
  version: ids.VersionName;
  slots: number;
  /** Start time in Unix milliseconds; null if the upstream does not report it. */
  bornMs: number | null;
  /** Requests per second that the upstream takes from all nodes together; null if it states no limit. */
  limitPerSecond: number | null;
  /** The upstream has reported that it is leaving or has ended. */
  leaving: boolean;
  /** False while the upstream is leaving or down, and while its node is shutting down. */
  accepting: boolean;
}

/** One start of an upstream, which may start again under its id. */
export type Incarnation = Pick<UpstreamState, 'instance' | 'bornMs'>;

export function isSameIncarnation(
  a: Incarnation | null | undefined,
  b: Incarnation | null | undefined,
): boolean {
  return a?.instance === b?.instance && a?.bornMs === b?.bornMs;
}

/** An incarnation ends only once, so all nodes give its end the same id. */
export function endIdOf({ instance, bornMs }: Incarnation): ids.UpstreamEndId {
  return ids.upstreamEndId(`${instance}/${bornMs ?? ''}`);
}

/** Address of a node; registered in the platform's store so that nodes discover each other. */
export interface NodeAddress {
  node: ids.NodeId;
  /** `ip:port` of the node's listener for other nodes. */
  address: string;
  domain: ids.DomainName;
  region: ids.RegionName;
}

/** Record that a node publishes about itself. The record with the higher sequence is newer. */
export interface Member extends NodeAddress {
  /** Increases with each change; 0 if only the address is known. */
  sequence: number;
  upstream: UpstreamState | null;
}

/** Distances between nodes, nearest first. */
export const DISTANCES = ['host', 'domain', 'region', 'remote'] as const;
export type Distance = (typeof DISTANCES)[number];

export function distanceBetween(from: NodeAddress, to: NodeAddress): Distance {
  if (from.node === to.node) return 'host';
  if (from.domain === to.domain) return 'domain';
  return from.region === to.region ? 'region' : 'remote';
}

/**
 * Time for which old records of a removed node are rejected. The nodes of its failure domain remove it
 * within a few seconds of each other, so each may still receive its record from another. After this time, a
 * node that was removed by mistake can return with its old record.
 */
const TOMBSTONE_TTL_MS = 15_000;
const MAX_TOMBSTONES = 512;

interface Tombstone {
  /** Records up to this sequence are rejected. */
  sequence: number;
  untilMs: number;
}

/**
 * Table of known members. Only the node itself numbers its records, so records can be merged in any order
 * and from any source. No node publishes the upstream state of another.
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

  /** Increases with each change of the table. */
  get version(): number {
    return this.changeCount;
  }

  /** Members whose upstream provides the service and accepts requests. */
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

  /** Hash of the ids and sequences of a failure domain's records, independent of their order. */
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

  /** Adds or updates a node of which only the address is known. @returns whether the table changed */
  addAddress({ node, address, domain, region }: NodeAddress): boolean {
    const known = this.members.get(node);
    if (known !== undefined && (known.sequence > 0 || known.address === address)) return false;
    this.put({ node, address, domain, region, sequence: 0, upstream: null });
    return true;
  }

  /** Stores the record of another node if it is newer than the known one. @returns whether it was stored */
  merge(record: Member): boolean {
    const { node, sequence } = record;
    if (node === this.self.node || sequence <= this.lastSequence(node)) return false;
    this.put({ ...record });
    return true;
  }

  /** Highest sequence known of a node, including removed nodes; -1 if none is known. */
  lastSequence(node: ids.NodeId): number {
    const tombstone = this.tombstones.get(node);
    const removedSequence =
      tombstone !== undefined && this.nowMs() < tombstone.untilMs ? tombstone.sequence : -1;
    return Math.max(this.members.get(node)?.sequence ?? -1, removedSequence);
  }

  /**
   * Updates the record of this node.
   * @param minSequence sequence to exceed, if other nodes hold a record from before a restart
   */
  updateSelf(upstream: UpstreamState | null, minSequence = 0): void {
    this.self.upstream = upstream;
    this.self.sequence = Math.max(this.self.sequence, minSequence) + 1;
    this.invalidate();
  }

  /**
   * Removes a node unless its record is newer than `upToSequence`. Until the tombstone expires, only a
   * newer record adds the node again.
   */
  remove(node: ids.NodeId, upToSequence = this.lastSequence(node)): boolean {
    const known = this.members.get(node);
    if (node === this.self.node || known === undefined || known.sequence > upToSequence)
      return false;
    this.members.delete(node);
    this.tombstones.set(node, { sequence: upToSequence, untilMs: this.nowMs() + TOMBSTONE_TTL_MS });
    if (this.tombstones.size > MAX_TOMBSTONES)
      this.tombstones.delete(this.tombstones.keys().next().value!);
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
