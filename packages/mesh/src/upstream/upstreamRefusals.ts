/** Refusals of requests for the upstream on this host, before their admission and right before they run. */

import type { metrics } from '@godwittrack/core';
import * as admissionQueue from '../limits/admissionQueue.js';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as exchange from '../routing/exchange.js';
import * as placements from '../routing/placement.js';
import type * as connectFailures from './connectFailures.js';
import type * as placementCheck from './placementCheck.js';

/** Retry delay stated with refusals other than those of the admission queue. */
export const RETRY_AFTER_MS = 100;
/** Retry delay stated while the upstream does not respond; senders stay away for half of it. */
export const STALLED_RETRY_AFTER_MS = 500;

export interface UpstreamRefusalsOptions {
  upstream: localUpstream.LocalUpstream;
  connectFailures: connectFailures.ConnectFailures;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  quarantine: quarantine.Quarantine;
  placement: placementCheck.PlacementCheck;
  /** False for versions that were rolled back. */
  mayServe: (service: string, version: string) => boolean;
  nowMs: () => number;
}

export class UpstreamRefusals {
  constructor(private readonly options: UpstreamRefusalsOptions) {}

  /** Null if the upstream may run the request now. */
  refusalOf(req: exchange.ForwardedRequest): exchange.Refusal | null {
    const reason = this.refusalReason(req);
    if (reason !== null) return exchange.refused(reason, RETRY_AFTER_MS);
    return this.placementRefusalOf(req) ?? this.options.quarantine.refusalOf(req);
  }

  /** Reason why the upstream must not get a request now, whatever it is; null if it may. */
  refusalReason(req: exchange.ForwardedRequest): string | null {
    const { state } = this.options.upstream;
    if (state === null) return 'upstreamUnknown';
    if (!state.accepting) return 'upstreamLeaving';
    if (state.instance !== req.instance) return 'otherIncarnation';
    if (!this.options.mayServe(state.service, state.version)) return 'versionTakenBack';
    if (this.options.connectFailures.isDown(this.options.nowMs())) return 'upstreamDown';
    return null;
  }

  private placementRefusalOf(req: exchange.ForwardedRequest): exchange.Refusal | null {
    const { placement, log, meters: registry } = this.options;
    const reason = placement.refusalReason(req);
    if (reason === null) return null;
    registry.increment(meters.PLACEMENT_REFUSALS, { reason });
    if (reason === placements.EVACUATED) {
      return exchange.refused(reason, placements.EVACUATED_RETRY_MS);
    }
    const { requestId, route, customer, callerService } = req;
    log.decision('upstream', requestId, 'a request was refused for the place of the upstream', {
      reason,
      route,
      customer,
      callerService,
    });
    return exchange.refused(reason, RETRY_AFTER_MS);
  }
}

export function stalled(): exchange.Refusal {
  return exchange.refused(admissionQueue.UPSTREAM_STALLED, STALLED_RETRY_AFTER_MS);
}
