/** Copies records from the other members after a start, a join or a change of placement. */

import { backoff } from '@godwittrack/core';
import type { placement as placements } from '@godwittrack/core';
import type { records } from '@godwittrack/protocol';
import type * as peers from './recordPeers.js';
import type * as recordStore from './recordStore.js';

const COPY_TIMEOUT_MS = 10_000;

/** How often missing copies are tried again and expired records are dropped. */
const ROUND_INTERVAL_MS = 500;

export class Recovery {
  private readonly busy = new Set<string>();

  constructor(
    private readonly store: recordStore.RecordStore,
    private readonly members: peers.RecordPeers,
    private readonly services: () => Iterable<string>,
  ) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.store.expire();
      // A member that does not answer holds up neither the other members nor the next round.
      [...this.services()].forEach((service) => {
        void this.round(service);
      });
      await backoff.sleep(ROUND_INTERVAL_MS, signal);
    }
  }

  /** Asks each member whose copy is missing once; returns the number of useful copies. */
  async round(service: string): Promise<number> {
    const req = this.store.copyRequest(service);
    if (req === null || this.store.copyDelayMs() > 0) return 0;
    const sources = this.store
      .copySources(service)
      .filter(({ node }) => !this.busy.has(`${service}/${node}/${req.epoch}`));
    const merged = await Promise.all(sources.map((member) => this.copy(member, req)));
    return merged.filter(Boolean).length;
  }

  private async copy(member: placements.Member, req: records.RecoverRequest): Promise<boolean> {
    const task = `${req.service}/${member.node}/${req.epoch}`;
    this.busy.add(task);
    try {
      const copy = await this.members.recover(member, req, COPY_TIMEOUT_MS);
      return this.store.merge(req.service, member.node, req.epoch, copy);
    } catch {
      // The member is unreachable; a later round asks again.
      return false;
    } finally {
      this.busy.delete(task);
    }
  }
}
