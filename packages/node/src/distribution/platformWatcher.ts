/**
 * Watches the platform on behalf of the subtree of this node: lists once, then long-polls. Runs
 * only while this node is the root, or a region relay that cannot reach the root.
 */

import { backoff, failures, manifest } from '@godwittrack/core';
import type { clock, ids, resources } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import * as configStore from '../config/configStore.js';
import * as manifestCaches from '../config/manifestCache.js';
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
/** An idle watch returns after this time, so that the age of the last contact stays small. */
const WATCH_WAIT_MS = 1_000;
const MAX_CONCURRENT_BODY_READS = 16;

export class PlatformWatcher {
  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly config: configStore.ConfigStore,
    private readonly rollouts: documentTable.DocumentTable,
    private readonly placements: documentTable.DocumentTable,
    private readonly peerContacts: contacts.Contacts,
    private readonly link: platformLink.PlatformLink,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {}

  /** Manifest as last read or written here; saves a read when the next ticket is accepted. */
  readonly manifestCache = new manifestCaches.ManifestCache();

  /** Checks with one read whether the platform answers now. */
  async isReachable(signal: AbortSignal): Promise<boolean> {
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
            this.log.warn(
              { failure: failures.fromError(err) },
              'Call to the platform failed; retrying.',
            );
          reachable = false;
          await backoff.sleep(delays.nextMs(), signal);
        }
      }
    }
    this.manifestCache.clear();
    this.log.info('Stopped watching the platform.');
  }

  /** Lists all watched kinds; returns the store version from which to watch. */
  private async listAll(signal: AbortSignal): Promise<number> {
    const askedAtMs = this.time.monotonicMs();
    const listed = await this.store.list('manifest', signal);
    const others = await Promise.all([
      this.store.list('rollout', signal),
      this.store.list('placement', signal),
      this.store.list('roster', signal),
    ]);
    others.flatMap((list) => list.items).forEach((item) => this.storeDocument(item));
    // The manifest confirms the contact, so it comes last: a contact renews the leases of the
    // placements that are held.
    await this.processManifest(listed.items[0], askedAtMs, signal);
    return listed.version;
  }

  private async watchOnce(since: number, signal: AbortSignal): Promise<number> {
    const askedAtMs = this.time.monotonicMs();
    const batch = await this.store.watch(WATCHED_KINDS, since, WATCH_WAIT_MS, signal);
    let latestManifest: objectStore.ObjectEvent | undefined;
    for (const event of batch.events) {
      if (event.type === 'delete') this.removeDocument(event);
      else if (event.kind === 'manifest') latestManifest = event;
      else this.storeDocument(event);
    }
    // An empty answer was sent after the full wait; one with events may have been sent as soon as
    // the request arrived.
    const waited = batch.events.length === 0 ? WATCH_WAIT_MS : 0;
    const contactAtMs = Math.min(askedAtMs + waited, this.time.monotonicMs());
    if (latestManifest === undefined) this.link.confirm(this.link.platformVersion, contactAtMs);
    else await this.processManifest(latestManifest, contactAtMs, signal);
    return batch.version;
  }

  private async processManifest(
    object: { version: number; value: unknown } | undefined,
    contactAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const next =
      object === undefined ? manifest.Manifest.empty() : manifest.Manifest.parse(object.value);
    const fetched = new Map<ids.ContentHash, resources.RawSpec>();
    await this.readBodies(next, fetched, signal);
    this.apply(next, fetched);
    this.manifestCache.update({ manifest: next, objectVersion: object?.version ?? null });
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
      // The current configuration stays in force; a later version may be valid again.
      const failure = failures.fromError(err);
      this.log.error({ version: next.version, failure }, 'Configuration refused.');
    }
  }

  private async readBodies(
    next: manifest.Manifest,
    fetched: Map<ids.ContentHash, resources.RawSpec>,
    signal: AbortSignal,
  ): Promise<void> {
    const missing = this.config.missingBodies(next, fetched);
    for (let start = 0; start < missing.length; start += MAX_CONCURRENT_BODY_READS) {
      await Promise.all(
        missing.slice(start, start + MAX_CONCURRENT_BODY_READS).map(async (key) => {
          const object = await this.store.get('body', key, signal);
          if (object !== null) fetched.set(key, object.value as resources.RawSpec);
        }),
      );
    }
  }

  private storeDocument(object: objectStore.StoredObject | objectStore.ObjectEvent): void {
    const { kind, name, version: revision, value } = object;
    const document = { name, revision, json: JSON.stringify(value) };
    if (kind === 'rollout') this.rollouts.merge(document);
    if (kind === 'placement') this.placements.merge(document);
    if (kind === 'roster') this.addRosterHints(value);
  }

  private removeDocument(event: objectStore.ObjectEvent): void {
    if (event.kind === 'rollout') this.rollouts.remove(event.name);
    if (event.kind === 'placement') this.placements.remove(event.name);
  }

  private addRosterHints(value: unknown): void {
    const members: distribution.Member[] = roster.parseRoster(value);
    members.forEach((member) => this.peerContacts.addHint(member));
  }
}
