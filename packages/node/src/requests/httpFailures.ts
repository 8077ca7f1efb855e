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
  answerIncomplete: 502,
  upstreamFailed: 502,
  protocolViolation: 502,
  internal: 500,
};

const UNAVAILABLE = 503;

export function statusOf(failure: failures.Failure): number {
  return STATUS[failure.type] ?? UNAVAILABLE;
}

/** Value of the `X-Godwittrack-Outcome` header; empty when nothing is claimed. */
export function outcomeOf(failure: failures.Failure): string {
  if (refusals.provesNotStarted(failure)) return 'notRun';
  if (failure.type === 'keyInProgress') return 'inProgress';
  return failure.type === 'outcomeUnknown' || failure.type === 'upstreamFailed' ? 'unknown' : '';
}

/** Answers with the failure, or breaks the connection when an answer has begun already. */
export function send(res: http.ServerResponse, failure: failures.Failure, requestId: string): void {
  if (res.destroyed) return;
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const outcome = outcomeOf(failure);
  const retryAfterMs = refusals.retryAfterMs(failure);
  const text = JSON.stringify({ error: { ...failure, message: failures.describe(failure) } });
  res.writeHead(statusOf(failure), {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    'X-Request-Id': requestId,
    ...(outcome === '' ? {} : { 'X-Godwittrack-Outcome': outcome }),
    ...(retryAfterMs > 0 ? { 'Retry-After': String(Math.ceil(retryAfterMs / 1_000)) } : {}),
  });
  res.end(text);
}
