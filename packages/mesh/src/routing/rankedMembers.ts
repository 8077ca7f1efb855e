/**
 * Members that serve a service, by distance. Those of the same distance are ranked by rendezvous hashing of
 * the node's id: the order differs between nodes, which spreads their requests evenly over distant members,
 * and is stable on each node, which therefore needs few links.
 */

import { type ids, rendezvous } from '@godwittrack/core';
import * as members from '../membership/members.js';

export type MembersByDistance = Readonly<Record<members.Distance, readonly members.Member[]>>;

export class RankedMembers {
  /** Valid for `tableVersion`. */
  private readonly byService = new Map<ids.ServiceName, MembersByDistance>();

  private tableVersion = -1;

  constructor(private readonly table: members.MemberTable) {}

  of(service: ids.ServiceName): MembersByDistance {
    if (this.tableVersion !== this.table.version) {
      this.byService.clear();
      this.tableVersion = this.table.version;
    }
    let ranked = this.byService.get(service);
    if (ranked === undefined) {
      ranked = this.rank(service);
      this.byService.set(service, ranked);
    }
    return ranked;
  }

  private rank(service: ids.ServiceName): MembersByDistance {
    const { self } = this.table;
    const byDistance: Record<members.Distance, members.Member[]> = {
      host: [],
      domain: [],
      region: [],
      remote: [],
    };
    const ranked = rendezvous.rank(self.node, this.table.serving(service), ({ node }) => node);
    for (const member of ranked) byDistance[members.distanceBetween(self, member)].push(member);
    return byDistance;
  }
}
