/**
 * Cost of a node at several fleet sizes, and the slope of each cost over the number of nodes. All
 * nodes are processes without upstreams.
 */

import * as timers from 'node:timers/promises';
import { fleet, harness } from '@godwittrack/playground';
import * as experiment from '../experiment.js';
import * as counters from '../counters.js';

const SIZES = [12, 24, 48];
const QUICK_SIZES = [8, 12];
const SERVICES = 4;
const SETTLE_TIME_MS = 12_000;
const WINDOW_MS = 6_000;
const CHANGE_INTERVAL_MS = 200;
const CONVERGENCE_TIMEOUT_MS = 60_000;
const PARALLEL_STARTS = 6;

interface Sample {
  nodes: number;
  cpuPct: number;
  maxCpuPct: number;
  rssMb: number;
  maxRssMb: number;
  bytesPerNodePerS: number;
  maxBytesPerS: number;
  idleLinkBytesPerS: number;
  idleCallsPerS: number;
  linkBytesPerChange: number;
  callsPerChange: number;
  p99Ms: number;
  herdMs: number;
  herdCalls: number;
}

type Deployment = harness.deployment.Deployment;

function listNodePids(deployment: Deployment): number[] {
  return deployment.servers.flatMap(({ node }) => (node?.pid === undefined ? [] : [node.pid]));
}

async function waitUntilApplied(
  deployment: Deployment,
  source: fleet.changes.ChangeSource,
  version: number,
): Promise<void> {
  const change = { version, filedAtMs: 0, acceptedAtMs: 0, region: '' };
  await harness.wait.waitFor(
    `version ${version} on all nodes`,
    () => {
      const histories = fleet.applications.readHistories(deployment.servers, source);
      return Number.isFinite(fleet.applications.convergenceMs(change, histories));
    },
    CONVERGENCE_TIMEOUT_MS,
  );
}

/** Measures the costs of an idle fleet over one window. */
async function measureIdle(deployment: Deployment) {
  const pids = listNodePids(deployment);
  const before = pids.map((pid) => counters.readProcessUsage(pid));
  const from = await counters.readCounters(deployment);
  await timers.setTimeout(WINDOW_MS);
  const to = await counters.readCounters(deployment);
  const after = pids.map((pid) => counters.readProcessUsage(pid));
  const seconds = (to.atMs - from.atMs) / 1_000;
  const cpuPct = after.map((use, n) => (use.cpuMs - (before[n]?.cpuMs ?? 0)) / seconds / 10);
  const bytesPerS = after.map(
    (use, n) => (use.writtenBytes - (before[n]?.writtenBytes ?? 0)) / seconds,
  );
  const rssMb = after.map((use) => use.rssMb);
  return {
    cpuPct: mean(cpuPct),
    maxCpuPct: Math.max(...cpuPct),
    rssMb: mean(rssMb),
    maxRssMb: Math.max(...rssMb),
    bytesPerNodePerS: mean(bytesPerS),
    maxBytesPerS: Math.max(...bytesPerS),
    idleLinkBytesPerS: (to.linkBytes - from.linkBytes) / seconds,
    idleCallsPerS: (to.platformCalls - from.platformCalls) / seconds,
  };
}

/** Kills and restarts all nodes at once; measures the time until the last one is ready. */
async function restartAll(deployment: Deployment) {
  const from = await counters.readCounters(deployment);
  await Promise.all(deployment.servers.map(({ node }) => node?.kill()));
  const startMs = performance.now();
  deployment.servers.forEach(({ node }) => node?.spawn());
  await Promise.all(deployment.servers.map(({ node }) => node?.waitReady()));
  const herdMs = performance.now() - startMs;
  const to = await counters.readCounters(deployment);
  return { herdMs, herdCalls: to.platformCalls - from.platformCalls };
}

async function measureSize(nodes: number, changeCount: number): Promise<Sample> {
  const deployment = await harness.deployment.createDeployment({
    layout: harness.layouts.createFleetLayout(nodes, SERVICES),
    upstreams: false,
    parallelStarts: PARALLEL_STARTS,
    readyTimeoutMs: CONVERGENCE_TIMEOUT_MS,
  });
  try {
    const names = deployment.layout.services.map(({ name }) => name);
    const source = new fleet.changes.ChangeSource(names);
    const [first] = deployment.servers;
    if (first === undefined) throw new RangeError('the deployment has no servers');
    await first.admin.file(source.first());
    await waitUntilApplied(deployment, source, 1);
    await timers.setTimeout(SETTLE_TIME_MS);
    const idle = await measureIdle(deployment);
    const from = await counters.readCounters(deployment);
    const filed: fleet.applications.Change[] = [];
    for (let n = 0; n < changeCount; n++) {
      const filedAtMs = Date.now();
      const { version } = await first.admin.file(source.next());
      filed.push({ version, filedAtMs, acceptedAtMs: Date.now(), region: first.region });
      await timers.setTimeout(CHANGE_INTERVAL_MS);
    }
    await waitUntilApplied(deployment, source, filed[filed.length - 1]?.version ?? 1);
    const to = await counters.readCounters(deployment);
    const seconds = (to.atMs - from.atMs) / 1_000;
    const histories = fleet.applications.readHistories(deployment.servers, source);
    const times = filed.map((change) => fleet.applications.convergenceMs(change, histories));
    const linkBytes = to.linkBytes - from.linkBytes - idle.idleLinkBytesPerS * seconds;
    const calls = to.platformCalls - from.platformCalls - idle.idleCallsPerS * seconds;
    return {
      ...idle,
      nodes,
      linkBytesPerChange: linkBytes / changeCount,
      callsPerChange: calls / changeCount,
      p99Ms: fleet.applications.percentile(times, 0.99),
      ...(await restartAll(deployment)),
    };
  } finally {
    await deployment.close();
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Least-squares slope of a value over the number of nodes. */
function slopePerNode(samples: readonly Sample[], value: (sample: Sample) => number): number {
  const meanNodes = mean(samples.map(({ nodes }) => nodes));
  const meanValue = mean(samples.map(value));
  const products = samples.map(
    (sample) => (sample.nodes - meanNodes) * (value(sample) - meanValue),
  );
  const squares = samples.map(({ nodes }) => (nodes - meanNodes) ** 2);
  return mean(products) / mean(squares);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

export class ScaleExperiment extends experiment.Experiment {
  override readonly name = 'scale';

  override readonly description = 'cost of a node and of a herd restart at several fleet sizes';

  override async run(options: experiment.ExperimentOptions): Promise<experiment.ExperimentResult> {
    const givenSizes = options.settings.get('sizes')?.split('+').map(Number);
    const sizes = givenSizes ?? (options.quick ? QUICK_SIZES : SIZES);
    const samples: Sample[] = [];
    for (const nodes of sizes) {
      options.report(`${nodes} nodes`);
      samples.push(await measureSize(nodes, options.quick ? 10 : 20));
    }
    const largest = samples[samples.length - 1];
    if (largest === undefined) throw new RangeError('no sizes were given');
    const perSize = samples.flatMap((sample) =>
      Object.entries(sample)
        .filter(([name]) => name !== 'nodes')
        .map(([name, value]) => [`${name}At${sample.nodes}`, round(value)] as const),
    );
    return {
      cpuPerNodePct: round(largest.cpuPct),
      rssPerNodeMb: round(largest.rssMb),
      controlBytesPerNodePerS: round(largest.bytesPerNodePerS),
      linkBytesSlopePerNode: round(slopePerNode(samples, (sample) => sample.linkBytesPerChange)),
      idleLinkBytesSlopePerNode: round(slopePerNode(samples, (sample) => sample.idleLinkBytesPerS)),
      platformCallsSlopePerNode: round(slopePerNode(samples, (sample) => sample.callsPerChange)),
      idlePlatformCallsSlopePerNode: round(slopePerNode(samples, (sample) => sample.idleCallsPerS)),
      herdCallsSlopePerNode: round(slopePerNode(samples, (sample) => sample.herdCalls)),
      cpuSlopePctPerNode: round(slopePerNode(samples, (sample) => sample.cpuPct)),
      maxCpuSlopePctPerNode: round(slopePerNode(samples, (sample) => sample.maxCpuPct)),
      rssSlopeMbPerNode: round(slopePerNode(samples, (sample) => sample.rssMb)),
      controlBytesSlopePerNode: round(slopePerNode(samples, (sample) => sample.bytesPerNodePerS)),
      maxControlBytesSlopePerNode: round(slopePerNode(samples, (sample) => sample.maxBytesPerS)),
      ...Object.fromEntries(perSize),
    };
  }
}
