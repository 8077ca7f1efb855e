/**
 * Infers which routes of the upstream on this host make calls on which other routes. Calls name no parent;
 * what is known is which requests run when a call arrives. A route is taken for the only parent of a call if
 * the call arrives only while it runs, and if nearly each of its runs makes the call.
 */

import type { ids } from '@godwittrack/core';

/** Share of the arrivals of a call at which its parent runs; the rest allows for parents that gave up. */
const MIN_COVERED_SHARE = 0.98;
const MIN_ARRIVALS = 30;
/** Highest probability that a route ran at all arrivals by coincidence. */
const MAX_CHANCE_LOG = Math.log(1e-6);
/** Arrivals nearer to each other are not independent, since a run of 700 ms may make several calls. */
const SAMPLE_INTERVAL_MS = 1_000;
/** Running time that is assumed before any is measured, so that the share of time is not underestimated. */
const ASSUMED_RUNNING_MS = 2_000;
/** Share of a route's runs that make the call; if others don't, they must not be limited for it. */
const MIN_CALLING_SHARE = 0.9;
const MIN_SOLO_RUNS = 20;
/** Upstreams are replaced more often than the calls of a version change. */
const HALF_LIFE_MS = 300_000;

/** A request that the upstream runs. */
export interface Run {
  readonly route: ids.RouteName;
  /** Whether it overlapped no other run of its route so far, so that calls belong to it or to other routes. */
  isSolo: boolean;
  readonly calls: Map<ids.RouteName, number>;
}

interface Parent {
  runs: Set<Run>;
  /** Time for which at least one run was going on, and time since the first one. */
  runningMs: number;
  totalMs: number;
  atMs: number;
  soloRuns: number;
  /** Of the solo runs: those that made a call, and their calls, by route of the call. */
  soloCalls: Map<ids.RouteName, { runs: number; calls: number }>;
}

interface Callee {
  arrivals: number;
  decayedAtMs: number;
  sampledAtMs: number;
  /** Arrivals while a route ran, and the logarithm of the probability that this is a coincidence. */
  byParent: Map<ids.RouteName, { arrivals: number; chanceLog: number }>;
}

export class CallLearner {
  private readonly parents = new Map<ids.RouteName, Parent>();

  private readonly callees = new Map<ids.RouteName, Callee>();

  beginRun(route: ids.RouteName, nowMs: number): Run {
    const parent = this.parentOf(route, nowMs);
    const run = { route, isSolo: parent.runs.size === 0, calls: new Map() };
    for (const other of parent.runs) other.isSolo = false;
    parent.runs.add(run);
    return run;
  }

  /** @param isComplete false for runs that failed and may not have made all of their calls */
  endRun(run: Run, isComplete: boolean, nowMs: number): void {
    const parent = this.parentOf(run.route, nowMs);
    if (!parent.runs.delete(run) || !run.isSolo || !isComplete) return;
    parent.soloRuns += 1;
    for (const [route, calls] of run.calls) {
      const solo = parent.soloCalls.get(route) ?? { runs: 0, calls: 0 };
      parent.soloCalls.set(route, { runs: solo.runs + 1, calls: solo.calls + calls });
    }
  }

  recordCall(route: ids.RouteName, nowMs: number): void {
    const callee = this.calleeOf(route, nowMs);
    callee.arrivals += 1;
    const isSample = nowMs - callee.sampledAtMs >= SAMPLE_INTERVAL_MS;
    if (isSample) callee.sampledAtMs = nowMs;
    for (const [name, { runs }] of this.parents) {
      if (runs.size > 0) {
        const parent = this.parentOf(name, nowMs);
        const covered = callee.byParent.get(name) ?? { arrivals: 0, chanceLog: 0 };
        covered.arrivals += 1;
        if (isSample) covered.chanceLog += Math.log(runningShareOf(parent));
        callee.byParent.set(name, covered);
        for (const run of runs) run.calls.set(route, (run.calls.get(route) ?? 0) + 1);
      }
    }
  }

  /** @returns calls on `callee` per run of `route`; null if it is not known that it is their only parent */
  callsPerRun(route: ids.RouteName, callee: ids.RouteName): number | null {
    const calls = this.callees.get(callee);
    const covered = calls?.byParent.get(route);
    const parent = this.parents.get(route);
    if (calls === undefined || covered === undefined || parent === undefined) return null;
    if (calls.arrivals < MIN_ARRIVALS || covered.chanceLog > MAX_CHANCE_LOG) return null;
    if (covered.arrivals < calls.arrivals * MIN_COVERED_SHARE) return null;
    const solo = parent.soloCalls.get(callee);
    if (solo === undefined || parent.soloRuns < MIN_SOLO_RUNS) return null;
    if (solo.runs < parent.soloRuns * MIN_CALLING_SHARE) return null;
    return solo.calls / parent.soloRuns;
  }

  /** Forgets everything, since another upstream may make other calls. */
  clear(): void {
    this.parents.clear();
    this.callees.clear();
  }

  private parentOf(route: ids.RouteName, nowMs: number): Parent {
    let parent = this.parents.get(route);
    if (parent === undefined) {
      const times = { runningMs: ASSUMED_RUNNING_MS, totalMs: ASSUMED_RUNNING_MS, atMs: nowMs };
      parent = { runs: new Set(), ...times, soloRuns: 0, soloCalls: new Map() };
      this.parents.set(route, parent);
    }
    const elapsedMs = nowMs - parent.atMs;
    const remaining = remainingShare(elapsedMs);
    parent.runningMs = parent.runningMs * remaining + (parent.runs.size > 0 ? elapsedMs : 0);
    parent.totalMs = parent.totalMs * remaining + elapsedMs;
    parent.soloRuns *= remaining;
    for (const solo of parent.soloCalls.values()) {
      solo.runs *= remaining;
      solo.calls *= remaining;
    }
    parent.atMs = nowMs;
    return parent;
  }

  private calleeOf(route: ids.RouteName, nowMs: number): Callee {
    let callee = this.callees.get(route);
    if (callee === undefined) {
      callee = { arrivals: 0, decayedAtMs: nowMs, sampledAtMs: -Infinity, byParent: new Map() };
      this.callees.set(route, callee);
    }
    const remaining = remainingShare(nowMs - callee.decayedAtMs);
    callee.arrivals *= remaining;
    for (const covered of callee.byParent.values()) {
      covered.arrivals *= remaining;
      covered.chanceLog *= remaining;
    }
    callee.decayedAtMs = nowMs;
    return callee;
  }
}

function runningShareOf({ runningMs, totalMs }: Parent): number {
  return Math.min(1, runningMs / totalMs);
}

function remainingShare(elapsedMs: number): number {
  return 0.5 ** (elapsedMs / HALF_LIFE_MS);
}
