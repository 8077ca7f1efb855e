/**
 * Quality of rollout decisions, on many simulated versions and on a seeded set of versions on real
 * processes at the deployments' current sizes. Each is compared with a baseline of a fixed schedule
 * and a fixed error threshold.
 */

import { rollouts } from '@godwittrack/node';
import { harness, rolloutScenario as scenarios } from '@godwittrack/playground';
import * as experiment from '../experiment.js';

const BALANCES = ['timely', 'even', 'careful'] as const;
const LIVE_PLAN = { deadlineMs: 30_000, soakMs: 5_000 };
const SHARED_FAULT_MS = 6_000;
const CANARY_PHASES = ['planned', 'canary'];

const SITES = [
  { layout: harness.layouts.FRASERLINE, service: 'fontworks' },
  { layout: harness.layouts.FUNDACION, service: 'upkeep-hub' },
];

/** Result of the rollout of one version on real processes. */
interface LiveRun {
  kind: scenarios.VersionKind;
  takenBack: boolean;
  onTime: boolean;
  maxUnprovedSharePct: number;
  hurt: number;
  /** Null when the target's share never went back to zero. */
  faultToZeroMs: number | null;
}

export class RolloutsExperiment extends experiment.Experiment {
  override readonly name = 'rollouts';

  override readonly description =
    'good and bad versions against a fixed schedule; settings: balance, rate, versions, liveRate, live=no';

  override async run(options: experiment.ExperimentOptions): Promise<experiment.ExperimentResult> {
    const { seed, quick, settings, report } = options;
    const balance = BALANCES.find((one) => one === settings.get('balance')) ?? 'even';
    const versions = Number(settings.get('versions') ?? (quick ? 14 : 140));
    const requestsPerSecond = Number(settings.get('rate') ?? 600);
    const liveRate = Number(settings.get('liveRate') ?? 150);
    report(`deciding on ${versions} simulated versions at ${requestsPerSecond} requests/s`);
    const simulated = await rollouts.decisionExperiment.runDecisionExperiment({
      ...{ seed, versions, balance, requestsPerSecond },
    });
    const { byKind, ...result } = simulated;
    report(JSON.stringify(byKind));
    if (settings.get('live') === 'no') return result;
    const sites = quick ? SITES.slice(0, 1) : SITES;
    const load = { seed, requestsPerSecond: liveRate };
    const runs = await Promise.all(
      sites.map((site) => runSite({ ...site, ...load }, balance, report)),
    );
    const live = runs.flatMap((run) => run.live);
    const naive = runs.flatMap((run) => run.naive);
    return {
      ...result,
      liveVersions: live.length,
      liveRequestsPerSecond: liveRate,
      ...addPrefix('live', summarizeQuality(live)),
      ...addPrefix('liveNaive', summarizeQuality(naive)),
    };
  }
}

async function runSite(
  options: scenarios.ScenarioOptions,
  balance: scenarios.Balance,
  report: (line: string) => void,
): Promise<{ live: LiveRun[]; naive: LiveRun[] }> {
  const result: { live: LiveRun[]; naive: LiveRun[] } = { live: [], naive: [] };
  const scenario = await scenarios.RolloutScenario.create(options);
  const baseline = await scenarios.NaiveScenario.create(options);
  try {
    for (const kind of shuffle([...scenarios.GOOD_KINDS, ...scenarios.BAD_KINDS], options.seed)) {
      const [live, naive] = await Promise.all([
        runLive(scenario, kind, balance, report),
        runNaive(baseline, kind, balance),
      ]);
      result.live.push(live);
      result.naive.push(naive);
      report(`${options.layout.name}: ${JSON.stringify(live)}`);
    }
  } finally {
    await Promise.all([scenario.close(), baseline.close()]);
  }
  return result;
}

async function runLive(
  scenario: scenarios.RolloutScenario,
  kind: scenarios.VersionKind,
  balance: scenarios.Balance,
  report: (line: string) => void,
): Promise<LiveRun> {
  const { deadlineMs, soakMs } = LIVE_PLAN;
  if (kind === 'coldStart') await scenario.addColdTarget('cold-target');
  if (kind !== 'sharedFault') await scenario.injectFault(kind);
  const traffic = scenario.startTraffic();
  const startMs = Date.now();
  const id = await scenario.startRollout({ balance, deadlineMs, soakMs });
  if (kind === 'sharedFault') {
    await scenario.waitForPhase(id, ['canary', 'stepping'], deadlineMs);
    await scenario.injectFault(kind);
    setTimeout(() => {
      scenario.clearFaults().catch(() => report('could not clear the faults of the upstreams'));
    }, SHARED_FAULT_MS);
  }
  const finalPhases = ['done', 'takenBack', 'superseded'];
  const last = await scenario
    .waitForPhase(id, finalPhases, deadlineMs + soakMs + 20_000)
    .catch(() => scenario.fetchRollout(id));
  await traffic.stop();
  await scenario.reset();
  const history = last?.history ?? [];
  const takenBack = last?.phase === 'takenBack';
  const soaking = history.find(({ phase }) => phase === 'soaking');
  const onTime = soaking !== undefined && soaking.atMs <= startMs + deadlineMs && !takenBack;
  const canaryEntries = history.filter(({ phase }) => CANARY_PHASES.includes(phase));
  const maxUnprovedSharePct = Math.max(0, ...canaryEntries.map(({ sharePct }) => sharePct));
  return {
    kind,
    takenBack,
    onTime,
    maxUnprovedSharePct,
    ...measureHarm(kind, traffic.answers, takenBack),
  };
}

async function runNaive(
  baseline: scenarios.NaiveScenario,
  kind: scenarios.VersionKind,
  balance: scenarios.Balance,
): Promise<LiveRun> {
  const plan = { balance, ...LIVE_PLAN };
  const faultMs = kind === 'sharedFault' ? SHARED_FAULT_MS : null;
  const { takenBack, answers } = await baseline.rollOut(kind, plan, faultMs);
  const harm = measureHarm(kind, answers, takenBack);
  return { kind, takenBack, onTime: !takenBack, maxUnprovedSharePct: 5, ...harm };
}

/** Counts harmed callers; measures from the first of them to the last request sent to the target. */
function measureHarm(
  kind: scenarios.VersionKind,
  answers: readonly scenarios.Answer[],
  takenBack: boolean,
) {
  const harmed = answers.filter((answer) => scenarios.isHarmful(kind, answer));
  const targetAnswers = answers.filter(({ version }) => version === scenarios.TARGET_VERSION);
  const firstMs = Math.min(...harmed.map(({ sentMs }) => sentMs));
  const lastMs = Math.max(...targetAnswers.map(({ sentMs }) => sentMs));
  const reachedZero = takenBack && harmed.length > 0;
  return { hurt: harmed.length, faultToZeroMs: reachedZero ? lastMs - firstMs : null };
}

function summarizeQuality(runs: readonly LiveRun[]): Record<string, number> {
  const bad = runs.filter(({ kind }) => scenarios.isBad(kind));
  const good = runs.filter(({ kind }) => !scenarios.isBad(kind));
  const percent = (subset: readonly LiveRun[], matches: (run: LiveRun) => boolean) =>
    round((100 * subset.filter(matches).length) / Math.max(1, subset.length));
  const times = bad
    .filter(({ hurt }) => hurt > 0)
    .map(({ faultToZeroMs }) => faultToZeroMs ?? Infinity)
    .sort((a, b) => a - b);
  const p99 = times[Math.min(times.length - 1, Math.floor(times.length * 0.99))] ?? 0;
  return {
    goodOnTimePct: percent(good, ({ onTime }) => onTime),
    badTakenBackPct: percent(bad, ({ takenBack }) => takenBack),
    falseTakeBackPct: percent(good, ({ takenBack }) => takenBack),
    maxBadSharePct: Math.max(0, ...bad.map((run) => run.maxUnprovedSharePct)),
    // -1 when the share never went back to zero.
    p99FaultToZeroShareMs: Number.isFinite(p99) ? p99 : -1,
    callersHurtPerBadVersion: round(
      bad.reduce((total, { hurt }) => total + hurt, 0) / Math.max(1, bad.length),
    ),
  };
}

function addPrefix(prefix: string, values: Record<string, number>): Record<string, number> {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [
      `${prefix}${name.charAt(0).toUpperCase()}${name.slice(1)}`,
      value,
    ]),
  );
}

/** Fisher-Yates with the seeded generator of the decision experiment. */
function shuffle<T>(items: readonly T[], seed: number): T[] {
  const random = rollouts.decisionExperiment.createRandom(seed);
  const result = [...items];
  for (let last = result.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1));
    [result[last], result[other]] = [result[other] as T, result[last] as T];
  }
  return result;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
