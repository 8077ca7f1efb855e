import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as random from '../../common/random.js';
import * as wait from '../../harness/wait.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Seeds played; more by hand, with LIMIT_SEEDS=50. */
const SEEDS = fixtures.seedsOf('LIMIT', 1);
const SERVERS = 3;
const RUN_MS = 16_000;
const CALL_INTERVAL_MS = 6;
const MIN_LIMIT = 4;
const MAX_LIMIT = 40;
/** Time after which a server states another limit, takes it back, or starts again. */
const MIN_PHASE_MS = 800;
const MAX_PHASE_MS = 6_000;
const TAKE_BACK_CHANCE = 0.1;
const RESTART_CHANCE = 0.15;

/** What a server stated from `fromMs` on; null for no limit. */
interface Statement {
  fromMs: number;
  perSecond: number | null;
}

const configuration = fixtures.configurationOf(1, {
  'r-view': fixtures.route('/view/', { target_latency_ms: 300 }),
});

/** Requests that the statements allow between two times; Infinity if a part of the span has no limit. */
function allowedBetween(statements: readonly Statement[], startMs: number, endMs: number): number {
  let allowed = 0;
  for (const [i, { fromMs, perSecond }] of statements.entries()) {
    const untilMs = statements[i + 1]?.fromMs ?? Infinity;
    const spanMs = Math.min(endMs, untilMs) - Math.max(startMs, fromMs);
    if (spanMs > 0) allowed += perSecond === null ? Infinity : (perSecond * spanMs) / 1_000;
  }
  return allowed;
}

/** Spans in which a server got more than it had stated. */
function findExcess(statements: readonly Statement[], arrivalsMs: readonly number[]): string[] {
  return arrivalsMs.flatMap((startMs) => {
    const endMs = startMs + fixtures.COUNTED_MS;
    const stated = allowedBetween(statements, startMs - fixtures.STABLE_WINDOW_MS, endMs);
    if (stated === Infinity) return [];
    const allowed = fixtures.mostWithinLimit(allowedBetween(statements, startMs, endMs));
    const arrived = arrivalsMs.filter((atMs) => atMs >= startMs && atMs < endMs).length;
    return arrived > allowed ? [`${arrived} requests, ${allowed} allowed`] : [];
  });
}

async function playLimits(seed: number): Promise<{ excess: string[]; counted: number }> {
  const rng = new random.Random(seed);
  const store = new objectStore.ObjectStoreStandIn();
  const address = await store.start();
  store.write('config', 'main', configuration);
  const hosts: fleet.Host[] = [];
  for (let i = 0; i < SERVERS; i += 1) {
    hosts.push(await fleet.startHost(address, { name: `l-${seed}-${i}`, service: 'shop' }));
  }
  await wait.waitFor('each node serves', async () => {
    const answers = await Promise.all(hosts.map((host) => fleet.call(host, '/view/')));
    return answers.every(({ status }) => status === 200);
  });
  const endMs = performance.now() + RUN_MS;
  const statements = hosts.map((): Statement[] => []);
  const arrivalsMs = hosts.map((): number[] => []);

  const changeLimits = async (i: number) => {
    const { app, controlAddress } = hosts[i]!;
    while (performance.now() < endMs) {
      const perSecond = rng.chance(TAKE_BACK_CHANCE)
        ? null
        : rng.integer(MIN_LIMIT * 10, MAX_LIMIT * 10) / 10;
      app.statedLimit = perSecond === null ? null : String(perSecond);
      statements[i]!.push({ fromMs: performance.now(), perSecond });
      await timers.setTimeout(rng.integer(MIN_PHASE_MS, MAX_PHASE_MS));
      if (rng.chance(RESTART_CHANCE)) {
        app.instance = `${app.instance}+`;
        statements[i]!.push({ fromMs: performance.now(), perSecond: null });
        await app.announce(controlAddress);
      }
    }
  };
  for (const [i, { app }] of hosts.entries()) {
    app.handler = (_req, res) => {
      arrivalsMs[i]!.push(performance.now());
      res.end('served');
    };
  }
  const changes = hosts.map((_host, i) => changeLimits(i));
  const calls: Promise<fleet.CallerAnswer>[] = [];
  for (let n = 0; performance.now() < endMs; n += 1) {
    calls.push(fleet.call(hosts[n % SERVERS]!, '/view/'));
    await timers.setTimeout(CALL_INTERVAL_MS);
  }
  const answers = await Promise.all(calls);
  await Promise.all(changes);
  await Promise.all(hosts.map((host) => host.stop()));
  store.stop();
  assert.deepEqual(
    answers.map(({ status }) => status).filter((status) => status !== 200 && status !== 503),
    [],
  );
  const excess = hosts.flatMap((_host, i) => findExcess(statements[i]!, arrivalsMs[i]!));
  return { excess, counted: arrivalsMs.flat().length };
}

describe('limits that servers state', { timeout: 60_000 * SEEDS.length }, () => {
  // A server that stated a limit got as many requests as before.
  for (const seed of SEEDS) {
    it(`are kept while they change, are taken back and servers start again, seed ${seed}`, async () => {
      const { excess, counted } = await playLimits(seed);
      assert.deepEqual(excess, []);
      assert.ok(counted > 0);
    });
  }
});
