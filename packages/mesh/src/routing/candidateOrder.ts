/**
 * The members that a node considers for a request, so that the work for a request does not grow with the
 * fleet: all of its own failure domain, and some of each farther distance. Which far ones come first
 * differs from node to node, so that together they use all evenly, and stays the same for a node, so that
 * it needs few links.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import * as members from '../membership/members.js';

/** Far members that are considered at once; as many more follow when these are full. */
const CONSIDERED: Record<members.Distance, number> = {
  host: Infinity,
  domain: Infinity,
  region: 8,
  remote: 6,
};

type ByDistance = Record<members.Distance, members.Member[]>;

export class CandidateOrder {
  private readonly services = new Map<ids.ServiceName, ByDistance>();

  private version = -1;

  constructor(private readonly table: members.MemberTable) {}

  /** The members of a service that are considered, of those that `isEligible` lets through. */
  consider(
    service: ids.ServiceName,
    isEligible: (member: members.Member) => boolean,
    use: (member: members.Member, distance: members.Distance) => void,
  ): void {
    const ordered = this.orderOf(service);
    for (const distance of members.DISTANCES) {
      let left = CONSIDERED[distance];
      for (const member of ordered[distance]) {
        if (left === 0) break;
        if (isEligible(member)) {
          use(member, distance);
          left -= 1;
        }
      }
    }
  }

  private orderOf(service: ids.ServiceName): ByDistance {
    if (this.version !== this.table.version) {
      this.services.clear();
      this.version = this.table.version;
    }
    let ordered = this.services.get(service);
    if (ordered === undefined) {
      const { self } = this.table;
      ordered = { host: [], domain: [], region: [], remote: [] };
      const ranked = rendezvous.rank(self.node, this.table.serving(service), ({ node }) => node);
      for (const member of ranked) ordered[members.distanceBetween(self, member)].push(member);
      this.services.set(service, ordered);
    }
    return ordered;
  }
}
