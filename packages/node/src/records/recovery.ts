/** Copies records from other members after a node starts, joins or gets a new placement. */

import { backoff } from '@godwittrack/core';
import type { placement as placements } from '@godwittrack/core';
import type { records } from '@godwittrack/protocol';
import type * as recordPeers from './recordPeers.js';
import type * as recordStore from './recordStore.js';

const COPY_TIMEOUT_MS = 10_000;

/** Interval at which missing copies are requested again and expired records are removed. */
const RECOVERY_INTERVAL_MS = 500;

export class Recovery {
  private readonly copying = new Set<string>();

  constructor(
    private readonly store: recordStore.RecordStore,
    private readonly peers: recordPeers.RecordPeers,
    private readonly services: () => Iterable<string>,
  ) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.store.expire();
      // Not awaited: an unresponsive member must not delay other services or the next round.
      [...this.services()].forEach((service) => {
        void this.round(service);
      });
      await backoff.sleep(RECOVERY_INTERVAL_MS, signal);
    }
  }

  /** Requests each missing copy once; returns the number of copies that count as history. */
  async round(service: string): Promise<number> {
    const req = this.store.copyRequest(service);
    if (req === null || this.store.copyDelayMs() > 0) return 0;
    const sources = this.store
      .copySources(service)
      .filter(({ node }) => !this.copying.has(`${service}/${node}/${req.epoch}`));
    const merged = await Promise.all(sources.map((member) => this.copy(member, req)));
    return merged.filter(Boolean).length;
  }

  private async copy(member: placements.Member, req: records.RecoverRequest): Promise<boolean> {
    const copyId = `${req.service}/${member.node}/${req.epoch}`;
    this.copying.add(copyId);
    try {
      const copy = await this.peers.recover(member, req, COPY_TIMEOUT_MS);
      return this.store.merge(req.service, member.node, req.epoch, copy);
    } catch {
      // The member is unreachable; a later round retries.
      return false;
    } finally {
      this.copying.delete(copyId);
    }
  }
}
