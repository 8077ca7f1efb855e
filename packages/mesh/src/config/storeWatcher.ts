/**
 * Keeps a node up to date with the store. Only the first-ranked node of each failure domain watches the
 * store, and forwards changes to the others. It sends them beacons while the store responds; when these
 * stop, the next node takes over. The number of calls to the store therefore does not grow with the number
 * of nodes.
 */

import { backoff, failures, type ids } from '@godwittrack/core';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import type * as phases from '../rollouts/phases.js';
import * as eventLoop from '../eventLoop.js';
import type * as rolloutTable from '../rollouts/rolloutTable.js';
import type * as configHolder from './configHolder.js';
import type * as configuration from './configuration.js';
import type * as fleetStore from './fleetStore.js';
import * as watchSchedule from './watchSchedule.js';

/** Interval of the beacons that a watching node sends to the nodes of its failure domain. */
export const BEACON_INTERVAL_MS = 400;
/** Time without a beacon after which the next-ranked node starts watching. */
const BEACON_TIMEOUT_MS = 1_000;
/** Time that each further candidate has for its first beacon, which it sends with its first response. */
const TAKEOVER_TIMEOUT_MS = 400;
/** Time between the ends of two watches, unless there are changes. Limits how long silence goes unnoticed. */
const WATCH_INTERVAL_MS = 2_450;
/** Time beyond its wait after which a watch that has not ended is checked on a new connection. */
const OVERDUE_MS = 250;
const RETRY_INITIAL_MS = 100;
const RETRY_MAX_MS = 1_000;
/** Time since the last response after which the store counts as unreachable although no call has failed. */
const STORE_CONTACT_TIMEOUT_MS = WATCH_INTERVAL_MS + 2_000;

/** A resource of the store that is read once and then watched for changes. */
export abstract class WatchedResource<T> {
  abstract readonly name: string;

  constructor(private readonly source: fleetStore.Watchable<T>) {}

  /** Reads the resource and applies what was read. */
  async read(
    signal: AbortSignal,
    connection: fleetStore.ConnectionChoice,
  ): Promise<fleetStore.Cursor> {
    const { value, cursor } = await this.source.read(signal, connection);
    this.apply(value, cursor, null);
    return cursor;
  }

  /** Waits up to `waitMs` for a change after `cursor`, and applies it. */
  async watch(
    cursor: fleetStore.Cursor,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<fleetStore.Cursor> {
    const result = await this.source.watch(cursor, waitMs, signal);
    this.apply(result.value, result.cursor, cursor);
    return result.cursor;
  }

  /**
   * @param value null if nothing changed or if the value cannot be decoded
   * @param cursor position up to which the value was read
   * @param since cursor of the watch that has returned the value; null if it was read in full
   */
  protected abstract apply(
    value: T | null,
    cursor: fleetStore.Cursor,
    since: fleetStore.Cursor | null,
  ): void;
}

export class WatchedConfiguration extends WatchedResource<configuration.Configuration> {
  readonly name = 'configuration';

  constructor(
    source: fleetStore.Watchable<configuration.Configuration>,
    private readonly config: configHolder.ConfigHolder,
  ) {
    super(source);
  }

  protected apply(value: configuration.Configuration | null): void {
    if (value !== null) this.config.offer(value, { origin: 'store', name: 'store' });
  }
}

export class WatchedRollouts extends WatchedResource<phases.RolloutRecord[]> {
  readonly name = 'rollouts';

  constructor(
    source: fleetStore.Watchable<phases.RolloutRecord[]>,
    private readonly rollouts: rolloutTable.RolloutTable,
  ) {
    super(source);
  }

  protected apply(value: phases.RolloutRecord[] | null): void {
    for (const record of value ?? []) this.rollouts.applyRecord(record);
    this.rollouts.markSynced();
  }
}

export class WatchedEvacuations extends WatchedResource<evacuationTable.EntryChange[]> {
  readonly name = 'evacuations';

  /**
   * The entries at each cursor. A read can overtake a watch, so changes must be applied to the entries from
   * which the watch began.
   */
  private readonly entries = new WeakMap<fleetStore.Cursor, ReadonlySet<ids.DomainName>>();

  constructor(
    source: fleetStore.Watchable<evacuationTable.EntryChange[]>,
    private readonly evacuations: evacuationTable.EvacuationTable,
  ) {
    super(source);
  }

  protected apply(
    changes: evacuationTable.EntryChange[] | null,
    cursor: fleetStore.Cursor,
    since: fleetStore.Cursor | null,
  ): void {
    const entries = new Set(since === null ? [] : this.entries.get(since));
    for (const { domain, isEvacuated } of changes ?? []) {
      if (isEvacuated) entries.add(domain);
      else entries.delete(domain);
    }
    this.entries.set(cursor, entries);
    // A store that has lost its history may answer a watch with nothing, so the position stands for no set.
    const isRead = since === null || (changes !== null && changes.length > 0);
    if (isRead) this.evacuations.applyStored(cursor, entries);
  }
}

export interface StoreWatcherOptions {
  table: members.MemberTable;
  /** Reachable nodes of the same failure domain; the first one watches the store. */
  watcherCandidates: () => readonly members.Member[];
  /** Closes the open connections to the store. */
  dropConnections: () => void;
  log: observability.DecisionLog;
  nowMs: () => number;
}

export class StoreWatcher {
  private readonly watchLoops: AbortController[] = [];

  private readonly schedule = new watchSchedule.WatchSchedule(WATCH_INTERVAL_MS);

  private watching = false;

  private readonly beaconReceivedAtMs = new Map<ids.NodeId, number>();

  /** Time of the first review with nodes ahead; they have had no time for a beacon before. */
  private firstReviewMs: number | null = null;

  private readonly contactListeners: (() => void)[] = [];

  private lastContactMs = -Infinity;

  /** Resources whose last call failed. */
  private readonly failing = new Set<WatchedResource<unknown>>();

  constructor(
    private readonly resources: readonly WatchedResource<unknown>[],
    private readonly options: StoreWatcherOptions,
  ) {}

  /** Whether this node watches the store, no last call failed, and the store has responded recently. */
  get hasStoreContact(): boolean {
    if (!this.watching || this.failing.size > 0) return false;
    return this.options.nowMs() - this.lastContactMs < STORE_CONTACT_TIMEOUT_MS;
  }

  /** Adds a listener that is called when this node gains contact to the store. */
  onContact(listener: () => void): void {
    this.contactListeners.push(listener);
  }

  /** Records a beacon: the node watches the store, and the store responds to it. */
  recordBeacon(node: ids.NodeId): void {
    this.beaconReceivedAtMs.set(node, this.options.nowMs());
  }

  /** Starts or stops watching as the ranking and the beacons of other nodes require; called periodically. */
  updateRole(): void {
    const shouldWatch = !this.hasActiveWatcherAhead();
    if (shouldWatch === this.watching) return;
    this.watching = shouldWatch;
    this.options.log.info(
      'store',
      shouldWatch
        ? 'started watching the store'
        : 'stopped watching, another node watches the store',
      {
        domain: this.options.table.self.domain,
      },
    );
    if (shouldWatch) this.start();
    else this.stop();
  }

  /** Reads the watched resources again in full, since the store no longer holds what was read from it. */
  readAgain(): void {
    if (!this.watching) return;
    this.abortLoops();
    this.start();
  }

  stop(): void {
    this.abortLoops();
    this.failing.clear();
    this.watching = false;
  }

  /**
   * Whether a higher-ranked node of the same failure domain has sent a beacon recently, or nodes ahead still
   * have time for their first one. A node that watches goes on until there is a beacon.
   */
  private hasActiveWatcherAhead(): boolean {
    const { table, watcherCandidates: candidates } = this.options;
    const nodes = candidates().map(({ node }) => node);
    const ahead = nodes.slice(0, nodes.indexOf(table.self.node));
    if (ahead.length === 0) return false;
    const now = this.options.nowMs();
    this.firstReviewMs ??= now;
    const beaconsMs = ahead.map((node) => this.beaconReceivedAtMs.get(node) ?? -Infinity);
    if (this.watching) return now - Math.max(...beaconsMs) < BEACON_TIMEOUT_MS;
    const turnMs = BEACON_TIMEOUT_MS + (ahead.length - 1) * TAKEOVER_TIMEOUT_MS;
    return now - Math.max(this.firstReviewMs, ...beaconsMs) < turnMs;
  }

  private abortLoops(): void {
    for (const loop of this.watchLoops.splice(0)) loop.abort();
  }

  private start(): void {
    for (const resource of this.resources) {
      const controller = new AbortController();
      this.watchLoops.push(controller);
      void this.watchResource(resource, controller.signal);
    }
  }

  private async watchResource(
    resource: WatchedResource<unknown>,
    signal: AbortSignal,
  ): Promise<void> {
    const retryDelays = new backoff.Backoff({ initialMs: RETRY_INITIAL_MS, maxMs: RETRY_MAX_MS });
    let cursor: fleetStore.Cursor | null = null;
    while (!signal.aborted) {
      try {
        cursor = await (cursor === null
          ? resource.read(signal, 'any')
          : this.watch(resource, cursor, signal));
        if (signal.aborted) return;
        this.recordResponse(resource);
        retryDelays.reset();
      } catch (err) {
        if (signal.aborted) return;
        const failure = failures.fromError(err);
        // A store that has compacted its history may end the watch and then return no events for the old
        // cursor, so the resource is read again in full.
        cursor = null;
        if (!this.failing.has(resource))
          this.options.log.info('store', 'store read or watch failed', {
            subject: resource.name,
            failure,
          });
        this.failing.add(resource);
        await backoff.sleep(retryDelays.nextMs(), signal);
      }
    }
  }

  /**
   * Waits for a change. If the watch does not end in time, the resource is read on a new connection: an answer
   * there that comes first shows that the open connections have gone silent.
   */
  private async watch(
    resource: WatchedResource<unknown>,
    cursor: fleetStore.Cursor,
    signal: AbortSignal,
  ): Promise<fleetStore.Cursor> {
    const calls = new AbortController();
    const abortCalls = () => calls.abort();
    signal.addEventListener('abort', abortCalls, { once: true });
    const waitMs = this.schedule.begin(resource.name, this.options.nowMs());
    const watching = resource.watch(cursor, waitMs, calls.signal);
    try {
      const overdue = this.waitUntilOverdue(waitMs, calls.signal);
      const ended = await Promise.race([watching, overdue]);
      if (ended !== null) return ended;
      const reading = this.checkSilence(resource, calls.signal);
      // A failed check decides nothing; the watch has a time limit of its own.
      return await Promise.race([watching, reading.then((checked) => checked ?? watching)]);
    } finally {
      signal.removeEventListener('abort', abortCalls);
      this.schedule.end(resource.name);
      calls.abort();
    }
  }

  private async waitUntilOverdue(waitMs: number, signal: AbortSignal): Promise<null> {
    await backoff.sleep(waitMs + OVERDUE_MS, signal);
    // After a pause of the process, the answer may have arrived although the timer comes first.
    await eventLoop.nextPoll();
    return null;
  }

  /**
   * Reads a resource on a new connection, and closes the open ones if that succeeds before the watch ends.
   * @returns null if the read fails or is aborted
   */
  private async checkSilence(
    resource: WatchedResource<unknown>,
    signal: AbortSignal,
  ): Promise<fleetStore.Cursor | null> {
    const { log, dropConnections } = this.options;
    const subject = resource.name;
    log.info('store', 'a watch is overdue', { subject });
    try {
      const cursor = await resource.read(signal, 'new');
      if (signal.aborted) return null;
      log.info('store', 'open connections to the store are silent', { subject });
      dropConnections();
      return cursor;
    } catch (err) {
      if (!signal.aborted)
        log.info('store', 'could not check an overdue watch', {
          subject,
          failure: failures.fromError(err),
        });
      return null;
    }
  }

  private recordResponse(resource: WatchedResource<unknown>): void {
    const hadContact = this.hasStoreContact;
    this.lastContactMs = this.options.nowMs();
    if (this.failing.delete(resource))
      this.options.log.info('store', 'store responds again', { subject: resource.name });
    if (hadContact || !this.hasStoreContact) return;
    for (const listener of this.contactListeners) listener();
  }
}
