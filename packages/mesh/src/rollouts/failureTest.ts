/**
 * Decides whether a new version fails more often than the old one, by a sequential test: the probability
 * of a wrong verdict holds however often and however early the test is asked.
 */

import { eProcess, ids } from '@godwittrack/core';

export interface Counts {
  requests: number;
  failures: number;
}

export const NO_REQUESTS: Counts = { requests: 0, failures: 0 };

export function sum(a: Counts, b: Counts): Counts {
  return { requests: a.requests + b.requests, failures: a.failures + b.failures };
}

export function subtract(a: Counts, b: Counts): Counts {
  return { requests: a.requests - b.requests, failures: a.failures - b.failures };
}

/** Requests of an interval at the new version, by upstream, and those at the old version. */
export interface Interval {
  target: ReadonlyMap<ids.InstanceId, Counts>;
  stable: Counts;
}

/** Probability of a verdict against a version that is not worse. */
export const FALSE_VERDICT_PROBABILITY = 0.02;
/** The same for doubts, with which a version is not completed. */
export const FALSE_DOUBT_PROBABILITY = 0.5;
/** Odds of a failure at the new version, relative to the old one, that are tolerated. */
const TOLERATED_ODDS = 1.15;
/** Failure shares up to these are tolerated, whatever the old version does. */
const TOLERATED_SHARE = 0.0005;
/** Without requests at the old version nothing tells a fault of the version from one of all versions. */
const TOLERATED_SHARE_ALONE = 0.05;
const ALTERNATIVE_SHARES = [0.02, 0.06, 0.2, 0.5, 0.75, 0.95];
/** Fewer failures are treated as chance: those that a verdict needs, and those that a doubt needs. */
export const MIN_FAILURES = 4;
export const MIN_DOUBTFUL_FAILURES = 2;
/** Requests after which those at the old version count for half, in the recent and in the long term. */
const RECENT_REQUESTS = 150;
const LONG_TERM_REQUESTS = 1_000;
/**
 * Added to the log wealth without one upstream: one bad host among several must not make the version bad,
 * but a version that fails everywhere may do so more often on one host.
 */
const BAD_HOST_LOG_ALLOWANCE = Math.log(100);

/** Failure share of the old version, with more weight on the latest requests. */
class DecayingShare {
  private requests = 0;

  private failures = 0;

  constructor(private readonly halfLifeRequests: number) {}

  add({ requests, failures }: Counts): void {
    const decay = 0.5 ** (requests / this.halfLifeRequests);
    this.requests = this.requests * decay + requests;
    this.failures = this.failures * decay + failures;
  }

  get isKnown(): boolean {
    return this.requests > 0;
  }

  /** The share, reduced by a number of its standard deviations. */
  value(deviations: number): number {
    const share = this.failures / this.requests;
    return Math.max(0, share - deviations * Math.sqrt((share * (1 - share)) / this.requests));
  }
}

/** The failures of a version on one route, or on all together. */
export class FailureTest {
  private readonly evidence = new eProcess.LeaveOneOut(
    new eProcess.EProcess(ALTERNATIVE_SHARES.length),
    BAD_HOST_LOG_ALLOWANCE,
  );

  private readonly recentShare = new DecayingShare(RECENT_REQUESTS);

  private readonly longTermShare = new DecayingShare(LONG_TERM_REQUESTS);

  private total = NO_REQUESTS;

  /** @param falseProbability accepted probability of a wrong answer for a version that is not worse */
  isWorse(falseProbability: number, minFailures: number): boolean {
    if (this.total.failures < minFailures) return false;
    return this.evidence.log >= -Math.log(falseProbability);
  }

  get counts(): Counts {
    return this.total;
  }

  /** @param restart weight of a fault that begins with this interval */
  add({ target, stable }: Interval, restart: number): void {
    this.recentShare.add(stable);
    this.longTermShare.add(stable);
    this.evidence.addMembers(target.keys());
    const all = [...target.values()].reduce(sum, NO_REQUESTS);
    this.total = sum(this.total, all);
    const tolerated = this.toleratedShare();
    this.evidence.forEach((wealth, leftOut) => {
      const left = leftOut === null ? undefined : target.get(ids.instanceId(leftOut));
      wealth.step(logRatios(subtract(all, left ?? NO_REQUESTS), tolerated), restart);
    });
  }

  private toleratedShare(): number {
    if (!this.longTermShare.isKnown) return TOLERATED_SHARE_ALONE;
    // By chance, a few recent requests often fail more.
    const share = Math.max(this.longTermShare.value(0), this.recentShare.value(1));
    const tolerated = (TOLERATED_ODDS * share) / Math.max(1 - share, Number.EPSILON);
    return Math.max(TOLERATED_SHARE, tolerated / (1 + tolerated));
  }
}

function logRatios({ requests, failures: events }: Counts, tolerated: number): number[] {
  return ALTERNATIVE_SHARES.map((share) =>
    // A share that is tolerated is no alternative at present.
    share <= tolerated ? 0 : eProcess.logRateRatio({ requests, events }, share, tolerated),
  );
}
