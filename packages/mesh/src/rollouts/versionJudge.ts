/** Compares the answers of a new version with those of the old one over the same time, by route. */

import type { ids } from '@godwittrack/core';
import type * as evidence from './evidence.js';

/** Failures below this are not enough to speak of a pattern. */
const MIN_FAILURES = 4;
/** Failure share beyond twice that of the old version that shows a fault. */
const EXCESS_FAILURE_SHARE = 0.1;
/** Answers of each version that a comparison of times needs. */
const MIN_TIMED_ANSWERS = 8;
/** Upstreams are up to twice as slow for some seconds after their start. */
const SLOW_FACTOR = 2.8;

export type Verdict = { good: true; requests: number } | { good: false; reason: string };

export class VersionJudge {
  private readonly reports = new Map<ids.InstanceId, evidence.EvidenceReport>();

  hear(report: evidence.EvidenceReport): void {
    this.reports.set(report.instance, report);
  }

  judge(service: ids.ServiceName, target: ids.VersionName): Verdict {
    const onTrial = this.sum(service, (version) => version === target);
    const stable = this.sum(service, (version) => version !== target);
    let requests = 0;
    for (const [route, seen] of onTrial) {
      requests += seen.requests;
      const reason = compare(route, seen, stable.get(route));
      if (reason !== null) return { good: false, reason };
    }
    return { good: true, requests };
  }

  private sum(
    service: ids.ServiceName,
    includes: (version: ids.VersionName) => boolean,
  ): Map<string, evidence.RouteEvidence> {
    const sums = new Map<string, evidence.RouteEvidence>();
    for (const report of this.reports.values()) {
      if (report.service === service && includes(report.version)) {
        for (const [route, seen] of Object.entries(report.routes)) {
          const sum = sums.get(route) ?? { requests: 0, failures: 0, totalMs: 0 };
          sum.requests += seen.requests;
          sum.failures += seen.failures;
          sum.totalMs += seen.totalMs;
          sums.set(route, sum);
        }
      }
    }
    return sums;
  }
}

/** @returns what is wrong with the new version on a route, or null */
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
  return ratio > SLOW_FACTOR ? `${ratio.toFixed(1)} times as slow on ${route}` : null;
}
