/** Failures as HTTP answers to callers. */

import type * as http from 'node:http';
import { failures } from '@godwittrack/core';
import * as refusals from './refusals.js';

const STATUS: Readonly<Partial<Record<failures.FailureType, number>>> = {
  noRoute: 404,
  invalidRequest: 400,
  keyRequired: 400,
  keyReused: 422,
  keyInProgress: 409,
  answerNotKept: 409,
  bodyTooLarge: 413,
  tooManyHops: 508,
  deadlineExceeded: 504,
  timeout: 504,
  answerIncomplete: 502,
  upstreamFailed: 502,
  protocolViolation: 502,
  internal: 500,
};

const UNAVAILABLE = 503;

/** What a refusal says about the request, in the `X-Godwittrack-Outcome` header. */
export type Outcome = 'notRun' | 'unknown' | 'inProgress';

export function statusOf(failure: failures.Failure): number {
  if (failure.type === 'upstreamFailed' && !failure.started) return UNAVAILABLE;
  return STATUS[failure.type] ?? UNAVAILABLE;
}

/** @param mayHaveRun whether anything that may have run the request was done for it before */
export function outcomeOf(failure: failures.Failure, mayHaveRun: boolean): Outcome {
  if (failure.type === 'keyInProgress') return 'inProgress';
  return mayHaveRun ? 'unknown' : 'notRun';
}

/** Answers with the failure, or breaks the connection when an answer has begun already. */
export function send(
  res: http.ServerResponse,
  failure: failures.Failure,
  requestId: string,
  mayHaveRun: boolean,
): void {
  if (res.destroyed) return;
  if (res.headersSent) {
    // A reset, not an end: an answer without length or chunks would otherwise look whole.
    if (res.socket === null) res.destroy();
    else res.socket.resetAndDestroy();
    return;
  }
  const retryAfterMs = refusals.retryAfterMs(failure);
  const text = JSON.stringify({ error: { ...failure, message: failures.describe(failure) } });
  res.writeHead(statusOf(failure), {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    'X-Request-Id': requestId,
    'X-Godwittrack-Outcome': outcomeOf(failure, mayHaveRun),
    ...(retryAfterMs > 0 ? { 'Retry-After': String(Math.ceil(retryAfterMs / 1_000)) } : {}),
  });
  res.end(text);
}
