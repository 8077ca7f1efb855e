/**
 * Seeded experiment on decision quality: simulated requests run through this package's evidence
 * recorder, evidence merge, local guards, traffic shares and controller, with an in-memory object
 * store. The naive baseline follows a fixed schedule with a fixed error threshold; its requests are
 * drawn from the same distribution.
 */

import { clock, ids, rollout as rollouts } from '@godwittrack/core';
import type { configuration } from '@godwittrack/core';
import { memoryObjectStore } from '@godwittrack/platform';
import * as evidenceMerge from './evidenceMerge.js';
import * as evidenceRecorder from './evidenceRecorder.js';
import * as leases from './lease.js';
import * as localGuard from './localGuard.js';
import * as rolloutController from './rolloutController.js';
import * as sequentialTest from './sequentialTest.js';
import * as trafficShares from './trafficShares.js';
import type * as stepPlanner from './stepPlanner.js';
import * as vetoSet from './vetoSet.js';

export interface ExperimentOptions {
  seed: number;
  /** Number of versions to roll out; every second one is bad, and the kinds alternate. */
  versions: number;
  balance: rollouts.Balance;
  /** Requests per second of the service over all entry nodes. Default 60. */
  requestsPerSecond?: number;
}

interface Quality {
  goodOnTimePct: number;
  badTakenBackPct: number;
  falseTakeBackPct: number;
  /** Largest share the controller planned for a bad version before accepting it. */
  maxBadSharePct: number;
  p99FaultToZeroShareMs: number;
  /** Requests of the target in that time, which is longer with little traffic. */
  p99RequestsToZeroShare: number;
  callersHurtPerBadVersion: number;
}

type Prefixed<T> = { [Key in keyof T as `naive${Capitalize<string & Key>}`]: T[Key] };

interface KindSums {
  versions: number;
  takenBack: number;
  onTime: number;
  /** Requests that failed or were slow because of a fault of the target. */
  hurt: number;
  /** Longest time from the first such request to zero share; 0 if there was none. */
  maxFaultToZeroMs: number;
  maxRequestsToZero: number;
  /** Reasons of rollbacks of good versions. */
  reasons: string[];
}

export interface ExperimentResult extends Quality, Prefixed<Quality> {
  seed: number;
  versions: number;
  balance: rollouts.Balance;
  requestsPerSecond: number;
  byKind: Record<string, KindSums>;
}

const GOOD_KINDS = [
  'plain',
  'coldStart',
  'sharedFault',
  'sharedSlowness',
  'oneBadHost',
  'shedsLoad',
] as const;
const BAD_KINDS = [
  'failsAtOnce',
  'failsHalf',
  'failsLater',
  'failsAfterRequests',
  'failsUnderLoad',
  'failsOnOneRoute',
  'slow',
] as const;
type Kind = (typeof GOOD_KINDS)[number] | (typeof BAD_KINDS)[number];

const NODES = 4;
const SERVERS = 4;
const ROUTES = ['browse', 'proof', 'search', 'order'];
const STEP_MS = 50;
const REPORT_MS = 250;
const DEADLINE_MS = 180_000;
/** Default of a plan. A rollout cannot detect faults that begin after the soak period. */
const SOAK_MS = 60_000;
const NAIVE_STEPS = [5, 25, 50, 100];
const COLD_START_MS = 8_000;
const BASE_LATENCY_MS = 20;
const LATENCY_SPREAD = 0.4;
const BASE_ERROR_RATE = 0.002;
const SERVICE = ids.serviceName('fontworks');

/** Seeded random number generator (mulberry32). */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

interface Run {
  kind: Kind;
  onTime: boolean;
  takenBack: boolean;
  maxSharePctBeforeAcceptance: number;
  affectedRequests: number;
  faultToZeroMs: number | null;
  /** Requests of the target from the first affected request to zero share. */
  requestsToZero: number;
  reason: string;
}

/** Answers requests with the errors and latencies of one kind of version. */
class SimulatedVersion {
  private requests = 0;

  private readonly kind: Kind;

  private readonly random: () => number;

  private readonly onsetMs: number;

  private readonly onsetRequests: number;

  constructor(kind: Kind, random: () => number) {
    this.kind = kind;
    this.random = random;
    // From early in the canary phase to just before the end of the fastest rollout's soak period.
    this.onsetMs = 10_000 + random() * 130_000;
    this.onsetRequests = 50 + Math.floor(random() * 1_000);
  }

  answer(isTarget: boolean, route: string, server: number, timeMs: number, targetFraction: number) {
    if (isTarget) this.requests += 1;
    const cold = this.kind === 'coldStart' && isTarget && timeMs < COLD_START_MS;
    let rate = BASE_ERROR_RATE;
    let factor = cold ? 8 : 1;
    const during = timeMs > this.onsetMs && timeMs < this.onsetMs + 15_000;
    if (during && this.kind === 'sharedFault') rate = 0.5;
    if (during && this.kind === 'sharedSlowness') factor = 5;
    if (isTarget) {
      rate = Math.max(rate, this.targetErrorRate(route, server, timeMs, targetFraction));
      if (this.kind === 'slow') factor = 4;
    }
    const refused = this.kind === 'shedsLoad' && isTarget && this.random() < 0.3;
    const latencyMs = BASE_LATENCY_MS * factor * Math.exp(LATENCY_SPREAD * this.normal());
    const error = !refused && this.random() < rate;
    const harmful = error && isTarget && rate > BASE_ERROR_RATE;
    const slowed = isTarget && this.kind === 'slow' && !refused;
    return { latencyMs, refused, error, cold, affected: harmful || slowed };
  }

  private targetErrorRate(
    route: string,
    server: number,
    timeMs: number,
    targetFraction: number,
  ): number {
    switch (this.kind) {
      case 'oneBadHost':
        return server === 0 && timeMs > this.onsetMs ? 0.8 : 0;
      case 'failsAtOnce':
        return 1;
      case 'failsHalf':
        return 0.5;
      case 'failsLater':
        return timeMs > this.onsetMs ? 0.8 : 0;
      case 'failsAfterRequests':
        return this.requests > this.onsetRequests ? 0.9 : 0;
      case 'failsUnderLoad':
        return Math.max(0, Math.min(0.8, (targetFraction - 0.1) * 2));
      case 'failsOnOneRoute':
        return route === 'proof' ? 0.9 : 0;
      default:
        return 0;
    }
  }

  private normal(): number {
    return Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
  }
}

/** One entry node with its own traffic shares, recorder and guard. */
class EntryNode {
  readonly vetoes = new vetoSet.VetoSet();

  readonly view: trafficShares.TrafficShares;

  readonly guard: localGuard.LocalGuard;

  readonly recorder: evidenceRecorder.EvidenceRecorder;

  readonly ownEvidence = new evidenceMerge.EvidenceMerge();

  constructor(name: string, time: clock.Clock, guarded: boolean) {
    this.recorder = new evidenceRecorder.EvidenceRecorder(name, 1, 0);
    this.guard = new localGuard.LocalGuard({
      node: name,
      nowMs: () => time.nowMs(),
      onVeto: (veto) => guarded && this.vetoes.merge([veto]),
      readyServers: () => SERVERS,
      entryNodes: () => NODES,
    });
    this.view = new trafficShares.TrafficShares(
      this.vetoes,
      (rollout) => guarded && this.guard.isSuspect(rollout),
    );
  }
}

/** Runs the experiment; equal options give equal results. */
export async function runDecisionExperiment(options: ExperimentOptions): Promise<ExperimentResult> {
  const { seed, versions, balance, requestsPerSecond = 60 } = options;
  const runs: Run[] = [];
  const naive: Run[] = [];
  for (let index = 0; index < versions; index++) {
    const kinds: readonly Kind[] = index % 2 === 0 ? GOOD_KINDS : BAD_KINDS;
    const kind = kinds[Math.floor(index / 2) % kinds.length] ?? 'plain';
    const settings = { kind, seed: seed * 100_003 + index, balance, requestsPerSecond };
    runs.push(await simulate(settings, false));
    naive.push(await simulate(settings, true));
  }
  return {
    seed,
    versions,
    balance,
    requestsPerSecond,
    ...qualityOf(runs),
    ...withNaivePrefix(qualityOf(naive)),
    byKind: byKind(runs),
  };
}

interface RunSettings {
  kind: Kind;
  seed: number;
  balance: rollouts.Balance;
  requestsPerSecond: number;
}

async function simulate(settings: RunSettings, naive: boolean): Promise<Run> {
  const { kind, balance, requestsPerSecond } = settings;
  const random = createRandom(settings.seed);
  const simulatedVersion = new SimulatedVersion(kind, random);
  const time = new clock.ManualClock(0);
  const nodes = Array.from({ length: NODES }, (_, at) => new EntryNode(`node-${at}`, time, !naive));
  const fleetEvidence = new evidenceMerge.EvidenceMerge();
  const vetoes = new vetoSet.VetoSet();
  const plan: configuration.VersionPlan = {
    service: SERVICE,
    ticket: ids.ticketNumber(1),
    replaces: null,
    stable: 'v1',
    target: 'v2',
    deadline: new Date(DEADLINE_MS).toISOString(),
    soak: SOAK_MS,
    balance,
  };
  const plans = new Map([[SERVICE, plan]]);
  const id = ids.rolloutId(plan.service, plan.ticket);
  nodes.forEach(({ view }) => view.setConfiguration({ plans }));
  let document: rollouts.Rollout | null = null;
  const routes = ROUTES.map((name) => ({
    name: ids.routeName(name),
    service: SERVICE,
    match: { pathPrefix: `/${name}` },
    semantics: name === 'order' ? ('once' as const) : ('safe' as const),
    priority: 5,
  }));
  const store = new memoryObjectStore.MemoryObjectStore();
  const controller = new rolloutController.RolloutController({
    node: 'node-0',
    store,
    lease: new leases.ControllerLease(store, time, 'node-0/1'),
    clock: time,
    inputs: {
      isEligible: () => true,
      configuration: () => ({ plans, routes }),
      evidence: (rollout) => fleetEvidence.totals(rollout),
      vetoes: (rollout) => vetoes.of(rollout),
      members: () => members(time.nowMs(), kind),
      load: () => Math.max(1, (requestsPerSecond * BASE_LATENCY_MS) / 1_000),
    },
    audit: { record: () => undefined },
    logger: { info: () => undefined, warn: () => undefined },
    onDocument: (next) => {
      document = next;
    },
    onVeto: (veto) => vetoes.merge([veto]),
    ...(naive
      ? { createTest: () => new sequentialTest.FixedThresholdTest('v2'), planStep: planNaive }
      : {}),
  });
  const run: Run = {
    kind,
    onTime: false,
    takenBack: false,
    maxSharePctBeforeAcceptance: 0,
    affectedRequests: 0,
    faultToZeroMs: null,
    requestsToZero: 0,
    reason: '',
  };
  let firstAffectedMs: number | null = null;
  for (; time.nowMs() < DEADLINE_MS + SOAK_MS + 20_000; time.advance(STEP_MS)) {
    const nowMs = time.nowMs();
    let count = Math.floor((requestsPerSecond * STEP_MS) / 1_000 + random());
    for (; count > 0; count -= 1) {
      const node = nodes[Math.floor(random() * NODES)];
      const route = ROUTES[Math.floor(random() ** 2 * ROUTES.length)];
      if (node === undefined || route === undefined) continue;
      const choice = node.view.chooseVersion(SERVICE, route, random());
      const isTarget = choice?.version === 'v2';
      const server = Math.floor(random() * SERVERS);
      const targetFraction = (node.view.shareOf(SERVICE, route)?.targetPct ?? 0) / 100;
      const answer = simulatedVersion.answer(isTarget, route, server, nowMs, targetFraction);
      if (answer.affected) {
        run.affectedRequests += 1;
        firstAffectedMs ??= nowMs;
      }
      if (isTarget && firstAffectedMs !== null && run.faultToZeroMs === null)
        run.requestsToZero += 1;
      const finished: evidenceRecorder.FinishedRequest = {
        rollout: id,
        version: isTarget ? 'v2' : 'v1',
        route,
        server: `${isTarget ? 'new' : 'old'}-${server}`,
        outcome: outcomeOf(answer),
        latencyMs: answer.latencyMs,
        coldStart: answer.cold,
      };
      node.recorder.record(finished);
      if (!naive) node.guard.record(finished);
    }
    // Vetoes reach all nodes within one step, as in a tree whose links have 12 ms latency.
    for (const node of nodes) vetoes.merge(node.vetoes.all());
    for (const node of nodes) node.vetoes.merge(vetoes.all());
    if (nowMs % REPORT_MS === 0) {
      const sharePct = (document as rollouts.Rollout | null)?.data.sharePct ?? 0;
      for (const node of nodes) {
        const samples = node.recorder.samples();
        fleetEvidence.merge(samples);
        node.ownEvidence.merge(samples);
        if (!naive) node.guard.evaluate(id, node.ownEvidence.totals(id), sharePct);
      }
      await controller.tick();
      for (const node of nodes) {
        if (document !== null) node.view.apply(document);
        const running = document !== null && !(document as rollouts.Rollout).isFinal;
        node.guard.watch(running ? [{ rollout: id, stable: 'v1', target: 'v2', balance }] : []);
      }
    }
    for (const node of nodes) node.vetoes.merge(vetoes.all());
    const current = document as rollouts.Rollout | null;
    const phase = current?.data.phase;
    if (phase === 'planned' || phase === 'canary') {
      run.maxSharePctBeforeAcceptance = Math.max(
        run.maxSharePctBeforeAcceptance,
        current?.data.sharePct ?? 0,
      );
    }
    if (phase === 'soaking' && nowMs <= DEADLINE_MS) run.onTime = true;
    const isShareZero = nodes.every(
      ({ view }) => (view.shareOf(SERVICE, 'browse')?.targetPct ?? 0) === 0,
    );
    if (firstAffectedMs !== null && run.faultToZeroMs === null && isShareZero) {
      run.faultToZeroMs = nowMs + STEP_MS - firstAffectedMs;
    }
    if (current?.isFinal) break;
  }
  run.takenBack = (document as rollouts.Rollout | null)?.data.phase === 'takenBack';
  if (run.takenBack) run.onTime = false;
  run.reason = (document as rollouts.Rollout | null)?.data.reason ?? '';
  return run;
}

function outcomeOf({ refused, error }: { refused: boolean; error: boolean }) {
  if (refused) return 'refused' as const;
  return error ? ('error' as const) : ('ok' as const);
}

function members(nowMs: number, kind: Kind): rolloutController.UpstreamMember[] {
  return Array.from({ length: SERVERS }, (_, at) => ({
    server: `new-${at}`,
    service: SERVICE,
    version: 'v2',
    ready: true,
    coldStart: kind === 'coldStart' && nowMs < COLD_START_MS,
    slots: 12,
  }));
}

/** Fixed schedule: equal times at 5, 25, 50 and 100 %, regardless of the evidence. */
function planNaive({ nowMs, rollout }: stepPlanner.StepInputs): stepPlanner.StepPlan {
  const { phase, sharePct, changedMs, soakMs } = rollout.data;
  const reason = 'fixed schedule';
  const stepMs = (DEADLINE_MS * 0.8) / (NAIVE_STEPS.length - 1);
  if (phase === 'planned') return { transition: { phase: 'canary', sharePct: 5, reason }, reason };
  if (phase === 'soaking') {
    const isSoakOver = nowMs - changedMs >= soakMs;
    return { transition: isSoakOver ? { phase: 'done', sharePct: 100, reason } : null, reason };
  }
  if (sharePct === 100) return { transition: { phase: 'soaking', reason }, reason };
  if (nowMs - changedMs < stepMs) return { transition: null, reason };
  const next = NAIVE_STEPS.find((step) => step > sharePct) ?? 100;
  return { transition: { phase: 'stepping', sharePct: next, reason }, reason };
}

function qualityOf(runs: readonly Run[]): Quality {
  const bad = runs.filter(({ kind }) => (BAD_KINDS as readonly Kind[]).includes(kind));
  const good = runs.filter((run) => !bad.includes(run));
  const times = bad
    .map(({ faultToZeroMs }) => faultToZeroMs ?? Infinity)
    .filter((_, at) => (bad[at]?.affectedRequests ?? 0) > 0)
    .sort((a, b) => a - b);
  const requests = bad.map(({ requestsToZero }) => requestsToZero).sort((a, b) => a - b);
  const p99 = percentile99(times);
  return {
    goodOnTimePct: percent(good, (run) => run.onTime),
    badTakenBackPct: percent(bad, (run) => run.takenBack),
    falseTakeBackPct: percent(good, (run) => run.takenBack),
    maxBadSharePct: Math.max(0, ...bad.map((run) => run.maxSharePctBeforeAcceptance)),
    // -1 stands for infinity: at the 99th percentile, the share never fell to zero.
    p99FaultToZeroShareMs: Number.isFinite(p99) ? p99 : -1,
    p99RequestsToZeroShare: percentile99(requests),
    callersHurtPerBadVersion: round(
      bad.reduce((total, { affectedRequests }) => total + affectedRequests, 0) /
        Math.max(1, bad.length),
    ),
  };
}

/** Expects sorted values; 0 if there are none. */
function percentile99(sorted: readonly number[]): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.99))] ?? 0;
}

function byKind(runs: readonly Run[]): ExperimentResult['byKind'] {
  const result: ExperimentResult['byKind'] = {};
  for (const run of runs) {
    const sums = result[run.kind] ?? {
      versions: 0,
      takenBack: 0,
      onTime: 0,
      hurt: 0,
      maxFaultToZeroMs: 0,
      maxRequestsToZero: 0,
      reasons: [],
    };
    sums.versions += 1;
    sums.takenBack += Number(run.takenBack);
    sums.onTime += Number(run.onTime);
    sums.hurt += run.affectedRequests;
    sums.maxFaultToZeroMs = Math.max(sums.maxFaultToZeroMs, run.faultToZeroMs ?? 0);
    sums.maxRequestsToZero = Math.max(sums.maxRequestsToZero, run.requestsToZero);
    const isGood = (GOOD_KINDS as readonly Kind[]).includes(run.kind);
    if (run.takenBack && isGood) sums.reasons.push(run.reason);
    result[run.kind] = sums;
  }
  return result;
}

function withNaivePrefix(quality: Quality): Prefixed<Quality> {
  const entries = Object.entries(quality).map(([name, value]) => [
    `naive${name.charAt(0).toUpperCase()}${name.slice(1)}`,
    value as number,
  ]);
  return Object.fromEntries(entries) as Prefixed<Quality>;
}

function percent(runs: readonly Run[], matches: (run: Run) => boolean): number {
  return round((100 * runs.filter(matches).length) / Math.max(1, runs.length));
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
