/** Records the outcomes of requests that ran on the upstream: metrics, evidence for rollouts, statistics, log. */

import type { ids, metrics } from '@godwittrack/core';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as evidence from '../rollouts/evidence.js';
import type * as exchange from '../routing/exchange.js';
import type * as answerStatistics from './answerStatistics.js';
import type * as requestQueue from './requestQueue.js';
import * as upstreamRunner from './upstreamRunner.js';

const GATEWAY_TIMEOUT = 504;

export interface OutcomeRecorderOptions {
  upstream: localUpstream.LocalUpstream;
  statistics: answerStatistics.AnswerStatistics;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  evidence: evidence.EvidenceRecorder;
  /** Requests that run or wait. */
  load: () => number;
  nowMs: () => number;
}

export class OutcomeRecorder {
  /** End of the upstream that was last counted. */
  private countedEnd: ids.UpstreamEndId | null = null;

  constructor(private readonly options: OutcomeRecorderOptions) {}

  /** To be called when the upstream begins to work on a request. */
  begin(route: string): evidence.Run {
    const { cold } = this.options.upstream;
    return this.options.evidence.begin(route, cold.wasSlowStart(this.options.nowMs()));
  }

  record(
    entry: requestQueue.QueueEntry,
    run: evidence.Run,
    outcome: exchange.Outcome,
    ms: number,
  ): void {
    const { req } = entry;
    const { state } = this.options.upstream;
    const { meters: registry } = this.options;
    const labels = { route: req.route };
    registry.increment(meters.UPSTREAM_REQUESTS, { outcome: outcome.type });
    registry.observeMs(meters.UPSTREAM_SECONDS, ms, labels);
    registry.observeMs(meters.WAIT_SECONDS, this.options.nowMs() - ms - entry.arrivedMs, labels);
    if (outcome.type === 'answer' && outcome.status < 500) {
      const now = this.options.nowMs();
      this.options.statistics.record(req.route, ms, outcome.body.length, now);
    }
    const end = this.endOf(outcome, entry.signal.aborted);
    this.options.evidence.end(run, state?.instance === req.instance ? end : null);
    if (outcome.type !== 'answer' || outcome.status >= 500) {
      this.options.log.decision('upstream', req.requestId, 'the upstream failed a request', {
        route: req.route,
        instance: req.instance,
        outcome: outcome.type === 'answer' ? outcome.status : outcome,
        serviceMs: Math.round(ms),
        load: this.options.load(),
      });
    }
  }

  /** What the outcome is as evidence; null if it is none. */
  private endOf(outcome: exchange.Outcome, isCancelled: boolean): evidence.RequestEndType | null {
    if (outcome.type === 'refused') return null;
    if (outcome.type === 'lost') {
      const isCounted = this.countEnd(outcome.end);
      if (isCancelled) return 'cancelled';
      if (outcome.detail === upstreamRunner.DEADLINE) return 'timeout';
      return isCounted ? 'failure' : null;
    }
    if (outcome.status === GATEWAY_TIMEOUT) return 'timeout';
    if (outcome.status >= 500) return 'failure';
    return outcome.status >= 400 ? 'rejection' : 'success';
  }

  /** @returns false for further requests of an end, of which one at most is the cause */
  private countEnd(end: exchange.UpstreamEnd | undefined): boolean {
    if (end === undefined) return true;
    if (end.id === this.countedEnd) return false;
    this.countedEnd = end.id;
    this.options.meters.increment(meters.UPSTREAM_ENDS);
    return true;
  }
}
