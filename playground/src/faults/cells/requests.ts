/** Faults at each step of a request, with real processes (invariants 5 to 9). */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import * as harness from '../../harness/index.js';
import type * as cell from '../cell.js';
import * as onceKeys from './onceKeys.js';
import * as recordedRequests from './recordedRequests.js';
import * as requestCalls from './requestCalls.js';

const LAYOUT: harness.layouts.Layout = {
  name: 'request-faults',
  regions: [
    { name: 'home', failureDomains: ['home-a', 'home-b'] },
    { name: 'away', failureDomains: ['away-a'] },
  ],
  services: [
    { name: 'front', servers: 1, slots: 2 },
    // Three holders, so that the loss of one leaves a majority for every key.
    { name: 'back', servers: 3, slots: 4 },
  ],
};

const SPEC = { retryBudgetPct: 100, queueTimeout: '2s' };

const TICKET: harness.clients.TicketDocument = {
  ticket: 1,
  author: 'faults',
  reason: 'requests',
  resources: [
    { kind: 'service', name: 'back', spec: SPEC },
    { kind: 'route', name: 'echo', spec: routeTo('/back/echo', 'idempotent') },
    { kind: 'route', name: 'order', spec: routeTo('/back/order', 'once') },
  ],
};

function routeTo(pathPrefix: string, semantics: string) {
  return { service: 'back', match: { pathPrefix }, semantics, timeout: '4s' };
}

interface Scene {
  deployed: harness.deployment.Deployment;
  entry: harness.deployment.Server;
  victim: harness.deployment.Server;
  /** The other servers of the service, one of them in the other region. */
  others: harness.deployment.Server[];
}

interface Fault {
  name: string;
  strike: (scene: Scene) => Promise<unknown>;
  /** Every request must be answered: nothing is lost by this fault. */
  harmless: boolean;
  /** Every repeatable request must be answered: another server is there for it. */
  repeatableSurvive: boolean;
  /** The runs of the victim are lost with its upstream, so they are not checked. */
  losesRuns?: boolean;
  /** The answer of what was already running breaks off, whatever the node does. */
  before?: (scene: Scene) => Promise<unknown>;
}

/** Several times the service time, and still within the deadline. */
const SLOW_ANSWER_MS = 1_200;
/** In each direction. */
const SLOW_LINK_MS = 250;

const FAULTS: readonly Fault[] = [
  {
    name: 'destination node killed',
    strike: ({ victim }) => victim.node?.kill() ?? Promise.resolve(),
    harmless: false,
    repeatableSurvive: true,
  },
  {
    name: 'destination node frozen',
    strike: async ({ victim }) => {
      victim.node?.freeze();
    },
    harmless: false,
    repeatableSurvive: true,
  },
  {
    name: 'upstream killed',
    strike: ({ victim }) => victim.upstream?.kill() ?? Promise.resolve(),
    harmless: false,
    repeatableSurvive: true,
    losesRuns: true,
  },
  {
    name: 'upstream frozen',
    strike: async ({ victim }) => {
      victim.upstream?.freeze();
    },
    harmless: false,
    repeatableSurvive: true,
    losesRuns: true,
  },
  {
    name: 'answers lost',
    before: ({ victim }) => victim.upstreamControl.change({ rules: [{ truncateRate: 1 }] }),
    strike: () => Promise.resolve(),
    harmless: false,
    repeatableSurvive: false,
  },
  {
    name: 'upstream drains',
    strike: ({ victim }) => victim.upstream?.stop() ?? Promise.resolve(),
    harmless: true,
    repeatableSurvive: true,
    losesRuns: true,
  },
  {
    name: 'destination node replaced',
    strike: ({ victim }) => victim.node?.restart({ graceful: true }) ?? Promise.resolve(),
    harmless: true,
    repeatableSurvive: true,
  },
  {
    name: 'entry node stopped',
    strike: ({ entry }) => entry.node?.stop() ?? Promise.resolve(),
    harmless: true,
    repeatableSurvive: true,
  },
  {
    name: 'entry node killed',
    strike: ({ entry }) => entry.node?.kill() ?? Promise.resolve(),
    harmless: false,
    repeatableSurvive: false,
  },
  {
    name: 'upstream slow',
    strike: ({ victim }) =>
      victim.upstreamControl.change({ rules: [{ addedLatencyMs: SLOW_ANSWER_MS }] }),
    harmless: true,
    repeatableSurvive: true,
  },
  {
    name: 'link between regions cut',
    strike: ({ deployed }) => deployed.cutLink(true),
    harmless: false,
    repeatableSurvive: true,
  },
  {
    name: 'link between regions slow',
    strike: ({ deployed }) =>
      deployed.linkControl.change({ delayMs: { ab: SLOW_LINK_MS, ba: SLOW_LINK_MS } }),
    harmless: true,
    repeatableSurvive: true,
  },
  {
    name: 'platform killed',
    strike: ({ deployed }) => deployed.platform.kill(),
    harmless: true,
    repeatableSurvive: true,
  },
  {
    name: 'server added',
    strike: ({ deployed }) =>
      deployed.addServer({
        name: 'back-4',
        service: 'back',
        version: 'v1',
        region: 'home',
        failureDomain: 'home-a',
      }),
    harmless: true,
    repeatableSurvive: true,
  },
];

const STEPS: readonly requestCalls.Step[] = ['accepted', 'dispatched', 'running', 'relayed'];
/** Calls of each kind; with `dispatched` more than the twelve slots, so that some wait. */
const COUNT: Readonly<Record<requestCalls.Step, number>> = {
  accepted: 3,
  dispatched: 8,
  running: 3,
  relayed: 3,
};
const SERVICE_TIME_MS = 400;
const HOLD_MS = 150;
const MAX_LATE_WORK_MS = 3_000;
/** Deadline of the calls, and time for a busy machine to deliver the answer. */
const MAX_CALL_MS = 4_000 + 2_000;

async function createScene(): Promise<Scene> {
  const deployed = await harness.deployment.createDeployment({
    layout: LAYOUT,
    upstreamArgs: ['--service-time-ms', String(SERVICE_TIME_MS), '--service-time-sigma', '0'],
    nodeSettings: { log: { level: 'warn' } },
  });
  try {
    const [entry] = deployed.select({ service: 'front' });
    const [victim] = deployed.select({ service: 'back', region: 'home' });
    if (entry === undefined || victim === undefined) {
      throw new RangeError('the layout has too few servers');
    }
    const others = deployed.select({ service: 'back' }).filter((server) => server !== victim);
    await entry.admin.file(TICKET);
    await harness.wait.waitFor('the configuration and the upstreams', async () => {
      const versions = [...(await deployed.configVersions()).values()];
      const known = await entry.admin.upstreams();
      return versions.every((version) => version === 1) && known.length === 4;
    });
    await onceKeys.waitServed([entry]);
    return { deployed, entry, victim, others };
  } catch (err) {
    await deployed.close();
    throw err;
  }
}

async function strikeAt(fault: Fault, step: requestCalls.Step): Promise<void> {
  const scene = await createScene();
  const { deployed, entry, victim, others } = scene;
  try {
    await fault.before?.(scene);
    const held = new requestCalls.HeldCalls(entry.callerUrl, step);
    held.send(COUNT[step], 'held');
    // Relayed answers are on their way to the caller only after the service time.
    await timers.setTimeout(step === 'relayed' ? SERVICE_TIME_MS + HOLD_MS : HOLD_MS);
    const striking = fault.strike(scene);
    await timers.setTimeout(HOLD_MS);
    held.proceed();
    const results = await held.results();
    await striking;
    if (fault.name === 'upstream frozen') victim.upstream?.thaw();
    if (fault.name === 'destination node frozen') victim.node?.thaw();
    check(fault, step, results);
    const alive = fault.losesRuns === true ? others : [victim, ...others];
    await checkRuns(results, alive, fault);
    if (fault.name === 'upstream drains') checkDrain(victim);
  } finally {
    await deployed.close();
  }
}

function check(fault: Fault, step: requestCalls.Step, results: requestCalls.CallResult[]): void {
  for (const result of results) {
    const told = `${fault.name} at ${step}: ${JSON.stringify(result)}`;
    if (result.status === 200) assert.ok(result.right, `a wrong answer, ${told}`);
    assert.ok(result.ms < MAX_CALL_MS, `an answer held back, ${told}`);
    if (result.status !== null && result.status >= 500) {
      assert.ok(result.outcome !== '' && result.hasRetryAfter, `a bare refusal, ${told}`);
    }
    const begun = step === 'relayed';
    const mustSucceed = fault.harmless || (fault.repeatableSurvive && result.key === '' && !begun);
    if (mustSucceed) assert.equal(result.status, 200, `a lost request, ${told}`);
  }
}

async function checkRuns(
  results: requestCalls.CallResult[],
  servers: harness.deployment.Server[],
  fault: Fault,
): Promise<void> {
  const runs = new Map<string, number>();
  for (const { upstreamControl } of servers) {
    const { keys } = await upstreamControl.runs();
    Object.entries(keys).forEach(([key, n]) => runs.set(key, (runs.get(key) ?? 0) + n));
  }
  for (const { key, outcome, status } of results.filter((result) => result.key !== '')) {
    const count = runs.get(key) ?? 0;
    assert.ok(count <= 1, `${key} ran ${count} times`);
    if (outcome === 'notRun') assert.equal(count, 0, `${key} ran but was told notRun`);
    const counted = fault.losesRuns !== true;
    if (status === 200 && counted) assert.equal(count, 1, `${key} was answered but did not run`);
  }
}

function checkDrain(victim: harness.deployment.Server): void {
  const drained = victim.upstream?.records.find(({ msg }) => msg === 'upstream: drained');
  assert.ok(drained !== undefined, 'the upstream did not report its drain');
  const lateMs = Number(drained.lastArrivalAfterDrainMs ?? 0);
  assert.ok(lateMs < MAX_LATE_WORK_MS, `new work ${lateMs} ms after the drain`);
}

function cellOf(fault: Fault, step: requestCalls.Step): cell.Cell {
  const run = () => strikeAt(fault, step);
  const invariants = fault.name === 'upstream drains' ? [5, 6, 7, 8, 9] : [5, 6, 7, 9];
  return { area: 'requests', fault: fault.name, step, invariants, run };
}

/** Cells that are listed but not written yet. */
const OPEN: readonly [string, string][] = [
  // Their runs are lost with the upstream, so a second run could not be counted.
  ['upstream killed', 'recorded'],
  ['upstream drains', 'recorded'],
];

export const CELLS: readonly cell.Cell[] = [
  ...FAULTS.flatMap((fault) => STEPS.map((step) => cellOf(fault, step))),
  ...recordedRequests.CELLS,
  ...OPEN.map(([fault, step]): cell.Cell => ({
    area: 'requests',
    fault,
    step,
    invariants: [5, 6, 7],
  })),
];
