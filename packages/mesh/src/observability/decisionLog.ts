/**
 * Structured log of decisions. Each kind of line has its own allowance, so that a flood of one kind
 * hides no other; what is left out is counted and told with the next line of the kind.
 */

import type { metrics } from '@godwittrack/core';
import type * as pino from 'pino';
import * as meters from './meters.js';

/** Lines of one kind in a second. */
const LINES_PER_SECOND = 10;
const BURST_LINES = 20;

interface Allowance {
  tokens: number;
  refilledMs: number;
  suppressed: number;
}

export class DecisionLog {
  private readonly allowances = new Map<string, Allowance>();

  constructor(
    private readonly logger: pino.Logger,
    private readonly nowMs: () => number,
    private readonly counted: metrics.Metrics,
  ) {}

  /** One line on what was decided for a request. */
  decision(component: string, requestId: string, message: string, fields: object): void {
    this.write('info', component, message, { requestId, ...fields });
  }

  /** One line on a change of what the process believes. */
  belief(component: string, message: string, fields: object): void {
    this.write('info', component, message, fields);
  }

  warn(component: string, message: string, fields: object): void {
    this.write('warn', component, message, fields);
  }

  private write(level: 'info' | 'warn', component: string, message: string, fields: object): void {
    const allowance = this.allowance(`${component}:${message}`);
    if (allowance.tokens < 1) {
      allowance.suppressed += 1;
      this.counted.increment(meters.LOG_LINES_DROPPED, { component });
      return;
    }
    allowance.tokens -= 1;
    const suppressed = allowance.suppressed > 0 ? { suppressed: allowance.suppressed } : {};
    allowance.suppressed = 0;
    this.logger[level]({ component, ...fields, ...suppressed }, `${component}: ${message}`);
  }

  private allowance(kind: string): Allowance {
    const now = this.nowMs();
    let allowance = this.allowances.get(kind);
    if (allowance === undefined) {
      allowance = { tokens: BURST_LINES, refilledMs: now, suppressed: 0 };
      this.allowances.set(kind, allowance);
    }
    const earned = ((now - allowance.refilledMs) / 1_000) * LINES_PER_SECOND;
    allowance.tokens = Math.min(BURST_LINES, allowance.tokens + earned);
    allowance.refilledMs = now;
    return allowance;
  }
}
