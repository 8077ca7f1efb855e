/**
 * Estimates how long a caller has already waited before the attempt at hand. A caller that was refused
 * comes back with what is left of its time, on a new connection; taken for a new request, it would
 * wait as if its whole target latency were still ahead.
 */

import type { ids } from '@godwittrack/core';

/** Deadlines of first attempts that are remembered for each route. */
const REMEMBERED_DEADLINES = 64;
/** Deadlines that must be known before an age is estimated. */
const MIN_DEADLINES = 16;
/** Rank of the remembered deadlines below which an attempt counts as repeated. */
const LOWEST_RANK = 0.1;
const MIDDLE_RANK = 0.5;
/** Samples between two sorts of the remembered deadlines. */
const SAMPLES_PER_REFRESH = 8;

interface RouteDeadlines {
  samples: number[];
  next: number;
  sinceRefresh: number;
  /** Shortest deadline that first attempts usually state; 0 until enough are known. */
  lowestMs: number;
  middleMs: number;
  /** Monotonic time of the last attempt that may be repeated; at first that of the first attempt. */
  failedAtMs: number;
}

export class AttemptAge {
  private readonly routes = new Map<ids.RouteName, RouteDeadlines>();

  constructor(private readonly nowMs: () => number) {}

  /** Notes an attempt whose caller may come back. */
  noteFailed(route: ids.RouteName): void {
    this.deadlinesOf(route).failedAtMs = this.nowMs();
  }

  /**
   * Whether all attempts of the moment are first ones: callers come back to the same node, and within
   * the longest time that a request on the route may take.
   */
  isCalm(route: ids.RouteName, timeoutMs: number): boolean {
    return this.nowMs() - this.deadlinesOf(route).failedAtMs > timeoutMs;
  }

  /** Notes an attempt that is certainly a first one. */
  noteFirst(route: ids.RouteName, deadlineMs: number): void {
    const known = this.deadlinesOf(route);
    known.samples[known.next] = deadlineMs;
    known.next = (known.next + 1) % REMEMBERED_DEADLINES;
    known.sinceRefresh += 1;
    if (known.sinceRefresh < SAMPLES_PER_REFRESH || known.samples.length < MIN_DEADLINES) return;
    known.sinceRefresh = 0;
    const sorted = [...known.samples].sort((a, b) => a - b);
    known.lowestMs = sorted[Math.floor(sorted.length * LOWEST_RANK)]!;
    known.middleMs = sorted[Math.floor(sorted.length * MIDDLE_RANK)]!;
  }

  /** @returns milliseconds, 0 for an attempt that may be a first one */
  ageOf(route: ids.RouteName, deadlineMs: number): number {
    const known = this.routes.get(route);
    if (known === undefined || deadlineMs >= known.lowestMs) return 0;
    return known.middleMs - deadlineMs;
  }

  /** Forgets routes that the configuration no longer has. */
  retain(isRoute: (route: ids.RouteName) => boolean): void {
    for (const route of this.routes.keys()) if (!isRoute(route)) this.routes.delete(route);
  }

  private deadlinesOf(route: ids.RouteName): RouteDeadlines {
    let known = this.routes.get(route);
    if (known === undefined) {
      known = {
        samples: [],
        next: 0,
        sinceRefresh: 0,
        lowestMs: 0,
        middleMs: 0,
        failedAtMs: this.nowMs(),
      };
      this.routes.set(route, known);
    }
    return known;
  }
}
