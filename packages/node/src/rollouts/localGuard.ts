/**
 * Lets a node stop using a version on its own evidence, without the controller or the platform.
 * Either of two tests can veto: the run test, when consecutive failures of the target are too
 * improbable given the stable version's answers during the same time, and the sequential test over
 * the node's own counters.
 */

import { eProcess, type rollout as rollouts } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as evidenceMerge from './evidenceMerge.js';
import type * as evidenceRecorder from './evidenceRecorder.js';
import * as sequentialTest from './sequentialTest.js';

export interface GuardedRollout {
  rollout: string;
  stable: string;
  target: string;
  balance: rollouts.Balance;
}

export interface LocalGuardOptions {
  node: string;
  nowMs: () => number;
  /** Receives each new veto once; the caller merges it into its veto set and distributes it. */
  onVeto: (veto: distribution.Veto) => void;
  /**
   * Number of ready servers of a version. With more than one, failures of a single server do not
   * count as a fault of the version; outlier ejection handles them.
   */
  readyServers: (rollout: string, version: string) => number;
  /** Number of nodes that run these tests; the false-veto probability is divided among them. */
  entryNodes: () => number;
}

/**
 * Accepted probability that the run tests of all entry nodes together veto a version that is no
 * worse. Each new run spends part of it (alpha spending): with many failures in both versions,
 * hundreds of runs begin per second, so a fixed probability per run would add up to false vetoes.
 */
const RUN_ALPHA = 0.001;
/** Consecutive failures below which the run test does not veto. */
const MIN_RUN = 4;
/**
 * Consecutive failures from which a run that does not justify a veto, for example because there is
 * no stable traffic, makes the node limit the target's share to compare the versions.
 */
const SUSPECT_RUN = 3;
const SUSPECT_TIME_MS = 5_000;
const MAX_ROUTES = 200;

/** Consecutive failures of the target on one route. */
interface Run {
  failures: number;
  byServer: Map<string, number>;
  /** Significance level of this run: a less probable run is taken as a fault of the target. */
  alpha: number;
  stableOk: number;
  stableErrors: number;
}

interface Watched extends GuardedRollout {
  runs: Map<string, Run>;
  runsStarted: number;
  test: sequentialTest.SequentialTest;
  suspectUntilMs: number;
  vetoed: boolean;
}

export class LocalGuard {
  private readonly options: LocalGuardOptions;

  private readonly watched = new Map<string, Watched>();

  constructor(options: LocalGuardOptions) {
    this.options = options;
  }

  /** Sets the running rollouts; the state of those that are already watched is kept. */
  watch(running: readonly GuardedRollout[]): void {
    const wanted = new Set(running.map(({ rollout }) => rollout));
    for (const id of this.watched.keys()) if (!wanted.has(id)) this.watched.delete(id);
    for (const one of running) {
      if (this.watched.has(one.rollout)) continue;
      const alpha = sequentialTest.alphaOf(one.balance) / Math.max(1, this.options.entryNodes());
      const test = new sequentialTest.BettingTest({ ...one, alpha });
      const state = { runs: new Map<string, Run>(), runsStarted: 0, suspectUntilMs: 0 };
      this.watched.set(one.rollout, { ...one, ...state, test, vetoed: false });
    }
  }

  /** True while the target's share is limited to compare the versions; see `TrafficShares`. */
  isSuspect(rollout: string): boolean {
    const watched = this.watched.get(rollout);
    return watched !== undefined && this.options.nowMs() < watched.suspectUntilMs;
  }

  /** Records a finished request; runs on the request path. */
  record(req: evidenceRecorder.FinishedRequest): void {
    const watched = this.watched.get(req.rollout);
    if (watched === undefined || watched.vetoed) return;
    if (req.coldStart || req.outcome === 'refused') return;
    const run = watched.runs.get(req.route);
    if (req.version === watched.stable) {
      if (run === undefined) return;
      if (req.outcome === 'ok') run.stableOk += 1;
      else run.stableErrors += 1;
      return;
    }
    if (req.version !== watched.target) return;
    if (req.outcome === 'ok') watched.runs.delete(req.route);
    else this.addFailure(watched, req, run);
  }

  /** Runs the sequential test on the node's own cumulative counters; call once per interval. */
  evaluate(rollout: string, totals: evidenceMerge.RolloutTotals, sharePct?: number): void {
    const watched = this.watched.get(rollout);
    if (watched === undefined || watched.vetoed) return;
    const verdict = watched.test.observe(totals, sharePct);
    if (verdict.decision === 'bad') this.veto(watched, verdict.route, verdict.reason);
    else if (verdict.suspect) this.markSuspect(watched);
  }

  private addFailure(
    watched: Watched,
    req: evidenceRecorder.FinishedRequest,
    known: Run | undefined,
  ): void {
    if (known === undefined && watched.runs.size >= MAX_ROUTES) return;
    const run = known ?? this.startRun(watched);
    watched.runs.set(req.route, run);
    run.failures += 1;
    run.byServer.set(req.server, (run.byServer.get(req.server) ?? 0) + 1);
    const { stableOk, stableErrors } = run;
    const severalServers = this.options.readyServers(watched.rollout, watched.target) > 1;
    // The server with most failures is excluded: one bad host fails so often that occasional errors
    // of other servers fall into its runs.
    const excludedFailures = severalServers ? Math.max(...run.byServer.values()) : 0;
    const countedFailures = run.failures - excludedFailures;
    if (countedFailures === 0) return;
    const probability = probabilityOfRun(countedFailures, stableOk, stableErrors);
    if (run.failures >= MIN_RUN && probability < run.alpha && stableOk > stableErrors) {
      const stable = stableOk + stableErrors;
      const reason = `${run.failures} failures in a row on route ${req.route}, ${stableOk} of ${stable} stable requests succeeded meanwhile`;
      this.veto(watched, req.route, reason);
    } else if (run.failures >= SUSPECT_RUN) {
      this.markSuspect(watched);
    }
  }

  private startRun(watched: Watched): Run {
    const state = watched;
    const weight = eProcess.restartWeight(state.runsStarted);
    state.runsStarted += 1;
    const alpha = (RUN_ALPHA * weight) / Math.max(1, this.options.entryNodes());
    return { failures: 0, byServer: new Map(), alpha, stableOk: 0, stableErrors: 0 };
  }

  private markSuspect(watched: Watched): void {
    const state = watched;
    state.suspectUntilMs = this.options.nowMs() + SUSPECT_TIME_MS;
  }

  private veto(watched: Watched, route: string, reason: string): void {
    const state = watched;
    state.vetoed = true;
    const { rollout, target: version } = watched;
    const { node, nowMs, onVeto } = this.options;
    onVeto({ rollout, version, route, node, reason, atMs: nowMs() });
  }
}

/**
 * Probability that all requests of the target after the first of a run fail, if the failures are
 * distributed between the versions at random. It depends only on this split, so no failure rate has
 * to be estimated from a few stable requests.
 */
function probabilityOfRun(failures: number, stableOk: number, stableErrors: number): number {
  let probability = 1;
  for (let at = 1; at < failures; at++) {
    probability *= (failures + stableErrors - at) / (failures + stableErrors + stableOk - at);
  }
  return probability;
}
