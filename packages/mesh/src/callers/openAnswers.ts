/** Requests that are not answered completely yet, and the records of those that are interrupted. */

import type * as http from 'node:http';
import type { callerConnections, metrics } from '@godwittrack/core';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as headerCodec from '../upstream/headerCodec.js';

/** A request whose answer has not been handed to the kernel completely. */
export interface OpenAnswer {
  arrivedMs: number;
  /** Number of unfinished earlier requests on the same connection. */
  ahead: number;
  res: http.ServerResponse;
  /** Whether the connection has ended before the answer was complete. */
  isInterrupted: boolean;
}

export interface OpenAnswersOptions {
  codec: headerCodec.HeaderCodec;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
}

export class OpenAnswers {
  private readonly open = new Set<OpenAnswer>();

  constructor(private readonly options: OpenAnswersOptions) {}

  get size(): number {
    return this.open.size;
  }

  add(openAnswer: OpenAnswer): void {
    this.open.add(openAnswer);
  }

  delete(openAnswer: OpenAnswer): void {
    this.open.delete(openAnswer);
  }

  /** A small age means that the caller had disconnected before its request was read. */
  recordDisconnect({ arrivedMs, ahead, res }: OpenAnswer, disconnectedMs: number): void {
    const { log, meters: registry, nowMs } = this.options;
    const ageMs = disconnectedMs - arrivedMs;
    const workedOnMs = nowMs() - disconnectedMs;
    const labels = { position: ahead === 0 ? 'first' : 'behind' };
    registry.observeMs(meters.LEFT_AGE_SECONDS, ageMs, labels);
    registry.observeMs(meters.LEFT_WORK_SECONDS, workedOnMs, labels);
    const message = 'the caller disconnected before its answer was written';
    log.decision('callers', this.requestIdOf(res), message, {
      ahead,
      ageMs: Math.round(ageMs),
      workedOnMs: Math.round(workedOnMs),
    });
  }

  /** Records the requests that get no complete answer because the process exits. */
  recordUnanswered(): void {
    for (const openAnswer of this.open) this.recordInterrupted(openAnswer, 'node');
  }

  recordInterrupted(openAnswer: OpenAnswer, closedBy: callerConnections.ClosedBy): void {
    if (openAnswer.isInterrupted) return;
    openAnswer.isInterrupted = true;
    const { arrivedMs, ahead, res } = openAnswer;
    const { log, meters: registry, nowMs } = this.options;
    registry.increment(meters.INTERRUPTED_ANSWERS, { closedBy });
    const message = 'a connection ended before its answer was complete';
    log.decision('callers', this.requestIdOf(res), message, {
      closedBy,
      ahead,
      ageMs: Math.round(nowMs() - arrivedMs),
      hasAnswer: res.headersSent,
      unwrittenBytes: res.writableLength,
    });
  }

  private requestIdOf({ req }: http.ServerResponse): string {
    return this.options.codec.readCaller(req.headers).requestId ?? 'none';
  }
}
