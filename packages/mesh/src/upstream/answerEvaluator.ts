/** Evaluates what the upstream on this host sent for a request: its outcome, and what it says of the upstream. */

import type { ids } from '@godwittrack/core';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as observability from '../observability/decisionLog.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as exchange from '../routing/exchange.js';
import type * as connectFailures from './connectFailures.js';
import type * as headerCodec from './headerCodec.js';
import type * as upstreamConnection from './upstreamConnection.js';
import * as upstreamRefusals from './upstreamRefusals.js';

export interface AnswerEvaluatorOptions {
  upstream: localUpstream.LocalUpstream;
  codec: headerCodec.HeaderCodec;
  log: observability.DecisionLog;
  quarantine: quarantine.Quarantine;
  connectFailures: connectFailures.ConnectFailures;
  /** Called after an answer has changed the limit of the upstream. */
  onLimitChange: () => void;
}

export class AnswerEvaluator {
  constructor(private readonly options: AnswerEvaluatorOptions) {}

  toOutcome(
    req: exchange.ForwardedRequest,
    raw: upstreamConnection.RawOutcome,
    serviceMs: number,
    end: exchange.UpstreamEnd | undefined,
  ): exchange.Outcome {
    if (raw.type === 'unsent') {
      this.options.connectFailures.record(raw);
      return exchange.refused('upstreamUnreachable', upstreamRefusals.RETRY_AFTER_MS);
    }
    this.options.connectFailures.clear();
    if (raw.type === 'broken') return exchange.lost(raw.detail, end);
    const { status, headers, body } = raw.answer;
    const answerInfo = this.options.codec.readAnswer(headers);
    if (answerInfo.leaving) this.options.upstream.recordLeaving(req.instance);
    this.recordLimit(req.instance, answerInfo, status);
    if (answerInfo.notExecuted || status === 421) {
      return exchange.refused(`upstream${status}`, upstreamRefusals.RETRY_AFTER_MS, true);
    }
    if (status < 300 && !answerInfo.signed) return exchange.lost('answer without signature');
    if (status < 500) this.options.quarantine.recordAnswer(req);
    const returned = this.options.codec.returnable(headers);
    return { type: 'answer', status, headers: returned, body, serviceMs };
  }

  /** A limit holds until an answer of the upstream states another one, or a successful one states none. */
  private recordLimit(
    instance: ids.InstanceId,
    { limit, signed }: headerCodec.AnswerHeaders,
    status: number,
  ): void {
    const { upstream, log } = this.options;
    if (limit.type === 'unreadable') {
      log.warn('upstream', 'unreadable limit ignored', { instance, limit: limit.text });
      return;
    }
    if (limit.type === 'none' && (!signed || status >= 300)) return;
    const perSecond = limit.type === 'rate' ? limit.perSecond : null;
    if (upstream.limitPerSecond === perSecond) return;
    log.info('upstream', 'limit changed', {
      instance,
      perSecond,
      previous: upstream.limitPerSecond,
    });
    upstream.recordLimit(instance, perSecond);
    this.options.onLimitChange();
  }
}
