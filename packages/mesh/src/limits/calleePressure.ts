/**
 * Limits the start of requests whose calls are refused for lack of capacity, so that they are refused before
 * they run. On the host of the upstream that makes the calls; what it calls is inferred, see `callLearner.ts`.
 * A limit exceeds the rate of served calls, so that it rises by itself once there is more capacity.
 */

import type { ids } from '@godwittrack/core';
import * as admissionQueue from './admissionQueue.js';
import * as callLearner from './callLearner.js';

const WINDOW_MS = 2_000;
/** Calls that are needed to judge a window before its end at the latest. */
const MIN_CALLS = 10;
const MAX_WINDOW_MS = 3 * WINDOW_MS;
/** Share of refused calls above which starts are limited. */
const MAX_REFUSED_SHARE = 0.1;
/** Starts in relation to what their calls get; a fifth of the calls still tries in vain. */
const TRY_FACTOR = 1.25;
/** Growth of a limit after a window without a shortage. Ten calls with few refusals may be chance. */
const RAISE_FACTOR = 2;
/** Lowest limit. */
const MIN_STARTS_PER_SECOND = 1;
/** Allowance for bursts: the starts that the limit admits in this time, and at least a few. */
const BURST_MS = 500;
const MIN_BURST = 3;
/** Part of the allowance that is kept for the most urgent requests. */
const RESERVED_SHARE = 0.5;

const CAPACITY_REASONS: ReadonlySet<string> = new Set([
  ...admissionQueue.FULL_REASONS,
  admissionQueue.WAIT_TOO_LONG,
  'noRoomInTime',
]);

export interface CallOutcome {
  type: string;
  reason?: string;
}

export type StartDecision = { type: 'start' } | { type: 'refuse'; retryAfterMs: number };

/** Outcomes of the calls on one route. */
interface Window {
  startedMs: number;
  served: number;
  refused: number;
  /** Calls per second that may be made by runs that start; null without a limit. */
  limitPerSecond: number | null;
  /** Whether the limit has prevented a start. */
  isBinding: boolean;
}

/** Starts of one route. */
interface Allowance {
  tokens: number;
  refilledAtMs: number;
  /** The most urgent customer priority of the present window and of the one before. */
  windowStartedMs: number;
  mostUrgent: number;
  mostUrgentBefore: number;
}

export class CalleePressure {
  private readonly learner = new callLearner.CallLearner();

  private readonly windows = new Map<ids.RouteName, Window>();

  private readonly allowances = new Map<ids.RouteName, Allowance>();

  /** Routes of calls that are limited. */
  get limitedCount(): number {
    return [...this.windows.values()].filter((each) => each.limitPerSecond !== null).length;
  }

  beginRun(route: ids.RouteName, nowMs: number): callLearner.Run {
    return this.learner.beginRun(route, nowMs);
  }

  endRun(run: callLearner.Run, isComplete: boolean, nowMs: number): void {
    this.learner.endRun(run, isComplete, nowMs);
  }

  /** Records the arrival of a request without a customer from this host, which may be a call. */
  recordCall(route: ids.RouteName, nowMs: number): void {
    this.learner.recordCall(route, nowMs);
  }

  /** Other failures than a lack of capacity don't count: fewer runs would not prevent them. */
  recordOutcome(route: ids.RouteName, { type, reason }: CallOutcome, nowMs: number): void {
    const isRefused = type === 'refused' && CAPACITY_REASONS.has(reason ?? '');
    if (!isRefused && type !== 'answer') return;
    let window = this.windows.get(route);
    if (window === undefined) {
      window = { startedMs: nowMs, served: 0, refused: 0, limitPerSecond: null, isBinding: false };
      this.windows.set(route, window);
    }
    updateWindow(window, nowMs);
    if (isRefused) window.refused += 1;
    else window.served += 1;
  }

  /** Decides whether a request may start or wait, and counts it if so. */
  tryStart(route: ids.RouteName, customerPriority: number, nowMs: number): StartDecision {
    const perSecond = this.limitOf(route, nowMs);
    if (perSecond === null) {
      this.allowances.delete(route);
      return { type: 'start' };
    }
    const burst = Math.max(MIN_BURST, (perSecond * BURST_MS) / 1_000);
    const allowance = this.refill(route, perSecond, burst, nowMs);
    const isMostUrgent = recordUrgency(allowance, customerPriority, nowMs);
    const needed = isMostUrgent ? 1 : 1 + (burst - 1) * RESERVED_SHARE;
    if (allowance.tokens < needed) {
      for (const [, window] of this.limitsOf(route)) window.isBinding = true;
      return { type: 'refuse', retryAfterMs: ((needed - allowance.tokens) * 1_000) / perSecond };
    }
    allowance.tokens -= 1;
    return { type: 'start' };
  }

  /** Takes back a start that was refused for another reason. */
  withdrawStart(route: ids.RouteName): void {
    const allowance = this.allowances.get(route);
    if (allowance !== undefined) allowance.tokens += 1;
  }

  /** Forgets everything, since another upstream may make other calls. */
  clear(): void {
    this.learner.clear();
    this.windows.clear();
    this.allowances.clear();
  }

  /** Lowest number of starts per second that the calls of a route admit; null without a limit. */
  private limitOf(route: ids.RouteName, nowMs: number): number | null {
    for (const window of this.windows.values()) updateWindow(window, nowMs);
    const limits = this.limitsOf(route).map(([perSecond]) => perSecond);
    return limits.length === 0 ? null : Math.max(MIN_STARTS_PER_SECOND, Math.min(...limits));
  }

  /** Starts per second of a route that the calls on each other route admit, where they are limited. */
  private limitsOf(route: ids.RouteName): [perSecond: number, window: Window][] {
    const limits: [number, Window][] = [];
    for (const [callee, window] of this.windows) {
      if (window.limitPerSecond !== null) {
        const calls = this.learner.callsPerRun(route, callee);
        if (calls !== null) limits.push([window.limitPerSecond / calls, window]);
      }
    }
    return limits;
  }

  private refill(route: ids.RouteName, perSecond: number, burst: number, nowMs: number): Allowance {
    let allowance = this.allowances.get(route);
    if (allowance === undefined) {
      const urgency = { mostUrgent: Infinity, mostUrgentBefore: Infinity };
      allowance = { tokens: 1, refilledAtMs: nowMs, windowStartedMs: nowMs, ...urgency };
      this.allowances.set(route, allowance);
    }
    const added = ((nowMs - allowance.refilledAtMs) * perSecond) / 1_000;
    allowance.tokens = Math.min(burst, allowance.tokens + added);
    allowance.refilledAtMs = nowMs;
    return allowance;
  }
}

/** Judges a window that has ended. A limit needs enough calls to begin; few are left while it holds. */
function updateWindow(window: Window, nowMs: number): void {
  const elapsedMs = nowMs - window.startedMs;
  const { served, refused, limitPerSecond: previous } = window;
  const hasEnough = served + refused >= MIN_CALLS;
  if (elapsedMs < (hasEnough ? WINDOW_MS : MAX_WINDOW_MS)) return;
  const isShort = refused > (served + refused) * MAX_REFUSED_SHARE;
  if (isShort && (hasEnough || previous !== null)) {
    window.limitPerSecond = (served * 1_000 * TRY_FACTOR) / elapsedMs;
  } else {
    window.limitPerSecond =
      previous !== null && window.isBinding
        ? Math.max(MIN_STARTS_PER_SECOND, previous) * RAISE_FACTOR
        : null;
  }
  window.isBinding = false;
  window.startedMs = nowMs;
  window.served = 0;
  window.refused = 0;
}

/** @returns whether no request of the present and the last window was more urgent */
function recordUrgency(allowance: Allowance, customerPriority: number, nowMs: number): boolean {
  if (nowMs - allowance.windowStartedMs >= WINDOW_MS) {
    allowance.mostUrgentBefore = allowance.mostUrgent;
    allowance.mostUrgent = Infinity;
    allowance.windowStartedMs = nowMs;
  }
  allowance.mostUrgent = Math.min(allowance.mostUrgent, customerPriority);
  return customerPriority <= Math.min(allowance.mostUrgent, allowance.mostUrgentBefore);
}
