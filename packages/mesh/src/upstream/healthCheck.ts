/** Health check of the upstream on this host, by which a cold one states for how long it stays cold. */

import { ids } from '@godwittrack/core';
import type * as coldWatch from '../membership/coldWatch.js';
import type * as members from '../membership/members.js';
import type * as exchange from '../routing/exchange.js';
import type * as headerCodec from './headerCodec.js';
import type * as upstreamConnection from './upstreamConnection.js';
import type * as upstreamPool from './upstreamPool.js';

/** Time within which the check must be answered; the next announcement comes about as soon. */
const TIMEOUT_MS = 1_500;
/** Expected time of an answer, for the admission queue. */
const ESTIMATE_MS = 10;

/** A health check as the admission queue sees it: more urgent than requests of callers. */
export function createRequest(
  upstream: members.UpstreamState,
  path: string,
): exchange.ForwardedRequest {
  return {
    requestId: ids.requestId('health'),
    method: 'GET',
    target: path,
    headers: [],
    body: Buffer.alloc(0),
    route: ids.routeName(''),
    semantics: 'repeatable',
    priority: 0,
    customer: null,
    customerPriority: 0,
    callerService: upstream.service,
    instance: upstream.instance,
    targetLeftMs: TIMEOUT_MS,
    deadlineLeftMs: TIMEOUT_MS,
    estimateMs: ESTIMATE_MS,
    maxWaitMs: Infinity,
    crashReport: null,
    isConfined: false,
    fromOtherHost: false,
  };
}

export async function send(
  pool: upstreamPool.UpstreamPool,
  { requestId, target, semantics }: exchange.ForwardedRequest,
  host: string,
  timeoutMs: number,
): Promise<upstreamConnection.RawOutcome> {
  const connection = pool.acquire(semantics);
  const timer = setTimeout(() => connection.destroy('deadline'), timeoutMs);
  const bytes = Buffer.from(`GET ${target} HTTP/1.1\r\nHost: ${host}\r\n\r\n`, 'latin1');
  const raw = await connection.send(requestId, bytes);
  clearTimeout(timer);
  pool.release(connection);
  return raw;
}

/** @param instance the incarnation that is expected; an answer may leave its name out */
export function readOutcome(
  raw: upstreamConnection.RawOutcome,
  codec: headerCodec.HeaderCodec,
  instance: ids.InstanceId,
): coldWatch.HealthOutcome {
  if (raw.type !== 'answer') return { type: 'none', reason: raw.detail };
  const { status, headers } = raw.answer;
  const answer = codec.readAnswer(headers);
  if (answer.instance !== null && answer.instance !== instance)
    return { type: 'none', reason: 'otherIncarnation' };
  // A refusal of an upstream that is full or not ready says nothing about its cold time.
  if (status >= 300) return { type: 'none', reason: `upstream${status}` };
  return { type: 'answer', coldRemainingMs: answer.coldRemainingMs };
}
