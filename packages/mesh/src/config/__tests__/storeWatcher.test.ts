import * as assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import { backoff, failures, ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import type * as evacuationTable from '../../evacuations/evacuationTable.js';
import * as members from '../../membership/members.js';
import * as fleetStore from '../fleetStore.js';
import * as storeWatcher from '../storeWatcher.js';

/** Longer than a node waits for the beacons of the watching node. */
const TAKEOVER_MS = 1_300;
/** Time by which a configuration must be in force, less the time to read and forward it. */
const MAX_TAKEOVER_MS = 2_000 - 200;
const REVIEW_INTERVAL_MS = 200;
/** Calls that are seen to fail before a test goes on. */
const FAILED_CALLS = 3;

/** A store that answers reads, and watches only while it accepts calls. */
class SwitchableStore extends fleetStore.Watchable<number> {
  accepting = true;

  calls = 0;

  reads = 0;

  private fail: ((err: Error) => void) | null = null;

  read(): Promise<fleetStore.ReadResult<number>> {
    this.calls += 1;
    this.reads += 1;
    return this.accepting
      ? Promise.resolve({ cursor: { era: ids.storeEra(1), revision: 1 }, value: 1 })
      : Promise.reject(SwitchableStore.failure());
  }

  watch(): Promise<fleetStore.ReadResult<number>> {
    this.calls += 1;
    return new Promise((_resolve, reject) => {
      if (this.accepting) this.fail = reject;
      else reject(SwitchableStore.failure());
    });
  }

  /** Ends the watch that is waiting, and turns further calls away. */
  turnAway(): void {
    this.accepting = false;
    this.fail?.(SwitchableStore.failure());
  }

  private static failure(): Error {
    return failures.toError({
      type: 'platformUnavailable',
      operation: 'watch',
      detail: 'status 503',
    });
  }
}

/** A store whose open connections can go silent. */
class SilentStore extends fleetStore.Watchable<number> {
  /** Times of the reads, by the clock of the process. */
  readonly readsMs: number[] = [];

  dropped = 0;

  isSilent = false;

  /** Whether the store answers on new connections. */
  isReachable = true;

  async read(
    signal: AbortSignal,
    connection?: fleetStore.ConnectionChoice,
  ): Promise<fleetStore.ReadResult<number>> {
    this.readsMs.push(performance.now());
    if (!this.isReachable) throw failures.toError(SilentStore.failure);
    if (this.isSilent && connection !== 'new') await SilentStore.untilAborted(signal);
    return { cursor: { era: ids.storeEra(1), revision: 1 }, value: 1 };
  }

  async watch(
    cursor: fleetStore.Cursor,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<fleetStore.ReadResult<number>> {
    await backoff.sleep(waitMs, signal);
    if (this.isSilent) await SilentStore.untilAborted(signal);
    return { cursor, value: null };
  }

  drop(): void {
    this.dropped += 1;
    this.isSilent = false;
  }

  private static readonly failure = {
    type: 'platformUnavailable',
    operation: 'read',
    detail: 'status 503',
  } as const;

  private static untilAborted(signal: AbortSignal): Promise<never> {
    return new Promise((_resolve, reject) => {
      signal.addEventListener('abort', () => reject(failures.toError(SilentStore.failure)));
    });
  }
}

class Resource extends storeWatcher.WatchedResource<number> {
  readonly name: string = 'resource';

  protected apply(): void {}
}

class Other extends Resource {
  override readonly name = 'other';
}

describe('WatchedEvacuations', () => {
  /** Answers with the given revisions and changes in order. */
  class Entries extends fleetStore.Watchable<evacuationTable.EntryChange[]> {
    constructor(private readonly answers: [number, string?][]) {
      super();
    }

    read(): Promise<fleetStore.ReadResult<evacuationTable.EntryChange[]>> {
      const [revision, name] = this.answers.shift()!;
      const change = { domain: ids.domainName(name ?? ''), isEvacuated: true };
      const value = name === undefined ? [] : [change];
      return Promise.resolve({ cursor: fixtures.positionOf(revision), value });
    }

    watch = () => this.read();
  }

  // A watch ended late, after a read on a new connection, and its changes were applied to the newer entries.
  // One that had lost its history answered with nothing, and its position outranked the next list.
  it('applies changes to the entries from which the watch began, and no position without them', async () => {
    const table = fixtures.evacuations();
    const { signal } = new AbortController();
    const source = new Entries([[40, 'd1'], [50], [45, 'd2'], [60], [55, 'd3'], [70, 'd4']]);
    const watched = new storeWatcher.WatchedEvacuations(source, table);
    const domains = () => table.shared()!.domains.join();
    const first = await watched.read(signal, 'any');
    await watched.read(signal, 'new');
    await watched.watch(first, 1, signal);
    assert.equal(domains(), '');
    const silent = await watched.watch(first, 1, signal);
    await watched.read(signal, 'any');
    assert.equal(domains(), 'd3');
    await watched.watch(silent, 1, signal);
    assert.equal(domains(), 'd1,d4');
  });
});

describe('StoreWatcher', { timeout: 20_000 }, () => {
  const first = fixtures.member('a');
  const second = fixtures.member('b');
  const third = fixtures.member('c');
  let now: number;
  let candidates: members.Member[];
  let watchers: storeWatcher.StoreWatcher[];

  beforeEach(() => {
    now = 10_000;
    candidates = [first, second, third];
    watchers = [];
  });

  afterEach(() => {
    for (const watcher of watchers) watcher.stop();
  });

  function createWatcher(self: members.Member, store: SwitchableStore): storeWatcher.StoreWatcher {
    const watcher = new storeWatcher.StoreWatcher([new Resource(store)], {
      table: new members.MemberTable(self),
      watcherCandidates: () => candidates,
      dropConnections: () => undefined,
      log: fixtures.silentLog(),
      nowMs: () => now,
    });
    watchers.push(watcher);
    return watcher;
  }

  /** Passes time in which a node with contact to the store sends beacons to the other. */
  function passTime(
    sender: storeWatcher.StoreWatcher,
    node: ids.NodeId,
    receiver: storeWatcher.StoreWatcher,
  ): void {
    for (const endMs = now + TAKEOVER_MS; now < endMs; now += storeWatcher.BEACON_INTERVAL_MS) {
      if (sender.hasStoreContact) receiver.recordBeacon(node);
      receiver.updateRole();
    }
  }

  // A node whose calls the store turned away went on sending beacons for 6 s, so no other node of its
  // failure domain watched, and new routes answered 404 there.
  it('lets the next node watch when the calls of the watching node fail', async () => {
    const store = new SwitchableStore();
    const watching = createWatcher(first, store);
    const storeOfNext = new SwitchableStore();
    const next = createWatcher(second, storeOfNext);
    watching.updateRole();
    await loopback.until(() => watching.hasStoreContact);
    passTime(watching, first.node, next);
    assert.equal(storeOfNext.calls, 0);
    store.turnAway();
    const { calls } = store;
    await loopback.until(() => store.calls >= calls + FAILED_CALLS);
    passTime(watching, first.node, next);
    assert.ok(storeOfNext.calls > 0);
  });

  // Each node ahead was granted a full second in its turn, so two nodes ahead took the whole time in which a
  // configuration must be in force.
  it('takes over in time from a node that has stopped, past one that cannot watch', () => {
    const store = new SwitchableStore();
    const watcher = createWatcher(third, store);
    watcher.recordBeacon(first.node);
    for (const calmEndMs = now + 5_000; now < calmEndMs; now += REVIEW_INTERVAL_MS) {
      watcher.recordBeacon(first.node);
      watcher.updateRole();
    }
    const lastBeaconMs = now - REVIEW_INTERVAL_MS;
    while (store.calls === 0 && now - lastBeaconMs < 10_000) {
      now += REVIEW_INTERVAL_MS;
      watcher.updateRole();
    }
    assert.ok(now - lastBeaconMs <= MAX_TAKEOVER_MS, `${now - lastBeaconMs} ms`);
  });

  // A node that had just joined and ranked first made the watching node stop before it had read the store.
  it('goes on watching until the node ahead has contact to the store', async () => {
    const store = new SwitchableStore();
    const watching = createWatcher(second, store);
    watching.recordBeacon(first.node);
    now += TAKEOVER_MS;
    watching.updateRole();
    now += TAKEOVER_MS;
    watching.updateRole();
    await loopback.until(() => watching.hasStoreContact);
    const joining = fixtures.member('a2');
    candidates = [joining, first, second, third];
    watching.updateRole();
    assert.equal(watching.hasStoreContact, true);
    watching.recordBeacon(joining.node);
    watching.updateRole();
    assert.equal(watching.hasStoreContact, false);
  });

  // A watch that outlived a restore of the store waited for changes after a revision of the lost history.
  it('reads the resources again in full on request, without waiting for the watch', async () => {
    const store = new SwitchableStore();
    const watching = createWatcher(first, store);
    watching.updateRole();
    await loopback.until(() => store.calls === 2);
    watching.readAgain();
    await loopback.until(() => store.reads === 2);
    assert.equal(watching.hasStoreContact, true);
  });

  it('reads nothing again while another node watches', () => {
    const store = new SwitchableStore();
    createWatcher(second, store).readAgain();
    assert.equal(store.calls, 0);
  });

  it('reports contact to the store at once', async () => {
    const watching = createWatcher(first, new SwitchableStore());
    let contacts = 0;
    watching.onContact(() => {
      contacts += 1;
    });
    watching.updateRole();
    await loopback.until(() => watching.hasStoreContact);
    assert.equal(contacts, 1);
  });

  describe('with connections that go silent', () => {
    /** Time within which a configuration must be in force after a silence, less the time to forward it. */
    const MAX_SILENCE_MS = 3_000 - 200;
    /** Moments of a whole period of the watches. */
    const MOMENTS_MS = [0, 700, 1_400, 2_100, 2_800, 3_500, 4_200, 4_900];

    function watchSilent(store: SilentStore): storeWatcher.StoreWatcher {
      const watcher = new storeWatcher.StoreWatcher([new Resource(store), new Other(store)], {
        table: new members.MemberTable(first),
        watcherCandidates: () => candidates,
        dropConnections: () => store.drop(),
        log: fixtures.silentLog(),
        nowMs: () => performance.now(),
      });
      watchers.push(watcher);
      watcher.updateRole();
      return watcher;
    }

    async function silenceNoticedAfterMs(atMs: number): Promise<number> {
      const store = new SilentStore();
      watchSilent(store);
      await timers.setTimeout(atMs);
      store.isSilent = true;
      const silentMs = performance.now();
      await loopback.until(() => store.dropped > 0);
      return store.readsMs.find((readMs) => readMs > silentMs)! - silentMs;
    }

    // Silence was noticed after the longest wait of a watch and a time-out.
    it('reads again in time, whenever the silence begins', async () => {
      const delaysMs = await Promise.all(MOMENTS_MS.map(silenceNoticedAfterMs));
      assert.ok(Math.max(...delaysMs) <= MAX_SILENCE_MS, delaysMs.join(', '));
    });

    // Otherwise a store that is slow would cost the contact to it.
    it('keeps the connections and the contact if the check fails', async () => {
      const store = new SilentStore();
      const watcher = watchSilent(store);
      await loopback.until(() => watcher.hasStoreContact);
      const reads = store.readsMs.length;
      store.isSilent = true;
      store.isReachable = false;
      await loopback.until(() => store.readsMs.length > reads);
      await timers.setTimeout(100);
      assert.equal(store.dropped, 0);
      assert.equal(watcher.hasStoreContact, true);
    });
  });

  it('keeps watching after a single failed call', async () => {
    const store = new SwitchableStore();
    const watching = createWatcher(first, store);
    watching.updateRole();
    await loopback.until(() => watching.hasStoreContact);
    store.turnAway();
    store.accepting = true;
    const { calls } = store;
    await loopback.until(() => store.calls > calls && watching.hasStoreContact);
  });
});
