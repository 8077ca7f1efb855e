/**
 * Time from the operator's filing call until a change is in force on the last node, with its cost
 * on the link and the platform, beside a baseline in which each node fetches the whole state.
 */

import * as url from 'node:url';
import * as timers from 'node:timers/promises';
import { fleet, harness } from '@godwittrack/playground';
import * as experiment from '../experiment.js';
import * as counters from '../counters.js';

const NAIVE_MAIN = url.fileURLToPath(new URL('../naiveNode.js', import.meta.url));
const SETTLE_MS = 3_000;
const IDLE_MS = 8_000;
const SPACING_MS = 150;
const FAULT_SPACING_MS = 400;
const CONVERGENCE_LIMIT_MS = 30_000;
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

interface Measured {
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

interface Bench {
  deployment: harness.deployment.Deployment;
  source: fleet.changes.ChangeSource;
  random: () => number;
}

/** Files a ticket at a random node; moves on to another one while nodes do not answer. */
async function fileAnywhere(bench: Bench): Promise<fleet.applications.Change> {
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
      if (Date.now() - filedAtMs > CONVERGENCE_LIMIT_MS) throw err;
      await timers.setTimeout(50);
    }
  }
}

async function waitApplied(bench: Bench, version: number): Promise<void> {
  const { deployment, source } = bench;
  const last = { version, filedAtMs: 0, acceptedAtMs: 0, region: '' };
  await harness.wait.waitFor(
    `version ${version} on all nodes`,
    () => {
      const histories = fleet.applications.readHistories(deployment.servers, source);
      return Number.isFinite(fleet.applications.convergenceMs(last, histories));
    },
    CONVERGENCE_LIMIT_MS,
  );
}

async function fileMany(
  bench: Bench,
  count: number,
  spacingMs: number,
): Promise<fleet.applications.Change[]> {
  const filed: fleet.applications.Change[] = [];
  for (let i = 0; i < count; i++) {
    filed.push(await fileAnywhere(bench));
    await timers.setTimeout(spacingMs * (0.5 + bench.random()));
  }
  const newest = filed[filed.length - 1];
  if (newest !== undefined) await waitApplied(bench, newest.version);
  return filed;
}

async function measureQuiet(bench: Bench, count: number): Promise<Measured> {
  const { deployment, source } = bench;
  const [first] = deployment.servers;
  await first?.admin.file(source.first());
  await waitApplied(bench, 1);
  await timers.setTimeout(SETTLE_MS);
  const idleFrom = await counters.readCounters(deployment);
  await timers.setTimeout(IDLE_MS);
  const from = await counters.readCounters(deployment);
  const idleS = (from.atMs - idleFrom.atMs) / 1_000;
  const filed = await fileMany(bench, count, SPACING_MS);
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

/** One fault after the other on single nodes, until `signal` aborts. */
async function injectFaults(
  bench: Bench,
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
      // Nodes of the other region lose this one; it stays reachable in its own.
      await deployment.linkControl.change({ remove: [name] });
      await timers.setTimeout(CUT_MS);
      const opens = region === deployment.homeRegion ? 'ba' : 'ab';
      const { externalPeer: listen, peer: target } = addresses;
      await deployment.linkControl.change({ add: [{ name, listen, target, opens }] });
    }
    await timers.setTimeout(500);
  }
}

async function measureFaults(bench: Bench, count: number) {
  const absences: fleet.applications.Absence[] = [];
  const stop = new AbortController();
  const injecting = injectFaults(bench, absences, stop.signal);
  const filed = await fileMany(bench, count, FAULT_SPACING_MS);
  stop.abort();
  await injecting;
  await waitApplied(bench, filed[filed.length - 1]?.version ?? 0);
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
    const own: Measured[] = [];
    const naive: Measured[] = [];
    const faults: Awaited<ReturnType<typeof measureFaults>>[] = [];
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
          const measured = await measureQuiet(bench, count);
          (nodeMain === undefined ? own : naive).push(measured);
          if (nodeMain === undefined) {
            nodes += deployment.servers.length;
            options.report(`${layout.name} with faults`);
            if (faultCount > 0) faults.push(await measureFaults(bench, faultCount));
          }
        } finally {
          await deployment.close();
        }
      }
    }
    return summarize(own, naive, faults, nodes);
  }
}

function summarize(
  own: readonly Measured[],
  naive: readonly Measured[],
  faults: readonly Awaited<ReturnType<typeof measureFaults>>[],
  nodes: number,
): experiment.ExperimentResult {
  const times = (parts: readonly { timesMs: number[] }[]) => parts.flatMap((part) => part.timesMs);
  const perChange = (parts: readonly Measured[], value: (part: Measured) => number) =>
    round(sum(parts.map(value)) / times(parts).length);
  const idle = (parts: readonly Measured[], value: (part: Measured) => number) =>
    round(sum(parts.map(value)) / parts.length);
  const net = (part: Measured) => part.linkBytes - part.idleLinkBytesPerS * part.seconds;
  const netCalls = (part: Measured) =>
    part.platformCalls - part.idlePlatformCallsPerS * part.seconds;
  const homeMs = own.flatMap((part) => part.homeMs);
  const awayMs = own.flatMap((part) => part.awayMs);
  return {
    p50Ms: fleet.applications.percentile(times(own), 0.5),
    p99Ms: fleet.applications.percentile(times(own), 0.99),
    maxMs: Math.max(...times(own)),
    filedAtHomeP99Ms: fleet.applications.percentile(homeMs, 0.99),
    filedAcrossLinkP99Ms: fleet.applications.percentile(awayMs, 0.99),
    naiveP50Ms: fleet.applications.percentile(times(naive), 0.5),
    naiveP99Ms: fleet.applications.percentile(times(naive), 0.99),
    faultsP50Ms: fleet.applications.percentile(times(faults), 0.5),
    faultsP99Ms: fleet.applications.percentile(times(faults), 0.99),
    linkBytesPerChange: perChange(own, net),
    naiveLinkBytesPerChange: perChange(naive, net),
    linkBytesPerChangeWithIdle: perChange(own, (part) => part.linkBytes),
    idleLinkBytesPerS: idle(own, (part) => part.idleLinkBytesPerS),
    naiveIdleLinkBytesPerS: idle(naive, (part) => part.idleLinkBytesPerS),
    platformCallsPerChange: perChange(own, netCalls),
    naivePlatformCallsPerChange: perChange(naive, netCalls),
    idlePlatformCallsPerS: idle(own, (part) => part.idlePlatformCallsPerS),
    changes: times(own).length,
    faultChanges: times(faults).length,
    absences: sum(faults.map((part) => part.faults)),
    nodes,
    regressions: sum([...own, ...faults].map((part) => part.regressions)),
    partialApplies: sum([...own, ...faults].map((part) => part.partialApplies)),
  };
}
