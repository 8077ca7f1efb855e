/**
 * Cost and correctness of requests through nodes: added latency and CPU time at moderate load,
 * goodput under overload, and planned stops under load. Every call passes through two nodes.
 */

import * as fs from 'node:fs';
import * as url from 'node:url';
import { failures } from '@godwittrack/core';
import { harness } from '@godwittrack/playground';
import * as experiment from '../experiment.js';
import type * as loadPlan from '../load/loadPlan.js';

const LOAD_MAIN = url.fileURLToPath(new URL('../load/loadMain.js', import.meta.url));
/** Unit of the times in `/proc/PID/stat`. */
const CLOCK_TICK_MS = 10;
const CALL_TIMEOUT_MS = 2_000;
const FRONT = 'front';
const BACK = 'back';
const BACK_SERVERS = 4;
const SLOTS = 12;
/** Long enough that slots, not CPU, limit a deployment on one machine. */
const SERVICE_TIME_MS = 120;
const MODERATE_SHARES = [0.1, 0.25, 0.5] as const;

const LAYOUT: harness.layouts.Layout = {
  name: 'requests',
  regions: [
    { name: 'home', failureDomains: ['home-a', 'home-b'] },
    { name: 'away', failureDomains: [] },
  ],
  services: [
    { name: FRONT, servers: 2, slots: SLOTS },
    { name: BACK, servers: BACK_SERVERS, slots: SLOTS },
  ],
};

const PATH_PREFIX = '/back';

const TICKET: harness.clients.TicketDocument = {
  ticket: 1,
  author: 'bench',
  reason: 'requests',
  resources: [
    { kind: 'service', name: FRONT, spec: {} },
    { kind: 'service', name: BACK, spec: {} },
    { kind: 'route', name: 'proof', spec: createRouteSpec('/back/proof', 'safe') },
    { kind: 'route', name: 'echo', spec: createRouteSpec('/back/echo', 'idempotent') },
    { kind: 'route', name: 'order', spec: createRouteSpec('/back/order', 'once') },
  ],
};

function createRouteSpec(pathPrefix: string, semantics: string) {
  return { service: BACK, match: { pathPrefix }, semantics, timeout: `${CALL_TIMEOUT_MS}ms` };
}

interface Totals {
  wrong: number;
  broken: number;
  failed: number;
  notRunKeys: string[];
}

class LoadRunner {
  readonly totals: Totals = { wrong: 0, broken: 0, failed: 0, notRunKeys: [] };

  private loadCount = 0;

  constructor(
    readonly deployment: harness.deployment.Deployment,
    private readonly options: experiment.ExperimentOptions,
  ) {}

  get frontServers(): harness.deployment.Server[] {
    return this.deployment.select({ service: FRONT });
  }

  get backServers(): harness.deployment.Server[] {
    return this.deployment.select({ service: BACK });
  }

  /** Runs one load generator until it exits. */
  async runLoad(
    groups: loadPlan.LoadGroup[],
    ratePerSecond: number,
    durationMs: number,
  ): Promise<loadPlan.LoadReport> {
    this.loadCount += 1;
    const plan: loadPlan.LoadPlan = {
      seed: this.options.seed + this.loadCount,
      groups,
      ratePerSecond,
      durationMs,
      timeoutMs: CALL_TIMEOUT_MS,
      path: PATH_PREFIX,
      keyPrefix: `load${this.loadCount}`,
    };
    const args = [LOAD_MAIN, JSON.stringify(plan)];
    const generator = this.deployment.group.add({ name: `load-${this.loadCount}`, args });
    await generator.start();
    await harness.wait.waitFor('the load', () => !generator.isRunning, durationMs + 30_000);
    const report = generator.records.find(({ done }) => done === true);
    if (report === undefined) {
      const detail = `the load generator ended without a report: ${generator.logs.join(' ')}`;
      throw failures.toError({ type: 'internal', detail });
    }
    return this.addToTotals(report as unknown as loadPlan.LoadReport);
  }

  throughNodes(servers = this.frontServers): loadPlan.LoadGroup {
    return { name: 'through', urls: servers.map(({ callerUrl }) => callerUrl) };
  }

  directToUpstreams(): loadPlan.LoadGroup {
    return { name: 'direct', urls: this.backServers.map(({ upstreamUrl }) => upstreamUrl) };
  }

  /** Total CPU time of all node processes. */
  readNodeCpuMs(): number {
    const pids = this.deployment.servers.map(({ node }) => node?.pid);
    return pids.reduce<number>((sum, pid) => sum + (pid === undefined ? 0 : readCpuMs(pid)), 0);
  }

  private addToTotals(report: loadPlan.LoadReport): loadPlan.LoadReport {
    const { through } = report.groups;
    this.totals.wrong += through?.wrong ?? 0;
    this.totals.broken += through?.broken ?? 0;
    this.totals.failed += through?.failed ?? 0;
    this.totals.notRunKeys.push(...report.notRunKeys);
    report.firstProblems.forEach((problem) => this.options.report(`  ${problem}`));
    return report;
  }
}

export class RequestsExperiment extends experiment.Experiment {
  override readonly name = 'requests';

  override readonly description = 'added time, goodput under overload, planned stops under load';

  override async run(options: experiment.ExperimentOptions): Promise<experiment.ExperimentResult> {
    const deployment = await harness.deployment.createDeployment({
      layout: LAYOUT,
      upstreamArgs: ['--service-time-ms', String(SERVICE_TIME_MS), '--service-time-sigma', '0'],
      nodeSettings: { log: { level: 'warn' } },
      nodeArgs: options.settings.has('cpuProf')
        ? ['--cpu-prof', '--cpu-prof-dir', options.settings.get('cpuProf') ?? '.']
        : [],
    });
    try {
      const runner = new LoadRunner(deployment, options);
      await runner.frontServers[0]?.admin.file(TICKET);
      await harness.wait.waitFor('the configuration on all nodes', async () =>
        [...(await deployment.configVersions()).values()].every((version) => version === 1),
      );
      return await measure(runner, options);
    } finally {
      if (options.settings.has('cpuProf')) {
        await Promise.all(deployment.servers.map(({ node }) => node?.stop()));
      }
      await deployment.close();
    }
  }
}

async function measure(
  runner: LoadRunner,
  options: experiment.ExperimentOptions,
): Promise<experiment.ExperimentResult> {
  const seconds = Number(options.settings.get('seconds') ?? (options.quick ? 3 : 8));
  const durationMs = seconds * 1_000;
  const capacity = (BACK_SERVERS * SLOTS * 1_000) / SERVICE_TIME_MS;
  options.report('warming up');
  await runner.runLoad([runner.throughNodes(), runner.directToUpstreams()], capacity * 0.2, 2_000);
  const moderate = await measureModerate(runner, options, capacity, durationMs);
  const overload = await measureOverload(runner, options, capacity, durationMs);
  const stops = options.settings.has('noStops')
    ? {}
    : await measureStops(runner, options, capacity);
  const runs = await Promise.all(
    runner.backServers.map(({ upstreamControl }) => upstreamControl.runs().catch(() => null)),
  );
  const runsByKey = new Map<string, number>();
  for (const report of runs) {
    Object.entries(report?.keys ?? {}).forEach(([key, count]) => {
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + count);
    });
  }
  return {
    nodes: runner.deployment.servers.length,
    capacityPerSecond: capacity,
    secondsPerLoad: seconds,
    ...moderate,
    ...overload,
    ...stops,
    duplicateRuns: [...runsByKey.values()].filter((count) => count > 1).length,
    falseNotRun: runner.totals.notRunKeys.filter((key) => runsByKey.has(key)).length,
    notRunKeysChecked: runner.totals.notRunKeys.length,
    mixedOrTruncatedAnswers: runner.totals.wrong,
    brokenCalls: runner.totals.broken,
    failedCalls: runner.totals.failed,
  };
}

async function measureModerate(
  runner: LoadRunner,
  options: experiment.ExperimentOptions,
  capacity: number,
  durationMs: number,
): Promise<experiment.ExperimentResult> {
  const result: experiment.ExperimentResult = {};
  for (const share of MODERATE_SHARES) {
    const rate = Math.round(capacity * share);
    const cpuBeforeMs = runner.readNodeCpuMs();
    const report = await runner.runLoad(
      [runner.directToUpstreams(), runner.throughNodes()],
      rate,
      durationMs,
    );
    const cpuUsedMs = runner.readNodeCpuMs() - cpuBeforeMs;
    const { direct, through } = report.groups;
    if (direct === undefined || through === undefined) continue;
    const suffix = share === MODERATE_SHARES[0] ? '' : `At${share * 100}Pct`;
    result[`rate${suffix}`] = rate;
    result[`addedP50Ms${suffix}`] = round(through.p50Ms - direct.p50Ms);
    result[`addedP99Ms${suffix}`] = round(through.p99Ms - direct.p99Ms);
    result[`directP99Ms${suffix}`] = round(direct.p99Ms);
    result[`cpuMsPerCall${suffix}`] = round(cpuUsedMs / through.sent);
    result[`lagP99Ms${suffix}`] = round(report.lagP99Ms);
    options.report(`${rate}/s: ${JSON.stringify(report.groups)}`);
  }
  return result;
}

/** Measures goodput at the capacity that the slots allow and at twice that rate. */
async function measureOverload(
  runner: LoadRunner,
  options: experiment.ExperimentOptions,
  capacity: number,
  durationMs: number,
): Promise<experiment.ExperimentResult> {
  const goodput: number[] = [];
  let refusedP99Ms = 0;
  for (const factor of [1, 2]) {
    const report = await runner.runLoad([runner.throughNodes()], capacity * factor, durationMs);
    const { through } = report.groups;
    if (through === undefined) continue;
    goodput.push((through.ok * 1_000) / durationMs);
    refusedP99Ms = through.refusedP99Ms;
    options.report(`overload ${factor}: ${JSON.stringify(report.groups)} lag ${report.lagP99Ms}`);
  }
  const [atCapacity = 0, atTwice = 0] = goodput;
  return {
    goodputAtCapacity: round(atCapacity),
    goodputAtTwiceCapacity: round(atTwice),
    goodputAtOverloadRatio: round(atTwice / atCapacity),
    refusedP99MsAtTwiceCapacity: round(refusedP99Ms),
  };
}

/** Under load, restarts a node whose upstream keeps running, then stops another upstream. */
async function measureStops(
  runner: LoadRunner,
  options: experiment.ExperimentOptions,
  capacity: number,
): Promise<experiment.ExperimentResult> {
  const [restarted, stopped] = runner.backServers;
  const [, entry] = runner.frontServers;
  const before = { ...runner.totals };
  const loading = runner.runLoad(
    [runner.throughNodes(runner.frontServers.slice(0, 1))],
    capacity * 0.3,
    8_000,
  );
  const entryLoading = runner.runLoad(
    [runner.throughNodes(runner.frontServers.slice(1))],
    capacity * 0.05,
    3_000,
  );
  await harness.wait.waitFor('load', async () => {
    const stats = await restarted?.upstreamControl.stats();
    return (stats?.inFlight ?? 1) > 0;
  });
  await restarted?.node?.restart({ graceful: true });
  options.report('replaced a node');
  await stopped?.upstream?.stop();
  options.report('an upstream left');
  await entryLoading;
  await loading;
  await entry?.node?.stop();
  const drained = stopped?.upstream?.records.find(({ msg }) => msg === 'upstream: drained');
  const lastArrivalMs = drained?.lastArrivalAfterDrainMs;
  return {
    cutByPlannedStop: runner.totals.broken - before.broken,
    failedInPlannedStop: runner.totals.failed - before.failed,
    lateWorkAfterDrainMs: typeof lastArrivalMs === 'number' ? lastArrivalMs : 0,
    drainWasSeen: drained !== undefined,
  };
}

function readCpuMs(pid: number): number {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // utime and stime, fields 14 and 15 of proc(5); the first two fields are cut off above.
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
