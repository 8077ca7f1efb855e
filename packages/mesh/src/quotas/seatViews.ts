/**
 * Determines the owner of a customer by the view of any seat. Keeps the recent sets of seats by their digest,
 * since others may vote by an earlier or a later set for a moment.
 */

import type { ids } from '@godwittrack/core';
import type * as quotaMessages from './quotaMessages.js';
import type * as quotaSeats from './quotaSeats.js';

const MAX_SETS = 8;
const MAX_CACHED_VIEWS = 64;

/** A view with its key in maps. */
export interface KeyedView extends quotaMessages.View {
  key: string;
}

export function keyed({ digest, excluded }: quotaMessages.View): KeyedView {
  return { digest, excluded, key: `${digest} ${excluded.join(' ')}` };
}

export class SeatViews {
  /** Least recently remembered first. */
  private readonly sets = new Map<number, quotaSeats.SeatSet>();

  /** Owner of each customer by the key of the view. */
  private readonly owners = new Map<string, Map<ids.CustomerName, ids.NodeId | null>>();

  remember(seats: quotaSeats.SeatSet): void {
    this.sets.delete(seats.digest);
    this.sets.set(seats.digest, seats);
    if (this.sets.size > MAX_SETS) this.sets.delete(this.sets.keys().next().value!);
  }

  knows({ digest }: quotaMessages.View): boolean {
    return this.sets.has(digest);
  }

  /** All seats of a view, with the excluded ones; null if its set is not known. */
  seatsOf({ digest }: quotaMessages.View): readonly ids.NodeId[] | null {
    return this.sets.get(digest)?.seats ?? null;
  }

  isVotedFor(seat: ids.NodeId, view: quotaMessages.View): boolean {
    return (this.sets.get(view.digest)?.has(seat) ?? false) && !view.excluded.includes(seat);
  }

  ownerIn(view: KeyedView, customer: ids.CustomerName): ids.NodeId | null {
    let byCustomer = this.owners.get(view.key);
    if (byCustomer === undefined) {
      if (this.owners.size >= MAX_CACHED_VIEWS) this.owners.clear();
      byCustomer = new Map();
      this.owners.set(view.key, byCustomer);
    }
    let owner = byCustomer.get(customer);
    if (owner === undefined) {
      const set = this.sets.get(view.digest);
      owner = set?.firstOf(customer, (seat) => !view.excluded.includes(seat)) ?? null;
      byCustomer.set(customer, owner);
    }
    return owner;
  }
}
