/** Compares the responses of a new version with those of the old one over the same time, by route. */

import type { ids } from '@godwittrack/core';
import * as comparisonResult from './comparisonResult.js';
import type * as evidence from './evidence.js';
import * as failureTest from './failureTest.js';
import * as failureTests from './failureTests.js';
import * as responseTimes from './responseTimes.js';
import * as slowdownTest from './slowdownTest.js';
import type * as upstreamTimes from './upstreamTimes.js';

/** Likelihood ratios of a slowdown from which on a version is bad, or doubtful. */
const BAD_LOG_RATIO = Math.log(50);
const DOUBTFUL_LOG_RATIO = Math.log(2);
/** Bad answers from which on a doubtful version is bad. */
const MAX_DOUBTFUL_ANSWERS = 50;
const COMPARE_TIMES_EVERY_MS = 300;
/** Upstreams in a line of the log. */
const MAX_SUMMARIES = 24;

/** Counts over all routes, for the log. */
export interface VersionCounts {
  requests: number;
  failures: number;
  /** Requests without a response at their deadline. */
  timeouts: number;
  /** Mean response time of the other requests; null if there are none. */
  meanMs: number | null;
}

/** Counts of the target and of the other versions. */
export interface ComparedCounts {
  target: VersionCounts;
  others: VersionCounts;
}

/** Evidence of one upstream over all routes, for the log. */
export interface UpstreamSummary {
  instance: ids.InstanceId;
  version: ids.VersionName;
  requests: number;
  failures: number;
  timeouts: number;
  rejections: number;
  /** Requests that ended without a response, at their deadline or since the caller left. */
  unfinished: number;
  /** Median and 90th percentile of the response times outside of the cold time; null without any. */
  medianMs: number | null;
  p90Ms: number | null;
}

interface ReceivedReport {
  report: evidence.EvidenceReport;
  atMs: number;
  /** Time of the last report with requests that were new or under way. */
  activeAtMs: number;
}

/** The comparison for one rollout; begins anew with each target. */
class Trial {
  readonly reports = new Map<ids.InstanceId, ReceivedReport>();

  private readonly failureTests = failureTests.FAILURE_KINDS.map(
    (kind) => new failureTests.FailureTests(kind),
  );

  private slowdown = slowdownTest.NO_SLOWDOWN;

  private slowdownAtMs = -Infinity;

  private hasNewTimes = false;

  constructor(
    readonly target: ids.VersionName,
    private readonly nowMs: () => number,
  ) {}

  add(report: evidence.EvidenceReport): void {
    const nowMs = this.nowMs();
    const previous = this.reports.get(report.instance);
    let isActive = (report.load ?? 0) > 0;
    for (const [route, counts] of Object.entries(report.routes)) {
      const before = previous?.report.routes[route];
      if (counts.requests !== (before?.requests ?? 0)) isActive = true;
      const source = { route, instance: report.instance, isTarget: report.version === this.target };
      for (const tests of this.failureTests) tests.add(source, counts, before);
    }
    const activeAtMs = isActive ? nowMs : (previous?.activeAtMs ?? -Infinity);
    this.reports.set(report.instance, { report, atMs: nowMs, activeAtMs });
    this.hasNewTimes = true;
  }

  evaluate(share: number): comparisonResult.ComparisonResult {
    const results = this.failureTests.map((tests) => tests.evaluate(share));
    results.push(this.evaluateTimes(share));
    const bad = results.find(({ type }) => type === 'bad');
    return bad ?? results.find(({ type }) => type === 'doubtful') ?? comparisonResult.PASSED;
  }

  counts(): ComparedCounts {
    return {
      target: this.totalOf((version) => version === this.target),
      others: this.totalOf((version) => version !== this.target),
    };
  }

  summaries(): UpstreamSummary[] {
    return [...this.reports.values()]
      .slice(0, MAX_SUMMARIES)
      .map(({ report }) => summarize(report));
  }

  /** How much slower the target responds, as far as its times told when they were compared last. */
  get lastSlowdown(): slowdownTest.Slowdown {
    return this.slowdown;
  }

  /** Before the last step, times are not compared after each report. */
  private compareTimes(targetShare: number): void {
    const isDue = targetShare >= 1 || this.nowMs() - this.slowdownAtMs >= COMPARE_TIMES_EVERY_MS;
    if (!isDue || !this.hasNewTimes) return;
    this.slowdown = slowdownTest.evaluate(this.timesOf(true), this.timesOf(false));
    this.slowdownAtMs = this.nowMs();
    this.hasNewTimes = false;
  }

  private evaluateTimes(targetShare: number): comparisonResult.ComparisonResult {
    this.compareTimes(targetShare);
    const { logRatio, share, factor } = this.slowdown;
    if (logRatio < DOUBTFUL_LOG_RATIO) return comparisonResult.PASSED;
    const { requests, failures, timeouts } = this.counts().target;
    const badAnswers = failures + timeouts + share * (requests - failures - timeouts);
    const percent = Math.round(100 * share);
    const reason = `${percent} % of responses about ${factor} times as slow`;
    const isBad = logRatio >= BAD_LOG_RATIO || badAnswers >= MAX_DOUBTFUL_ANSWERS;
    return { type: isBad ? 'bad' : 'doubtful', reason };
  }

  /** Response times of each upstream of the target, or of each other one. */
  private timesOf(isTarget: boolean): upstreamTimes.UpstreamTimes[] {
    return [...this.reports.values()]
      .filter(({ report }) => (report.version === this.target) === isTarget)
      .map(({ report }) => timesByRoute(report));
  }

  private totalOf(includes: (version: ids.VersionName) => boolean): VersionCounts {
    let counts = failureTest.NO_REQUESTS;
    let timeouts = 0;
    let totalMs = 0;
    for (const { report } of this.reports.values()) {
      if (includes(report.version)) {
        for (const route of Object.values(report.routes)) {
          counts = failureTest.sum(counts, route);
          timeouts += route.timeouts ?? 0;
          totalMs += route.totalMs;
        }
      }
    }
    const answers = counts.requests - counts.failures - timeouts;
    return { ...counts, timeouts, meanMs: answers === 0 ? null : Math.round(totalMs / answers) };
  }
}

export class VersionComparison {
  private readonly trials = new Map<ids.ServiceName, Trial>();

  constructor(private readonly nowMs: () => number) {}

  /** Discards the evidence of a service, when a version of it is ordered. */
  restart(service: ids.ServiceName): void {
    this.trials.delete(service);
  }

  /** Reports before the first evaluation of a target are not counted; they are repeated. */
  addReport(report: evidence.EvidenceReport): void {
    this.trials.get(report.service)?.add(report);
  }

  /** @param share share of requests that the target gets at present */
  evaluate(
    service: ids.ServiceName,
    target: ids.VersionName,
    share: number,
  ): comparisonResult.ComparisonResult {
    return this.trialOf(service, target).evaluate(share);
  }

  /** How much slower the target responds, as far as its times told when they were compared last. */
  slowdown(service: ids.ServiceName, target: ids.VersionName): slowdownTest.Slowdown {
    return this.trialOf(service, target).lastSlowdown;
  }

  counts(service: ids.ServiceName, target: ids.VersionName): ComparedCounts {
    return this.trialOf(service, target).counts();
  }

  /** Evidence by upstream; of large services, that of a part of them. */
  summaries(service: ids.ServiceName, target: ids.VersionName): UpstreamSummary[] {
    return this.trialOf(service, target).summaries();
  }

  /** Upstreams of the target that have been heard of since a time. */
  countHeard(service: ids.ServiceName, target: ids.VersionName, sinceMs: number): number {
    return [...this.trialOf(service, target).reports.values()].filter(
      ({ report, atMs }) => report.version === target && atMs >= sinceMs,
    ).length;
  }

  /** Last time at which an upstream of another version had a request, as far as is known. */
  othersActiveAtMs(service: ids.ServiceName, target: ids.VersionName): number {
    const others = [...this.trialOf(service, target).reports.values()].filter(
      ({ report }) => report.version !== target,
    );
    return Math.max(-Infinity, ...others.map(({ activeAtMs }) => activeAtMs));
  }

  private trialOf(service: ids.ServiceName, target: ids.VersionName): Trial {
    let trial = this.trials.get(service);
    if (trial?.target !== target) {
      trial = new Trial(target, this.nowMs);
      this.trials.set(service, trial);
    }
    return trial;
  }
}

function summarize({ instance, version, routes }: evidence.EvidenceReport): UpstreamSummary {
  const times: responseTimes.TimeCounts = [];
  const summary = { requests: 0, failures: 0, timeouts: 0, rejections: 0, unfinished: 0 };
  for (const counts of Object.values(routes)) {
    summary.requests += counts.requests;
    summary.failures += counts.failures;
    summary.timeouts += counts.timeouts ?? 0;
    summary.rejections += counts.rejections ?? 0;
    summary.unfinished += responseTimes.total(counts.unfinished ?? []);
    responseTimes.add(times, counts.times ?? []);
  }
  const medianMs = responseTimes.quantileMs(times, 0.5);
  return { instance, version, ...summary, medianMs, p90Ms: responseTimes.quantileMs(times, 0.9) };
}

/** Most routes of a large configuration have no times in the report. */
function timesByRoute({ routes }: evidence.EvidenceReport): upstreamTimes.UpstreamTimes {
  const byRoute = new Map<string, upstreamTimes.RouteTimes>();
  for (const [route, { times, unfinished = [], running = [] }] of Object.entries(routes)) {
    if (times !== undefined) {
      const lowerBounds = [...unfinished];
      responseTimes.add(lowerBounds, running);
      byRoute.set(route, { counts: times, unfinished: lowerBounds });
    }
  }
  return byRoute;
}
