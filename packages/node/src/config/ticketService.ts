/**
 * Files tickets: checks them against the whole configuration and accepts them by one conditional
 * update of the manifest in the platform.
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
import type * as heldManifests from './heldManifest.js';

const MAX_ATTEMPTS = 12;
const CONTENTION_BACKOFF = { initialMs: 10, maxMs: 400 };
/** Largest manifest; the platform holds values up to 1 MiB. */
const MAX_MANIFEST_BYTES = 896 * 1024;
/** Part of it for the accepted tickets that it remembers. */
const MAX_RECENT_BYTES = 64 * 1024;
/** Bodies read from the platform at once. */
const BODY_READS = 16;

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

/** Files tickets at the node that watches the platform. */
export abstract class TicketForwarder {
  /**
   * Returns null when there is no such node, when it is this one, or when it does not answer; the
   * ticket may have been accepted in the last case. Failures of the other node are thrown.
   */
  abstract forward(ticket: tickets.Ticket): Promise<FiledTicket | null>;
}

export class TicketService {
  /** Ends when the previous ticket is decided; two of this node never race for the manifest. */
  private lastTurn: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly config: configStore.ConfigStore,
    private readonly auditTrail: audit.AuditTrail,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
    private readonly cache: heldManifests.HeldManifestCache,
    private readonly forwarder: TicketForwarder | null = null,
  ) {}

  /** Runs every check that filing runs, and writes nothing. */
  async check(ticket: tickets.Ticket): Promise<TicketPreview> {
    const held = await this.readManifest();
    const result = held.manifest.accept(ticket, this.time.nowMs());
    await this.checkWhole(result.manifest, ticket);
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
   * Files a ticket at the platform's watcher, or from here when that node cannot.
   * @throws as `fileHere`
   */
  async file(ticket: tickets.Ticket): Promise<FiledTicket> {
    try {
      const filed = await this.forwarder?.forward(ticket);
      if (filed !== undefined && filed !== null) return filed;
    } catch (err) {
      // The platform may answer here although it is lost there.
      if (!failures.is(err, 'platformUnavailable') && !failures.is(err, 'platformOutcomeUnknown')) {
        throw err;
      }
    }
    return this.fileHere(ticket);
  }

  /**
   * Files a ticket from this node, one after the other. After a lost answer the manifest is read
   * back, so the result is known.
   * @throws ticketConflict, ticketReused, invalidConfiguration: nothing was accepted
   * @throws platformUnavailable, platformOverloaded: nothing was accepted
   * @throws platformOutcomeUnknown: file the same ticket again
   * @throws acceptContention after too many races with other operators
   */
  async fileHere(ticket: tickets.Ticket): Promise<FiledTicket> {
    const turn = this.lastTurn.then(() => this.fileInTurn(ticket));
    this.lastTurn = turn.catch(() => undefined);
    return turn;
  }

  private async fileInTurn(ticket: tickets.Ticket): Promise<FiledTicket> {
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
    const delays = new backoff.Backoff(CONTENTION_BACKOFF);
    let unknown: failures.FailureError | null = null;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        const filed = await this.acceptOnce(ticket);
        // After a lost answer, the acceptance that is found is the one that was tried here.
        return unknown === null ? filed : { ...filed, repeated: false };
      } catch (err) {
        if (failures.is(err, 'platformOutcomeUnknown')) unknown = err;
        else if (unknown !== null && isPlatformFailure(err)) throw unknown;
        else if (!failures.is(err, 'objectConflict')) throw err;
        await backoff.sleep(delays.nextMs());
      }
    }
    throw unknown ?? failures.toError({ type: 'acceptContention', attempts: MAX_ATTEMPTS });
  }

  /** Decides on the manifest at hand; only an acceptance counts then, a refusal is read again. */
  private async acceptOnce(ticket: tickets.Ticket): Promise<FiledTicket> {
    const { latest } = this.cache;
    if (latest !== null) {
      try {
        return await this.acceptOnto(latest, ticket);
      } catch (err) {
        this.cache.clear();
        if (failures.is(err, 'platformOutcomeUnknown') || isPlatformFailure(err)) throw err;
      }
    }
    return this.acceptOnto(await this.readManifest(), ticket);
  }

  private async acceptOnto(
    held: heldManifests.HeldManifest,
    ticket: tickets.Ticket,
  ): Promise<FiledTicket> {
    const result = held.manifest.accept(ticket, this.time.nowMs());
    const { accepted, repeated } = result;
    if (!repeated) {
      const next = trimRecent(result.manifest);
      refuseOversized(next);
      const bodies = await this.checkWhole(next, ticket);
      await this.writeBodies(ticket);
      const precondition: objectStore.Precondition =
        held.objectVersion === null
          ? { type: 'absent' }
          : { type: 'version', version: held.objectVersion };
      const written = await this.store.put('manifest', 'current', next.toJSON(), precondition);
      this.cache.offer({ manifest: next, objectVersion: written });
      this.log.info({ ticket: ticket.number, version: next.version }, 'Ticket accepted.');
      this.applyHere(next, bodies);
    }
    const { version, atMs } = accepted;
    return { ticket: ticket.number, version, repeated, atMs };
  }

  /** What was accepted here is in force here, and on its way to the children, at once. */
  private applyHere(
    next: manifest.Manifest,
    bodies: ReadonlyMap<ids.ContentHash, resources.RawSpec>,
  ): void {
    try {
      if (!this.config.apply(next, bodies)) return;
      const digest = configStore.digestOf(next);
      this.log.info({ version: next.version, digest }, 'Configuration applied.');
    } catch (err) {
      // The ticket stays accepted; the watch brings the configuration again.
      this.log.error(
        { failure: failures.fromError(err) },
        'Accepted configuration not applied here.',
      );
    }
  }

  private async readManifest(): Promise<heldManifests.HeldManifest> {
    const object = await this.store.get('manifest', 'current');
    if (object === null) return { manifest: manifest.Manifest.empty(), objectVersion: null };
    return { manifest: manifest.Manifest.parse(object.value), objectVersion: object.version };
  }

  /** The check that every node runs before it applies the configuration. */
  private async checkWhole(
    next: manifest.Manifest,
    ticket: tickets.Ticket,
  ): Promise<ReadonlyMap<ids.ContentHash, resources.RawSpec>> {
    const bodies = new Map<ids.ContentHash, resources.RawSpec>();
    for (const { hash, spec } of ticket.changes) {
      if (hash !== null && spec !== null) bodies.set(hash, spec);
    }
    const missing = this.config.missingBodies(next, bodies);
    for (let start = 0; start < missing.length; start += BODY_READS) {
      const keys = missing.slice(start, start + BODY_READS);
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
          // The name is the hash of the content, so an existing object is the same body.
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

/** Keeps as many of the newest accepted tickets as fit, so that long reasons crowd nothing out. */
function trimRecent(next: manifest.Manifest): manifest.Manifest {
  let bytes = 0;
  const fitting = [...next.recent].reverse().filter((accepted, index) => {
    bytes += Buffer.byteLength(JSON.stringify(accepted));
    return index === 0 || bytes <= MAX_RECENT_BYTES;
  });
  if (fitting.length === next.recent.length) return next;
  return new manifest.Manifest(next.version, next.entries, fitting.reverse());
}

/** @throws invalidConfiguration well before the platform would refuse the manifest */
function refuseOversized(next: manifest.Manifest): void {
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
