import * as assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { failures } from '@godwittrack/core';
import { httpObjectStore } from '@godwittrack/platform';
import got from 'got';
import * as clients from '../../harness/clients.js';
import * as platforms from '../server.js';
import * as buckets from '../tokenBucket.js';

describe('platform stand-in', () => {
  let platform: platforms.Platform;
  let store: httpObjectStore.HttpObjectStore;
  let control: clients.PlatformControl;

  beforeEach(async () => {
    platform = await platforms.createPlatform({ historyLength: 50 });
    store = new httpObjectStore.HttpObjectStore({ url: `http://${platform.address}` });
    control = new clients.PlatformControl(`http://${platform.controlAddress}`);
  });

  afterEach(() => platform.close());

  it('lets exactly one of several racing conditional updates through', async () => {
    const version = await store.put('manifest', 'current', { n: 0 }, { type: 'absent' });
    const attempts = await Promise.allSettled(
      [1, 2, 3, 4, 5].map((n) =>
        store.put('manifest', 'current', { n }, { type: 'version', version }),
      ),
    );
    assert.equal(attempts.filter(({ status }) => status === 'fulfilled').length, 1);
    for (const attempt of attempts) {
      if (attempt.status === 'rejected') assert.ok(failures.is(attempt.reason, 'objectConflict'));
    }
    await assert.rejects(store.put('manifest', 'current', {}, { type: 'absent' }), (err) =>
      failures.is(err, 'objectConflict'),
    );
  });

  it('keeps names that need URL encoding, and refuses a conditional delete of an old version', async () => {
    const name = 'a/b c%.é';
    const version = await store.put('rollout', name, 1, { type: 'none' });
    assert.deepEqual((await store.list('rollout')).items, [
      { kind: 'rollout', name, version, value: 1 },
    ]);
    await store.put('rollout', name, 2, { type: 'version', version });
    await assert.rejects(store.delete('rollout', name, { type: 'version', version }));
    assert.equal((await store.get('rollout', name))?.value, 2);
    await store.delete('rollout', name, { type: 'none' });
    assert.equal(await store.get('rollout', name), null);
  });

  it('applies a write whose answer is lost, and only as many as asked for', async () => {
    await control.change({ loseAnswers: { probability: 1, kinds: ['body'], count: 1 } });
    await store.put('lease', 'controller', {}, { type: 'absent' });
    await assert.rejects(store.put('body', 'x', 'kept', { type: 'absent' }), (err) =>
      failures.is(err, 'platformOutcomeUnknown'),
    );
    assert.equal((await store.get('body', 'x'))?.value, 'kept');
    await store.put('body', 'y', 1, { type: 'absent' });
    assert.equal((await control.stats()).answersLost, 1);
  });

  it('shows a watcher every write in order while writes race with its polls', async () => {
    const total = 60;
    const seen: number[] = [];
    const watching = (async () => {
      for (let since = 0; seen.length < total;) {
        const batch = await store.watch(['body'], since, 5_000);
        batch.events.forEach((event) => seen.push(event.version));
        since = batch.version;
      }
    })();
    const write = (n: number) => store.put('body', `${n}`, n, { type: 'absent' });
    for (let n = 0; n < total; n += 4) {
      await Promise.all([n, n + 1, n + 2, n + 3].map(write));
    }
    await watching;
    const expected = (await store.list('body')).items.map((object) => object.version);
    assert.deepEqual(seen, expected);
  });

  it('answers 410 once the history since the version is gone, so that a gap is noticed', async () => {
    for (let n = 0; n < 51; n++) await store.put('body', `${n}`, n, { type: 'none' });
    await assert.rejects(store.watch(['body'], 0, 0), (err) => failures.is(err, 'watchExpired'));
    assert.equal((await store.watch(['body'], 1, 0)).events.length, 50);
  });

  it('answers an idle watch with no events and the current version', async () => {
    const version = await store.put('lease', 'controller', {}, { type: 'none' });
    assert.deepEqual(await store.watch(['body'], 0, 20), { version, events: [] });
  });

  it('refuses writes and reads over their rates without any effect', async () => {
    await control.change({ writesPerSecond: 2, readsPerSecond: 3 });
    const names = [...Array(30).keys()].map(String);
    const writes = await Promise.allSettled(
      names.map((name) => store.put('body', name, 1, { type: 'none' })),
    );
    const refused = writes.flatMap((write) => (write.status === 'rejected' ? [write.reason] : []));
    assert.ok(refused.length > 0);
    assert.ok(refused.every((err) => failures.is(err, 'platformOverloaded')));
    const reads = await Promise.allSettled(names.map(() => store.list('body')));
    const stats = await control.stats();
    assert.equal(stats.objects, names.length - refused.length);
    assert.equal(stats.rejectedByRate.writes, refused.length);
    assert.equal(
      stats.rejectedByRate.reads,
      reads.filter(({ status }) => status === 'rejected').length,
    );
    assert.equal(stats.calls.put?.body, names.length);
  });

  it('refuses values over 1 MB and keeps the connection usable', async () => {
    const url = `http://${platform.address}/v1/objects/body/big`;
    const json = { value: 'x'.repeat(1024 * 1024) };
    const res = await got.put(url, { json, throwHttpErrors: false, retry: { limit: 0 } });
    assert.equal(res.statusCode, 413);
    await store.put('body', 'big', 'x'.repeat(1024 * 1024 - 2), { type: 'absent' });
  });

  it('answers nothing during an outage and keeps the objects', async () => {
    await store.put('body', 'x', 1, { type: 'absent' });
    const waiting = assert.rejects(store.watch(['body'], 1, 10_000));
    while ((await control.stats()).watching === 0) await store.get('body', 'x');
    await control.change({ outage: true });
    await waiting;
    await assert.rejects(store.get('body', 'x'), (err) => failures.is(err, 'platformUnavailable'));
    await control.change({ outage: false });
    assert.equal((await store.get('body', 'x'))?.value, 1);
  });

  it('applies a held write once writes are no longer frozen, even if its caller timed out', async () => {
    const url = `http://${platform.address}`;
    const shortTimeoutStore = new httpObjectStore.HttpObjectStore({ url, timeoutMs: 50 });
    await control.change({ freezeWrites: true });
    await assert.rejects(shortTimeoutStore.put('body', 'late', 1, { type: 'absent' }), (err) =>
      failures.is(err, 'platformOutcomeUnknown'),
    );
    assert.equal(await store.get('body', 'late'), null);
    await control.change({ freezeWrites: false });
    assert.equal((await store.watch(['body'], 0, 5_000)).events[0]?.name, 'late');
  });

  it('refuses an unknown fault, so that no test passes because of a misspelt one', async () => {
    await assert.rejects(control.change({ outtage: true } as never));
  });
});

describe('token bucket', () => {
  it('refills at its rate and holds at most one second of calls', () => {
    let nowMs = 0;
    const bucket = new buckets.TokenBucket(10, () => nowMs);
    const takeAll = () => [...Array(50).keys()].filter(() => bucket.take()).length;
    assert.equal(takeAll(), 10);
    nowMs = 500;
    assert.equal(takeAll(), 5);
    nowMs = 60_000;
    assert.equal(takeAll(), 10);
  });
});
