import * as assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as wait from '../../harness/wait.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Time from an answer that says that the server leaves until no request may reach it. */
const DRAIN_PERIOD_MS = 2_000;
const CALL_INTERVAL_MS = 8;
/** Time for which calls are made before the test looks again. */
const WAIT_CALLS_MS = 100;
/** Least share of the requests that a server without a limit gets, with three equal servers. */
const MIN_SHARE = 0.2;
const STATED_LIMIT = 17.5;

const configuration = fixtures.configurationOf(1, {
  'r-view': fixtures.route('/view/', { target_latency_ms: 300, priority: 2, max_attempts: 2 }),
});

/** Largest number of times in any span of `COUNTED_MS` that begins at `fromMs` or later. */
function mostInSpan(timesMs: readonly number[], fromMs: number): number {
  const counted = timesMs.filter((atMs) => atMs >= fromMs);
  return counted.reduce((most, startMs) => {
    const inSpan = counted.filter(
      (atMs) => atMs >= startMs && atMs < startMs + fixtures.COUNTED_MS,
    );
    return Math.max(most, inSpan.length);
  }, 0);
}

describe('what servers state in their answers', { timeout: 60_000 }, () => {
  const store = new objectStore.ObjectStoreStandIn();
  const storeAddress = store.start();
  const hosts: fleet.Host[] = [];
  /** Monotonic times at which requests reached the first server. */
  const arrivalsMs: number[] = [];
  let first: fleet.Host;

  before(async () => {
    const address = await storeAddress;
    store.write('config', 'main', configuration);
    const zones = ['z-a', 'z-b', 'z-a'];
    hosts.push(
      ...(await Promise.all(
        zones.map((zone, i) => fleet.startHost(address, { name: `s-${i}`, service: 'shop', zone })),
      )),
    );
    [first] = hosts as [fleet.Host];
    first.app.handler = (_req, res) => {
      arrivalsMs.push(performance.now());
      res.end('served');
    };
    await wait.waitFor('each node serves', async () => {
      const answers = await Promise.all(hosts.map((host) => fleet.call(host, '/view/a')));
      return answers.every(({ status }) => status === 200) && arrivalsMs.length > 0;
    });
  });

  after(async () => {
    await Promise.all(hosts.map((host) => host.stop()));
    store.stop();
  });

  /** Calls all nodes in turn for `ms`. @returns the answers */
  async function callAll(ms: number): Promise<fleet.CallerAnswer[]> {
    const pending: Promise<fleet.CallerAnswer>[] = [];
    const endMs = performance.now() + ms;
    for (let i = 0; performance.now() < endMs; i += 1) {
      pending.push(fleet.call(hosts[i % hosts.length]!, '/view/b'));
      await timers.setTimeout(CALL_INTERVAL_MS);
    }
    return Promise.all(pending);
  }

  // A server that stated a limit got more than twice as many requests, since nothing read it.
  it('keeps the requests of a server within its limit, and serves the rest elsewhere', async () => {
    first.app.statedLimit = String(STATED_LIMIT);
    const statedMs = performance.now();
    const answers = await callAll(fixtures.STABLE_WINDOW_MS + fixtures.COUNTED_MS + 500);
    const most = mostInSpan(arrivalsMs, statedMs + fixtures.STABLE_WINDOW_MS);
    const allowed = fixtures.mostWithinLimit((STATED_LIMIT * fixtures.COUNTED_MS) / 1_000);
    assert.ok(most <= allowed, `${most} requests, ${allowed} allowed`);
    assert.ok(most > 0, 'a limited server still serves');
    assert.ok(answers.every(({ status }) => status === 200));
  });

  it('sends its part of the requests again once the server no longer names a limit', async () => {
    first.app.statedLimit = null;
    const arrived = arrivalsMs.length;
    await wait.waitFor('the server gets a request', async () => {
      await callAll(WAIT_CALLS_MS);
      return arrivalsMs.length > arrived;
    });
    assert.equal(first.mesh.upstream.limitPerSecond, null);
    await wait.waitFor(`the server gets a share of ${MIN_SHARE}`, async () => {
      const earlier = arrivalsMs.length;
      const answers = await callAll(1_000);
      return (arrivalsMs.length - earlier) / answers.length >= MIN_SHARE;
    });
  });

  // A server that said only in its answers that it leaves got requests until it ended.
  it('sends no request to a server that has said in an answer that it leaves', async () => {
    first.app.saysLeaving = true;
    await callAll(500);
    const lastAllowedMs = performance.now() + DRAIN_PERIOD_MS;
    const answers = await callAll(DRAIN_PERIOD_MS + 1_000);
    assert.ok(arrivalsMs.every((atMs) => atMs <= lastAllowedMs));
    assert.ok(answers.every(({ status }) => status === 200));
  });
});
