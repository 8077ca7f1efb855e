import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as random from '../../common/random.js';
import * as wait from '../../harness/wait.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Seeds played; more by hand, with STORM_SEEDS=50. */
const SEEDS = fixtures.seedsOf('STORM', 2);
const ZONES = ['z-a', 'z-b'];
const HOSTS_PER_ZONE = 3;
const STORM_MS = 9_000;
/** Versions come at intervals between these, shorter than the delay of requests to other domains. */
const MIN_INTERVAL_MS = 200;
const MAX_INTERVAL_MS = 300;
const FAULTS: objectStore.Fault[] = ['busy', 'reset', 'silent'];
const PAUSE_MS = 700;

interface StormHost {
  host: fleet.Host;
  gate: objectStore.StoreGate;
  /** Monotonic time from which the store has served this node without a fault; Infinity during one. */
  servedSinceMs: number;
}

/** Plays one storm. @returns what was not served in time */
async function playStorm(seed: number): Promise<string[]> {
  const rng = new random.Random(seed);
  const store = new objectStore.ObjectStoreStandIn();
  await store.start();
  store.write('config', 'main', fixtures.versionWithRoutes(1));
  const hosts: StormHost[] = [];
  for (const zone of ZONES) {
    for (let i = 0; i < HOSTS_PER_ZONE; i += 1) {
      const gate = await store.openGate();
      const name = `${zone}-${i}-${seed}`;
      const host = await fleet.startHost(gate.address, { name, service: 'shop', zone });
      hosts.push({ host, gate, servedSinceMs: performance.now() });
    }
  }
  const serves = async ({ host }: StormHost, version: number) => {
    const { status } = await fleet.call(host, fixtures.pathOfVersion(version));
    return status !== 404;
  };
  await wait.waitFor('each node serves', async () => {
    const served = await Promise.all(hosts.map((each) => serves(each, 1)));
    return served.every(Boolean);
  });

  const missed: string[] = [];
  const checks: Promise<void>[] = [];
  const endMs = performance.now() + STORM_MS;
  const checkLater = async (version: number) => {
    await timers.setTimeout(fixtures.CONFIG_APPLY_MS);
    const now = performance.now();
    const inTouch = hosts.filter(
      ({ servedSinceMs }) => now - servedSinceMs > fixtures.STABLE_WINDOW_MS,
    );
    await Promise.all(
      inTouch.map(async (each) => {
        if (!(await serves(each, version))) missed.push(`${each.host.name} version ${version}`);
      }),
    );
  };

  /** Turns one or two nodes of a zone away, then serves them again. */
  const disturb = async () => {
    while (performance.now() < endMs) {
      const zone = rng.pick(ZONES);
      const count = rng.integer(1, HOSTS_PER_ZONE - 1);
      const ofZone = hosts.filter(({ host }) => host.name.startsWith(zone));
      for (let i = 0; i < count; i += 1) {
        const turnedAway = ofZone[(i + rng.integer(0, HOSTS_PER_ZONE - 1)) % HOSTS_PER_ZONE]!;
        turnedAway.servedSinceMs = Infinity;
        turnedAway.gate.setFault(rng.pick(FAULTS));
      }
      await timers.setTimeout(rng.integer(2_000, 5_000));
      for (const each of ofZone) {
        each.gate.setFault('none');
        if (each.servedSinceMs === Infinity) each.servedSinceMs = performance.now();
      }
      await timers.setTimeout(PAUSE_MS);
    }
  };
  const disturbing = disturb();
  for (let version = 2; performance.now() < endMs; version += 1) {
    store.write('config', 'main', fixtures.versionWithRoutes(version));
    checks.push(checkLater(version));
    await timers.setTimeout(rng.integer(MIN_INTERVAL_MS, MAX_INTERVAL_MS));
  }
  await Promise.all([disturbing, ...checks]);
  await Promise.all(hosts.map(({ host }) => host.stop()));
  store.stop();
  return missed;
}

describe('a storm of configurations', { timeout: 60_000 * SEEDS.length }, () => {
  // A failure domain whose watching node the store turned away answered 404 for new routes until the
  // storm ended.
  for (const seed of SEEDS) {
    it(`is in force in time on every node in touch, seed ${seed}`, async () => {
      assert.deepEqual(await playStorm(seed), []);
    });
  }
});
