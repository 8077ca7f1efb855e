/**
 * Watches the platform for the whole tree below this node: lists once, then long-polls. One task,
 * which runs only while this node is the root relay, or a region relay that has lost the root.
 */

import { backoff, failures, manifest } from '@godwittrack/core';
import type { clock, ids, resources } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import * as configStore from '../config/configStore.js';
import * as heldManifests from '../config/heldManifest.js';
import type * as logging from '../logging.js';
import type * as contacts from '../membership/contacts.js';
import * as roster from '../membership/roster.js';
import type * as documentTable from './documentTable.js';
import type * as platformLink from './platformLink.js';

const WATCHED_KINDS: readonly objectStore.ObjectKind[] = [
  'manifest',
  'rollout',
  'roster',
  'placement',
];
/** An idle watch returns this often, so that the age of the last contact stays small. */
const WATCH_WAIT_MS = 1_000;
const BODY_READS = 16;

export class PlatformWatcher {
  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly config: configStore.ConfigStore,
    private readonly rollouts: documentTable.DocumentTable,
    private readonly placements: documentTable.DocumentTable,
    private readonly known: contacts.Contacts,
    private readonly link: platformLink.PlatformLink,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {}

  /** Manifest as last read or accepted, for the next acceptance at this node; null when unknown. */
  readonly heldManifest = new heldManifests.HeldManifestCache();

  /** Whether the platform answers now, with one read. */
  async reaches(signal: AbortSignal): Promise<boolean> {
    try {
      await this.store.get('lease', 'controller', signal);
      return true;
    } catch {
      return false;
    }
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.log.info('Watching the platform.');
    const delays = new backoff.Backoff();
    let since: number | null = null;
    let reachable = true;
    while (!signal.aborted) {
      try {
        since = since === null ? await this.listAll(signal) : await this.watchOnce(since, signal);
        if (!reachable) this.log.info('The platform answers again.');
        reachable = true;
        delays.reset();
      } catch (err) {
        if (signal.aborted) break;
        if (failures.is(err, 'watchExpired')) since = null;
        else {
          if (reachable)
            this.log.warn({ failure: failures.fromError(err) }, 'The platform failed.');
          reachable = false;
          await backoff.sleep(delays.nextMs(), signal);
        }
      }
    }
    this.heldManifest.clear();
    this.log.info('Stopped watching the platform.');
  }

  /** Reads everything; returns the store version from which to watch. */
  private async listAll(signal: AbortSignal): Promise<number> {
    const askedAtMs = this.time.monotonicMs();
    const listed = await this.store.list('manifest', signal);
    const others = await Promise.all([
      this.store.list('rollout', signal),
      this.store.list('placement', signal),
      this.store.list('roster', signal),
    ]);
    others.flatMap((list) => list.items).forEach((item) => this.takeDocument(item));
    // The contact is confirmed last: it renews the leases of the placements that are held.
    await this.takeManifest(listed.items[0], askedAtMs, signal);
    return listed.version;
  }

  private async watchOnce(since: number, signal: AbortSignal): Promise<number> {
    const askedAtMs = this.time.monotonicMs();
    const batch = await this.store.watch(WATCHED_KINDS, since, WATCH_WAIT_MS, signal);
    let latest: objectStore.ObjectEvent | undefined;
    for (const event of batch.events) {
      if (event.type === 'delete') this.dropDocument(event);
      else if (event.kind === 'manifest') latest = event;
      else this.takeDocument(event);
    }
    // An empty answer was given after the whole wait; one with events may be as old as the question.
    const waited = batch.events.length === 0 ? WATCH_WAIT_MS : 0;
    const contactAtMs = Math.min(askedAtMs + waited, this.time.monotonicMs());
    if (latest === undefined) this.link.confirm(this.link.platformVersion, contactAtMs);
    else await this.takeManifest(latest, contactAtMs, signal);
    return batch.version;
  }

  private async takeManifest(
    object: { version: number; value: unknown } | undefined,
    contactAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const next =
      object === undefined ? manifest.Manifest.empty() : manifest.Manifest.parse(object.value);
    const offered = new Map<ids.ContentHash, resources.RawSpec>();
    await this.readBodies(next, offered, signal);
    this.apply(next, offered);
    this.heldManifest.offer({ manifest: next, objectVersion: object?.version ?? null });
    this.link.confirm(next.version, contactAtMs);
  }

  private apply(
    next: manifest.Manifest,
    bodies: ReadonlyMap<ids.ContentHash, resources.RawSpec>,
  ): void {
    try {
      if (this.config.apply(next, bodies)) {
        const digest = configStore.digestOf(next);
        this.log.info({ version: next.version, digest }, 'Configuration applied.');
      }
    } catch (err) {
      // The configuration in force stays; a later version may be good again.
      const failure = failures.fromError(err);
      this.log.error({ version: next.version, failure }, 'Configuration refused.');
    }
  }

  private async readBodies(
    next: manifest.Manifest,
    offered: Map<ids.ContentHash, resources.RawSpec>,
    signal: AbortSignal,
  ): Promise<void> {
    const missing = this.config.missingBodies(next, offered);
    for (let start = 0; start < missing.length; start += BODY_READS) {
      await Promise.all(
        missing.slice(start, start + BODY_READS).map(async (key) => {
          const object = await this.store.get('body', key, signal);
          if (object !== null) offered.set(key, object.value as resources.RawSpec);
        }),
      );
    }
  }

  private takeDocument(object: objectStore.StoredObject | objectStore.ObjectEvent): void {
    const { kind, name, version: revision, value } = object;
    const document = { name, revision, json: JSON.stringify(value) };
    if (kind === 'rollout') this.rollouts.merge(document);
    if (kind === 'placement') this.placements.merge(document);
    if (kind === 'roster') this.takeRoster(value);
  }

  private dropDocument(event: objectStore.ObjectEvent): void {
    if (event.kind === 'rollout') this.rollouts.remove(event.name);
    if (event.kind === 'placement') this.placements.remove(event.name);
  }

  private takeRoster(value: unknown): void {
    const members: distribution.Member[] = roster.parseRoster(value);
    members.forEach((member) => this.known.addHint(member));
  }
}
