/**
 * Decides from merged evidence whether the target version of a rollout is good or bad.
 *
 * `BettingTest` is a sequential test by betting: it maintains e-processes, whose value is called
 * wealth. In each interval the failures of both versions are compared within one route by the
 * likelihood ratio of Fisher's noncentral hypergeometric distribution, which depends on how the
 * failures are split and not on their number; a fault that both versions share therefore gives no
 * evidence. The product over intervals may be checked after every report: by Ville's inequality it
 * exceeds 1/alpha with probability at most alpha for a version that is not worse.
 */

import { eProcess, rollout as rollouts } from '@godwittrack/core';
import type * as evidenceMerge from './evidenceMerge.js';
import * as evidenceRecorder from './evidenceRecorder.js';

export interface Verdict {
  decision: 'good' | 'bad' | 'undecided';
  /** Route on which the version is bad; empty if it is bad overall. */
  route: string;
  reason: string;
  summary: rollouts.EvidenceSummary;
  /** Requests of the target counted so far, by route. */
  routeRequests: ReadonlyMap<string, number>;
  /** The target fails or is slow, but there are too few stable requests to compare it with. */
  suspect: boolean;
}

export abstract class SequentialTest {
  /**
   * Adds the cumulative totals of the rollout and returns the verdict. Call it once per interval,
   * whose end must not depend on the outcomes. `sharePct` is the planned share; the test is more
   * sensitive after it changes, because faults often begin with a new share.
   */
  abstract observe(totals: evidenceMerge.RolloutTotals, sharePct?: number): Verdict;
}

export interface BettingTestOptions {
  stable: string;
  target: string;
  balance: rollouts.Balance;
  /** Accepted probability of a false `bad` decision. The default depends on `balance`. */
  alpha?: number;
}

interface BalanceSettings {
  alpha: number;
  /** Likelihood ratio against "the target's failure rate is higher by `margin`" to accept it. */
  nonInferiorityThreshold: number;
  margin: number;
}

const BALANCES: Readonly<Record<rollouts.Balance, BalanceSettings>> = {
  timely: { alpha: 0.003, nonInferiorityThreshold: 10, margin: 0.05 },
  even: { alpha: 0.003, nonInferiorityThreshold: 20, margin: 0.05 },
  careful: { alpha: 0.004, nonInferiorityThreshold: 50, margin: 0.04 },
};

/** Odds ratios of errors and of slow answers, target over stable, that are still tolerated. */
const ERROR_ODDS_TOLERATED = 1.5;
const SLOW_ODDS_TOLERATED = 2;
/** Odds ratios that the e-processes bet on. */
const ALTERNATIVE_ODDS = [4, 15, 60, 400];
/** Rates below which a version is not bad, whatever the stable version does. */
const ERROR_RATE_TOLERATED = 0.01;
const SLOW_RATE_TOLERATED = 0.15;
const ALTERNATIVE_ERROR_RATES = [0.05, 0.12, 0.35, 0.85];
const ALTERNATIVE_SLOW_RATES = [0.3, 0.55, 0.75, 0.95];
/** A request is slow above 1.3^2 = 1.7 times the stable version's 90th percentile latency. */
const SLOW_QUANTILE = 0.9;
const SLOW_EXTRA_BUCKETS = 2;
/** Stable answers required before the quantile is used. */
const MIN_REFERENCE_ANSWERS = 30;
/** Decay per interval of the stable version's latency histogram. */
const REFERENCE_DECAY = 0.9975;
const MIN_STABLE_RATE = 0.005;
/** Decay per interval of the stable counts whose failure rate the non-inferiority test uses. */
const STABLE_RATE_DECAY = 0.95;
/** A server with more than this fraction of the target's errors is excluded as a bad host. */
const BAD_HOST_ERROR_FRACTION = 0.6;
const SLOW_RATE_MARGIN = 0.25;
/**
 * Added to the log wealth that excludes one server: a good version with a bad host is itself rare,
 * so a larger probability of rolling back such a version is accepted.
 */
const BAD_HOST_LOG_ALLOWANCE = Math.log(4);
/** Servers excluded one at a time; with more servers, groups formed by hash are excluded. */
const MAX_SERVER_GROUPS = 24;
/** The target is suspect if it exceeds these limits over its latest intervals. */
const SUSPECT_INTERVALS = 20;
const SUSPECT_ERRORS = 3;
const SUSPECT_ERROR_RATE = 0.03;
const SUSPECT_SLOW_RATE = 0.4;
const SUSPECT_MIN_ANSWERS = 10;
/** With a smaller fraction of the traffic, the stable version cannot be compared with. */
const MIN_STABLE_FRACTION = 0.02;

/** Requests of both versions in one interval; events are the errors or the slow answers of them. */
interface ContingencyTable {
  targetCount: number;
  targetEvents: number;
  stableCount: number;
  stableEvents: number;
}

/** E-processes for errors or for slowness, relative to the stable version and to a fixed rate. */
class CombinedEProcess {
  constructor(
    private readonly relative = new eProcess.EProcess(ALTERNATIVE_ODDS.length),
    private readonly absolute = new eProcess.EProcess(ALTERNATIVE_ODDS.length),
  ) {}

  step(relative: readonly number[], absolute: readonly number[], restart: number): void {
    this.relative.step(relative, restart);
    this.absolute.step(absolute, restart);
  }

  copy(): CombinedEProcess {
    return new CombinedEProcess(this.relative.copy(), this.absolute.copy());
  }

  /** A bad version is worse than the stable version and also worse than the tolerated rate. */
  get log(): number {
    return Math.min(this.relative.log, this.absolute.log);
  }
}

/** Leaves out one server, or group of servers, at a time. */
class LeaveOneOutEProcess {
  private readonly evidence = new eProcess.LeaveOneOut(
    new CombinedEProcess(),
    BAD_HOST_LOG_ALLOWANCE,
  );

  addServers(servers: Iterable<string>): void {
    this.evidence.addMembers(servers);
  }

  step(
    tablesWithout: (server: string | null) => ContingencyTable[],
    hypotheses: Hypotheses,
    restart: number,
  ): void {
    this.evidence.forEach((pair, server) => {
      const tables = tablesWithout(server);
      const relative = ALTERNATIVE_ODDS.map((odds) =>
        sum(tables.map((table) => logOddsRatio(table, odds, hypotheses.nullOdds))),
      );
      const absolute = hypotheses.alternativeRates.map((rate) =>
        sum(tables.map((table) => logRateRatio(table, rate, hypotheses.nullRate))),
      );
      pair.step(relative, absolute, restart);
    });
  }

  get log(): number {
    return this.evidence.log;
  }
}

/** Rates and odds ratios of the null hypothesis "not worse" and of its alternatives. */
interface Hypotheses {
  nullOdds: number;
  nullRate: number;
  alternativeRates: readonly number[];
}

const ERROR_HYPOTHESES: Hypotheses = {
  nullOdds: ERROR_ODDS_TOLERATED,
  nullRate: ERROR_RATE_TOLERATED,
  alternativeRates: ALTERNATIVE_ERROR_RATES,
};
const SLOW_HYPOTHESES: Hypotheses = {
  nullOdds: SLOW_ODDS_TOLERATED,
  nullRate: SLOW_RATE_TOLERATED,
  alternativeRates: ALTERNATIVE_SLOW_RATES,
};

interface Counts {
  ok: number;
  errors: number;
  buckets: readonly number[];
}

/** Counts of one interval; `slow` counts the answers from the first slow bucket upwards. */
interface IntervalCounts extends Counts {
  slow: number;
}

/** Requests of one interval on one route. */
interface RouteInterval {
  route: string;
  target: IntervalCounts;
  stable: IntervalCounts;
  servers: Map<string, IntervalCounts>;
  /** First bucket that counts as slow; null while there are too few stable answers. */
  slowFrom: number | null;
}

interface RouteState {
  previous: Map<string, Counts>;
  reference: number[];
  eProcesses: { errors: LeaveOneOutEProcess; slow: LeaveOneOutEProcess };
  requests: number;
}

interface RecentInterval {
  errors: number;
  answers: number;
  slow: number;
  stable: number;
}

export class BettingTest extends SequentialTest {
  private readonly options: BettingTestOptions;

  private readonly settings: BalanceSettings;

  private readonly routes = new Map<string, RouteState>();

  private readonly wholeVersion = {
    errors: new LeaveOneOutEProcess(),
    slow: new LeaveOneOutEProcess(),
  };

  private readonly restarts = new eProcess.RestartWeights();

  private started = false;

  private readonly recentIntervals: RecentInterval[] = [];

  private readonly decayedStable = { requests: 0, errors: 0 };

  private readonly nonInferiorityByServer = new Map<string, number>();

  /** Server with most of the target's errors, excluded from the non-inferiority test. */
  private excludedServer: string | null = null;

  private readonly slowTotals = { target: 0, targetSlow: 0, stable: 0, stableSlow: 0 };

  constructor(options: BettingTestOptions) {
    super();
    this.options = options;
    this.settings = BALANCES[options.balance];
  }

  override observe(totals: evidenceMerge.RolloutTotals, sharePct = 0): Verdict {
    this.restarts.setShare(sharePct);
    const intervals = [...totals].map(([route, versions]) => this.difference(route, versions));
    // The first totals may cover periods with different shares; comparing them as one interval
    // could mistake a shared fault for a fault of the target.
    if (this.started) this.updateEProcesses(intervals.filter(hasTraffic));
    this.addNonInferiorityEvidence(intervals);
    this.started = true;
    return this.decide(totals);
  }

  private difference(
    route: string,
    versions: ReadonlyMap<string, evidenceMerge.Totals>,
  ): RouteInterval {
    const state = this.routeState(route);
    const target = versions.get(this.options.target);
    const stable = versions.get(this.options.stable);
    const from = slowFrom(state.reference);
    const servers = new Map<string, IntervalCounts>();
    for (const [server, counts] of target?.servers ?? []) {
      const group = groupOf(server, target?.servers.size ?? 0);
      const added = subtract(counts, state.previous.get(`server ${server}`), from);
      servers.set(group, addCounts(servers.get(group), added));
      state.previous.set(`server ${server}`, copyCounts(counts));
    }
    const interval = {
      route,
      target: subtract(target, state.previous.get('target'), from),
      stable: subtract(stable, state.previous.get('stable'), from),
      servers,
      slowFrom: from,
    };
    if (target !== undefined) state.previous.set('target', copyCounts(target));
    if (stable !== undefined) state.previous.set('stable', copyCounts(stable));
    const { reference } = state;
    interval.stable.buckets.forEach((count, bucket) => {
      reference[bucket] = (reference[bucket] ?? 0) * REFERENCE_DECAY + count;
    });
    state.requests = (target?.ok ?? 0) + (target?.errors ?? 0);
    return interval;
  }

  /**
   * Weighs each interval's answers by the stable version's failure rate at that time, so that
   * errors during a shared fault do not delay acceptance.
   */
  private addNonInferiorityEvidence(intervals: readonly RouteInterval[]): void {
    const { decayedStable, nonInferiorityByServer } = this;
    const requests = sum(intervals.map(({ stable }) => stable.ok + stable.errors));
    const errors = sum(intervals.map(({ stable }) => stable.errors));
    decayedStable.requests = decayedStable.requests * STABLE_RATE_DECAY + requests;
    decayedStable.errors = decayedStable.errors * STABLE_RATE_DECAY + errors;
    const { perError, perOk } = this.nonInferiorityLogRatios();
    for (const { servers } of intervals) {
      for (const [server, counts] of servers) {
        const logRatio = nonInferiorityByServer.get(server) ?? 0;
        nonInferiorityByServer.set(server, logRatio + counts.errors * perError + counts.ok * perOk);
      }
    }
  }

  private updateEProcesses(intervals: RouteInterval[]): void {
    if (intervals.length === 0) return;
    // Intervals without requests of the target give no evidence and use no restart weight.
    const hasTargetRequests = intervals.some(({ target }) => target.ok + target.errors > 0);
    const weight = hasTargetRequests ? this.restarts.next() : 0;
    const servers = new Set(intervals.flatMap(({ servers: seen }) => [...seen.keys()]));
    for (const [kind, hypotheses] of [
      ['errors', ERROR_HYPOTHESES],
      ['slow', SLOW_HYPOTHESES],
    ] as const) {
      const tables = (server: string | null) => intervals.map((one) => toTable(one, kind, server));
      this.wholeVersion[kind].addServers(servers);
      this.wholeVersion[kind].step(tables, hypotheses, weight);
      for (const interval of intervals) {
        const wealth = this.routeState(interval.route).eProcesses[kind];
        wealth.addServers(interval.servers.keys());
        wealth.step((server) => [toTable(interval, kind, server)], hypotheses, weight);
      }
    }
    this.addRecentInterval(intervals);
  }

  private addRecentInterval(intervals: RouteInterval[]): void {
    const recent: RecentInterval = { errors: 0, answers: 0, slow: 0, stable: 0 };
    for (const interval of intervals) {
      const slow = toTable(interval, 'slow', '');
      recent.errors += interval.target.errors;
      recent.answers += interval.target.ok + interval.target.errors;
      recent.slow += slow.targetEvents;
      recent.stable += interval.stable.ok + interval.stable.errors;
      this.slowTotals.target += slow.targetCount;
      this.slowTotals.targetSlow += slow.targetEvents;
      this.slowTotals.stable += slow.stableCount;
      this.slowTotals.stableSlow += slow.stableEvents;
    }
    this.recentIntervals.push(recent);
    if (this.recentIntervals.length > SUSPECT_INTERVALS) this.recentIntervals.shift();
  }

  private decide(totals: evidenceMerge.RolloutTotals): Verdict {
    const summary = this.summarize(totals);
    const routeRequests = new Map([...this.routes].map(([route, one]) => [route, one.requests]));
    const base = { summary, routeRequests, suspect: this.isSuspect() };
    const alpha = this.options.alpha ?? this.settings.alpha;
    // Half of alpha is for the whole version and half for its routes; each half is split again
    // between errors and slowness.
    const wholeLimit = Math.log(4 / alpha);
    const routeLimit = Math.log((4 * Math.max(1, this.routes.size)) / alpha);
    for (const [kind, text] of [
      ['errors', 'fails more than the stable version'],
      ['slow', 'is slower than the stable version'],
    ] as const) {
      if (this.wholeVersion[kind].log >= wholeLimit) {
        return { ...base, decision: 'bad', route: '', reason: `${this.options.target} ${text}` };
      }
      for (const [route, state] of this.routes) {
        if (state.eProcesses[kind].log >= routeLimit) {
          const reason = `${this.options.target} ${text} on route ${route}`;
          return { ...base, decision: 'bad', route, reason };
        }
      }
    }
    const nonInferior = this.isNonInferior();
    const reason = nonInferior
      ? 'enough evidence that the version is no worse'
      : `not enough requests to judge: ${summary.targetRequests} of about ${summary.neededRequests}`;
    return { ...base, decision: nonInferior ? 'good' : 'undecided', route: '', reason };
  }

  private summarize(totals: evidenceMerge.RolloutTotals): rollouts.EvidenceSummary {
    const summary = { ...rollouts.NO_EVIDENCE };
    const servers = new Map<string, { requests: number; errors: number }>();
    for (const versions of totals.values()) {
      const target = versions.get(this.options.target);
      const stable = versions.get(this.options.stable);
      summary.targetRequests += (target?.ok ?? 0) + (target?.errors ?? 0);
      summary.targetErrors += target?.errors ?? 0;
      summary.stableRequests += (stable?.ok ?? 0) + (stable?.errors ?? 0);
      summary.stableErrors += stable?.errors ?? 0;
      for (const [server, { ok, errors }] of target?.servers ?? []) {
        const counts = servers.get(server) ?? { requests: 0, errors: 0 };
        counts.requests += ok + errors;
        counts.errors += errors;
        servers.set(server, counts);
      }
    }
    const [worst] = [...servers].sort(([, a], [, b]) => b.errors - a.errors);
    const hasBadHost =
      servers.size > 1 &&
      worst !== undefined &&
      worst[1].errors > BAD_HOST_ERROR_FRACTION * summary.targetErrors;
    this.excludedServer =
      hasBadHost && worst[1].errors > 0 ? groupOf(worst[0], servers.size) : null;
    if (this.excludedServer !== null && worst !== undefined) {
      summary.targetRequests -= worst[1].requests;
      summary.targetErrors -= worst[1].errors;
    }
    const missing = Math.max(
      0,
      Math.log(this.settings.nonInferiorityThreshold) - this.nonInferiorityLog(),
    );
    summary.neededRequests =
      summary.targetRequests + Math.ceil(missing / this.nonInferiorityLogRatios().perOk);
    return summary;
  }

  /** Log likelihood ratio, "no worse" over "worse by the margin", of one error and one success. */
  private nonInferiorityLogRatios(): { perError: number; perOk: number } {
    const { requests, errors } = this.decayedStable;
    const rate = Math.min(0.9, Math.max(MIN_STABLE_RATE, errors / Math.max(1, requests)));
    const worse = rate + this.settings.margin;
    return { perError: Math.log(rate / worse), perOk: Math.log((1 - rate) / (1 - worse)) };
  }

  private nonInferiorityLog(): number {
    const all = sum([...this.nonInferiorityByServer.values()]);
    return (
      all -
      (this.excludedServer === null
        ? 0
        : (this.nonInferiorityByServer.get(this.excludedServer) ?? 0))
    );
  }

  private isNonInferior(): boolean {
    if (this.nonInferiorityLog() < Math.log(this.settings.nonInferiorityThreshold)) return false;
    const { target, targetSlow, stable, stableSlow } = this.slowTotals;
    if (target === 0) return false;
    const rate = Math.max(1 - SLOW_QUANTILE, stableSlow / Math.max(1, stable));
    const worse = Math.min(0.99, rate + SLOW_RATE_MARGIN);
    const log =
      targetSlow * Math.log(rate / worse) +
      (target - targetSlow) * Math.log((1 - rate) / (1 - worse));
    return log >= Math.log(this.settings.nonInferiorityThreshold);
  }

  private isSuspect(): boolean {
    const total = (pick: (one: RecentInterval) => number) => sum(this.recentIntervals.map(pick));
    const answers = total((one) => one.answers);
    const stable = total((one) => one.stable);
    if (answers < SUSPECT_MIN_ANSWERS || stable > MIN_STABLE_FRACTION * (answers + stable))
      return false;
    const errors = total((one) => one.errors);
    const failing = errors >= SUSPECT_ERRORS && errors > SUSPECT_ERROR_RATE * answers;
    return failing || total((one) => one.slow) > SUSPECT_SLOW_RATE * answers;
  }

  private routeState(route: string): RouteState {
    const known = this.routes.get(route);
    if (known !== undefined) return known;
    const created = {
      previous: new Map<string, Counts>(),
      reference: evidenceRecorder.emptyBuckets(),
      eProcesses: { errors: new LeaveOneOutEProcess(), slow: new LeaveOneOutEProcess() },
      requests: 0,
    };
    this.routes.set(route, created);
    return created;
  }
}

/** Baseline for measurements: a fixed error rate limit over the latest requests. */
export class FixedThresholdTest extends SequentialTest {
  private readonly target: string;

  private readonly maxErrorRate: number;

  private readonly minRequests: number;

  private readonly window: { requests: number; errors: number }[] = [];

  private previous = { requests: 0, errors: 0 };

  constructor(target: string, maxErrorRate = 0.05, minRequests = 20) {
    super();
    this.target = target;
    this.maxErrorRate = maxErrorRate;
    this.minRequests = minRequests;
  }

  override observe(totals: evidenceMerge.RolloutTotals): Verdict {
    const now = { requests: 0, errors: 0 };
    for (const versions of totals.values()) {
      const target = versions.get(this.target);
      now.requests += (target?.ok ?? 0) + (target?.errors ?? 0);
      now.errors += target?.errors ?? 0;
    }
    this.window.push({
      requests: now.requests - this.previous.requests,
      errors: now.errors - this.previous.errors,
    });
    this.previous = now;
    if (this.window.length > 120) this.window.shift();
    const requests = sum(this.window.map((one) => one.requests));
    const errors = sum(this.window.map((one) => one.errors));
    const bad = requests >= this.minRequests && errors > this.maxErrorRate * requests;
    return {
      decision: bad ? 'bad' : 'good',
      route: '',
      reason: bad ? 'error rate over the threshold' : 'error rate under the threshold',
      summary: { ...rollouts.NO_EVIDENCE, targetRequests: requests, targetErrors: errors },
      routeRequests: new Map(),
      suspect: false,
    };
  }
}

function hasTraffic({ target, stable }: RouteInterval): boolean {
  return target.ok + target.errors + stable.ok + stable.errors > 0;
}

/** Accepted probability of rolling back a version that is not worse. */
export function alphaOf(balance: rollouts.Balance): number {
  return BALANCES[balance].alpha;
}

function groupOf(server: string, servers: number): string {
  if (servers <= MAX_SERVER_GROUPS) return server;
  let code = 0;
  for (const char of server) code = (code * 31 + (char.codePointAt(0) ?? 0)) >>> 0;
  return `group ${code % MAX_SERVER_GROUPS}`;
}

function toTable(
  interval: RouteInterval,
  kind: 'errors' | 'slow',
  without: string | null,
): ContingencyTable {
  const { target, stable, servers, slowFrom: from } = interval;
  const excluded = without === null ? undefined : servers.get(without);
  if (kind === 'errors') {
    return {
      targetCount: target.ok + target.errors - (excluded?.ok ?? 0) - (excluded?.errors ?? 0),
      targetEvents: target.errors - (excluded?.errors ?? 0),
      stableCount: stable.ok + stable.errors,
      stableEvents: stable.errors,
    };
  }
  if (from === null) return { targetCount: 0, targetEvents: 0, stableCount: 0, stableEvents: 0 };
  return {
    targetCount: target.ok - (excluded?.ok ?? 0),
    targetEvents: target.slow - (excluded?.slow ?? 0),
    stableCount: stable.ok,
    stableEvents: stable.slow,
  };
}

function slowFrom(reference: readonly number[]): number | null {
  const total = sum(reference);
  if (total < MIN_REFERENCE_ANSWERS) return null;
  let seen = 0;
  const quantile = reference.findIndex((count) => {
    seen += count;
    return seen >= SLOW_QUANTILE * total;
  });
  return quantile + 1 + SLOW_EXTRA_BUCKETS;
}

/** Log likelihood ratio of the split of events between the versions, `odds` over `nullOdds`. */
function logOddsRatio(table: ContingencyTable, odds: number, nullOdds: number): number {
  const { targetCount, targetEvents, stableCount, stableEvents } = table;
  const events = targetEvents + stableEvents;
  if (events <= 0 || targetCount <= 0 || stableCount <= 0 || targetEvents < 0) return 0;
  const low = Math.max(0, events - stableCount);
  const high = Math.min(targetCount, events);
  let alternativeSum = -Infinity;
  let nullSum = -Infinity;
  for (let split = low; split <= high; split++) {
    const logWays = logChoose(targetCount, split) + logChoose(stableCount, events - split);
    alternativeSum = logSum(alternativeSum, logWays + split * Math.log(odds));
    nullSum = logSum(nullSum, logWays + split * Math.log(nullOdds));
  }
  return targetEvents * Math.log(odds / nullOdds) - alternativeSum + nullSum;
}

function logRateRatio(table: ContingencyTable, rate: number, nullRate: number): number {
  const { targetCount: requests, targetEvents: events } = table;
  return eProcess.logRateRatio({ requests, events }, rate, nullRate);
}

const logFactorials = [0];

function logFactorial(value: number): number {
  for (let next = logFactorials.length; next <= value; next++) {
    logFactorials.push((logFactorials[next - 1] ?? 0) + Math.log(next));
    if (logFactorials.length > 100_000) break;
  }
  // Stirling's series; its error is below 1e-12 here.
  return (
    logFactorials[value] ?? value * Math.log(value) - value + 0.5 * Math.log(2 * Math.PI * value)
  );
}

function logChoose(all: number, some: number): number {
  return logFactorial(all) - logFactorial(some) - logFactorial(all - some);
}

function logSum(first: number, second: number): number {
  const high = Math.max(first, second);
  if (high === -Infinity) return high;
  return high + Math.log(Math.exp(first - high) + Math.exp(second - high));
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

/** Clamps at zero, because evicting an old incarnation of a node lowers the totals. */
function subtract(
  now: Counts | undefined,
  before: Counts | undefined,
  from: number | null,
): IntervalCounts {
  const buckets = (now?.buckets ?? []).map((count, index) =>
    Math.max(0, count - (before?.buckets[index] ?? 0)),
  );
  return {
    ok: Math.max(0, (now?.ok ?? 0) - (before?.ok ?? 0)),
    errors: Math.max(0, (now?.errors ?? 0) - (before?.errors ?? 0)),
    buckets,
    slow: from === null ? 0 : sum(buckets.slice(from)),
  };
}

function addCounts(first: IntervalCounts | undefined, second: IntervalCounts): IntervalCounts {
  if (first === undefined) return second;
  return {
    ok: first.ok + second.ok,
    errors: first.errors + second.errors,
    buckets: second.buckets,
    slow: first.slow + second.slow,
  };
}

function copyCounts({ ok, errors, buckets }: Counts): Counts {
  return { ok, errors, buckets: [...buckets] };
}
