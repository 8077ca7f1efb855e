/** Failures as sent between nodes, and which of them prove that the request did not start. */

import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import * as constants from '../constants.js';

/** Failures that are raised only before the request is sent to the upstream. */
const NOT_STARTED: ReadonlySet<failures.FailureType> = new Set([
  'queueFull',
  'draining',
  'noUpstream',
  'notRun',
  'notReady',
  'noRoute',
  'tooManyHops',
  'keyRequired',
]);

/** Failures that a retry by the caller cannot change, so they carry no Retry-After. */
const NOT_RETRYABLE: ReadonlySet<failures.FailureType> = new Set([
  'noRoute',
  'invalidRequest',
  'bodyTooLarge',
  'tooManyHops',
  'keyRequired',
  'keyReused',
  'answerNotKept',
]);

/** True when the failure proves that the upstream did not start the request. */
export function provesNotStarted(failure: failures.Failure): boolean {
  if (failure.type === 'upstreamFailed') return !failure.started;
  return NOT_STARTED.has(failure.type);
}

/** Delay before a retry by the caller; zero when a retry cannot succeed. */
export function retryAfterMs(failure: failures.Failure): number {
  if ('retryAfterMs' in failure && failure.retryAfterMs > 0) return failure.retryAfterMs;
  return NOT_RETRYABLE.has(failure.type) ? 0 : constants.SHORT_RETRY_AFTER_MS;
}

export function encode(failure: failures.Failure): requests.Refusal {
  return {
    type: failure.type,
    detail: failures.describe(failure),
    notRun: provesNotStarted(failure),
    retryAfterMs: retryAfterMs(failure),
  };
}

/** Converts a refusal by another node to a failure. */
export function decode(refusal: requests.Refusal, service: string): failures.Failure {
  const { type, detail, notRun, retryAfterMs: afterMs } = refusal;
  if (notRun) {
    if (type === 'queueFull') return { type, service, retryAfterMs: afterMs };
    if (type === 'noUpstream') return { type, service, detail, retryAfterMs: afterMs };
    // The detail names the node that drains.
    if (type === 'draining') return { type, node: detail, retryAfterMs: afterMs };
    return { type: 'notRun', detail, retryAfterMs: afterMs };
  }
  if (type === 'answerIncomplete') return { type, service, detail };
  return { type: 'upstreamFailed', service, detail, started: true };
}
