/**
 * Lifts the limit of a cold upstream when its cold time ends, and settles an unknown state by one health
 * check. Has a timer only while the upstream is cold and its service needs protection.
 */

import type { ids, metrics } from '@godwittrack/core';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as coldState from './coldState.js';

export type HealthOutcome =
  /** `coldRemainingMs` is null if the answer states no valid time. */
  { type: 'answer'; coldRemainingMs: number | null } | { type: 'none'; reason: string };

export interface ColdWatchOptions {
  state: coldState.ColdState;
  /** Sends one health check to the upstream. */
  checkHealth: (service: ids.ServiceName) => Promise<HealthOutcome>;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
}

/**
 * Time for which an unknown state waits for an announcement before a health check, which occupies a slot.
 * Announcements come about every 1.5 s.
 */
export const CHECK_DELAY_MS = 250;
/** Least time between checks because announcements state no valid time: they would all cause one. */
const NOT_STATED_INTERVAL_MS = 30_000;
/** Longest delay that timers support. */
const MAX_DELAY_MS = 2 ** 31 - 1;

export class ColdWatch {
  private timer: NodeJS.Timeout | null = null;

  private timerAtMs = Infinity;

  /** Unknown state that the last check was about, and when it began to be unknown. */
  private checkedRound = 0;

  private unknownRound = 0;

  private unknownSinceMs = 0;

  private checkedAtMs = -Infinity;

  private loggedStatus = '';

  constructor(private readonly options: ColdWatchOptions) {
    options.state.onChange(() => this.review());
  }

  private review(): void {
    const { state } = this.options;
    if (state.protectedService === null) {
      this.setTimer(null);
      this.loggedStatus = '';
      return;
    }
    this.logStatus();
    const { knowledge } = state;
    if (knowledge.type === 'known') this.setTimer(state.isCold ? knowledge.warmAtMs : null);
    else this.setTimer(this.nextCheckAtMs(knowledge.reason));
  }

  private nextCheckAtMs(reason: coldState.UnknownReason): number | null {
    const { state, nowMs } = this.options;
    if (this.unknownRound !== state.round) {
      this.unknownRound = state.round;
      this.unknownSinceMs = nowMs();
    }
    const dueMs = this.unknownSinceMs + CHECK_DELAY_MS;
    // No announcement will tell, so the check is repeated.
    if (reason === 'notStated') return Math.max(dueMs, this.checkedAtMs + NOT_STATED_INTERVAL_MS);
    return this.checkedRound === state.round ? null : dueMs;
  }

  /** @param atMs null for no timer */
  private setTimer(atMs: number | null): void {
    if (atMs === this.timerAtMs) return;
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = null;
    this.timerAtMs = atMs ?? Infinity;
    if (atMs === null) return;
    const delayMs = Math.max(0, Math.ceil(atMs - this.options.nowMs()));
    this.timer = setTimeout(() => this.handleTimer(), Math.min(MAX_DELAY_MS, delayMs));
    this.timer.unref();
  }

  private handleTimer(): void {
    const { state, nowMs } = this.options;
    const isEarly = nowMs() < this.timerAtMs;
    this.timer = null;
    this.timerAtMs = Infinity;
    if (isEarly) this.review();
    else if (state.knowledge.type === 'known') state.review();
    else void this.check();
  }

  private async check(): Promise<void> {
    const { state, checkHealth, log, meters: registry, nowMs } = this.options;
    const service = state.protectedService;
    if (service === null) return;
    const { epoch } = state;
    this.checkedRound = state.round;
    this.checkedAtMs = nowMs();
    const outcome = await checkHealth(service);
    // Sets the timer for the next check where one is due.
    if (outcome.type !== 'answer' || outcome.coldRemainingMs === null) this.review();
    registry.increment(meters.HEALTH_CHECKS, { outcome: outcome.type });
    log.info('upstream', 'health check of a cold upstream', { service, ...outcome });
    if (outcome.type === 'answer') state.recordHealth(epoch, outcome.coldRemainingMs);
  }

  private logStatus(): void {
    const { state, log, meters: registry, nowMs } = this.options;
    const { knowledge } = state;
    const status = state.isCold ? `cold ${JSON.stringify(statusOf(knowledge))}` : 'warm';
    if (status === this.loggedStatus) return;
    this.loggedStatus = status;
    if (knowledge.type === 'unknown') {
      registry.increment(meters.COLD_UNKNOWN, { reason: knowledge.reason });
      if (knowledge.reason === 'notStated')
        log.warn('upstream', 'the upstream states no valid cold time and counts as cold', {});
    }
    log.info('upstream', state.isCold ? 'the upstream is cold' : 'the upstream is warm', {
      perSecond: state.limitPerSecond,
      reason: knowledge.type === 'unknown' ? knowledge.reason : 'stated',
      remainingMs:
        knowledge.type === 'known' ? Math.max(0, Math.round(knowledge.warmAtMs - nowMs())) : null,
    });
  }
}

function statusOf(knowledge: coldState.Knowledge): string {
  return knowledge.type === 'unknown' ? knowledge.reason : 'stated';
}
