/** Counts an upstream's responses by route, on the node that runs on the same host. */

import type { ids } from '@godwittrack/core';
import type * as phases from './phases.js';
import * as responseTimes from './responseTimes.js';

export interface RouteEvidence {
  requests: number;
  /** Responses with a status from 500, and requests without a usable response, but for timeouts. */
  failures: number;
  /** Total response time of the requests that did not fail. */
  totalMs: number;
  /**
   * Requests without a response at their deadline. Nodes of earlier releases count them as failures, and tell
   * neither this nor the following.
   */
  timeouts?: number;
  /** Responses with a status from 400 to 499. */
  rejections?: number;
  /** Response times of the requests that did not fail, but for those of a cold upstream. */
  times?: responseTimes.TimeCounts;
  /** Times after which requests ended that had no response yet: at their deadline, or when the caller left. */
  unfinished?: responseTimes.TimeCounts;
  /** Times since the start of the requests that are under way. */
  running?: responseTimes.TimeCounts;
}

/** `cancelled`: the caller left before a response came. */
export type RequestEndType = 'success' | 'rejection' | 'failure' | 'timeout' | 'cancelled';

/** A request that the upstream works on. */
export interface Run {
  route: string;
  startedMs: number;
  /** Whether the upstream was cold at the start of the request, so that its time tells nothing of its version. */
  isCold: boolean;
}

export interface EvidenceReport {
  node: ids.NodeId;
  service: ids.ServiceName;
  version: ids.VersionName;
  instance: ids.InstanceId;
  /** Counts since the rollout started on this node. */
  routes: Record<string, RouteEvidence>;
  /** Requests running or waiting at the upstream; nodes of earlier releases do not tell it. */
  load?: number;
}

/** Routes of which a report has the times: they make up most of its size. */
const MAX_TIMED_ROUTES = 8;
/** Ticks of the node's timer between two reports. */
const REPORT_EVERY_TICKS = 3;

/** In `full`, the last requests of the old version must be seen in time. */
export function isReportDue(phase: phases.Phase, ticks: number): boolean {
  return phase === 'full' || ticks % REPORT_EVERY_TICKS === 0;
}

export class EvidenceRecorder {
  private routes: Record<string, Counts> = {};

  private readonly running = new Set<Run>();

  private target: ids.VersionName | null = null;

  constructor(private readonly nowMs: () => number) {}

  /** Begins anew with each rollout of the upstream's service. */
  follow(target: ids.VersionName): void {
    if (this.target !== target) this.reset();
    this.target = target;
  }

  /** Discards all counts, when a rollout starts or the upstream is replaced. */
  reset(): void {
    this.routes = {};
    this.running.clear();
  }

  begin(route: string, isCold: boolean): Run {
    const run = { route, startedMs: this.nowMs(), isCold };
    this.running.add(run);
    return run;
  }

  /**
   * Counts the end of a request that began since the last reset.
   * @param type null if the end tells nothing of the upstream
   */
  end(run: Run, type: RequestEndType | null): void {
    if (!this.running.delete(run) || type === null) return;
    const counts = this.countsOf(run.route);
    const ms = this.nowMs() - run.startedMs;
    const isUnfinished = type === 'timeout' || type === 'cancelled';
    if (isUnfinished && !run.isCold) responseTimes.record(counts.unfinished, ms);
    if (type === 'cancelled') return;
    counts.requests += 1;
    if (type === 'failure') counts.failures += 1;
    else if (type === 'timeout') counts.timeouts += 1;
    else if (type === 'rejection') counts.rejections += 1;
    if (type !== 'success' && type !== 'rejection') return;
    counts.totalMs += ms;
    if (!run.isCold) responseTimes.record(counts.times, ms);
  }

  /** A copy, which further responses do not change. The routes with the most requests have their times. */
  countsByRoute(): Record<string, RouteEvidence> {
    const routes = Object.entries(this.routes).sort(([, a], [, b]) => b.requests - a.requests);
    const counts: Record<string, RouteEvidence> = Object.fromEntries(
      routes.map(([route, each], rank) => [route, copyOf(each, rank < MAX_TIMED_ROUTES)]),
    );
    for (const { route, startedMs, isCold } of this.running) {
      // The first requests of a route have no end to be counted yet.
      counts[route] ??= copyOf(emptyCounts(), true);
      const { running } = counts[route];
      if (!isCold && running) responseTimes.record(running, this.nowMs() - startedMs);
    }
    return counts;
  }

  private countsOf(route: string): Counts {
    const counts = this.routes[route] ?? emptyCounts();
    this.routes[route] = counts;
    return counts;
  }
}

type Counts = Required<Omit<RouteEvidence, 'running'>>;

function copyOf({ times, unfinished, ...sums }: Counts, withTimes: boolean): RouteEvidence {
  return withTimes
    ? { ...sums, times: [...times], unfinished: [...unfinished], running: [] }
    : sums;
}

function emptyCounts(): Counts {
  return {
    requests: 0,
    failures: 0,
    totalMs: 0,
    timeouts: 0,
    rejections: 0,
    times: [],
    unfinished: [],
  };
}
