/**
 * Estimates the time that a caller has spent on earlier attempts of a request. A caller that was
 * refused retries on a new connection with the remainder of its deadline. If that were taken for a
 * first attempt, it would be queued as if its whole target latency were left.
 */

import type { ids } from '@godwittrack/core';

/** Deadlines of first attempts that are kept per route. */
const MAX_SAMPLES = 64;
/** Deadlines that are needed to estimate an age. */
const MIN_SAMPLES = 16;
/** Attempts with a deadline below this quantile of the first attempts' are taken for retries. */
const LOW_QUANTILE = 0.1;
const MEDIAN_QUANTILE = 0.5;
/** Samples after which the quantiles are computed again. */
const SAMPLES_PER_UPDATE = 8;

interface RouteDeadlines {
  samples: number[];
  nextIndex: number;
  sinceUpdate: number;
  /** Low quantile of the deadlines of first attempts; 0 until there are enough samples. */
  lowMs: number;
  medianMs: number;
  /**
   * Monotonic time of the last attempt that its caller may retry; initially that of the route's
   * first attempt.
   */
  failedAtMs: number;
}

export class AttemptAge {
  private readonly routes = new Map<ids.RouteName, RouteDeadlines>();

  constructor(private readonly nowMs: () => number) {}

  /** Records an attempt that its caller may retry. */
  recordFailure(route: ids.RouteName): void {
    this.deadlinesFor(route).failedAtMs = this.nowMs();
  }

  /**
   * Whether all present attempts are first ones: callers retry at the same node, and within the
   * timeout of the route, so there are none if no attempt has failed for that long.
   */
  hasNoRecentFailure(route: ids.RouteName, timeoutMs: number): boolean {
    return this.nowMs() - this.deadlinesFor(route).failedAtMs > timeoutMs;
  }

  /** Records the deadline of an attempt that is certainly a first one. */
  recordFirstAttempt(route: ids.RouteName, deadlineMs: number): void {
    const deadlines = this.deadlinesFor(route);
    deadlines.samples[deadlines.nextIndex] = deadlineMs;
    deadlines.nextIndex = (deadlines.nextIndex + 1) % MAX_SAMPLES;
    deadlines.sinceUpdate += 1;
    if (deadlines.sinceUpdate < SAMPLES_PER_UPDATE || deadlines.samples.length < MIN_SAMPLES)
      return;
    deadlines.sinceUpdate = 0;
    const sorted = [...deadlines.samples].sort((a, b) => a - b);
    deadlines.lowMs = sorted[Math.floor(sorted.length * LOW_QUANTILE)]!;
    deadlines.medianMs = sorted[Math.floor(sorted.length * MEDIAN_QUANTILE)]!;
  }

  /** @returns time spent on earlier attempts in milliseconds; 0 if this may be a first attempt */
  estimateAge(route: ids.RouteName, deadlineMs: number): number {
    const deadlines = this.routes.get(route);
    if (deadlines === undefined || deadlineMs >= deadlines.lowMs) return 0;
    return deadlines.medianMs - deadlineMs;
  }

  /** Removes the deadlines of routes that the configuration no longer has. */
  retain(isRoute: (route: ids.RouteName) => boolean): void {
    for (const route of this.routes.keys()) if (!isRoute(route)) this.routes.delete(route);
  }

  private deadlinesFor(route: ids.RouteName): RouteDeadlines {
    let deadlines = this.routes.get(route);
    if (deadlines === undefined) {
      deadlines = {
        samples: [],
        nextIndex: 0,
        sinceUpdate: 0,
        lowMs: 0,
        medianMs: 0,
        failedAtMs: this.nowMs(),
      };
      this.routes.set(route, deadlines);
    }
    return deadlines;
  }
}
