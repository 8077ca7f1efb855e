/** The upstream on this host as a destination: admits requests and has them run. */

import type { metrics } from '@godwittrack/core';
import * as admissionQueue from '../limits/admissionQueue.js';
import type * as calleePressure from '../limits/calleePressure.js';
import * as targetMargin from '../limits/targetMargin.js';
import type * as coldWatch from '../membership/coldWatch.js';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as exchange from '../routing/exchange.js';
import type * as evidence from '../rollouts/evidence.js';
import * as placements from '../routing/placement.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as answerEvaluator from './answerEvaluator.js';
import * as answerStatistics from './answerStatistics.js';
import * as connectFailures from './connectFailures.js';
import type * as headerCodec from './headerCodec.js';
import * as healthCheck from './healthCheck.js';
import * as outcomeRecorder from './outcomeRecorder.js';
import type * as placementCheck from './placementCheck.js';
import * as requestQueue from './requestQueue.js';
import * as responseMonitor from './responseMonitor.js';
import type * as upstreamPool from './upstreamPool.js';
import * as upstreamRefusals from './upstreamRefusals.js';
import * as upstreamRunner from './upstreamRunner.js';

export interface LocalDestinationOptions {
  upstream: localUpstream.LocalUpstream;
  pool: upstreamPool.UpstreamPool;
  codec: headerCodec.HeaderCodec;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  evidence: evidence.EvidenceRecorder;
  quarantine: quarantine.Quarantine;
  placement: placementCheck.PlacementCheck;
  /** False for versions that were rolled back. */
  mayServe: (service: string, version: string) => boolean;
  /** Whether requests use shares of the upstream, by customer. */
  hasCustomers: () => boolean;
  /** Used where requests use shares. */
  calleePressure: calleePressure.CalleePressure;
  /** Time after which the uplink of this host will have sent all answers handed over, and `bytes` more. */
  transferWaitMs: (bytes: number) => number;
  /** Total time for which this process has stood still. */
  stoodStillMs: () => number;
  nowMs: () => number;
}

export class LocalDestination extends exchange.Destination {
  private readonly queue: requestQueue.RequestQueue;

  private readonly statistics = new answerStatistics.AnswerStatistics();

  /** Expected size of the large answers to running requests of other hosts. */
  private expectedBytes = 0;

  private readonly responses: responseMonitor.ResponseMonitor;

  private readonly recorder: outcomeRecorder.OutcomeRecorder;

  private readonly runner: upstreamRunner.UpstreamRunner;

  private readonly connectFailures: connectFailures.ConnectFailures;

  private readonly refusals: upstreamRefusals.UpstreamRefusals;

  constructor(private readonly options: LocalDestinationOptions) {
    super();
    this.responses = new responseMonitor.ResponseMonitor({
      stoodStillMs: options.stoodStillMs,
      onChange: (isStalled, details) => this.recordStall(isStalled, details),
    });
    this.queue = new requestQueue.RequestQueue({
      ...options,
      beforeAdvance: (nowMs) => this.responses.check(nowMs),
    });
    this.connectFailures = new connectFailures.ConnectFailures({
      ...options,
      onDown: () => this.queue.refuseWaiting('upstreamDown'),
    });
    this.refusals = new upstreamRefusals.UpstreamRefusals({
      ...options,
      connectFailures: this.connectFailures,
    });
    this.recorder = new outcomeRecorder.OutcomeRecorder({
      ...options,
      statistics: this.statistics,
      load: () => this.load,
    });
    this.runner = new upstreamRunner.UpstreamRunner({
      ...options,
      refusals: this.refusals,
      responses: this.responses,
      evaluator: new answerEvaluator.AnswerEvaluator({
        ...options,
        connectFailures: this.connectFailures,
        onLimitChange: () => this.applyLimit(),
      }),
    });
    options.upstream.cold.onChange(() => this.applyLimit());
    options.placement.onEvacuated(() => this.refuseEvacuated());
    let instance: string | null = null;
    options.upstream.onChange((state) => {
      if (state !== null && state.instance !== instance) {
        instance = state.instance;
        options.pool.clear();
        options.calleePressure.clear();
        this.connectFailures.clear();
        this.statistics.clear();
        this.responses.clear(options.nowMs());
      }
      this.queue.setSlots(state?.slots ?? 0);
      this.applyLimit();
      if (state === null || !state.accepting) this.queue.refuseWaiting('notAccepting');
    });
  }

  /** Whether the upstream has stopped responding. */
  get isStalled(): boolean {
    return this.responses.isStalled;
  }

  get load(): number {
    return this.queue.runningCount + this.queue.waitingCount;
  }

  /** Customers on whose recent requests the order of waiting ones depends. */
  get shareCount(): number {
    return this.queue.shareCount;
  }

  send(req: exchange.ForwardedRequest, signal: AbortSignal): Promise<exchange.Delivery> {
    // The reports of other nodes may still be on their way.
    if (req.crashReport !== null) this.options.quarantine.merge([req.crashReport], 'remote');
    return new Promise((resolve) => {
      const settle = (outcome: exchange.Outcome) => {
        const averageMs = this.statistics.averageServiceMs(req, this.options.nowMs());
        const transferWaitMs = this.options.transferWaitMs(this.expectedBytes);
        const report = { load: this.load, averageServiceMs: averageMs, transferWaitMs };
        resolve({ outcome, report });
      };
      const refusal = this.refusals.refusalOf(req);
      if (refusal !== null) {
        settle(refusal);
        return;
      }
      const now = this.options.nowMs();
      if (this.responses.check(now) && !this.responses.admits(req.semantics, now)) {
        settle(upstreamRefusals.stalled());
        return;
      }
      this.admit(req, signal, settle);
    });
  }

  /** Sends one health check. It takes a slot and counts against the limit like any request. */
  checkHealth(path: string): Promise<coldWatch.HealthOutcome> {
    return new Promise((resolve) => {
      const { state } = this.options.upstream;
      const req = state === null ? null : healthCheck.createRequest(state, path);
      const reason = req === null ? 'upstreamUnknown' : this.refusals.refusalReason(req);
      if (req === null || reason !== null) {
        resolve({ type: 'none', reason: reason ?? 'upstreamUnknown' });
        return;
      }
      const settle = (outcome: exchange.Outcome) =>
        resolve({ type: 'none', reason: outcome.type === 'refused' ? outcome.reason : 'lost' });
      this.admit(req, new AbortController().signal, settle, (entry) => {
        void this.runHealthCheck(entry).then(resolve);
      });
    });
  }

  private async runHealthCheck(entry: requestQueue.QueueEntry): Promise<coldWatch.HealthOutcome> {
    const { pool, codec, upstream, nowMs } = this.options;
    const { req, deadlineAtMs } = entry;
    const raw = await healthCheck.send(pool, req, upstream.address, deadlineAtMs - nowMs());
    if (raw.type === 'unsent') this.connectFailures.record(raw);
    this.queue.release(entry, nowMs());
    return healthCheck.readOutcome(raw, codec, req.instance);
  }

  /** Requests that wait are offered elsewhere by their senders; running ones go on. */
  private refuseEvacuated(): void {
    const { log, meters: registry } = this.options;
    const { runningCount: running, waitingCount: waiting } = this.queue;
    log.info('upstream', 'waiting requests refused, the failure domain is evacuated', {
      waiting,
      running,
    });
    const reason = placements.EVACUATED;
    for (let i = 0; i < waiting; i += 1) registry.increment(meters.PLACEMENT_REFUSALS, { reason });
    this.queue.refuseWaiting(reason, placements.EVACUATED_RETRY_MS);
  }

  private admit(
    req: exchange.ForwardedRequest,
    signal: AbortSignal,
    settle: (outcome: exchange.Outcome) => void,
    start: requestQueue.QueueEntry['start'] = (entry) => {
      void this.run(entry);
    },
  ): void {
    const now = this.options.nowMs();
    const estimateMs = this.statistics.averageServiceMs(req, now) ?? req.estimateMs;
    const { targetLeftMs } = req;
    const uplinkBytes = this.statistics.uplinkBytes(req);
    const transferWaitMs = uplinkBytes === 0 ? 0 : this.options.transferWaitMs(this.expectedBytes);
    const marginMs = targetMargin.targetMargin(
      estimateMs,
      this.statistics.serviceDeviationMs(req.route),
      targetLeftMs - transferWaitMs,
    );
    const entry: requestQueue.QueueEntry = {
      arrivedMs: now,
      req,
      signal,
      settle,
      start,
      customerPriority: req.customerPriority,
      priority: req.priority,
      targetAtMs: now + targetLeftMs - marginMs,
      deadlineAtMs: now + req.deadlineLeftMs,
      estimateMs,
      transferWaitMs,
      uplinkBytes,
      maxWaitMs: req.maxWaitMs,
      share: this.shareOf(req),
    };
    if (!this.mayCall(entry, now)) return;
    const decision = this.queue.offer(entry, now);
    if (decision.type === 'run') {
      entry.start(entry);
    } else if (decision.type === 'refuse') {
      this.options.calleePressure.withdrawStart(req.route);
      this.queue.refuse(entry, { ...decision, reason: this.refusalReasonOf(decision) });
    } else if (this.responses.isStalled) {
      // A probe needs a free slot.
      this.queue.displace(decision.displaced, entry);
      this.options.calleePressure.withdrawStart(req.route);
      settle(upstreamRefusals.stalled());
      this.queue.release(entry, now);
    } else {
      this.queue.displace(decision.displaced, entry);
      const cancelWaiting = () => {
        if (!this.queue.isWaiting(entry)) return;
        this.options.meters.increment(meters.CANCELS, { stage: 'waiting' });
        settle(exchange.refused('cancelled', upstreamRefusals.RETRY_AFTER_MS));
        this.queue.release(entry, this.options.nowMs());
      };
      signal.addEventListener('abort', cancelWaiting, { once: true });
      this.queue.scheduleAdvance();
    }
  }

  /**
   * A wait that is too long at a cold upstream counts as lack of capacity, after which the sender asks others
   * and stays away for a while: with its low load, a cold upstream would be chosen again and again.
   */
  private refusalReasonOf({ reason }: admissionQueue.Refused): admissionQueue.RefusalReason {
    const isOfLimit = this.options.upstream.cold.limitPerSecond !== null;
    return isOfLimit && reason === admissionQueue.WAIT_TOO_LONG
      ? admissionQueue.LIMIT_REACHED
      : reason;
  }

  /** @returns false for a request that is refused because its calls would be */
  private mayCall({ req, settle, share }: requestQueue.QueueEntry, nowMs: number): boolean {
    if (share === undefined) return true;
    const { route, requestId, customer, customerPriority } = req;
    const start = this.options.calleePressure.tryStart(route, customerPriority, nowMs);
    if (start.type === 'start') return true;
    const retryAfterMs = Math.max(admissionQueue.MIN_RETRY_AFTER_MS, start.retryAfterMs);
    const message = 'a request was refused since calls of its route are';
    const fields = { route, customer, retryAfterMs: Math.round(retryAfterMs) };
    this.options.log.decision('upstream', requestId, message, fields);
    settle(exchange.refused(admissionQueue.CALLEES_FULL, retryAfterMs));
    return false;
  }

  /** Requests without a customer use one share for each route; undefined without customers. */
  private shareOf({ customer, route }: exchange.ForwardedRequest): string | undefined {
    if (customer === null && !this.options.hasCustomers()) return undefined;
    return customer ?? `route ${route}`;
  }

  private async run(entry: requestQueue.QueueEntry): Promise<void> {
    const startedMs = this.options.nowMs();
    this.expectedBytes += entry.uplinkBytes;
    const { calleePressure: pressure } = this.options;
    const run = entry.share === undefined ? null : pressure.beginRun(entry.req.route, startedMs);
    const evidenceRun = this.recorder.begin(entry.req.route);
    const outcome = await this.runner.run(entry, startedMs);
    const endedMs = this.options.nowMs();
    const isComplete = outcome.type === 'answer' && outcome.status < 500;
    if (run !== null) pressure.endRun(run, isComplete, endedMs);
    this.recorder.record(entry, evidenceRun, outcome, endedMs - startedMs);
    this.queue.release(entry, endedMs);
    entry.settle(outcome);
    // From here on the answer is in the backlog of the uplink.
    this.expectedBytes -= entry.uplinkBytes;
  }

  private recordStall(isStalled: boolean, details: responseMonitor.StallDetails): void {
    const { log, meters: registry, upstream } = this.options;
    const message = isStalled
      ? 'the upstream has stopped responding'
      : 'the upstream responds again';
    log.warn('upstream', message, { instance: upstream.state?.instance, ...details });
    if (!isStalled) return;
    registry.increment(meters.UPSTREAM_STALLS);
    this.queue.refuseWaiting(
      admissionQueue.UPSTREAM_STALLED,
      upstreamRefusals.STALLED_RETRY_AFTER_MS,
    );
  }

  private applyLimit(): void {
    this.queue.setRate(this.options.upstream.startLimitPerSecond, this.options.nowMs());
  }
}
