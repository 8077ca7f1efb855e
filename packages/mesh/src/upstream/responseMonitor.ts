/**
 * Detects that the upstream on this host has stopped responding, from the time for which none of its running
 * requests has been completed. See docs/design/stalledUpstreams.md for the figures.
 */

import type { ids } from '@godwittrack/core';
import type * as exchange from '../routing/exchange.js';

/** Shorter times without a completion never count: the upstream may pause, for example to collect garbage. */
const MIN_QUIET_MS = 1_000;
/** Evidence from which an upstream counts as stalled: -ln of a probability of 1e-9. */
const STALL_EVIDENCE = 20.7;
/**
 * Assumed work times: log-logistic, with a heavier tail than log-normal times, and with
 * a median of this multiple of the measured mean, since upstreams are slowed down by up to 2.5 at times.
 */
const SLOWDOWN = 2.5;
const TAIL_EXPONENT = 2.5;
/** The median is also at least this share of the longest recent work time, for routes with a few long ones. */
const LONGEST_SHARE = 0.25;
/** Share of the longest work time that is left after each further answer. */
const LONGEST_DECAY = 0.98;
/** Weight of the newest work time in the mean, once there are as many as its reciprocal. */
const SAMPLE_WEIGHT = 0.05;
/** Answers of a route before its work times count as known. */
const MIN_SAMPLES = 8;
/** Time after which a request that may run only once probes the upstream if no other one has. */
const ONCE_PROBE_AFTER_MS = 2_000;

/** A request that the upstream runs. */
export interface Run {
  readonly route: ids.RouteName;
  readonly startedMs: number;
}

interface WorkTimes {
  samples: number;
  meanMs: number;
  longestMs: number;
}

export interface ResponseMonitorOptions {
  /** Total time for which this process has stood still. */
  stoodStillMs: () => number;
  onChange: (isStalled: boolean, details: StallDetails) => void;
}

export interface StallDetails {
  quietMs: number;
  running: number;
  evidence: number;
}

export class ResponseMonitor {
  private readonly running = new Set<Run>();

  private readonly workTimes = new Map<ids.RouteName, WorkTimes>();

  /** Start of the current time without a completion, and how long this process had stood still by then. */
  private quietSinceMs = 0;

  private stillAtQuietMs = 0;

  /** Evidence from requests that were given up in the current quiet time. */
  private abandonedEvidence = 0;

  private stalled = false;

  /** The request that tries a stalled upstream. */
  private probe: Run | null = null;

  /** When the last probe ended, or the stall was found. */
  private probedAtMs = 0;

  constructor(private readonly options: ResponseMonitorOptions) {}

  get isStalled(): boolean {
    return this.stalled;
  }

  /** Whether a request may start now: any one, or one probe at a time while the upstream is stalled. */
  admits(semantics: exchange.ForwardedRequest['semantics'], nowMs: number): boolean {
    if (!this.stalled) return true;
    if (this.probe !== null) return false;
    return semantics === 'repeatable' || nowMs - this.probedAtMs >= ONCE_PROBE_AFTER_MS;
  }

  start(route: ids.RouteName, nowMs: number): Run {
    const run = { route, startedMs: nowMs };
    if (this.running.size === 0 && this.abandonedEvidence === 0) this.restartQuiet(nowMs);
    this.running.add(run);
    if (this.stalled) this.probe = run;
    return run;
  }

  /**
   * Records that the upstream has answered a request or has closed its connection.
   * @param workMs time of a usable answer; null for others, which may come without any work
   */
  complete(run: Run, workMs: number | null, nowMs: number): void {
    if (!this.remove(run, nowMs)) return;
    if (workMs !== null) this.addWorkTime(run.route, workMs);
    if (this.stalled) this.setStalled(false, nowMs);
    this.restartQuiet(nowMs);
  }

  /** Records that the node no longer waits for a request; what the upstream does with it is unknown. */
  abandon(run: Run, nowMs: number): void {
    const evidence = this.evidenceOf(run, nowMs);
    if (!this.remove(run, nowMs)) return;
    this.abandonedEvidence += evidence;
  }

  /** Removes a request that did not reach the upstream, which tells nothing. */
  discard(run: Run, nowMs: number): void {
    this.remove(run, nowMs);
  }

  /** Starts over with another incarnation of the upstream. */
  clear(nowMs: number): void {
    this.running.clear();
    this.workTimes.clear();
    this.probe = null;
    if (this.stalled) this.setStalled(false, nowMs);
    this.restartQuiet(nowMs);
  }

  /** @returns whether the upstream is stalled now */
  check(nowMs: number): boolean {
    if (this.stalled) return true;
    if (this.running.size === 0 && this.abandonedEvidence === 0) return false;
    if (this.quietMs(nowMs) < MIN_QUIET_MS) return false;
    if (this.evidence(nowMs) < STALL_EVIDENCE) return false;
    this.probedAtMs = nowMs;
    this.setStalled(true, nowMs);
    return true;
  }

  private evidence(nowMs: number): number {
    let sum = this.abandonedEvidence;
    for (const run of this.running) sum += this.evidenceOf(run, nowMs);
    return sum;
  }

  /** -ln of the probability that the request runs until now, given that it ran when the quiet time began. */
  private evidenceOf(run: Run, nowMs: number): number {
    const times = this.workTimes.get(run.route);
    if (times === undefined || times.samples < MIN_SAMPLES) return 0;
    const medianMs = Math.max(times.meanMs * SLOWDOWN, times.longestMs * LONGEST_SHARE);
    const ageMs = nowMs - run.startedMs;
    const ageBeforeMs = Math.max(0, ageMs - this.quietMs(nowMs));
    return logSurvival(ageBeforeMs / medianMs) - logSurvival(ageMs / medianMs);
  }

  private quietMs(nowMs: number): number {
    return nowMs - this.quietSinceMs - (this.options.stoodStillMs() - this.stillAtQuietMs);
  }

  private restartQuiet(nowMs: number): void {
    this.quietSinceMs = nowMs;
    this.stillAtQuietMs = this.options.stoodStillMs();
    this.abandonedEvidence = 0;
  }

  private remove(run: Run, nowMs: number): boolean {
    if (this.probe === run) {
      this.probe = null;
      this.probedAtMs = nowMs;
    }
    return this.running.delete(run);
  }

  private setStalled(isStalled: boolean, nowMs: number): void {
    this.stalled = isStalled;
    this.options.onChange(isStalled, {
      quietMs: Math.round(this.quietMs(nowMs)),
      running: this.running.size,
      evidence: this.evidence(nowMs),
    });
  }

  private addWorkTime(route: ids.RouteName, workMs: number): void {
    const times = this.workTimes.get(route) ?? { samples: 0, meanMs: 0, longestMs: 0 };
    this.workTimes.set(route, times);
    times.samples += 1;
    times.meanMs += Math.max(SAMPLE_WEIGHT, 1 / times.samples) * (workMs - times.meanMs);
    times.longestMs = Math.max(workMs, times.longestMs * LONGEST_DECAY);
  }
}

/** ln of the probability that work takes longer than `ratio` times the median. */
function logSurvival(ratio: number): number {
  return -Math.log1p(ratio ** TAIL_EXPONENT);
}
