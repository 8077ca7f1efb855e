/**
 * Lets a node stop using a version on its own evidence, without controller or platform. Two rules
 * veto: a run of failures of the target that is too unlikely at the failure rate that the stable
 * version showed during the run, and the sequential test over the node's own counters.
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
}

/** Largest chance of a run under the stable version's failure rate that is still accepted. */
const RUN_CHANCE: Readonly<Record<rollouts.Balance, number>> = {
  timely: 1e-7,
  even: 1e-6,
  careful: 1e-5,
};
const MIN_RUN = 4;
/** A shorter run without stable traffic makes the node compare before it decides. */
const SUSPECT_RUN = 3;
const SUSPECT_TIME_MS = 5_000;
const MAX_ROUTES = 200;

interface Run {
  failures: number;
  servers: Set<string>;
  stableOk: number;
  stableErrors: number;
}

interface Watched extends GuardedRollout {
  runs: Map<string, Run>;
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
      const test = new sequentialTest.BettingTest(one);
      const runs = new Map<string, Run>();
      this.watched.set(one.rollout, { ...one, runs, test, suspectUntilMs: 0, vetoed: false });
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
  evaluate(rollout: string, totals: evidence.RolloutTotals): void {
    const watched = this.watched.get(rollout);
    if (watched === undefined || watched.vetoed) return;
    const verdict = watched.test.observe(totals);
    if (verdict.decision === 'bad') this.veto(watched, verdict.route, verdict.reason);
    else if (verdict.suspect) this.suspect(watched);
  }

  private addFailure(watched: Watched, req: recorder.FinishedRequest, held: Run | undefined): void {
    const run = held ?? { failures: 0, servers: new Set(), stableOk: 0, stableErrors: 0 };
    if (held === undefined && watched.runs.size >= MAX_ROUTES) return;
    watched.runs.set(req.route, run);
    run.failures += 1;
    if (run.servers.size < 2) run.servers.add(req.server);
    const oneHost =
      run.servers.size < 2 && this.options.readyServers(watched.rollout, watched.target) > 1;
    if (oneHost) return;
    // The rule of succession keeps the rate above zero while few stable requests were seen.
    const stable = run.stableOk + run.stableErrors;
    const rate = (run.stableErrors + 1) / (stable + 2);
    const unlikely = rate ** run.failures < RUN_CHANCE[watched.balance];
    if (run.failures >= MIN_RUN && unlikely && run.stableOk > run.stableErrors) {
      const reason = `${run.failures} failures in a row on route ${req.route}, ${run.stableOk} of ${stable} stable requests succeeded meanwhile`;
      this.veto(watched, req.route, reason);
    } else if (run.failures >= SUSPECT_RUN) {
      this.suspect(watched);
    }
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
