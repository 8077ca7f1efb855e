/** Copies records from the other members after a start, a join or a change of placement. */

import { backoff } from '@godwittrack/core';
import type * as peers from './recordPeers.js';
import type * as recordStore from './recordStore.js';

const COPY_TIMEOUT_MS = 10_000;

/** How often missing copies are tried again and expired records are dropped. */
const ROUND_INTERVAL_MS = 500;

export class Recovery {
  constructor(
    private readonly store: recordStore.RecordStore,
    private readonly members: peers.RecordPeers,
    private readonly services: () => Iterable<string>,
  ) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.store.expire();
      await Promise.all([...this.services()].map((service) => this.round(service)));
      await backoff.sleep(ROUND_INTERVAL_MS, signal);
    }
  }

  /** Asks each member whose copy is missing once; returns the number of useful copies. */
  async round(service: string): Promise<number> {
    const epoch = this.store.placement(service)?.epoch;
    if (epoch === undefined || this.store.copyDelayMs() > 0) return 0;
    const merged = await Promise.all(
      this.store.copySources(service).map(async (member) => {
        try {
          const req = { service, node: this.store.node, epoch };
          const copy = await this.members.recover(member, req, COPY_TIMEOUT_MS);
          return this.store.merge(service, member.node, epoch, copy);
        } catch {
          // The member is unreachable; the next round asks again.
          return false;
        }
      }),
    );
    return merged.filter(Boolean).length;
  }
}
