/**
 * The placement aggregate: the nodes that store the idempotency records of a service, with an epoch
 * that rises by one with each change. Stored as `placement/{service}` in the platform and changed
 * only by conditional updates.
 */

import * as z from 'zod';
import * as failures from './failures.js';
import type * as ids from './ids.js';
import * as rendezvous from './rendezvous.js';

export const HOLDERS_PER_KEY = 3;

/** Minimum time between two planned epochs, in which members copy records. */
export const MIN_EPOCH_INTERVAL_MS = 10_000;

/** Members needed for the first placement, so that a key survives the loss of one holder. */
export const MIN_FIRST_MEMBERS = 3;

const memberSchema = z.object({
  node: z.string().min(1),
  incarnation: z.number().int().min(0),
  region: z.string(),
  failureDomain: z.string(),
  fullFromMs: z.number(),
  peerAddress: z.string().optional(),
  externalPeerAddress: z.string().optional(),
});

export const placementSchema = z.object({
  service: z.string().min(1),
  epoch: z.number().int().positive(),
  changedAtMs: z.number(),
  members: z.array(memberSchema),
  previous: z.array(memberSchema),
});

export type PlacementData = z.output<typeof placementSchema>;

export interface LiveMember {
  node: ids.NodeId;
  incarnation: ids.Incarnation;
  region: ids.RegionName;
  failureDomain: ids.DomainName;
  /** Addresses at the time of the placement; other regions may know the member only from here. */
  peerAddress?: string;
  externalPeerAddress?: string;
}

export interface Member extends LiveMember {
  /**
   * Earliest time, on the controller's wall clock, at which the member has all records. For the
   * status only: holders decide from durations that they measure themselves.
   */
  fullFromMs: number;
}

/** Number of grants that a claim needs: a majority of the key's holders. */
export function quorum(holders: number): number {
  return Math.floor(holders / 2) + 1;
}

/** Number of holders whose records together include every claim granted by a quorum. */
export function readQuorum(holders: number): number {
  return holders - quorum(holders) + 1;
}

/**
 * Holders of a key: the first-ranked member, the first-ranked in another failure domain of its
 * region, and the first-ranked in a further domain, another region preferred. If there are too few
 * domains, the next-ranked members are added regardless of their domain. One or two members thus
 * give one or two holders; of two holders, both must grant a claim.
 */
export function selectHolders<T extends LiveMember>(key: string, members: readonly T[]): T[] {
  const ranked = rendezvous.rank(key, members, (member) => member.node);
  const [first] = ranked;
  if (first === undefined) return [];
  const sameRegion = (member: T) => member.region === first.region;
  const chosen = [first];
  const notChosen = (member: T) => !chosen.includes(member);
  const inNewDomain = (member: T) =>
    chosen.every((holder) => domainKey(holder) !== domainKey(member));
  const second =
    ranked.find((member) => sameRegion(member) && inNewDomain(member)) ?? ranked.find(inNewDomain);
  if (second !== undefined) chosen.push(second);
  const nextRegion = rendezvous
    .rank(key, [...new Set(ranked.map((member) => member.region))], (region) => region)
    .find((region) => chosen.every((member) => member.region !== region));
  const third =
    ranked.find((member) => member.region === nextRegion && inNewDomain(member)) ??
    ranked.find(inNewDomain);
  if (third !== undefined && chosen.length < HOLDERS_PER_KEY) chosen.push(third);
  while (chosen.length < HOLDERS_PER_KEY) {
    const next = ranked.find(notChosen);
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

export class Placement {
  readonly service: ids.ServiceName;

  readonly epoch: number;

  readonly changedAtMs: number;

  readonly members: readonly Member[];

  /** Members of the previous epoch; new holders copy records from them. */
  readonly previous: readonly Member[];

  constructor(
    service: ids.ServiceName,
    epoch: number,
    changedAtMs: number,
    members: readonly Member[],
    previous: readonly Member[] = [],
  ) {
    this.service = service;
    this.epoch = epoch;
    this.changedAtMs = changedAtMs;
    this.members = members;
    this.previous = previous;
  }

  /** First placement, or null while fewer than `minMembers` members are live. */
  static first(
    service: ids.ServiceName,
    live: readonly LiveMember[],
    nowMs: number,
    minMembers = MIN_FIRST_MEMBERS,
  ): Placement | null {
    if (live.length === 0 || live.length < minMembers) return null;
    const members = live.map((member) => ({ ...member, fullFromMs: nowMs }));
    return new Placement(service, 1, nowMs, members);
  }

  /** @throws invalidConfiguration when the stored value has another shape */
  static parse(value: unknown): Placement {
    const checked = placementSchema.safeParse(value);
    if (!checked.success) {
      const [issue] = checked.error.issues;
      throw failures.toError({
        type: 'invalidConfiguration',
        problems: [{ path: issue?.path.join('.') ?? '', message: issue?.message ?? 'invalid' }],
      });
    }
    const { service, epoch, changedAtMs, members, previous } = checked.data;
    return new Placement(
      service as ids.ServiceName,
      epoch,
      changedAtMs,
      members as Member[],
      previous as Member[],
    );
  }

  holders(key: string): Member[] {
    return selectHolders(key, this.members);
  }

  previousHolders(key: string): Member[] {
    return selectHolders(key, this.previous);
  }

  member(node: string): Member | undefined {
    return this.members.find((member) => member.node === node);
  }

  /**
   * Plans the next epoch. Returns null when nothing changes or the last change is too recent.
   * Lost members (gone, or restarted and thus without records) are handled first. Those of one
   * failure domain change together when there are three domains, because no key has two holders in
   * one domain. Members lost in several domains change together as well: keys that lost two holders
   * have to wait for `waitMs` (retention and placement lease) in whatever order members change.
   * Otherwise one member changes per epoch.
   */
  next(live: readonly LiveMember[], nowMs: number, waitMs: number): Placement | null {
    const liveByNode = new Map(live.map((member) => [member.node as string, member]));
    const lost = this.members.filter(
      (member) => liveByNode.get(member.node)?.incarnation !== member.incarnation,
    );
    const joined = live.find((member) => this.member(member.node) === undefined);
    if (live.length === 0 || (lost.length === 0 && joined === undefined)) return null;
    const settling = nowMs >= this.changedAtMs && nowMs < this.changedAtMs + MIN_EPOCH_INTERVAL_MS;
    if (settling) return null;
    const lostDomains = new Set(lost.map(domainKey)).size;
    const domains = new Set(this.members.map(domainKey)).size;
    const recoverable = lost.length === 1 || (lostDomains === 1 && domains >= HOLDERS_PER_KEY);
    const fullFromMs = recoverable || lost.length === 0 ? nowMs : nowMs + waitMs;
    const kept = this.members.filter((member) => !lost.includes(member));
    const restarted = lost.flatMap((member) => {
      const liveMember = liveByNode.get(member.node);
      return liveMember === undefined ? [] : [{ ...liveMember, fullFromMs }];
    });
    const added = lost.length === 0 && joined !== undefined ? [{ ...joined, fullFromMs }] : [];
    const members = [...kept, ...restarted, ...added];
    // All members are gone: the live nodes that wait to join replace them.
    const nextMembers =
      members.length > 0 ? members : live.map((member) => ({ ...member, fullFromMs }));
    return new Placement(this.service, this.epoch + 1, nowMs, nextMembers, this.members);
  }

  toJSON(): PlacementData {
    const { service, epoch, changedAtMs } = this;
    return {
      service,
      epoch,
      changedAtMs,
      members: [...this.members],
      previous: [...this.previous],
    };
  }
}

function domainKey(member: LiveMember): string {
  return `${member.region}/${member.failureDomain}`;
}
