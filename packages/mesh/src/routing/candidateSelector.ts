/**
 * Selects the members that a node considers for a request: all of its own failure domain, and a
 * limited number of each greater distance, so that the cost per request does not grow with the
 * fleet. Members are ranked by rendezvous hashing of the node's id: the order differs between
 * nodes, which spreads their requests evenly over distant members, and is stable on each node,
 * which therefore needs few links.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import * as members from '../membership/members.js';

/** Candidates per request at each distance. Members that are not eligible don't count. */
const MAX_CANDIDATES: Record<members.Distance, number> = {
  host: Infinity,
  domain: Infinity,
  region: 8,
  remote: 6,
};

type ByDistance = Record<members.Distance, members.Member[]>;

export class CandidateSelector {
  /** Ranked members by service, valid for `tableVersion`. */
  private readonly membersByService = new Map<ids.ServiceName, ByDistance>();

  private tableVersion = -1;

  constructor(private readonly table: members.MemberTable) {}

  /**
   * Calls `visit` for the candidates of a service, nearest first, leaving out those that are not
   * eligible.
   */
  forEachCandidate(
    service: ids.ServiceName,
    isEligible: (member: members.Member) => boolean,
    visit: (member: members.Member, distance: members.Distance) => void,
  ): void {
    const byDistance = this.membersOf(service);
    for (const distance of members.DISTANCES) {
      let remaining = MAX_CANDIDATES[distance];
      for (const member of byDistance[distance]) {
        if (remaining === 0) break;
        if (isEligible(member)) {
          visit(member, distance);
          remaining -= 1;
        }
      }
    }
  }

  private membersOf(service: ids.ServiceName): ByDistance {
    if (this.tableVersion !== this.table.version) {
      this.membersByService.clear();
      this.tableVersion = this.table.version;
    }
    let byDistance = this.membersByService.get(service);
    if (byDistance === undefined) {
      const { self } = this.table;
      byDistance = { host: [], domain: [], region: [], remote: [] };
      const ranked = rendezvous.rank(self.node, this.table.serving(service), ({ node }) => node);
      for (const member of ranked) byDistance[members.distanceBetween(self, member)].push(member);
      this.membersByService.set(service, byDistance);
    }
    return byDistance;
  }
}
