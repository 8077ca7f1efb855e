/**
 * Decides from merged evidence whether the target version of a rollout is good or bad.
 *
 * `BettingTest` keeps e-processes. In each interval the failures of both versions are compared
 * within one route by Fisher's noncentral hypergeometric likelihood ratio, which depends on the
 * split of the failures and not on their number; a fault that both versions share therefore gives
 * no evidence. The product over intervals may be looked at after every report: by Ville's
 * inequality it exceeds 1/alpha with probability at most alpha for a version that is not worse.
 */

import { rollout as rollouts } from '@godwittrack/core';
import type * as evidence from './evidenceMerge.js';
import * as recorder from './evidenceRecorder.js';

export interface Verdict {
  decision: 'good' | 'bad' | 'undecided';
  /** Route of a bad decision; empty for the whole version. */
  route: string;
  reason: string;
  summary: rollouts.EvidenceSummary;
  /** Requests of the target judged so far, by route. */
  routeRequests: ReadonlyMap<string, number>;
  /** The target fails or is slow while too few stable requests run to compare it with. */
  suspect: boolean;
}

export abstract class SequentialTest {
  /**
   * Takes the cumulative totals of the rollout; call it once per interval, whose end must not depend
   * on the outcomes. `sharePct` is the planned share, because faults often begin with a new one.
   */
  abstract observe(totals: evidence.RolloutTotals, sharePct?: number): Verdict;
}

export interface BettingTestOptions {
  stable: string;
  target: string;
  balance: rollouts.Balance;
  /** Chance of taking back a version that is not worse. Default by `balance`. */
  alpha?: number;
}

interface BalanceSettings {
  alpha: number;
  /** Wealth needed against "the target fails more by `margin`". */
  proof: number;
  margin: number;
}

const BALANCES: Readonly<Record<rollouts.Balance, BalanceSettings>> = {
  timely: { alpha: 0.003, proof: 10, margin: 0.05 },
  even: { alpha: 0.003, proof: 20, margin: 0.05 },
  careful: { alpha: 0.004, proof: 50, margin: 0.04 },
};

/** Odds of failing, target over stable, that are still taken as equal. */
const ERROR_ODDS_TOLERATED = 1.5;
const SLOW_ODDS_TOLERATED = 2;
const ODDS_BETS = [4, 15, 60, 400];
/** Rates below which a version is not bad, whatever the stable version does. */
const ERROR_RATE_TOLERATED = 0.01;
const SLOW_RATE_TOLERATED = 0.15;
const ERROR_RATE_BETS = [0.05, 0.12, 0.35, 0.85];
const SLOW_RATE_BETS = [0.3, 0.55, 0.75, 0.95];
/** A request is slow above 1.3^2 = 1.7 times the stable version's 90th percentile. */
const SLOW_QUANTILE = 0.9;
const SLOW_EXTRA_BUCKETS = 2;
/** Stable answers needed before the quantile is used. */
const MIN_REFERENCE = 30;
/** Weight kept per interval by the stable version's latency histogram. */
const REFERENCE_DECAY = 0.9975;
const MIN_STABLE_RATE = 0.005;
/** Weight kept per interval by the stable version's failure rate that the proof compares with. */
const PROOF_DECAY = 0.95;
/** Part of the target's errors above which one server is taken as a bad host in the proof. */
const ONE_HOST_PART = 0.6;
const SLOW_PROOF_MARGIN = 0.25;
/**
 * Log wealth that the comparison without one server may miss: a good version with a bad host is
 * itself rare, so a larger chance of taking back such a one is accepted.
 */
const BAD_HOST_LENIENCE = Math.log(4);
/** Servers left out one by one; further servers share the places by hash. */
const MAX_SERVER_GROUPS = 24;
/** Sum of 1/(n ln^2 n) from 2, rounded up: the weights of all restarts sum to less than 1. */
const RESTART_WEIGHT_SUM = 2.2;
const SUSPECT_INTERVALS = 20;
const SUSPECT_ERRORS = 3;
const SUSPECT_ERROR_RATE = 0.03;
const SUSPECT_SLOW_RATE = 0.4;
const SUSPECT_MIN_ANSWERS = 10;
/** Below this part of the traffic the stable version cannot serve as comparison. */
const COMPARABLE_PART = 0.02;

/** Wealth beyond any decision limit, kept clear of overflow. */
const MAX_WEALTH = 1e200;
const MAX_LOG = 200;

/** One interval of one route: requests and failures on each side. */
interface Table {
  targetCount: number;
  targetHits: number;
  stableCount: number;
  stableHits: number;
}

/** Wealth of one family of bets, with a restart weight added per interval. */
class Process {
  private wealth: number[];

  constructor(wealth: number[] = [0, 0, 0, 0]) {
    this.wealth = wealth;
  }

  step(logRatios: readonly number[], restart: number): void {
    const bonus = restart / this.wealth.length;
    this.wealth = this.wealth.map((held, index) => {
      const ratio = logRatios[index] ?? 0;
      const next = held + bonus;
      return ratio === 0 ? next : Math.min(MAX_WEALTH, next * Math.exp(Math.min(ratio, MAX_LOG)));
    });
  }

  copy(): Process {
    return new Process([...this.wealth]);
  }

  get log(): number {
    return Math.log(sum(this.wealth));
  }
}

/**
 * Weights of the restarts: half of them fall with the number of intervals, and half begin anew with
 * each share, so that a fault that a larger share brings out is not judged by the small weights of
 * a long rollout. All of them sum to less than 1.
 */
class RestartWeights {
  private intervals = 0;

  private shares = 0;

  private intervalsAtShare = 0;

  private sharePct = 0;

  setShare(sharePct: number): void {
    if (sharePct === this.sharePct) return;
    this.sharePct = sharePct;
    if (this.intervalsAtShare > 0) this.shares += 1;
    this.intervalsAtShare = 0;
  }

  next(): number {
    const overall = restartWeight(this.intervals);
    const atShare = restartWeight(this.shares) * restartWeight(this.intervalsAtShare);
    this.intervals += 1;
    this.intervalsAtShare += 1;
    return (overall + atShare) / 2;
  }
}

/** Evidence of one kind (errors, or slowness) with one group of servers left out. */
class Pair {
  private readonly versus: Process;

  private readonly floor: Process;

  constructor(versus = new Process(), floor = new Process()) {
    this.versus = versus;
    this.floor = floor;
  }

  step(versus: readonly number[], floor: readonly number[], restart: number): void {
    this.versus.step(versus, restart);
    this.floor.step(floor, restart);
  }

  copy(): Pair {
    return new Pair(this.versus.copy(), this.floor.copy());
  }

  /** Bad means worse than the stable version and worse than the tolerated rate. */
  get log(): number {
    return Math.min(this.versus.log, this.floor.log);
  }
}

/**
 * The smallest wealth over all ways to leave out one server. One bad host among several stays in
 * all but one of them, so it cannot make the version bad on its own.
 */
class Scope {
  private readonly byLeftOut = new Map<string, Pair>([['', new Pair()]]);

  constructor(servers: Iterable<string>) {
    this.addServers(servers);
  }

  addServers(servers: Iterable<string>): void {
    const all = this.byLeftOut.get('') ?? new Pair();
    for (const server of servers) {
      if (!this.byLeftOut.has(server)) this.byLeftOut.set(server, all.copy());
    }
  }

  step(tablesWithout: (server: string) => Table[], rates: Rates, restart: number): void {
    for (const [server, pair] of this.byLeftOut) {
      const tables = tablesWithout(server);
      const versus = ODDS_BETS.map((odds) =>
        sum(tables.map((table) => logOddsRatio(table, odds, rates.odds))),
      );
      const floor = rates.bets.map((bet) =>
        sum(tables.map((table) => logRateRatio(table, bet, rates.tolerated))),
      );
      pair.step(versus, floor, restart);
    }
  }

  get log(): number {
    const [all = -Infinity, ...without] = [...this.byLeftOut.values()].map((pair) => pair.log);
    return without.length > 1 ? Math.min(all, Math.min(...without) + BAD_HOST_LENIENCE) : all;
  }
}

interface Rates {
  odds: number;
  tolerated: number;
  bets: readonly number[];
}

const ERROR_RATES: Rates = {
  odds: ERROR_ODDS_TOLERATED,
  tolerated: ERROR_RATE_TOLERATED,
  bets: ERROR_RATE_BETS,
};
const SLOW_RATES: Rates = {
  odds: SLOW_ODDS_TOLERATED,
  tolerated: SLOW_RATE_TOLERATED,
  bets: SLOW_RATE_BETS,
};

interface Counts {
  ok: number;
  errors: number;
  buckets: readonly number[];
}

/** Counts of one interval; `slow` are answers from the first slow bucket on. */
interface Added extends Counts {
  slow: number;
}

/** What one interval adds on one route. */
interface Interval {
  route: string;
  target: Added;
  stable: Added;
  servers: Map<string, Added>;
  /** First bucket that counts as slow; null without a reference. */
  slowFrom: number | null;
}

interface RouteState {
  held: Map<string, Counts>;
  reference: number[];
  scopes: { errors: Scope; slow: Scope };
  requests: number;
}

interface Recent {
  errors: number;
  answers: number;
  slow: number;
  stable: number;
}

export class BettingTest extends SequentialTest {
  private readonly options: BettingTestOptions;

  private readonly settings: BalanceSettings;

  private readonly routes = new Map<string, RouteState>();

  private readonly whole = { errors: new Scope([]), slow: new Scope([]) };

  private readonly restarts = new RestartWeights();

  private started = false;

  private readonly recent: Recent[] = [];

  private readonly stableRecent = { requests: 0, errors: 0 };

  private readonly proofByServer = new Map<string, number>();

  /** Server that has most of the target's errors; the proof does without it. */
  private leftOut: string | null = null;

  private readonly slowTotals = { target: 0, targetSlow: 0, stable: 0, stableSlow: 0 };

  constructor(options: BettingTestOptions) {
    super();
    this.options = options;
    this.settings = BALANCES[options.balance];
  }

  override observe(totals: evidence.RolloutTotals, sharePct = 0): Verdict {
    this.restarts.setShare(sharePct);
    const intervals = [...totals].map(([route, versions]) => this.difference(route, versions));
    // Totals found at the start mix periods with different shares; comparing them as one interval
    // would mistake a shared fault for a fault of the target.
    if (this.started) this.bet(intervals.filter(hasTraffic));
    this.addProof(intervals);
    this.started = true;
    return this.judge(totals);
  }

  private difference(route: string, versions: ReadonlyMap<string, evidence.Totals>): Interval {
    const state = this.routeState(route);
    const target = versions.get(this.options.target);
    const stable = versions.get(this.options.stable);
    const from = slowFrom(state.reference);
    const servers = new Map<string, Added>();
    for (const [server, counts] of target?.servers ?? []) {
      const group = groupOf(server, target?.servers.size ?? 0);
      const added = subtract(counts, state.held.get(`server ${server}`), from);
      servers.set(group, addCounts(servers.get(group), added));
      state.held.set(`server ${server}`, copyCounts(counts));
    }
    const interval = {
      route,
      target: subtract(target, state.held.get('target'), from),
      stable: subtract(stable, state.held.get('stable'), from),
      servers,
      slowFrom: from,
    };
    if (target !== undefined) state.held.set('target', copyCounts(target));
    if (stable !== undefined) state.held.set('stable', copyCounts(stable));
    const { reference } = state;
    interval.stable.buckets.forEach((count, bucket) => {
      reference[bucket] = (reference[bucket] ?? 0) * REFERENCE_DECAY + count;
    });
    state.requests = (target?.ok ?? 0) + (target?.errors ?? 0);
    return interval;
  }

  /**
   * Adds each interval's answers at the stable version's failure rate of that time, so that errors
   * during a shared fault do not hold up the proof.
   */
  private addProof(intervals: readonly Interval[]): void {
    const { stableRecent, proofByServer } = this;
    const requests = sum(intervals.map(({ stable }) => stable.ok + stable.errors));
    const errors = sum(intervals.map(({ stable }) => stable.errors));
    stableRecent.requests = stableRecent.requests * PROOF_DECAY + requests;
    stableRecent.errors = stableRecent.errors * PROOF_DECAY + errors;
    const { perError, perOk } = this.proofRates();
    for (const { servers } of intervals) {
      for (const [server, counts] of servers) {
        const held = proofByServer.get(server) ?? 0;
        proofByServer.set(server, held + counts.errors * perError + counts.ok * perOk);
      }
    }
  }

  private bet(intervals: Interval[]): void {
    if (intervals.length === 0) return;
    // Intervals without requests of the target tell nothing and use up no weight.
    const judged = intervals.some(({ target }) => target.ok + target.errors > 0);
    const weight = judged ? this.restarts.next() : 0;
    const servers = new Set(intervals.flatMap(({ servers: seen }) => [...seen.keys()]));
    for (const [kind, rates] of [
      ['errors', ERROR_RATES],
      ['slow', SLOW_RATES],
    ] as const) {
      const tables = (server: string) => intervals.map((one) => toTable(one, kind, server));
      this.whole[kind].addServers(servers);
      this.whole[kind].step(tables, rates, weight);
      for (const interval of intervals) {
        const scope = this.routeState(interval.route).scopes[kind];
        scope.addServers(interval.servers.keys());
        scope.step((server) => [toTable(interval, kind, server)], rates, weight);
      }
    }
    this.remember(intervals);
  }

  private remember(intervals: Interval[]): void {
    const recent: Recent = { errors: 0, answers: 0, slow: 0, stable: 0 };
    for (const interval of intervals) {
      const slow = toTable(interval, 'slow', '');
      recent.errors += interval.target.errors;
      recent.answers += interval.target.ok + interval.target.errors;
      recent.slow += slow.targetHits;
      recent.stable += interval.stable.ok + interval.stable.errors;
      this.slowTotals.target += slow.targetCount;
      this.slowTotals.targetSlow += slow.targetHits;
      this.slowTotals.stable += slow.stableCount;
      this.slowTotals.stableSlow += slow.stableHits;
    }
    this.recent.push(recent);
    if (this.recent.length > SUSPECT_INTERVALS) this.recent.shift();
  }

  private judge(totals: evidence.RolloutTotals): Verdict {
    const summary = this.summarize(totals);
    const routeRequests = new Map([...this.routes].map(([route, one]) => [route, one.requests]));
    const base = { summary, routeRequests, suspect: this.isSuspect() };
    const alpha = this.options.alpha ?? this.settings.alpha;
    // Half of alpha for the whole version and half for its routes; each half for errors and slowness.
    const wholeLimit = Math.log(4 / alpha);
    const routeLimit = Math.log((4 * Math.max(1, this.routes.size)) / alpha);
    for (const [kind, text] of [
      ['errors', 'fails more than the stable version'],
      ['slow', 'is slower than the stable version'],
    ] as const) {
      if (this.whole[kind].log >= wholeLimit) {
        return { ...base, decision: 'bad', route: '', reason: `${this.options.target} ${text}` };
      }
      for (const [route, state] of this.routes) {
        if (state.scopes[kind].log >= routeLimit) {
          const reason = `${this.options.target} ${text} on route ${route}`;
          return { ...base, decision: 'bad', route, reason };
        }
      }
    }
    const proved = this.isProved();
    const reason = proved
      ? 'enough evidence that the version is no worse'
      : `not enough requests to judge: ${summary.targetRequests} of about ${summary.neededRequests}`;
    return { ...base, decision: proved ? 'good' : 'undecided', route: '', reason };
  }

  private summarize(totals: evidence.RolloutTotals): rollouts.EvidenceSummary {
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
    const isOneHost =
      servers.size > 1 &&
      worst !== undefined &&
      worst[1].errors > ONE_HOST_PART * summary.targetErrors;
    this.leftOut = isOneHost && worst[1].errors > 0 ? groupOf(worst[0], servers.size) : null;
    if (this.leftOut !== null && worst !== undefined) {
      summary.targetRequests -= worst[1].requests;
      summary.targetErrors -= worst[1].errors;
    }
    const missing = Math.max(0, Math.log(this.settings.proof) - this.proofLog());
    summary.neededRequests = summary.targetRequests + Math.ceil(missing / this.proofRates().perOk);
    return summary;
  }

  /** Log evidence for the target being no worse that one error and one good answer add. */
  private proofRates(): { perError: number; perOk: number } {
    const { requests, errors } = this.stableRecent;
    const rate = Math.min(0.9, Math.max(MIN_STABLE_RATE, errors / Math.max(1, requests)));
    const worse = rate + this.settings.margin;
    return { perError: Math.log(rate / worse), perOk: Math.log((1 - rate) / (1 - worse)) };
  }

  private proofLog(): number {
    const all = sum([...this.proofByServer.values()]);
    return all - (this.leftOut === null ? 0 : (this.proofByServer.get(this.leftOut) ?? 0));
  }

  private isProved(): boolean {
    if (this.proofLog() < Math.log(this.settings.proof)) return false;
    const { target, targetSlow, stable, stableSlow } = this.slowTotals;
    if (target === 0) return false;
    const rate = Math.max(1 - SLOW_QUANTILE, stableSlow / Math.max(1, stable));
    const worse = Math.min(0.99, rate + SLOW_PROOF_MARGIN);
    const log =
      targetSlow * Math.log(rate / worse) +
      (target - targetSlow) * Math.log((1 - rate) / (1 - worse));
    return log >= Math.log(this.settings.proof);
  }

  private isSuspect(): boolean {
    const part = (pick: (one: Recent) => number) => sum(this.recent.map(pick));
    const answers = part((one) => one.answers);
    const stable = part((one) => one.stable);
    if (answers < SUSPECT_MIN_ANSWERS || stable > COMPARABLE_PART * (answers + stable))
      return false;
    const errors = part((one) => one.errors);
    const failing = errors >= SUSPECT_ERRORS && errors > SUSPECT_ERROR_RATE * answers;
    return failing || part((one) => one.slow) > SUSPECT_SLOW_RATE * answers;
  }

  private routeState(route: string): RouteState {
    const held = this.routes.get(route);
    if (held !== undefined) return held;
    const created = {
      held: new Map<string, Counts>(),
      reference: recorder.emptyBuckets(),
      scopes: { errors: new Scope([]), slow: new Scope([]) },
      requests: 0,
    };
    this.routes.set(route, created);
    return created;
  }
}

/** The baseline for measurements: a fixed error rate over the newest requests, and no proof. */
export class FixedThresholdTest extends SequentialTest {
  private readonly target: string;

  private readonly maxErrorRate: number;

  private readonly minRequests: number;

  private readonly window: { requests: number; errors: number }[] = [];

  private held = { requests: 0, errors: 0 };

  constructor(target: string, maxErrorRate = 0.05, minRequests = 20) {
    super();
    this.target = target;
    this.maxErrorRate = maxErrorRate;
    this.minRequests = minRequests;
  }

  override observe(totals: evidence.RolloutTotals): Verdict {
    const now = { requests: 0, errors: 0 };
    for (const versions of totals.values()) {
      const target = versions.get(this.target);
      now.requests += (target?.ok ?? 0) + (target?.errors ?? 0);
      now.errors += target?.errors ?? 0;
    }
    this.window.push({
      requests: now.requests - this.held.requests,
      errors: now.errors - this.held.errors,
    });
    this.held = now;
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

function hasTraffic({ target, stable }: Interval): boolean {
  return target.ok + target.errors + stable.ok + stable.errors > 0;
}

/** Accepted chance of taking back a version that is not worse. */
export function alphaOf(balance: rollouts.Balance): number {
  return BALANCES[balance].alpha;
}

/** Weights of the restarts, or of the runs, numbered from 0; they sum to less than 1. */
export function restartWeight(interval: number): number {
  const index = interval + 2;
  return 1 / (RESTART_WEIGHT_SUM * index * Math.log(index) ** 2);
}

function groupOf(server: string, servers: number): string {
  if (servers <= MAX_SERVER_GROUPS) return server;
  let code = 0;
  for (const char of server) code = (code * 31 + (char.codePointAt(0) ?? 0)) >>> 0;
  return `group ${code % MAX_SERVER_GROUPS}`;
}

function toTable(interval: Interval, kind: 'errors' | 'slow', without: string): Table {
  const { target, stable, servers, slowFrom: from } = interval;
  const left = servers.get(without);
  if (kind === 'errors') {
    return {
      targetCount: target.ok + target.errors - (left?.ok ?? 0) - (left?.errors ?? 0),
      targetHits: target.errors - (left?.errors ?? 0),
      stableCount: stable.ok + stable.errors,
      stableHits: stable.errors,
    };
  }
  if (from === null) return { targetCount: 0, targetHits: 0, stableCount: 0, stableHits: 0 };
  return {
    targetCount: target.ok - (left?.ok ?? 0),
    targetHits: target.slow - (left?.slow ?? 0),
    stableCount: stable.ok,
    stableHits: stable.slow,
  };
}

function slowFrom(reference: readonly number[]): number | null {
  const total = sum(reference);
  if (total < MIN_REFERENCE) return null;
  let seen = 0;
  const quantile = reference.findIndex((count) => {
    seen += count;
    return seen >= SLOW_QUANTILE * total;
  });
  return quantile + 1 + SLOW_EXTRA_BUCKETS;
}

/** Log likelihood ratio of the split of all hits between the versions: `odds` against `nullOdds`. */
function logOddsRatio(table: Table, odds: number, nullOdds: number): number {
  const { targetCount, targetHits, stableCount, stableHits } = table;
  const hits = targetHits + stableHits;
  if (hits <= 0 || targetCount <= 0 || stableCount <= 0 || targetHits < 0) return 0;
  const low = Math.max(0, hits - stableCount);
  const high = Math.min(targetCount, hits);
  let one = -Infinity;
  let zero = -Infinity;
  for (let split = low; split <= high; split++) {
    const ways = logChoose(targetCount, split) + logChoose(stableCount, hits - split);
    one = logSum(one, ways + split * Math.log(odds));
    zero = logSum(zero, ways + split * Math.log(nullOdds));
  }
  return targetHits * Math.log(odds / nullOdds) - one + zero;
}

function logRateRatio({ targetCount, targetHits }: Table, rate: number, nullRate: number): number {
  if (targetCount <= 0 || targetHits < 0) return 0;
  const misses = targetCount - targetHits;
  return targetHits * Math.log(rate / nullRate) + misses * Math.log((1 - rate) / (1 - nullRate));
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

/** Never below zero: an evicted incarnation of a node lowers the totals. */
function subtract(now: Counts | undefined, before: Counts | undefined, from: number | null): Added {
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

function addCounts(first: Added | undefined, second: Added): Added {
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
