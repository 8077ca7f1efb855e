/**
 * Limits retries to a share of the requests of each service, so that they do not amplify an
 * overload.
 */

import type { clock } from '@godwittrack/core';

/** Allowed for each service regardless of its share, so that one with little traffic can retry. */
const MIN_RETRIES_PER_WINDOW = 5;
const WINDOW_MS = 10_000;

interface Window {
  startMs: number;
  requests: number;
  retries: number;
}

export class RetryBudget {
  private readonly windows = new Map<string, Window>();

  constructor(private readonly time: clock.Clock) {}

  recordRequest(service: string): void {
    this.windowOf(service).requests += 1;
  }

  /** Takes one retry from the budget; false when it is used up. */
  takeRetry(service: string, budgetPct: number): boolean {
    const window = this.windowOf(service);
    const allowed = Math.max(MIN_RETRIES_PER_WINDOW, (window.requests * budgetPct) / 100);
    if (budgetPct === 0 || window.retries >= allowed) return false;
    window.retries += 1;
    return true;
  }

  private windowOf(service: string): Window {
    const nowMs = this.time.monotonicMs();
    const current = this.windows.get(service);
    if (current !== undefined && nowMs - current.startMs < WINDOW_MS) return current;
    const fresh = { startMs: nowMs, requests: 0, retries: 0 };
    this.windows.set(service, fresh);
    return fresh;
  }
}
