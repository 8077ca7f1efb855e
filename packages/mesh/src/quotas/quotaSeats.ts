/**
 * Chooses the seats: the nodes that vote on the owners of quotas and may be owners. They are the first-ranked
 * nodes of each failure domain, so that a node needs few links for quotas and each side of a partition has
 * about its share of them.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import type * as members from '../membership/members.js';

/**
 * Time for which a member that was removed still counts. Longer than a side without a majority of the seats
 * grants permits, since that side may consist of members that were removed here.
 */
export const REMEMBER_REMOVED_MS = 60_000;
/**
 * Seats per square root of the number of nodes. Balances the asks that an owner answers, which grow with the
 * nodes of a seat, and the votes, which grow with the seats.
 */
const SEATS_PER_ROOT = 1.5;
const KEY = 'quotaSeats';

/** Immutable. */
export class SeatSet {
  /** Identifies the set for other nodes. */
  readonly digest: number;

  private readonly lookup: ReadonlySet<ids.NodeId>;

  constructor(readonly seats: readonly ids.NodeId[]) {
    this.digest = rendezvous.hash32(seats.join('\u0000'));
    this.lookup = new Set(seats);
  }

  get size(): number {
    return this.seats.length;
  }

  has(node: ids.NodeId): boolean {
    return this.lookup.has(node);
  }

  /** First-ranked seat of a customer among the usable ones; null if there is none. */
  firstOf(customer: ids.CustomerName, isUsable: (seat: ids.NodeId) => boolean): ids.NodeId | null {
    let first: ids.NodeId | null = null;
    let firstWeight = -1;
    for (const seat of this.seats) {
      if (isUsable(seat)) {
        const weight = rendezvous.weightOf(customer, seat);
        if (weight > firstWeight) {
          first = seat;
          firstWeight = weight;
        }
      }
    }
    return first;
  }
}

type Member = Pick<members.NodeAddress, 'node' | 'domain'>;

/** Seats of the given members, in the order of their names. */
export function chooseSeats(among: readonly Member[]): SeatSet {
  const byDomain = new Map<ids.DomainName, Member[]>();
  for (const member of among) {
    const inDomain = byDomain.get(member.domain);
    if (inDomain === undefined) byDomain.set(member.domain, [member]);
    else inDomain.push(member);
  }
  const perDomain = Math.max(
    1,
    Math.round((SEATS_PER_ROOT * Math.sqrt(among.length)) / byDomain.size),
  );
  const seats = [...byDomain.values()].flatMap((inDomain) =>
    rendezvous.rank(KEY, inDomain, ({ node }) => node).slice(0, perDomain),
  );
  return new SeatSet(seats.map(({ node }) => node).sort());
}

/** The members of the fleet, with those that were removed a short time ago. */
export class SeatTable {
  private readonly known = new Map<ids.NodeId, Member & { missingSinceMs: number | null }>();

  private current: SeatSet = new SeatSet([]);

  private lookupSeats: SeatSet = new SeatSet([]);

  private membersKey: unknown = null;

  /** Seats that vote and may be owners. */
  get seats(): SeatSet {
    return this.current;
  }

  /**
   * Seats to ask for permits. On a side of a partition without a majority, they differ from `seats` when the
   * members of the other side have been removed for long; they grant nothing there.
   */
  get seatsToAsk(): SeatSet {
    return this.lookupSeats;
  }

  /** All members, including those that were removed a short time ago. */
  get members(): Iterable<ids.NodeId> {
    return this.known.keys();
  }

  /**
   * @param key changes when the members change
   * @param hasMajority whether this node exchanges frames with a majority of `seats`
   * @returns whether the seats or the members may have changed
   */
  update(
    all: () => Iterable<Member>,
    { key, hasMajority, nowMs }: { key: unknown; hasMajority: boolean; nowMs: number },
  ): boolean {
    const hasExpired = this.expireRemoved(hasMajority, nowMs);
    if (key === this.membersKey && !hasExpired) return false;
    this.membersKey = key;
    const present = new Set<ids.NodeId>();
    for (const { node, domain } of all()) {
      present.add(node);
      this.known.set(node, { node, domain, missingSinceMs: null });
    }
    for (const member of this.known.values()) {
      if (!present.has(member.node)) member.missingSinceMs ??= nowMs;
    }
    const remembered = [...this.known.values()];
    this.current = keepIfSame(this.current, chooseSeats(remembered));
    const recent = remembered.filter(({ missingSinceMs }) => !isForgotten(missingSinceMs, nowMs));
    this.lookupSeats = keepIfSame(this.lookupSeats, chooseSeats(recent));
    return true;
  }

  /** @returns whether the seats have to be chosen again */
  private expireRemoved(hasMajority: boolean, nowMs: number): boolean {
    let hasExpired = false;
    for (const { node, missingSinceMs } of this.known.values()) {
      if (isForgotten(missingSinceMs, nowMs)) {
        // Without a majority, the others may have removed this side.
        if (hasMajority) this.known.delete(node);
        hasExpired ||= hasMajority || this.lookupSeats.has(node);
      }
    }
    return hasExpired;
  }
}

function isForgotten(missingSinceMs: number | null, nowMs: number): boolean {
  return missingSinceMs !== null && nowMs - missingSinceMs >= REMEMBER_REMOVED_MS;
}

function keepIfSame(before: SeatSet, after: SeatSet): SeatSet {
  const isSame = before.digest === after.digest && before.size === after.size;
  return isSame ? before : after;
}
