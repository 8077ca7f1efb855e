import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as random from '../../common/random.js';
import * as wait from '../../harness/wait.js';
import type * as application from '../application.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Seeds played; more by hand, with CRASH_SEEDS=50. */
const SEEDS = fixtures.seedsOf('CRASH', 2);
const ZONES = ['z-a', 'z-b'];
const HOSTS_PER_ZONE = 3;
const RUN_MS = 10_000;
const CALL_INTERVAL_MS = 10;
const DEADLY_SHARE = 0.06;
const START_PAGE_SHARE = 0.1;
const ORDER_SHARE = 0.2;
/** Time from the start of a deadly run until the server ends. */
const MAX_FUSE_MS = 60;
const MIN_AWAY_MS = 200;
const MAX_AWAY_MS = 1_500;
/** Chance that a server starts again under the id that it had. */
const SAME_ID_CHANCE = 0.3;
const MIN_CALM_MS = 1_000;
const MAX_CALM_MS = 4_000;
/** Most runs of a deadly request, from a stable window after the third server that it ended. */
const MAX_LATE_RUNS = 3;
/** Time after the last crash in which other requests are served again (`recovery_s`). */
const RECOVERY_MS = 15_000;
const START_PAGE = '/view/start';

interface DeadlyRequest {
  method: 'GET' | 'POST';
  path: string;
  body: string;
}

const DEADLY: readonly DeadlyRequest[] = [
  { method: 'GET', path: '/view/deadly?page=2', body: '' },
  { method: 'POST', path: '/order/', body: 'deadly' },
];

const configuration = fixtures.configurationOf(1, {
  'r-view': fixtures.route('/view/', { target_latency_ms: 300 }),
  'r-order': fixtures.route('/order/', { kind: 'unsafe', target_latency_ms: 300 }),
});

interface Run {
  id: string;
  atMs: number;
}

/** One run of a fleet that gets requests which end the servers that run them. */
class Soak {
  private readonly rng: random.Random;

  private readonly store = new objectStore.ObjectStoreStandIn();

  private readonly hosts: fleet.Host[] = [];

  private readonly stops: Promise<void>[] = [];

  private readonly restarts: Promise<void>[] = [];

  private readonly faults: string[] = [];

  /** Runs of each deadly request, and the ends of servers that it caused. */
  private readonly runs = DEADLY.map((): Run[] => []);

  private readonly endsMs = DEADLY.map((): number[] => []);

  private readonly ordersRun = new Set<string>();

  private address = '';

  private started = 0;

  private endMs = 0;

  constructor(private readonly seed: number) {
    this.rng = new random.Random(seed);
  }

  /** @returns what went wrong */
  async play(): Promise<string[]> {
    this.address = await this.store.start();
    this.store.write('config', 'main', configuration);
    for (const zone of ZONES) {
      for (let i = 0; i < HOSTS_PER_ZONE; i += 1) await this.startHost(zone);
    }
    await wait.waitFor('each node serves', () => this.allServe());
    this.endMs = performance.now() + RUN_MS;
    await Promise.all([this.sendRequests(), this.crashServers(), this.replaceHosts()]);
    await Promise.all(this.restarts);
    this.checkLateRuns();
    try {
      await wait.waitFor('the start page is served', () => this.allServe(), RECOVERY_MS);
    } catch (err) {
      this.faults.push(String(err));
    }
    await Promise.all([...this.stops, ...this.hosts.map((host) => host.stop())]);
    this.store.stop();
    return this.faults;
  }

  private async startHost(zone: string): Promise<void> {
    this.started += 1;
    const name = `${zone}-${this.started}-${this.seed}`;
    const host = await fleet.startHost(this.address, { name, service: 'shop', zone });
    host.app.handler = (req, res) => this.serve(host, req, res);
    this.hosts.push(host);
  }

  private async serve(
    host: fleet.Host,
    { id, target, body }: application.ReceivedRequest,
    res: Parameters<application.RequestHandler>[1],
  ): Promise<void> {
    const deadly = DEADLY.findIndex((each) => each.path === target && each.body === body);
    if (deadly < 0) {
      if (this.ordersRun.has(id)) this.faults.push(`${id} ran twice`);
      if (target === '/order/') this.ordersRun.add(id);
      await timers.setTimeout(this.rng.integer(5, 40));
      res.end('served');
      return;
    }
    this.runs[deadly]!.push({ id, atMs: performance.now() });
    const { bornMs } = host.app;
    await timers.setTimeout(this.rng.integer(0, MAX_FUSE_MS));
    if (host.app.bornMs !== bornMs || !host.app.isRunning) return;
    this.endsMs[deadly]!.push(performance.now());
    this.crash(host);
  }

  private crash(host: fleet.Host): void {
    const { app } = host;
    if (!app.isRunning) return;
    app.stop();
    const restart = async () => {
      await timers.setTimeout(this.rng.integer(MIN_AWAY_MS, MAX_AWAY_MS));
      if (!this.hosts.includes(host)) return;
      await app.restart(this.rng.chance(SAME_ID_CHANCE) ? app.instance : `${app.instance}+`);
      await app.announce(host.controlAddress);
    };
    this.restarts.push(restart());
  }

  private async sendRequests(): Promise<void> {
    const calls: Promise<void>[] = [];
    for (let n = 0; performance.now() < this.endMs; n += 1) {
      calls.push(this.sendRequest(n));
      await timers.setTimeout(CALL_INTERVAL_MS);
    }
    await Promise.all(calls);
  }

  private async sendRequest(n: number): Promise<void> {
    const host = this.rng.pick(this.hosts);
    if (this.rng.chance(DEADLY_SHARE)) {
      const deadly = this.rng.integer(0, DEADLY.length - 1);
      const { method, path, body } = DEADLY[deadly]!;
      const { id, status } = await fleet.call(host, path, { method, body });
      const hasRun = this.runs[deadly]!.some((run) => run.id === id);
      if (hasRun && status === 503) this.faults.push(`${id} has run and was answered 503`);
      return;
    }
    if (this.rng.chance(ORDER_SHARE)) {
      await fleet.call(host, '/order/', { method: 'POST', body: `order-${n}` });
      return;
    }
    await fleet.call(host, this.rng.chance(START_PAGE_SHARE) ? START_PAGE : `/view/page-${n}`);
  }

  /** Servers that end by themselves. */
  private async crashServers(): Promise<void> {
    while (performance.now() < this.endMs) {
      await timers.setTimeout(this.rng.integer(MIN_CALM_MS, MAX_CALM_MS));
      this.crash(this.rng.pick(this.hosts));
    }
  }

  /** Stops hosts and starts others in their place, which know nothing of what was before. */
  private async replaceHosts(): Promise<void> {
    while (performance.now() < this.endMs) {
      await timers.setTimeout(this.rng.integer(MIN_CALM_MS, MAX_CALM_MS));
      await this.startHost(this.rng.pick(ZONES));
      const [oldest] = this.hosts.splice(0, 1);
      this.stops.push(oldest!.stop());
    }
  }

  private checkLateRuns(): void {
    for (const [i, { path }] of DEADLY.entries()) {
      const thirdMs = this.endsMs[i]![2] ?? Infinity;
      const late = this.runs[i]!.filter(
        ({ atMs }) => atMs > thirdMs + fixtures.STABLE_WINDOW_MS,
      ).length;
      if (late > MAX_LATE_RUNS) this.faults.push(`${path} ran ${late} times more`);
    }
  }

  private async allServe(): Promise<boolean> {
    const answers = await Promise.all(this.hosts.map((host) => fleet.call(host, START_PAGE)));
    return answers.every(({ status }) => status === 200);
  }
}

describe('requests that end the servers that run them', { timeout: 60_000 * SEEDS.length }, () => {
  // One request ended server after server for as long as it came, and nothing else was served meanwhile.
  for (const seed of SEEDS) {
    it(`are kept from the servers, and others are served, seed ${seed}`, async () => {
      assert.deepEqual(await new Soak(seed).play(), []);
    });
  }
});
