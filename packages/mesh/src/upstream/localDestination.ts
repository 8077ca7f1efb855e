/** Serves requests at the upstream beside this node: admits, sends, and judges the answer. */

import type { metrics } from '@godwittrack/core';
import * as admissionQueue from '../limits/admissionQueue.js';
import * as targetMargin from '../limits/targetMargin.js';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as exchange from '../routing/exchange.js';
import type * as evidence from '../rollouts/evidence.js';
import * as observations from '../routing/observations.js';
import type * as headerCodec from './headerCodec.js';
import type * as upstreamConnection from './upstreamConnection.js';
import type * as upstreamPool from './upstreamPool.js';

/** Wait that is named to callers while the upstream does not take work. */
const NOT_ACCEPTING_RETRY_MS = 100;
/** Failed connects in a row after which the upstream counts as down. */
const DOWN_AFTER_FAILURES = 3;
/** Pause before a request is tried again at an upstream that counts as down. */
const DOWN_RETRY_MS = 500;
/** How often waiting requests are looked at while none ends. */
const ADVANCE_INTERVAL_MS = 25;

interface Entry extends admissionQueue.Entrant {
  arrivedMs: number;
  req: exchange.ForwardedRequest;
  signal: AbortSignal;
  settle: (outcome: exchange.Outcome) => void;
}

export interface LocalDestinationOptions {
  upstream: localUpstream.LocalUpstream;
  pool: upstreamPool.UpstreamPool;
  codec: headerCodec.HeaderCodec;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  evidence: evidence.EvidenceRecorder;
  /** False for versions that were taken back. */
  mayServe: (service: string, version: string) => boolean;
  nowMs: () => number;
}

export class LocalDestination extends exchange.Destination {
  private readonly queue = new admissionQueue.AdmissionQueue<Entry>();

  private readonly serviceTimes = new observations.RouteAverages();

  private connectFailures = 0;

  private downUntilMs = 0;

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly options: LocalDestinationOptions) {
    super();
    let instance: string | null = null;
    options.upstream.onChange((state) => {
      if (state !== null && state.instance !== instance) {
        instance = state.instance;
        options.pool.clear();
        this.connectFailures = 0;
        this.serviceTimes.clear();
      }
      this.queue.setSlots(state?.slots ?? 0);
      if (state === null || !state.accepting) this.refuseWaiting('notAccepting');
    });
  }

  get load(): number {
    return this.queue.runningCount + this.queue.waitingCount;
  }

  send(req: exchange.ForwardedRequest, signal: AbortSignal): Promise<exchange.Delivery> {
    return new Promise((resolve) => {
      const settle = (outcome: exchange.Outcome) => {
        const typicalMs = this.serviceTimes.get(req.route)?.value ?? null;
        resolve({ outcome, report: { load: this.load, typicalMs } });
      };
      const reason = this.whyNot(req);
      if (reason !== null) {
        settle(exchange.refused(reason, NOT_ACCEPTING_RETRY_MS));
        return;
      }
      this.admit(req, signal, settle);
    });
  }

  /** Reason for which the upstream must not get the request; null if it may. */
  private whyNot(req: exchange.ForwardedRequest): string | null {
    const { state } = this.options.upstream;
    if (state === null) return 'upstreamUnknown';
    if (!state.accepting) return 'upstreamLeaving';
    if (state.instance !== req.instance) return 'otherIncarnation';
    if (!this.options.mayServe(state.service, state.version)) return 'versionTakenBack';
    if (this.options.nowMs() < this.downUntilMs) return 'upstreamDown';
    return null;
  }

  private admit(
    req: exchange.ForwardedRequest,
    signal: AbortSignal,
    settle: (outcome: exchange.Outcome) => void,
  ): void {
    const now = this.options.nowMs();
    const seen = this.serviceTimes.get(req.route);
    const estimateMs = seen?.value ?? req.estimateMs;
    const { targetLeftMs } = req;
    const marginMs = targetMargin.targetMargin(estimateMs, seen?.deviation ?? null, targetLeftMs);
    const entry: Entry = {
      arrivedMs: now,
      req,
      signal,
      settle,
      priority: req.priority,
      targetAtMs: now + targetLeftMs - marginMs,
      deadlineAtMs: now + req.deadlineLeftMs,
      estimateMs,
      maxWaitMs: req.maxWaitMs,
    };
    const decision = this.queue.offer(entry, now);
    if (decision.type === 'run') {
      void this.run(entry);
    } else if (decision.type === 'refuse') {
      settle(exchange.refused(decision.reason, decision.retryAfterMs));
    } else {
      const leave = () => {
        if (!this.queue.isWaiting(entry)) return;
        this.countCancel('waiting');
        settle(exchange.refused('cancelled', NOT_ACCEPTING_RETRY_MS));
        this.apply(this.queue.release(entry, this.options.nowMs()));
      };
      signal.addEventListener('abort', leave, { once: true });
      this.schedule();
    }
  }

  private async run(entry: Entry): Promise<void> {
    const startedMs = this.options.nowMs();
    const outcome = await this.exchange(entry, startedMs);
    const endedMs = this.options.nowMs();
    this.record(entry, outcome, endedMs - startedMs);
    this.apply(this.queue.release(entry, endedMs));
    entry.settle(outcome);
  }

  private async exchange(entry: Entry, startedMs: number): Promise<exchange.Outcome> {
    const { req, signal } = entry;
    const { pool } = this.options;
    const reason = this.whyNot(req);
    if (reason !== null) return exchange.refused(reason, NOT_ACCEPTING_RETRY_MS);
    const connection = pool.acquire(req.semantics);
    const deadlineLeftMs = entry.deadlineAtMs - startedMs;
    const stop = () => {
      // Work that may run only once goes on: its effect is wanted, or unknown if it were cut.
      const stops = req.semantics === 'repeatable';
      this.countCancel(stops ? 'running' : 'kept');
      if (stops) connection.destroy('cancelled');
    };
    const timer = setTimeout(() => connection.destroy('deadline'), deadlineLeftMs);
    signal.addEventListener('abort', stop, { once: true });
    const raw = await connection.send(
      req.requestId,
      serialize(req, this.options.codec, deadlineLeftMs),
    );
    clearTimeout(timer);
    signal.removeEventListener('abort', stop);
    pool.release(connection);
    return this.judge(req, raw, this.options.nowMs() - startedMs);
  }

  private countCancel(stage: 'waiting' | 'running' | 'kept'): void {
    this.options.meters.increment(meters.CANCELS, { stage });
  }

  private judge(
    req: exchange.ForwardedRequest,
    raw: upstreamConnection.RawOutcome,
    serviceMs: number,
  ): exchange.Outcome {
    if (raw.type === 'unsent') {
      this.noteConnectFailure(raw.detail);
      return exchange.refused('upstreamUnreachable', NOT_ACCEPTING_RETRY_MS);
    }
    this.connectFailures = 0;
    if (raw.type === 'broken') return exchange.lost(raw.detail);
    const { status, headers, body } = raw.answer;
    const read = this.options.codec.readAnswer(headers);
    if (read.notExecuted || status === 421) {
      return exchange.refused(`upstream${status}`, NOT_ACCEPTING_RETRY_MS, true);
    }
    if (status < 300 && !read.signed) return exchange.lost('answer without signature');
    const returned = this.options.codec.returnable(headers);
    return { type: 'answer', status, headers: returned, body, serviceMs };
  }

  private record(entry: Entry, outcome: exchange.Outcome, ms: number): void {
    const { req } = entry;
    const { state } = this.options.upstream;
    const { meters: counted } = this.options;
    const labels = { route: req.route };
    counted.increment(meters.UPSTREAM_REQUESTS, { outcome: outcome.type });
    counted.observeMs(meters.UPSTREAM_SECONDS, ms, labels);
    counted.observeMs(meters.WAIT_SECONDS, this.options.nowMs() - ms - entry.arrivedMs, labels);
    if (outcome.type === 'answer' && outcome.status < 500) {
      this.serviceTimes.add(req.route, ms);
    }
    const cancelled = entry.signal.aborted || outcome.type === 'refused';
    if (state !== null && state.instance === req.instance && !cancelled) {
      const failed = outcome.type === 'lost' || outcome.status >= 500;
      this.options.evidence.record(state, req.route, failed, ms);
    }
    if (outcome.type !== 'answer' || outcome.status >= 500) {
      this.options.log.decision('upstream', req.requestId, 'the upstream failed a request', {
        route: req.route,
        instance: req.instance,
        outcome: outcome.type === 'answer' ? outcome.status : outcome,
        serviceMs: Math.round(ms),
        load: this.load,
      });
    }
  }

  private noteConnectFailure(detail: string): void {
    this.connectFailures += 1;
    if (this.connectFailures < DOWN_AFTER_FAILURES) return;
    this.downUntilMs = this.options.nowMs() + DOWN_RETRY_MS;
    this.options.log.belief('upstream', 'the upstream does not accept connections', {
      instance: this.options.upstream.state?.instance,
      detail,
      failures: this.connectFailures,
    });
    this.refuseWaiting('upstreamDown');
  }

  private refuseWaiting(reason: string): void {
    for (const entry of this.queue.clear()) {
      entry.settle(exchange.refused(reason, NOT_ACCEPTING_RETRY_MS));
    }
  }

  private apply(turn: admissionQueue.Turn<Entry>): void {
    for (const { entrant, reason, retryAfterMs } of turn.refused) {
      entrant.settle(exchange.refused(reason, retryAfterMs));
    }
    for (const entry of turn.started) void this.run(entry);
  }

  /** While requests wait, those that can no longer be served are refused without delay. */
  private schedule(): void {
    if (this.timer !== null) return;
    this.timer = setTimeout(() => {
      this.timer = null;
      this.apply(this.queue.advance(this.options.nowMs()));
      if (this.queue.waitingCount > 0) this.schedule();
    }, ADVANCE_INTERVAL_MS);
  }
}

function serialize(
  req: exchange.ForwardedRequest,
  codec: headerCodec.HeaderCodec,
  deadlineLeftMs: number,
): Buffer {
  const lines = [`${req.method} ${req.target} HTTP/1.1`];
  const headers = [...req.headers, ...codec.forUpstream(req, deadlineLeftMs)];
  for (let i = 0; i < headers.length; i += 2) lines.push(`${headers[i]}: ${headers[i + 1]}`);
  if (req.body.length > 0 || req.method === 'POST' || req.method === 'PUT') {
    lines.push(`Content-Length: ${req.body.length}`);
  }
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), req.body]);
}
