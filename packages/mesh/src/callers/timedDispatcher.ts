/** Dispatches callers' requests, answers them by their deadlines and records the outcomes. */

import type { metrics } from '@godwittrack/core';
import type * as calleePressure from '../limits/calleePressure.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as dispatcher from '../routing/dispatcher.js';
import type * as exchange from '../routing/exchange.js';
import type * as attemptAge from './attemptAge.js';
import * as localReply from './localReply.js';

export interface TimedDispatcherOptions {
  dispatcher: dispatcher.Dispatcher;
  calleePressure: calleePressure.CalleePressure;
  attemptAge: attemptAge.AttemptAge;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
}

export class TimedDispatcher {
  private endsAtMs = Infinity;

  /** Ends each request that waits for its dispatch; called at `answerByMs`. */
  private readonly abandonWaiting = new Set<() => void>();

  constructor(private readonly options: TimedDispatcherOptions) {}

  /** Monotonic time by which each request must be answered, since the process exits soon after. */
  get answerByMs(): number {
    return this.endsAtMs;
  }

  /** Answers requests that are still open at the given monotonic time, with 504, and later ones in time. */
  answerBy(atMs: number): void {
    this.endsAtMs = atMs;
    const abandonAll = () => {
      for (const abandon of this.abandonWaiting) abandon();
    };
    setTimeout(abandonAll, atMs - this.options.nowMs()).unref();
  }

  /** Dispatches a request that the upstream on this host may have made while it runs another one. */
  async dispatchCall(
    req: dispatcher.CallerRequest,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | localReply.LocalReply> {
    const { calleePressure: pressure, nowMs } = this.options;
    pressure.recordCall(req.route.name, nowMs());
    const outcome = await this.dispatch(req, limitMs, signal);
    pressure.recordOutcome(req.route.name, outcome, nowMs());
    return outcome;
  }

  /** Dispatches a request and answers within `limitMs`, whatever the state of the request. */
  async dispatch(
    req: dispatcher.CallerRequest,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | localReply.LocalReply> {
    const controller = new AbortController();
    const abortDispatch = () => controller.abort();
    if (signal.aborted) abortDispatch();
    signal.addEventListener('abort', abortDispatch, { once: true });
    let timer: NodeJS.Timeout | undefined;
    let abandon = () => {};
    const timeout = new Promise<localReply.LocalReply>((resolve) => {
      timer = setTimeout(() => resolve(localReply.createReply(504, 'timeout')), limitMs);
      abandon = () => resolve(localReply.createReply(504, 'this node stops'));
      this.abandonWaiting.add(abandon);
    });
    const outcome = await Promise.race([
      this.options.dispatcher.dispatch(req, controller.signal),
      timeout,
    ]);
    clearTimeout(timer);
    this.abandonWaiting.delete(abandon);
    if (outcome.type === 'localReply') {
      controller.abort();
      this.options.log.decision('callers', req.requestId, 'a request timed out', {
        route: req.route.name,
        limitMs,
      });
    }
    this.recordMetrics(req, outcome);
    return outcome;
  }

  private recordMetrics(
    req: dispatcher.CallerRequest,
    outcome: exchange.Outcome | localReply.LocalReply,
  ): void {
    const { meters: registry, nowMs } = this.options;
    const route = req.route.name;
    const label = outcomeLabel(outcome);
    registry.increment(meters.REQUESTS, { route, outcome: label });
    if (label !== 'answer') this.options.attemptAge.recordFailure(route);
    registry.observeMs(meters.REQUEST_SECONDS, nowMs() - req.arrivedMs, { route });
    if (outcome.type === 'refused') {
      registry.increment(meters.REFUSALS, { reason: outcome.reason });
    }
  }
}

/** Value of the `outcome` label in metrics. */
function outcomeLabel(outcome: exchange.Outcome | localReply.LocalReply): string {
  if (outcome.type === 'localReply') return 'timeout';
  return outcome.type === 'answer' && outcome.status >= 500 ? 'failedAnswer' : outcome.type;
}
