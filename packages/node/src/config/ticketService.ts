/**
 * Files tickets (numbered changes of configuration resources): checks them against the full
 * configuration and accepts them with one conditional update of the manifest in the platform.
 */

import {
  backoff,
  clock,
  configuration,
  failures,
  ids,
  manifest,
  resources,
} from '@godwittrack/core';
import type { ticket as tickets } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type * as audit from '../admin/auditTrail.js';
import type * as logging from '../logging.js';
import * as configStore from './configStore.js';
import type * as manifestCaches from './manifestCache.js';

const MAX_ATTEMPTS = 12;
const CONFLICT_BACKOFF = { initialMs: 10, maxMs: 400 };
/** Largest manifest; the platform holds values up to 1 MiB. */
const MAX_MANIFEST_BYTES = 896 * 1024;
/** Share of the manifest for its list of recently accepted tickets. */
const MAX_RECENT_BYTES = 64 * 1024;
/** Bodies read from the platform at once. */
const MAX_CONCURRENT_BODY_READS = 16;

export interface FiledTicket {
  ticket: number;
  version: number;
  repeated: boolean;
  atMs: number;
}

export type ChangeAction = 'create' | 'replace' | 'delete' | 'unchanged';

export interface TicketPreview {
  ticket: number;
  valid: true;
  wouldBeVersion: number;
  changes: { resource: string; action: ChangeAction }[];
}

/** Forwards tickets to the node that watches the platform. */
export abstract class TicketForwarder {
  /**
   * Returns null when there is no such node, when it is this one, or when it does not answer (it
   * may still have accepted the ticket). Failures that the other node reports are thrown.
   */
  abstract forward(ticket: tickets.Ticket): Promise<FiledTicket | null>;
}

export class TicketService {
  /** Settles when the previous ticket is decided, so that tickets of one node never conflict. */
  private lastFiling: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly config: configStore.ConfigStore,
    private readonly auditTrail: audit.AuditTrail,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
    private readonly manifestCache: manifestCaches.ManifestCache,
    private readonly forwarder: TicketForwarder | null = null,
  ) {}

  /** Runs the same checks as filing, but writes nothing. */
  async check(ticket: tickets.Ticket): Promise<TicketPreview> {
    const held = await this.readManifest();
    const result = held.manifest.accept(ticket, this.time.nowMs());
    await this.checkConfiguration(result.manifest, ticket);
    return {
      ticket: ticket.number,
      valid: true,
      wouldBeVersion: result.accepted.version,
      changes: ticket.changes.map((change) => ({
        resource: resources.resourceKey(change.kind, change.name),
        action: actionOf(held.manifest, change),
      })),
    };
  }

  /**
   * Files a ticket at the node that watches the platform, or from this node when that one cannot.
   * @throws as `fileLocally`
   */
  async file(ticket: tickets.Ticket): Promise<FiledTicket> {
    try {
      const filed = await this.forwarder?.forward(ticket);
      if (filed !== undefined && filed !== null) return filed;
    } catch (err) {
      // The platform may answer this node although the other one has lost it.
      if (!failures.is(err, 'platformUnavailable') && !failures.is(err, 'platformOutcomeUnknown')) {
        throw err;
      }
    }
    return this.fileLocally(ticket);
  }

  /**
   * Files a ticket from this node, one at a time. When the answer to the update is lost, the
   * manifest is read again to learn the result.
   * @throws ticketConflict, ticketReused, invalidConfiguration: nothing was accepted
   * @throws platformUnavailable, platformOverloaded: nothing was accepted
   * @throws platformOutcomeUnknown: file the same ticket again
   * @throws acceptContention after too many conflicts with other writers
   */
  async fileLocally(ticket: tickets.Ticket): Promise<FiledTicket> {
    const filing = this.lastFiling.then(() => this.fileAndAudit(ticket));
    this.lastFiling = filing.catch(() => undefined);
    return filing;
  }

  private async fileAndAudit(ticket: tickets.Ticket): Promise<FiledTicket> {
    try {
      const filed = await this.acceptWithRetry(ticket);
      if (!filed.repeated) await this.recordOutcome(ticket, 'accepted', filed.version, '');
      return filed;
    } catch (err) {
      const failure = failures.fromError(err);
      this.log.warn({ ticket: ticket.number, failure }, 'Ticket refused.');
      await this.recordOutcome(ticket, `refused:${failure.type}`, null, failures.describe(failure));
      throw err;
    }
  }

  /** Accepted tickets, newest first. */
  async list(): Promise<manifest.AcceptedTicket[]> {
    const held = await this.readManifest();
    return [...held.manifest.recent].reverse();
  }

  /** @throws ticketNotFound */
  async show(number: ids.TicketNumber) {
    const { manifest: current } = await this.readManifest();
    const accepted = current.findTicket(number);
    if (accepted === undefined) throw failures.toError({ type: 'ticketNotFound', ticket: number });
    const changes = await Promise.all(
      accepted.resources.map(async (resource) => {
        const entry = current.entries.find(
          ({ kind, name }) => resources.resourceKey(kind, name) === resource,
        );
        const isCurrent = entry?.ticket === number;
        const spec = isCurrent && entry.hash !== null ? await this.readBody(entry.hash) : null;
        return { resource, spec: spec ?? null, current: isCurrent };
      }),
    );
    return { ...accepted, changes };
  }

  private async acceptWithRetry(ticket: tickets.Ticket): Promise<FiledTicket> {
    const delays = new backoff.Backoff(CONFLICT_BACKOFF);
    let unknownOutcome: failures.FailureError | null = null;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        const filed = await this.acceptOnce(ticket);
        // If an earlier attempt lost its answer, the acceptance found now is the one of that
        // attempt, not a repetition.
        return unknownOutcome === null ? filed : { ...filed, repeated: false };
      } catch (err) {
        if (failures.is(err, 'platformOutcomeUnknown')) unknownOutcome = err;
        else if (unknownOutcome !== null && isPlatformFailure(err)) throw unknownOutcome;
        else if (!failures.is(err, 'objectConflict')) throw err;
        await backoff.sleep(delays.nextMs());
      }
    }
    throw unknownOutcome ?? failures.toError({ type: 'acceptContention', attempts: MAX_ATTEMPTS });
  }

  /** Tries the cached manifest first; a refusal based on it is checked against a fresh read. */
  private async acceptOnce(ticket: tickets.Ticket): Promise<FiledTicket> {
    const { latest } = this.manifestCache;
    if (latest !== null) {
      try {
        return await this.acceptAgainst(latest, ticket);
      } catch (err) {
        this.manifestCache.clear();
        if (failures.is(err, 'platformOutcomeUnknown') || isPlatformFailure(err)) throw err;
      }
    }
    return this.acceptAgainst(await this.readManifest(), ticket);
  }

  private async acceptAgainst(
    held: manifestCaches.VersionedManifest,
    ticket: tickets.Ticket,
  ): Promise<FiledTicket> {
    const result = held.manifest.accept(ticket, this.time.nowMs());
    const { accepted, repeated } = result;
    if (!repeated) {
      const next = trimRecentTickets(result.manifest);
      rejectOversized(next);
      const bodies = await this.checkConfiguration(next, ticket);
      await this.writeBodies(ticket);
      const precondition: objectStore.Precondition =
        held.objectVersion === null
          ? { type: 'absent' }
          : { type: 'version', version: held.objectVersion };
      const written = await this.store.put('manifest', 'current', next.toJSON(), precondition);
      this.manifestCache.update({ manifest: next, objectVersion: written });
      this.log.info({ ticket: ticket.number, version: next.version }, 'Ticket accepted.');
      this.applyLocally(next, bodies);
    }
    const { version, atMs } = accepted;
    return { ticket: ticket.number, version, repeated, atMs };
  }

  /** Applies an accepted configuration at once, which also sends it to the children. */
  private applyLocally(
    next: manifest.Manifest,
    bodies: ReadonlyMap<ids.ContentHash, resources.RawSpec>,
  ): void {
    try {
      if (!this.config.apply(next, bodies)) return;
      const digest = configStore.digestOf(next);
      this.log.info({ version: next.version, digest }, 'Configuration applied.');
    } catch (err) {
      // The ticket stays accepted; the configuration arrives again through the watch.
      this.log.error(
        { failure: failures.fromError(err) },
        'Accepted configuration could not be applied on this node.',
      );
    }
  }

  private async readManifest(): Promise<manifestCaches.VersionedManifest> {
    const object = await this.store.get('manifest', 'current');
    if (object === null) return { manifest: manifest.Manifest.empty(), objectVersion: null };
    return { manifest: manifest.Manifest.parse(object.value), objectVersion: object.version };
  }

  /** Runs the check that every node makes before it applies a configuration; returns the bodies. */
  private async checkConfiguration(
    next: manifest.Manifest,
    ticket: tickets.Ticket,
  ): Promise<ReadonlyMap<ids.ContentHash, resources.RawSpec>> {
    const bodies = new Map<ids.ContentHash, resources.RawSpec>();
    for (const { hash, spec } of ticket.changes) {
      if (hash !== null && spec !== null) bodies.set(hash, spec);
    }
    const missing = this.config.missingBodies(next, bodies);
    for (let start = 0; start < missing.length; start += MAX_CONCURRENT_BODY_READS) {
      const keys = missing.slice(start, start + MAX_CONCURRENT_BODY_READS);
      const read = await Promise.all(keys.map((key) => this.readBody(key)));
      read.forEach((body, index) => {
        const key = keys[index];
        if (body !== null && key !== undefined) bodies.set(key, body);
      });
    }
    configuration.Configuration.resolve(next, (key) => bodies.get(key) ?? this.config.body(key));
    return bodies;
  }

  private async readBody(key: ids.ContentHash): Promise<resources.RawSpec | null> {
    const held = this.config.body(key);
    if (held !== undefined) return held;
    const object = await this.store.get('body', key);
    return object === null ? null : (object.value as resources.RawSpec);
  }

  private async writeBodies(ticket: tickets.Ticket): Promise<void> {
    await Promise.all(
      ticket.changes.map(async ({ hash, spec }) => {
        if (hash === null || this.config.body(hash) !== undefined) return;
        try {
          await this.store.put('body', hash, spec, { type: 'absent' });
        } catch (err) {
          // The name is the hash of the content, so an existing object has the same body.
          if (!failures.is(err, 'objectConflict')) throw err;
        }
      }),
    );
  }

  private async recordOutcome(
    ticket: tickets.Ticket,
    outcome: string,
    version: number | null,
    detail: string,
  ): Promise<void> {
    await this.auditTrail.record({
      atMs: this.time.nowMs(),
      actor: ticket.author,
      action: 'ticket.file',
      ticket: ticket.number,
      resources: ticket.changes.map(({ kind, name }) => resources.resourceKey(kind, name)),
      version,
      outcome,
      detail: detail === '' ? ticket.reason : detail,
    });
  }
}

/** Keeps the newest accepted tickets that fit, so that long reasons do not fill the manifest. */
function trimRecentTickets(next: manifest.Manifest): manifest.Manifest {
  let bytes = 0;
  const fitting = [...next.recent].reverse().filter((accepted, index) => {
    bytes += Buffer.byteLength(JSON.stringify(accepted));
    return index === 0 || bytes <= MAX_RECENT_BYTES;
  });
  if (fitting.length === next.recent.length) return next;
  return new manifest.Manifest(next.version, next.entries, fitting.reverse());
}

/** @throws invalidConfiguration for a manifest above the limit, which the platform would refuse */
function rejectOversized(next: manifest.Manifest): void {
  const bytes = Buffer.byteLength(JSON.stringify(next.toJSON()));
  if (bytes <= MAX_MANIFEST_BYTES) return;
  const message = `the manifest would hold ${bytes} bytes; the limit is ${MAX_MANIFEST_BYTES}`;
  const hint = 'Use fewer resources or shorter names; deleted resources count too.';
  throw failures.toError({
    type: 'invalidConfiguration',
    problems: [{ path: '', message, hint }],
  });
}

function isPlatformFailure(err: unknown): boolean {
  return failures.is(err, 'platformUnavailable') || failures.is(err, 'platformOverloaded');
}

function actionOf(held: manifest.Manifest, change: tickets.ResourceChange): ChangeAction {
  const entry = held.entry(change.kind, change.name);
  if (change.hash === null) return 'delete';
  if (entry === undefined || entry.hash === null) return 'create';
  return entry.hash === change.hash ? 'unchanged' : 'replace';
}
