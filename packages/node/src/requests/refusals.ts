/** Failures on the wire between nodes, and what each proves about the request. */

import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';

/** Failures that are raised only before the upstream is given the request. */
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

/** True when the failure proves that the upstream did not start the request. */
export function provesNotStarted(failure: failures.Failure): boolean {
  if (failure.type === 'upstreamFailed') return !failure.started;
  return NOT_STARTED.has(failure.type);
}

export function retryAfterMs(failure: failures.Failure): number {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : 0;
}

export function encode(failure: failures.Failure): requests.Refusal {
  return {
    type: failure.type,
    detail: failures.describe(failure),
    notRun: provesNotStarted(failure),
    retryAfterMs: retryAfterMs(failure),
  };
}

/** Failure as the receiving node sees it. */
export function decode(refusal: requests.Refusal, service: string): failures.Failure {
  const { detail, retryAfterMs: afterMs } = refusal;
  if (refusal.type === 'queueFull') return { type: 'queueFull', service, retryAfterMs: afterMs };
  if (refusal.type === 'answerIncomplete') return { type: 'answerIncomplete', service, detail };
  if (refusal.notRun) return { type: 'notRun', detail, retryAfterMs: afterMs };
  return { type: 'upstreamFailed', service, detail, started: true };
}
