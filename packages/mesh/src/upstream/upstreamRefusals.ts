/** Refusals of requests for the upstream on this host. */

import * as admissionQueue from '../limits/admissionQueue.js';
import * as exchange from '../routing/exchange.js';

/** Retry delay stated with refusals other than those of the admission queue. */
export const RETRY_AFTER_MS = 100;
/** Retry delay stated while the upstream does not respond; senders stay away for half of it. */
export const STALLED_RETRY_AFTER_MS = 500;

export function stalled(): exchange.Refusal {
  return exchange.refused(admissionQueue.UPSTREAM_STALLED, STALLED_RETRY_AFTER_MS);
}
