/**
 * Structured log with rate limits. Each message of a component has its own token bucket, so that a flood
 * of one message does not suppress others. The number of suppressed lines is logged with the next line
 * of the same message.
 */

import type { metrics } from '@godwittrack/core';
import type * as pino from 'pino';
import * as meters from './meters.js';

/** Sustained rate for each message. */
const LINES_PER_SECOND = 10;
const BURST_LINES = 20;

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
  suppressed: number;
}

export class DecisionLog {
  private readonly buckets = new Map<string, TokenBucket>();

  constructor(
    private readonly logger: pino.Logger,
    private readonly nowMs: () => number,
    private readonly metricsRegistry: metrics.Metrics,
  ) {}

  /** Logs a decision about a request. */
  decision(component: string, requestId: string, message: string, fields: object): void {
    this.write('info', component, message, { requestId, ...fields });
  }

  /** Logs an event that belongs to no request, such as a change of the node's state. */
  info(component: string, message: string, fields: object): void {
    this.write('info', component, message, fields);
  }

  warn(component: string, message: string, fields: object): void {
    this.write('warn', component, message, fields);
  }

  private write(level: 'info' | 'warn', component: string, message: string, fields: object): void {
    const bucket = this.bucketFor(`${component}:${message}`);
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      this.metricsRegistry.increment(meters.LOG_LINES_DROPPED, { component });
      return;
    }
    bucket.tokens -= 1;
    const suppressed = bucket.suppressed > 0 ? { suppressed: bucket.suppressed } : {};
    bucket.suppressed = 0;
    this.logger[level]({ component, ...fields, ...suppressed }, `${component}: ${message}`);
  }

  private bucketFor(key: string): TokenBucket {
    const now = this.nowMs();
    let bucket = this.buckets.get(key);
    if (bucket === undefined) {
      bucket = { tokens: BURST_LINES, refilledAtMs: now, suppressed: 0 };
      this.buckets.set(key, bucket);
    }
    const refilled = ((now - bucket.refilledAtMs) / 1_000) * LINES_PER_SECOND;
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + refilled);
    bucket.refilledAtMs = now;
    return bucket;
  }
}
