/** Tests of a new version by kind of failure, over all routes and by route. */

import { eProcess, type ids } from '@godwittrack/core';
import * as comparisonResult from './comparisonResult.js';
import type * as evidence from './evidence.js';
import * as failureTest from './failureTest.js';

/** Ways in which a response can be bad without being late. */
export const FAILURE_KINDS = ['failures', 'timeouts', 'rejections'] as const;
type FailureKind = (typeof FAILURE_KINDS)[number];
const PREDICATES: Record<FailureKind, string> = {
  failures: 'failed',
  timeouts: 'had no response in time',
  rejections: 'were rejected',
};

/** Where counts come from. */
interface Source {
  route: string;
  instance: ids.InstanceId;
  isTarget: boolean;
}

/** Requests since the last evaluation on one route. */
interface RouteInterval {
  target: Map<ids.InstanceId, failureTest.Counts>;
  stable: failureTest.Counts;
}

/** Tests of one kind of failure, over all routes and by route. */
export class FailureTests {
  private readonly overall = new failureTest.FailureTest();

  private readonly byRoute = new Map<string, failureTest.FailureTest>();

  private readonly restarts = new eProcess.RestartWeights();

  private pending = new Map<string, RouteInterval>();

  constructor(private readonly kind: FailureKind) {}

  /** @param previous counts of the upstream's report before, if there was one */
  add(
    { route, instance, isTarget }: Source,
    counts: evidence.RouteEvidence,
    previous: evidence.RouteEvidence | undefined,
  ): void {
    const added = addedSince(this.countsOf(counts), previous && this.countsOf(previous));
    if (added.requests === 0) return;
    const interval = this.pending.get(route) ?? emptyInterval();
    this.pending.set(route, interval);
    if (isTarget) addTo(interval.target, instance, added);
    else interval.stable = failureTest.sum(interval.stable, added);
  }

  evaluate(share: number): comparisonResult.ComparisonResult {
    this.takeInterval(share);
    const worse = this.findWorse(failureTest.FALSE_VERDICT_PROBABILITY, failureTest.MIN_FAILURES);
    if (worse !== null) return { type: 'bad', reason: worse };
    const doubtful = this.findWorse(
      failureTest.FALSE_DOUBT_PROBABILITY,
      failureTest.MIN_DOUBTFUL_FAILURES,
    );
    return doubtful === null ? comparisonResult.PASSED : { type: 'doubtful', reason: doubtful };
  }

  /** @returns what fails more often than at the old version; null if nothing does */
  private findWorse(falseProbability: number, minFailures: number): string | null {
    // Half of the probability is for all routes together, and half for the single ones.
    const half = falseProbability / (2 * FAILURE_KINDS.length);
    if (this.overall.isWorse(half, minFailures)) return this.describe(this.overall, 'all routes');
    for (const [route, test] of this.byRoute) {
      if (test.isWorse(half / this.byRoute.size, minFailures)) return this.describe(test, route);
    }
    return null;
  }

  private countsOf(counts: evidence.RouteEvidence): failureTest.Counts {
    return { requests: counts.requests, failures: counts[this.kind] ?? 0 };
  }

  private describe({ counts }: failureTest.FailureTest, where: string): string {
    return `${counts.failures} of ${counts.requests} requests ${PREDICATES[this.kind]} on ${where}`;
  }

  private takeInterval(share: number): void {
    if (this.pending.size === 0) return;
    this.restarts.setShare(100 * share);
    const all = emptyInterval();
    for (const { target, stable } of this.pending.values()) {
      all.stable = failureTest.sum(all.stable, stable);
      for (const [instance, counts] of target) addTo(all.target, instance, counts);
    }
    // Intervals without requests of the target give no evidence and use no restart weight.
    const restart = all.target.size > 0 ? this.restarts.next() : 0;
    this.overall.add(all, restart);
    for (const [route, interval] of this.pending) {
      const test = this.byRoute.get(route) ?? new failureTest.FailureTest();
      this.byRoute.set(route, test);
      test.add(interval, restart);
    }
    this.pending = new Map();
  }
}

function emptyInterval(): RouteInterval {
  return { target: new Map(), stable: failureTest.NO_REQUESTS };
}

function addTo(
  counts: Map<ids.InstanceId, failureTest.Counts>,
  instance: ids.InstanceId,
  added: failureTest.Counts,
): void {
  counts.set(instance, failureTest.sum(counts.get(instance) ?? failureTest.NO_REQUESTS, added));
}

/** What was added since the previous counts; a restarted node counts from zero. */
function addedSince(
  counts: failureTest.Counts,
  previous: failureTest.Counts | undefined,
): failureTest.Counts {
  const hasRestarted = previous === undefined || counts.requests < previous.requests;
  const { requests, failures } = hasRestarted ? counts : failureTest.subtract(counts, previous);
  return { requests, failures: Math.max(0, failures) };
}
