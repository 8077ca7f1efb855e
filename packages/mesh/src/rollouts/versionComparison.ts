/** Compares the responses of a new version with those of the old one over the same period, by route. */

import type { ids } from '@godwittrack/core';
import type * as evidence from './evidence.js';

/** Fewer failures are treated as chance. */
const MIN_FAILURES = 4;
/** A version fails if its failure share exceeds twice that of the old version by more than this. */
const EXCESS_FAILURE_SHARE = 0.1;
/** Successful responses of each version needed to compare response times. */
const MIN_TIMED_ANSWERS = 8;
/** Upstreams are up to twice as slow for some seconds after they start, so the limit is above that. */
const MAX_LATENCY_RATIO = 2.8;

/** Counts over all routes, for the log. */
export interface VersionCounts {
  requests: number;
  failures: number;
  /** Mean response time of the requests that did not fail; null if there are none. */
  meanMs: number | null;
}

export type ComparisonResult =
  { passed: true; requests: number } | { passed: false; reason: string };

export class VersionComparison {
  private readonly reports = new Map<ids.InstanceId, evidence.EvidenceReport>();

  addReport(report: evidence.EvidenceReport): void {
    this.reports.set(report.instance, report);
  }

  evaluate(service: ids.ServiceName, target: ids.VersionName): ComparisonResult {
    const targetCounts = this.sum(service, (version) => version === target);
    const stableCounts = this.sum(service, (version) => version !== target);
    let requests = 0;
    for (const [route, counts] of targetCounts) {
      requests += counts.requests;
      const reason = compare(route, counts, stableCounts.get(route));
      if (reason !== null) return { passed: false, reason };
    }
    return { passed: true, requests };
  }

  /** Counts of the target and of the other versions, as far as they were reported here. */
  counts(
    service: ids.ServiceName,
    target: ids.VersionName,
  ): { target: VersionCounts; others: VersionCounts } {
    return {
      target: total(this.sum(service, (version) => version === target).values()),
      others: total(this.sum(service, (version) => version !== target).values()),
    };
  }

  private sum(
    service: ids.ServiceName,
    includes: (version: ids.VersionName) => boolean,
  ): Map<string, evidence.RouteEvidence> {
    const sums = new Map<string, evidence.RouteEvidence>();
    for (const report of this.reports.values()) {
      if (report.service === service && includes(report.version)) {
        for (const [route, counts] of Object.entries(report.routes)) {
          const sum = sums.get(route) ?? { requests: 0, failures: 0, totalMs: 0 };
          sum.requests += counts.requests;
          sum.failures += counts.failures;
          sum.totalMs += counts.totalMs;
          sums.set(route, sum);
        }
      }
    }
    return sums;
  }
}

/** @returns how the new version is worse than the old one on a route; null if it is not */
function compare(
  route: string,
  seen: evidence.RouteEvidence,
  stable: evidence.RouteEvidence | undefined,
): string | null {
  const share = seen.failures / seen.requests;
  const stableShare = stable === undefined ? 0 : stable.failures / stable.requests;
  if (seen.failures >= MIN_FAILURES && share > 2 * stableShare + EXCESS_FAILURE_SHARE) {
    return `${seen.failures} of ${seen.requests} requests failed on ${route}`;
  }
  const answers = seen.requests - seen.failures;
  const stableAnswers = stable === undefined ? 0 : stable.requests - stable.failures;
  if (answers < MIN_TIMED_ANSWERS || stableAnswers < MIN_TIMED_ANSWERS) return null;
  const ratio = seen.totalMs / answers / (stable!.totalMs / stableAnswers);
  return ratio > MAX_LATENCY_RATIO ? `${ratio.toFixed(1)} times as slow on ${route}` : null;
}

function total(routes: Iterable<evidence.RouteEvidence>): VersionCounts {
  const all = { requests: 0, failures: 0, totalMs: 0 };
  for (const counts of routes) {
    all.requests += counts.requests;
    all.failures += counts.failures;
    all.totalMs += counts.totalMs;
  }
  const { requests, failures } = all;
  const answers = requests - failures;
  return { requests, failures, meanMs: answers === 0 ? null : Math.round(all.totalMs / answers) };
}
