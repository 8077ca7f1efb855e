import * as assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { failures, type ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as members from '../../membership/members.js';
import * as fleetStore from '../fleetStore.js';
import * as storeWatcher from '../storeWatcher.js';

/** Longer than a node waits for the beacons of the watching node. */
const TAKEOVER_MS = 1_300;
/** Calls that are seen to fail before a test goes on. */
const FAILED_CALLS = 3;

/** A store that answers reads, and watches only while it accepts calls. */
class SwitchableStore extends fleetStore.Watchable<number> {
  accepting = true;

  calls = 0;

  private fail: ((err: Error) => void) | null = null;

  read(): Promise<fleetStore.ReadResult<number>> {
    this.calls += 1;
    return this.accepting
      ? Promise.resolve({ cursor: 1, value: 1 })
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

class Resource extends storeWatcher.WatchedResource<number> {
  readonly name = 'resource';

  protected readonly watchTimeoutMs = 4_000;

  protected apply(): void {}
}

describe('StoreWatcher', { timeout: 20_000 }, () => {
  const first = fixtures.member('a');
  const second = fixtures.member('b');
  let now: number;
  let watchers: storeWatcher.StoreWatcher[];

  beforeEach(() => {
    now = 10_000;
    watchers = [];
  });

  afterEach(() => {
    for (const watcher of watchers) watcher.stop();
  });

  function createWatcher(self: members.Member, store: SwitchableStore): storeWatcher.StoreWatcher {
    const watcher = new storeWatcher.StoreWatcher([new Resource(store)], {
      table: new members.MemberTable(self),
      watcherCandidates: () => [first, second],
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
