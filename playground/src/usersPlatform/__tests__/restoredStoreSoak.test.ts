import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as random from '../../common/random.js';
import * as wait from '../../harness/wait.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Seeds played; more by hand, with STORE_SEEDS=50. */
const SEEDS = fixtures.seedsOf('STORE', 2);
const ZONES = ['z-a', 'z-b'];
const INITIAL_HOSTS_PER_ZONE = 2;
const RUN_MS = 10_000;
const MIN_CHANGE_INTERVAL_MS = 200;
const MAX_CHANGE_INTERVAL_MS = 900;
const MIN_CALM_MS = 300;
const MAX_CALM_MS = 3_000;
const MAX_COPY_AGE_MS = 5_000;
const MAX_AWAY_MS = 900;
const MAX_REWRITE_AFTER_MS = 1_200;
const CALL_INTERVAL_MS = 10;
/** Longest wait of one watch for the configuration, after which a watch that survived ends. */
const CONFIG_WATCH_MS = 4_000;
const BAD_CHANCE = 0.5;
const ORDER_DURATION_S = 4;
/** Time after the last restore in which all that the system keeps in the store is there again. */
const SETTLED_MS = 15_000;

interface SoakHost {
  host: fleet.Host;
  startedMs: number;
}

/** One run of a fleet whose store is restored at random moments. */
class Soak {
  private readonly rng: random.Random;

  private readonly store = new objectStore.ObjectStoreStandIn();

  private readonly hosts: SoakHost[] = [];

  private readonly stops: Promise<void>[] = [];

  private readonly faults: string[] = [];

  private readonly checks: Promise<void>[] = [];

  private address = '';

  private version = 0;

  private started = 0;

  /** While the operator writes again what was lost. */
  private isRewriting = false;

  /** Time from which the store is calm, as far as it is known. */
  private calmFromMs = 0;

  private restores = 0;

  private endMs = 0;

  constructor(private readonly seed: number) {
    this.rng = new random.Random(seed);
  }

  /** @returns what went wrong */
  async play(): Promise<string[]> {
    this.address = await this.store.start();
    this.writeVersion();
    for (const zone of ZONES) {
      for (let i = 0; i < INITIAL_HOSTS_PER_ZONE; i += 1) await this.startHost(zone);
    }
    await wait.waitFor('each node serves', () => this.allServe(1));
    this.endMs = performance.now() + RUN_MS;
    const isBad = this.rng.chance(BAD_CHANCE);
    await Promise.all([
      this.changeConfiguration(),
      this.restoreStore(),
      this.changeHosts(),
      this.rollOut(isBad),
      this.sendRequests(),
    ]);
    await this.settle(isBad ? 'rolled_back' : 'completed');
    await Promise.all(this.checks);
    await Promise.all([...this.stops, ...this.hosts.map(({ host }) => host.stop())]);
    this.store.stop();
    return this.faults;
  }

  private async startHost(zone: string, version = 'v1'): Promise<fleet.Host> {
    this.started += 1;
    const name = `${zone}-${this.started}-${this.seed}`;
    const options = { name, service: 'shop', zone, version };
    const host = await fleet.startHost(this.address, options);
    host.app.handler = fixtures.answerSteadily;
    this.hosts.push({ host, startedMs: performance.now() });
    return host;
  }

  private writeVersion(): void {
    this.version += 1;
    this.store.write('config', 'main', fixtures.versionWithRoutes(this.version, Infinity));
    this.checks.push(this.checkLater(this.version, this.restores, performance.now()));
  }

  /** Checks that a version is in force in time, unless the store is restored meanwhile. */
  private async checkLater(version: number, restores: number, ackMs: number): Promise<void> {
    const dueMs = Math.max(ackMs, this.calmFromMs) + fixtures.CONFIG_APPLY_MS;
    await timers.setTimeout(dueMs - performance.now());
    if (restores !== this.restores) return;
    const now = performance.now();
    const settled = this.hosts.filter(
      ({ startedMs }) => now - startedMs > fixtures.STABLE_WINDOW_MS,
    );
    await Promise.all(
      settled.map(async ({ host }) => {
        if (!(await Soak.serves(host, version))) this.faults.push(`${host.name}: no v${version}`);
      }),
    );
  }

  private static async serves(host: fleet.Host, version: number): Promise<boolean> {
    const { status } = await fleet.call(host, fixtures.pathOfVersion(version));
    return status !== 404;
  }

  private async allServe(version: number): Promise<boolean> {
    const served = await Promise.all(this.hosts.map(({ host }) => Soak.serves(host, version)));
    return served.every(Boolean);
  }

  private get isRunning(): boolean {
    return performance.now() < this.endMs;
  }

  private async changeConfiguration(): Promise<void> {
    while (this.isRunning) {
      await timers.setTimeout(this.rng.integer(MIN_CHANGE_INTERVAL_MS, MAX_CHANGE_INTERVAL_MS));
      if (!this.isRewriting) this.writeVersion();
    }
  }

  private async restoreStore(): Promise<void> {
    while (this.isRunning) {
      await timers.setTimeout(this.rng.integer(MIN_CALM_MS, MAX_CALM_MS));
      const waitingWatches = this.rng.pick(['cut', 'kept'] as const);
      this.isRewriting = true;
      this.restores += 1;
      const lost = await this.store.restore({
        copiedMs: performance.now() - this.rng.integer(0, MAX_COPY_AGE_MS),
        awayMs: this.rng.integer(0, MAX_AWAY_MS),
        waitingWatches,
      });
      const backMs = performance.now();
      this.calmFromMs = backMs + (waitingWatches === 'kept' ? CONFIG_WATCH_MS : 0);
      await timers.setTimeout(this.rng.integer(0, MAX_REWRITE_AFTER_MS));
      for (const { kind, name, spec } of lost) this.store.write(kind, name, spec);
      this.isRewriting = false;
    }
  }

  /** Starts nodes and stops those that have been started for that, one or two at a time. */
  private async changeHosts(): Promise<void> {
    while (this.isRunning) {
      const count = this.rng.integer(1, 2);
      const zones = Array.from({ length: count }, () => this.rng.pick(ZONES));
      const hosts = await Promise.all(zones.map((zone) => this.startHost(zone)));
      await timers.setTimeout(this.rng.integer(200, 3_000));
      for (const host of hosts) {
        const at = this.hosts.findIndex((each) => each.host === host);
        if (this.rng.chance(0.7)) {
          this.hosts.splice(at, 1);
          this.stops.push(host.stop());
        }
      }
    }
  }

  private async rollOut(isBad: boolean): Promise<void> {
    await timers.setTimeout(this.rng.integer(0, 3_000));
    const order = { service: 'shop', target_version: 'v2', duration_s: ORDER_DURATION_S };
    this.store.write('rollouts', 'shop', order);
    const host = await this.startHost(this.rng.pick(ZONES), 'v2');
    if (!isBad) return;
    host.app.handler = (_req, res) => {
      res.writeHead(500);
      res.end('bad');
    };
    let seen = Infinity;
    while (this.isRunning) {
      await timers.setTimeout(CALL_INTERVAL_MS);
      if (seen === Infinity && this.recordedState() === 'rolled_back') {
        await timers.setTimeout(fixtures.CONFIG_APPLY_MS);
        seen = host.app.received.length;
      }
    }
    const late = host.app.received.length - seen;
    if (late > 0) this.faults.push(`${late} requests reached the version that was rolled back`);
  }

  private recordedState(): string | undefined {
    return (this.store.read('rollouts', 'shop')?.status as { state: string } | null)?.state;
  }

  /** Requests for the first route, which every configuration has. */
  private async sendRequests(): Promise<void> {
    while (this.isRunning) {
      await timers.setTimeout(CALL_INTERVAL_MS);
      const [first] = this.hosts;
      const { status } = await fleet.call(first!.host, fixtures.pathOfVersion(1));
      if (status === 404) this.faults.push('the first route was not served');
    }
  }

  /** Waits until the store holds again all that was written there, and the newest version is in force. */
  private async settle(verdict: string): Promise<void> {
    const expect = async (what: string, condition: () => boolean | Promise<boolean>) => {
      try {
        await wait.waitFor(what, condition, SETTLED_MS);
      } catch (err) {
        this.faults.push(String(err));
      }
    };
    await expect('the newest version is served', () => this.allServe(this.version));
    await expect('the entries of the nodes are back', () =>
      this.hosts.every(({ host }) => this.store.read('godwittrack-nodes', host.name) !== undefined),
    );
    await expect(`the rollout is ${verdict}`, async () => {
      await fleet.call(this.hosts[0]!.host, fixtures.pathOfVersion(1));
      return this.recordedState() === verdict;
    });
  }
}

describe('a store that is restored again and again', { timeout: 60_000 * SEEDS.length }, () => {
  // New routes were not served, orders were held, and verdicts and entries of nodes were missing for good.
  for (const seed of SEEDS) {
    it(`loses nothing that is written again, seed ${seed}`, async () => {
      assert.deepEqual(await new Soak(seed).play(), []);
    });
  }
});
