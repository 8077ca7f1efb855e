/** Runs one request at the upstream on this host: sends it, observes its response and finds out about an end. */

import type { ids, metrics } from '@godwittrack/core';
import type * as localUpstream from '../membership/localUpstream.js';
import * as members from '../membership/members.js';
import * as meters from '../observability/meters.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as exchange from '../routing/exchange.js';
import type * as answerEvaluator from './answerEvaluator.js';
import * as endDetector from './endDetector.js';
import type * as headerCodec from './headerCodec.js';
import type * as requestQueue from './requestQueue.js';
import type * as responseMonitor from './responseMonitor.js';
import type * as upstreamConnection from './upstreamConnection.js';
import type * as upstreamPool from './upstreamPool.js';
import type * as upstreamRefusals from './upstreamRefusals.js';

/** Detail of the loss of a request that had no response at its deadline. */
export const DEADLINE = 'deadline';

export interface UpstreamRunnerOptions {
  upstream: localUpstream.LocalUpstream;
  pool: upstreamPool.UpstreamPool;
  codec: headerCodec.HeaderCodec;
  meters: metrics.Metrics;
  quarantine: quarantine.Quarantine;
  refusals: upstreamRefusals.UpstreamRefusals;
  responses: responseMonitor.ResponseMonitor;
  evaluator: answerEvaluator.AnswerEvaluator;
  nowMs: () => number;
}

export class UpstreamRunner {
  private readonly endDetector: endDetector.EndDetector;

  constructor(private readonly options: UpstreamRunnerOptions) {
    this.endDetector = new endDetector.EndDetector({
      current: () => options.upstream.state,
      probe: () => options.pool.probe(),
    });
  }

  async run(entry: requestQueue.QueueEntry, startedMs: number): Promise<exchange.Outcome> {
    const { req, signal } = entry;
    const { pool, quarantine: suspects, responses } = this.options;
    const refusal = this.options.refusals.refusalOf(req);
    if (refusal !== null) return refusal;
    const incarnation = this.options.upstream.state!;
    const run = suspects.beginRun(req);
    const response = responses.start(req.route, startedMs);
    const connection = pool.acquire(req.semantics);
    const deadlineLeftMs = entry.deadlineAtMs - startedMs;
    const onAbort = () => {
      // A request that may run only once goes on: its effect is wanted, or unknown if interrupted.
      const isRepeatable = req.semantics === 'repeatable';
      this.options.meters.increment(meters.CANCELS, { stage: isRepeatable ? 'running' : 'kept' });
      if (isRepeatable) connection.destroy('cancelled');
    };
    const timer = setTimeout(() => connection.destroy(DEADLINE), deadlineLeftMs);
    signal.addEventListener('abort', onAbort, { once: true });
    const raw = await connection.send(
      req.requestId,
      serialize(req, this.options.codec, deadlineLeftMs),
      req.method,
    );
    clearTimeout(timer);
    signal.removeEventListener('abort', onAbort);
    pool.release(connection);
    const serviceMs = this.options.nowMs() - startedMs;
    this.recordResponse(response, raw, serviceMs);
    const id = await this.findEnd(incarnation, raw);
    const end = id === null ? undefined : { id, wasSuspect: run.wasSuspect };
    if (end !== undefined) suspects.recordEnd(req, end, 'self');
    if (end !== undefined && members.isSameIncarnation(this.options.upstream.state, incarnation))
      this.options.upstream.cold.invalidate('upstreamEnded');
    run.end();
    return this.options.evaluator.toOutcome(req, raw, serviceMs, end);
  }

  private recordResponse(
    response: responseMonitor.Run,
    raw: upstreamConnection.RawOutcome,
    serviceMs: number,
  ): void {
    const { responses } = this.options;
    const now = this.options.nowMs();
    if (raw.type === 'unsent') {
      responses.discard(response, now);
      return;
    }
    if (raw.type === 'broken' && raw.closedBy === 'node') {
      responses.abandon(response, now);
      return;
    }
    const hasWorked = raw.type === 'answer' && raw.answer.status < 400;
    responses.complete(response, hasWorked ? serviceMs : null, now);
  }

  /** The outcome waits for it, so that the sender of the request knows of the end when it retries. */
  private async findEnd(
    incarnation: members.Incarnation,
    raw: upstreamConnection.RawOutcome,
  ): Promise<ids.UpstreamEndId | null> {
    if (raw.type !== 'broken' || raw.closedBy === 'node') return null;
    return this.endDetector.findEnd(incarnation);
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
