/**
 * Audit trail of changes, stored in the platform as a ring buffer so that its size is bounded. Each
 * entry is a separate object, because an append to a shared object would rewrite all of it. Entries
 * wait in memory while the platform is unreachable and are written when it answers again.
 */

import { backoff, failures, rendezvous } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import * as z from 'zod';
import type * as logging from '../logging.js';

/** Accepted tickets kept: two days at 2,000 changes a day. */
const TICKET_SLOTS = 4_096;
/** Other entries (refusals, rollout steps) are kept for a day, a few in each minute. */
const OTHER_RETENTION_MINUTES = 1_440;
const OTHER_SLOTS_PER_MINUTE = 4;
/** Most entries that wait for the platform; above it, the oldest is dropped and this is logged. */
const MAX_PENDING = 1_000;
const DETAIL_LIMIT = 500;

const entrySchema = z.object({
  /** Unique; a repeated write of an entry keeps its id, and so its slot in the ring buffer. */
  id: z.string(),
  atMs: z.number(),
  actor: z.string(),
  action: z.string(),
  ticket: z.number().nullable(),
  resources: z.array(z.string()),
  version: z.number().nullable(),
  outcome: z.string(),
  detail: z.string(),
});

export type AuditEntry = z.output<typeof entrySchema>;
export type NewAuditEntry = Omit<AuditEntry, 'id'>;

export class AuditTrail {
  private readonly pending: AuditEntry[] = [];

  private flushing: Promise<void> | null = null;

  private counter = 0;

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly node: string,
    private readonly log: logging.Logger,
  ) {}

  /** Queues an entry and starts to write it; never throws and never waits for the platform. */
  async record(entry: NewAuditEntry): Promise<void> {
    this.counter += 1;
    const id = `${this.node}-${entry.atMs}-${this.counter}`;
    this.pending.push({ ...entry, id, detail: entry.detail.slice(0, DETAIL_LIMIT) });
    if (this.pending.length > MAX_PENDING) {
      this.pending.shift();
      this.log.error('An audit entry was dropped because the platform stayed unreachable.');
    }
    this.flushing ??= this.flush().finally(() => {
      this.flushing = null;
    });
    return Promise.resolve();
  }

  /** Waits until all queued entries are written. */
  async settled(): Promise<void> {
    await this.flushing;
  }

  /** Entries, newest first. @throws platformUnavailable */
  async read(limit: number, service?: string): Promise<AuditEntry[]> {
    const listed = await this.store.list('audit');
    return listed.items
      .map((item) => entrySchema.safeParse(item.value))
      .flatMap((checked) => (checked.success ? [checked.data] : []))
      .filter((entry) => service === undefined || concernsService(entry, service))
      .sort((a, b) => b.atMs - a.atMs || (b.version ?? 0) - (a.version ?? 0))
      .slice(0, limit);
  }

  private async flush(): Promise<void> {
    const delays = new backoff.Backoff({ initialMs: 20, maxMs: 5_000 });
    for (let [entry] = this.pending; entry !== undefined; [entry] = this.pending) {
      try {
        // An entry always has the same name, so a write whose answer was lost can be repeated.
        await this.store.put('audit', slotOf(entry), entry, { type: 'none' });
        if (this.pending[0] === entry) this.pending.shift();
        delays.reset();
      } catch (err) {
        this.log.debug({ failure: failures.fromError(err) }, 'Audit entry waits for the platform.');
        await backoff.sleep(delays.nextMs());
      }
    }
  }
}

/** Slot in the ring buffer: by version for accepted tickets, by minute and id for other entries. */
function slotOf(entry: AuditEntry): string {
  if (entry.action === 'ticket.file' && entry.version !== null) {
    return `ticket-${entry.version % TICKET_SLOTS}`;
  }
  const minute = Math.floor(entry.atMs / 60_000) % OTHER_RETENTION_MINUTES;
  return `other-${minute}-${rendezvous.hash32(entry.id) % OTHER_SLOTS_PER_MINUTE}`;
}

function concernsService(entry: AuditEntry, service: string): boolean {
  return entry.resources.some(
    (resource) => resource === `service/${service}` || resource === `versionPlan/${service}`,
  );
}
