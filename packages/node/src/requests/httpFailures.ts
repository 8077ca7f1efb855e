/** HTTP responses to callers for failed requests. */

import type * as http from 'node:http';
import { failures } from '@godwittrack/core';
import * as refusals from './refusals.js';

const STATUS_CODES: Readonly<Partial<Record<failures.FailureType, number>>> = {
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

const SERVICE_UNAVAILABLE = 503;

/** Whether a failed request may have run, in the `X-Godwittrack-Outcome` header. */
export type Outcome = 'notRun' | 'unknown' | 'inProgress';

export function statusOf(failure: failures.Failure): number {
  if (failure.type === 'upstreamFailed' && !failure.started) return SERVICE_UNAVAILABLE;
  return STATUS_CODES[failure.type] ?? SERVICE_UNAVAILABLE;
}

/** @param mayHaveRun whether this request, or an earlier one with its key, may have run */
export function outcomeOf(failure: failures.Failure, mayHaveRun: boolean): Outcome {
  if (failure.type === 'keyInProgress') return 'inProgress';
  return mayHaveRun ? 'unknown' : 'notRun';
}

/** Sends the failure as a response, or resets the connection when a response has begun already. */
export function send(
  res: http.ServerResponse,
  failure: failures.Failure,
  requestId: string,
  mayHaveRun: boolean,
): void {
  if (res.destroyed) return;
  if (res.headersSent) {
    // Reset rather than close: a response without length or chunks would otherwise look complete.
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
