/**
 * Lets a node stop using a version on its own evidence, without controller or platform. Two rules
 * veto: a run of failures of the target that is too unlikely beside the stable version's answers of
 * the same time, and the sequential test over the node's own counters.
 */

import type { rollout as rollouts } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as evidence from './evidenceMerge.js';
import type * as recorder from './evidenceRecorder.js';
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
  /** Receives each new veto once; the caller merges it into its veto set and sends it on. */
  onVeto: (veto: distribution.Veto) => void;
  /** Ready servers of a version; with more than one, a run on one server is left to ejection. */
  readyServers: (rollout: string, version: string) => number;
  /** Nodes that judge on their own evidence and share the accepted chance of a false veto. */
  entryNodes: () => number;
}

/**
 * Chance that the runs of all entry nodes together veto a version that is no worse. Each run that
 * begins spends a part of it: hundreds of runs begin per second at a high rate of shared failures,
 * so a fixed chance per run adds up to false take-backs.
 */
const RUN_ALPHA = 0.001;
const MIN_RUN = 4;
/** A shorter run without stable traffic makes the node compare before it decides. */
const SUSPECT_RUN = 3;
const SUSPECT_TIME_MS = 5_000;
const MAX_ROUTES = 200;

interface Run {
  failures: number;
  byServer: Map<string, number>;
  /** Largest chance of this run that is taken as a fault of the target. */
  accepted: number;
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

  /** Sets the rollouts that run now; runs of failures are kept for those that go on. */
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

  /** True while the node compares the versions before it decides; see `ShareView`. */
  isSuspect(rollout: string): boolean {
    const watched = this.watched.get(rollout);
    return watched !== undefined && this.options.nowMs() < watched.suspectUntilMs;
  }

  /** Takes each finished request; constant time. */
  record(req: recorder.FinishedRequest): void {
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

  /** Judges the node's own cumulative counters; call it every interval. */
  evaluate(rollout: string, totals: evidence.RolloutTotals, sharePct?: number): void {
    const watched = this.watched.get(rollout);
    if (watched === undefined || watched.vetoed) return;
    const verdict = watched.test.observe(totals, sharePct);
    if (verdict.decision === 'bad') this.veto(watched, verdict.route, verdict.reason);
    else if (verdict.suspect) this.suspect(watched);
  }

  private addFailure(watched: Watched, req: recorder.FinishedRequest, held: Run | undefined): void {
    if (held === undefined && watched.runs.size >= MAX_ROUTES) return;
    const run = held ?? this.startRun(watched);
    watched.runs.set(req.route, run);
    run.failures += 1;
    run.byServer.set(req.server, (run.byServer.get(req.server) ?? 0) + 1);
    const { stableOk, stableErrors } = run;
    const severalServers = this.options.readyServers(watched.rollout, watched.target) > 1;
    // One bad host fails often enough that stray errors of other servers fall into its runs.
    const leftOut = severalServers ? Math.max(...run.byServer.values()) : 0;
    const judged = run.failures - leftOut;
    if (judged === 0) return;
    const chance = chanceOfRun(judged, stableOk, stableErrors);
    if (run.failures >= MIN_RUN && chance < run.accepted && stableOk > stableErrors) {
      const stable = stableOk + stableErrors;
      const reason = `${run.failures} failures in a row on route ${req.route}, ${stableOk} of ${stable} stable requests succeeded meanwhile`;
      this.veto(watched, req.route, reason);
    } else if (run.failures >= SUSPECT_RUN) {
      this.suspect(watched);
    }
  }

  private startRun(watched: Watched): Run {
    const target = watched;
    const weight = sequentialTest.restartWeight(target.runsStarted);
    target.runsStarted += 1;
    const accepted = (RUN_ALPHA * weight) / Math.max(1, this.options.entryNodes());
    return { failures: 0, byServer: new Map(), accepted, stableOk: 0, stableErrors: 0 };
  }

  private suspect(watched: Watched): void {
    const target = watched;
    target.suspectUntilMs = this.options.nowMs() + SUSPECT_TIME_MS;
  }

  private veto(watched: Watched, route: string, reason: string): void {
    const target = watched;
    target.vetoed = true;
    const { rollout, target: version } = watched;
    const { node, nowMs, onVeto } = this.options;
    onVeto({ rollout, version, route, node, reason, atMs: nowMs() });
  }
}

/**
 * Chance that the target's requests after the first of a run all fail, when the failures are split
 * between the versions at random. It depends on the split only, not on a rate that a few stable
 * requests would have to tell.
 */
function chanceOfRun(failures: number, stableOk: number, stableErrors: number): number {
  let chance = 1;
  for (let at = 1; at < failures; at++) {
    chance *= (failures + stableErrors - at) / (failures + stableErrors + stableOk - at);
  }
  return chance;
}
