/**
 * The manifest aggregate: configuration version, and for each resource its ticket number and
 * content hash. Accepting a ticket is one conditional update of this object in the platform.
 */

import * as z from 'zod';
import * as failures from './failures.js';
import * as hash from './hash.js';
import * as ids from './ids.js';
import * as resources from './resources.js';
import type * as tickets from './ticket.js';

/**
 * Number of accepted tickets kept, for `ticket list` and to recognize a ticket that is filed again
 * after a lost response.
 */
export const RECENT_TICKETS = 200;

const entrySchema = z.object({
  kind: z.enum(resources.KINDS),
  name: z.string(),
  ticket: z.number().int().positive(),
  hash: z.string().nullable(),
  replaces: z.number().int().positive().nullable().default(null),
});

const recentSchema = z.object({
  ticket: z.number().int().positive(),
  digest: z.string(),
  version: z.number().int().positive(),
  author: z.string(),
  reason: z.string(),
  atMs: z.number(),
  resources: z.array(z.string()),
});

/** Shape of the object `manifest/current`. */
export const manifestSchema = z.object({
  version: z.number().int().min(0),
  entries: z.array(entrySchema),
  recent: z.array(recentSchema),
});

export type ManifestData = z.output<typeof manifestSchema>;

export interface ManifestEntry {
  kind: resources.ResourceKind;
  name: string;
  /** Ticket that last set or deleted the resource. */
  ticket: ids.TicketNumber;
  /** Null for a deleted resource (tombstone). */
  hash: ids.ContentHash | null;
  /** Ticket that set the resource before; null when it is new. */
  replaces: ids.TicketNumber | null;
}

export interface AcceptedTicket {
  ticket: ids.TicketNumber;
  digest: ids.ContentHash;
  version: ids.ConfigVersion;
  author: string;
  reason: string;
  atMs: number;
  /** Keys of the resources that the ticket changed. */
  resources: string[];
}

export interface AcceptResult {
  manifest: Manifest;
  accepted: AcceptedTicket;
  /** True when the same ticket had been accepted before; the manifest is unchanged then. */
  repeated: boolean;
}

export class Manifest {
  readonly version: ids.ConfigVersion;

  private readonly entriesByKey: ReadonlyMap<string, ManifestEntry>;

  readonly recent: readonly AcceptedTicket[];

  constructor(
    version: ids.ConfigVersion,
    entries: Iterable<ManifestEntry>,
    recent: readonly AcceptedTicket[] = [],
  ) {
    this.version = version;
    this.entriesByKey = new Map(
      [...entries].map((entry) => [resources.resourceKey(entry.kind, entry.name), entry]),
    );
    this.recent = recent;
  }

  static empty(): Manifest {
    return new Manifest(ids.NO_CONFIG, []);
  }

  /** @throws invalidConfiguration when the stored value has another shape */
  static parse(value: unknown): Manifest {
    const checked = manifestSchema.safeParse(value);
    if (!checked.success) {
      const [issue] = checked.error.issues;
      throw failures.toError({
        type: 'invalidConfiguration',
        problems: [{ path: issue?.path.join('.') ?? '', message: issue?.message ?? 'invalid' }],
      });
    }
    const { data } = checked;
    return new Manifest(
      ids.configVersion(data.version),
      data.entries as ManifestEntry[],
      data.recent as AcceptedTicket[],
    );
  }

  get entries(): ManifestEntry[] {
    return [...this.entriesByKey.values()];
  }

  entry(kind: resources.ResourceKind, name: string): ManifestEntry | undefined {
    return this.entriesByKey.get(resources.resourceKey(kind, name));
  }

  /** Entries of existing resources, without tombstones. */
  get liveEntries(): (ManifestEntry & { hash: ids.ContentHash })[] {
    return this.entries.filter((entry) => entry.hash !== null) as (ManifestEntry & {
      hash: ids.ContentHash;
    })[];
  }

  findTicket(number: ids.TicketNumber): AcceptedTicket | undefined {
    return this.recent.find((accepted) => accepted.ticket === number);
  }

  /** Hash over version and entries; equal for equal configurations. */
  digest(): ids.ContentHash {
    const keys = [...this.entriesByKey.keys()].sort();
    return hash.hashValue([this.version, keys.map((key) => this.entriesByKey.get(key))]);
  }

  /**
   * Applies a ticket. A resource accepts only a higher ticket number than the one that last set it.
   * @throws ticketReused when the number was accepted with other content
   * @throws ticketConflict when a resource was already set by the same or a higher number
   */
  accept(ticket: tickets.Ticket, nowMs: number): AcceptResult {
    const earlier = this.findTicket(ticket.number) ?? this.reconstructAccepted(ticket);
    if (earlier !== undefined) {
      if (earlier.digest === ticket.digest) {
        return { manifest: this, accepted: earlier, repeated: true };
      }
      const detail = 'The number was accepted with other content; file the change under a new one.';
      throw failures.toError({ type: 'ticketReused', ticket: ticket.number, detail });
    }
    this.refuseOlderTicket(ticket);
    return this.withTicket(ticket, nowMs);
  }

  private withTicket(ticket: tickets.Ticket, nowMs: number): AcceptResult {
    const version = ids.configVersion(this.version + 1);
    const changed = ticket.changes.map((change) => ({
      kind: change.kind,
      name: change.name,
      ticket: ticket.number,
      hash: change.hash,
      replaces: this.entry(change.kind, change.name)?.ticket ?? null,
    }));
    const accepted: AcceptedTicket = {
      ticket: ticket.number,
      digest: ticket.digest,
      version,
      author: ticket.author,
      reason: ticket.reason,
      atMs: nowMs,
      resources: changed.map(({ kind, name }) => resources.resourceKey(kind, name)),
    };
    const recent = [...this.recent, accepted].slice(-RECENT_TICKETS);
    const manifest = new Manifest(version, [...this.entries, ...changed], recent);
    return { manifest, accepted, repeated: false };
  }

  private refuseOlderTicket(ticket: tickets.Ticket): void {
    for (const change of ticket.changes) {
      const held = this.entry(change.kind, change.name);
      if (held !== undefined && held.ticket >= ticket.number) {
        throw failures.toError({
          type: 'ticketConflict',
          ticket: ticket.number,
          resource: resources.resourceKey(change.kind, change.name),
          heldTicket: held.ticket,
          detail: `The resource holds ticket ${held.ticket}; file the change under a higher number.`,
        });
      }
    }
  }

  /** Reconstructs a ticket no longer in `recent` from the entries that still refer to it. */
  private reconstructAccepted(ticket: tickets.Ticket): AcceptedTicket | undefined {
    const lastSet = this.entries.filter((entry) => entry.ticket === ticket.number);
    if (lastSet.length === 0) return undefined;
    const sameContent =
      lastSet.length === ticket.changes.length &&
      ticket.changes.every((change) => {
        const entry = this.entry(change.kind, change.name);
        return entry?.ticket === ticket.number && entry.hash === change.hash;
      });
    return {
      ticket: ticket.number,
      digest: sameContent ? ticket.digest : ids.contentHash(''),
      version: this.version,
      author: ticket.author,
      reason: ticket.reason,
      atMs: 0,
      resources: lastSet.map(({ kind, name }) => resources.resourceKey(kind, name)),
    };
  }

  toJSON(): ManifestData {
    return { version: this.version, entries: this.entries, recent: [...this.recent] };
  }
}
