/**
 * Audit trail of changes, kept in the platform as a ring of segments so that its size is bounded.
 * Entries wait in memory while the platform is down and are written when it answers again.
 */

import { backoff, failures } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import * as z from 'zod';
import type * as logging from '../logging.js';

/** Segments of the ring; with the entries per segment this bounds the trail. */
const SEGMENTS = 32;
const ENTRIES_PER_SEGMENT = 200;
/** Entries that wait for the platform; the oldest are dropped beyond it, with a log line. */
const MAX_PENDING = 1_000;
const MAX_ATTEMPTS = 20;
const DETAIL_LIMIT = 500;

const entrySchema = z.object({
  /** Unique, so that an entry whose write lost its answer is not written twice. */
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

const segmentSchema = z.object({ sequence: z.number(), entries: z.array(entrySchema) });

export type AuditEntry = z.output<typeof entrySchema>;
export type NewAuditEntry = Omit<AuditEntry, 'id'>;
type Segment = z.output<typeof segmentSchema>;

interface HeldSegment {
  segment: Segment;
  objectVersion: number | null;
}

export class AuditTrail {
  private readonly pending: AuditEntry[] = [];

  private flushing: Promise<void> | null = null;

  private latest: HeldSegment | null = null;

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

  /** Waits until queued entries are written, or given up for now. */
  async settled(): Promise<void> {
    await this.flushing;
  }

  /** Entries, newest first. @throws platformUnavailable */
  async read(limit: number, service?: string): Promise<AuditEntry[]> {
    const listed = await this.store.list('audit');
    const segments = listed.items
      .map((item) => segmentSchema.safeParse(item.value))
      .flatMap((checked) => (checked.success ? [checked.data] : []))
      .sort((a, b) => b.sequence - a.sequence);
    return segments
      .flatMap((segment) => [...segment.entries].reverse())
      .filter((entry) => service === undefined || concerns(entry, service))
      .slice(0, limit);
  }

  private async flush(): Promise<void> {
    const delays = new backoff.Backoff({ initialMs: 20, maxMs: 2_000 });
    for (let attempt = 0; attempt < MAX_ATTEMPTS && this.pending.length > 0; attempt++) {
      try {
        await this.appendPending();
        delays.reset();
      } catch (err) {
        this.latest = null;
        if (!failures.is(err, 'objectConflict')) {
          this.log.debug({ failure: failures.of(err) }, 'Audit entry waits for the platform.');
        }
        await backoff.sleep(delays.nextMs());
      }
    }
  }

  private async appendPending(): Promise<void> {
    const held = this.latest ?? (await this.findLatest());
    const batch = this.pending.slice(0, ENTRIES_PER_SEGMENT);
    const written = new Set(held.segment.entries.map((entry) => entry.id));
    const fresh = batch.filter((entry) => !written.has(entry.id));
    // A segment that another node began may be full as well; the next attempt looks again.
    const target =
      held.segment.entries.length + fresh.length > ENTRIES_PER_SEGMENT
        ? await this.nextSegment(held.segment.sequence + 1)
        : held;
    if (fresh.length > 0) {
      const { sequence } = target.segment;
      const segment = { sequence, entries: [...target.segment.entries, ...fresh] };
      const objectVersion = await this.store.put(
        'audit',
        String(sequence % SEGMENTS),
        segment,
        target.objectVersion === null
          ? { type: 'absent' }
          : { type: 'version', version: target.objectVersion },
      );
      this.latest = { segment, objectVersion };
    }
    this.pending.splice(0, batch.length);
  }

  private async findLatest(): Promise<HeldSegment> {
    const { items } = await this.store.list('audit');
    let latest: HeldSegment = { segment: { sequence: 0, entries: [] }, objectVersion: null };
    for (const item of items) {
      const checked = segmentSchema.safeParse(item.value);
      if (checked.success && checked.data.sequence >= latest.segment.sequence) {
        latest = { segment: checked.data, objectVersion: item.version };
      }
    }
    return latest;
  }

  /** Segment in place of the oldest one of the ring, unless another node has begun it already. */
  private async nextSegment(sequence: number): Promise<HeldSegment> {
    const old = await this.store.get('audit', String(sequence % SEGMENTS));
    const checked = segmentSchema.safeParse(old?.value);
    if (old !== null && checked.success && checked.data.sequence >= sequence) {
      return { segment: checked.data, objectVersion: old.version };
    }
    return { segment: { sequence, entries: [] }, objectVersion: old?.version ?? null };
  }
}

function concerns(entry: AuditEntry, service: string): boolean {
  return entry.resources.some(
    (resource) => resource === `service/${service}` || resource === `versionPlan/${service}`,
  );
}
