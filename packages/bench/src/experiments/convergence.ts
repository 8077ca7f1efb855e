/**
 * Time from the call that files a ticket until the last node applies the change, with its cost on
 * the link and the platform, compared with a baseline in which each node fetches the whole state.
 */

import * as url from 'node:url';
import * as timers from 'node:timers/promises';
import { fleet, harness } from '@godwittrack/playground';
import * as experiment from '../experiment.js';
import * as counters from '../counters.js';

const NAIVE_MAIN = url.fileURLToPath(new URL('../naiveNode.js', import.meta.url));
const SETTLE_TIME_MS = 3_000;
const IDLE_WINDOW_MS = 8_000;
const CHANGE_INTERVAL_MS = 150;
const FAULT_CHANGE_INTERVAL_MS = 400;
const CONVERGENCE_TIMEOUT_MS = 30_000;
const FREEZE_MS = 2_500;
const CUT_MS = 2_500;

/** 32-bit generator (mulberry32), so that a run can be repeated from its seed. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

interface Measurement {
  timesMs: number[];
  homeMs: number[];
  awayMs: number[];
  linkBytes: number;
  idleLinkBytesPerS: number;
  platformCalls: number;
  idlePlatformCallsPerS: number;
  seconds: number;
  regressions: number;
  partialApplies: number;
}

interface BenchContext {
  deployment: harness.deployment.Deployment;
  source: fleet.changes.ChangeSource;
  random: () => number;
}

/** Files a ticket at a random node, and retries at other nodes until one accepts it. */
async function fileAtRandomNode(bench: BenchContext): Promise<fleet.applications.Change> {
  const { deployment, source, random } = bench;
  const ticket = source.next();
  const filedAtMs = Date.now();
  for (;;) {
    const server = deployment.servers[Math.floor(random() * deployment.servers.length)];
    if (server === undefined) throw new RangeError('the deployment has no servers');
    try {
      const { version } = await server.admin.file(ticket);
      return { version, filedAtMs, acceptedAtMs: Date.now(), region: server.region };
    } catch (err) {
      if (Date.now() - filedAtMs > CONVERGENCE_TIMEOUT_MS) throw err;
      await timers.setTimeout(50);
    }
  }
}

async function waitUntilApplied(bench: BenchContext, version: number): Promise<void> {
  const { deployment, source } = bench;
  const last = { version, filedAtMs: 0, acceptedAtMs: 0, region: '' };
  await harness.wait.waitFor(
    `version ${version} on all nodes`,
    () => {
      const histories = fleet.applications.readHistories(deployment.servers, source);
      return Number.isFinite(fleet.applications.convergenceMs(last, histories));
    },
    CONVERGENCE_TIMEOUT_MS,
  );
}

async function fileChanges(
  bench: BenchContext,
  count: number,
  meanIntervalMs: number,
): Promise<fleet.applications.Change[]> {
  const filed: fleet.applications.Change[] = [];
  for (let i = 0; i < count; i++) {
    filed.push(await fileAtRandomNode(bench));
    await timers.setTimeout(meanIntervalMs * (0.5 + bench.random()));
  }
  const newest = filed[filed.length - 1];
  if (newest !== undefined) await waitUntilApplied(bench, newest.version);
  return filed;
}

async function measureWithoutFaults(bench: BenchContext, count: number): Promise<Measurement> {
  const { deployment, source } = bench;
  const [first] = deployment.servers;
  await first?.admin.file(source.first());
  await waitUntilApplied(bench, 1);
  await timers.setTimeout(SETTLE_TIME_MS);
  const idleFrom = await counters.readCounters(deployment);
  await timers.setTimeout(IDLE_WINDOW_MS);
  const from = await counters.readCounters(deployment);
  const idleS = (from.atMs - idleFrom.atMs) / 1_000;
  const filed = await fileChanges(bench, count, CHANGE_INTERVAL_MS);
  const to = await counters.readCounters(deployment);
  const histories = fleet.applications.readHistories(deployment.servers, source);
  const timeOf = (change: fleet.applications.Change) =>
    fleet.applications.convergenceMs(change, histories);
  const home = filed.filter(({ region }) => region === deployment.homeRegion);
  const away = filed.filter(({ region }) => region !== deployment.homeRegion);
  return {
    timesMs: filed.map(timeOf),
    homeMs: home.map(timeOf),
    awayMs: away.map(timeOf),
    linkBytes: to.linkBytes - from.linkBytes,
    idleLinkBytesPerS: (from.linkBytes - idleFrom.linkBytes) / idleS,
    platformCalls: to.platformCalls - from.platformCalls,
    idlePlatformCallsPerS: (from.platformCalls - idleFrom.platformCalls) / idleS,
    seconds: (to.atMs - from.atMs) / 1_000,
    regressions: sum(histories.map((history) => history.regressions)),
    partialApplies: sum(histories.map((history) => history.partialApplies)),
  };
}

/** Injects faults into single nodes, one after the other, until `signal` aborts. */
async function injectFaults(
  bench: BenchContext,
  absences: fleet.applications.Absence[],
  signal: AbortSignal,
): Promise<void> {
  const { deployment, random } = bench;
  for (let n = 0; !signal.aborted; n++) {
    const server = deployment.servers[Math.floor(random() * deployment.servers.length)];
    if (server?.node === undefined) throw new RangeError('the deployment has no nodes');
    const { name, node, region, addresses } = server;
    const fromMs = Date.now();
    if (n % 3 === 0) {
      await node.kill();
      await timers.setTimeout(1_000);
      await node.start();
      absences.push({ node: name, fromMs, toMs: Date.now() });
    } else if (n % 3 === 1) {
      node.freeze();
      await timers.setTimeout(FREEZE_MS);
      node.thaw();
      absences.push({ node: name, fromMs, toMs: Date.now() });
    } else {
      // Cuts this node off from the other region; it stays reachable within its own.
      await deployment.linkControl.change({ remove: [name] });
      await timers.setTimeout(CUT_MS);
      const opens = region === deployment.homeRegion ? 'ba' : 'ab';
      const { externalPeer: listen, peer: target } = addresses;
      await deployment.linkControl.change({ add: [{ name, listen, target, opens }] });
    }
    await timers.setTimeout(500);
  }
}

async function measureWithFaults(bench: BenchContext, count: number) {
  const absences: fleet.applications.Absence[] = [];
  const stop = new AbortController();
  const injecting = injectFaults(bench, absences, stop.signal);
  const filed = await fileChanges(bench, count, FAULT_CHANGE_INTERVAL_MS);
  stop.abort();
  await injecting;
  await waitUntilApplied(bench, filed[filed.length - 1]?.version ?? 0);
  const histories = fleet.applications.readHistories(bench.deployment.servers, bench.source);
  return {
    timesMs: filed.map((change) => fleet.applications.convergenceMs(change, histories, absences)),
    faults: absences.length,
    regressions: sum(histories.map((history) => history.regressions)),
    partialApplies: sum(histories.map((history) => history.partialApplies)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

export class ConvergenceExperiment extends experiment.Experiment {
  override readonly name = 'convergence';

  override readonly description =
    'time and cost until a filed change is in force on every node, beside a naive baseline';

  override async run(options: experiment.ExperimentOptions): Promise<experiment.ExperimentResult> {
    const count = Number(options.settings.get('changes') ?? (options.quick ? 20 : 100));
    const faultCount = Number(options.settings.get('faultChanges') ?? (options.quick ? 10 : 40));
    const upstreams = options.settings.get('upstreams') !== 'false';
    const tree: Measurement[] = [];
    const naive: Measurement[] = [];
    const faults: Awaited<ReturnType<typeof measureWithFaults>>[] = [];
    let nodes = 0;
    for (const layout of [harness.layouts.FRASERLINE, harness.layouts.FUNDACION]) {
      const services = layout.services.map(({ name }) => name);
      for (const nodeMain of [undefined, NAIVE_MAIN]) {
        const deployment = await harness.deployment.createDeployment({
          layout,
          nodeMain,
          upstreams: upstreams && nodeMain === undefined,
        });
        try {
          const source = new fleet.changes.ChangeSource(services);
          const bench = { deployment, source, random: createRandom(options.seed) };
          options.report(`${layout.name} ${nodeMain === undefined ? 'tree' : 'naive'}`);
          const measured = await measureWithoutFaults(bench, count);
          (nodeMain === undefined ? tree : naive).push(measured);
          if (nodeMain === undefined) {
            nodes += deployment.servers.length;
            options.report(`${layout.name} with faults`);
            if (faultCount > 0) faults.push(await measureWithFaults(bench, faultCount));
          }
        } finally {
          await deployment.close();
        }
      }
    }
    return summarize(tree, naive, faults, nodes);
  }
}

function summarize(
  tree: readonly Measurement[],
  naive: readonly Measurement[],
  faults: readonly Awaited<ReturnType<typeof measureWithFaults>>[],
  nodes: number,
): experiment.ExperimentResult {
  const allTimes = (parts: readonly { timesMs: number[] }[]) =>
    parts.flatMap((part) => part.timesMs);
  const perChange = (parts: readonly Measurement[], value: (part: Measurement) => number) =>
    round(sum(parts.map(value)) / allTimes(parts).length);
  const average = (parts: readonly Measurement[], value: (part: Measurement) => number) =>
    round(sum(parts.map(value)) / parts.length);
  const netLinkBytes = (part: Measurement) =>
    part.linkBytes - part.idleLinkBytesPerS * part.seconds;
  const netPlatformCalls = (part: Measurement) =>
    part.platformCalls - part.idlePlatformCallsPerS * part.seconds;
  const homeMs = tree.flatMap((part) => part.homeMs);
  const awayMs = tree.flatMap((part) => part.awayMs);
  return {
    p50Ms: fleet.applications.percentile(allTimes(tree), 0.5),
    p99Ms: fleet.applications.percentile(allTimes(tree), 0.99),
    maxMs: Math.max(...allTimes(tree)),
    filedAtHomeP99Ms: fleet.applications.percentile(homeMs, 0.99),
    filedAcrossLinkP99Ms: fleet.applications.percentile(awayMs, 0.99),
    naiveP50Ms: fleet.applications.percentile(allTimes(naive), 0.5),
    naiveP99Ms: fleet.applications.percentile(allTimes(naive), 0.99),
    faultsP50Ms: fleet.applications.percentile(allTimes(faults), 0.5),
    faultsP99Ms: fleet.applications.percentile(allTimes(faults), 0.99),
    linkBytesPerChange: perChange(tree, netLinkBytes),
    naiveLinkBytesPerChange: perChange(naive, netLinkBytes),
    linkBytesPerChangeWithIdle: perChange(tree, (part) => part.linkBytes),
    idleLinkBytesPerS: average(tree, (part) => part.idleLinkBytesPerS),
    naiveIdleLinkBytesPerS: average(naive, (part) => part.idleLinkBytesPerS),
    platformCallsPerChange: perChange(tree, netPlatformCalls),
    naivePlatformCallsPerChange: perChange(naive, netPlatformCalls),
    idlePlatformCallsPerS: average(tree, (part) => part.idlePlatformCallsPerS),
    changes: allTimes(tree).length,
    faultChanges: allTimes(faults).length,
    absences: sum(faults.map((part) => part.faults)),
    nodes,
    regressions: sum([...tree, ...faults].map((part) => part.regressions)),
    partialApplies: sum([...tree, ...faults].map((part) => part.partialApplies)),
  };
}
