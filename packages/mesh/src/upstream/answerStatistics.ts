/** Service times and sizes of the answers of the upstream on this host, by route. */

import type { ids } from '@godwittrack/core';
import * as frames from '../peers/frames.js';
import type * as exchange from '../routing/exchange.js';
import * as upstreamStats from '../routing/upstreamStats.js';

export class AnswerStatistics {
  private readonly serviceTimes = new upstreamStats.RouteAverages();

  private readonly sizes = new upstreamStats.RouteAverages();

  record(route: ids.RouteName, serviceMs: number, bytes: number, nowMs: number): void {
    this.serviceTimes.add(route, serviceMs, nowMs);
    this.sizes.add(route, bytes, nowMs);
  }

  /** Null before the first answer. */
  averageServiceMs({ route, estimateMs }: exchange.ForwardedRequest, nowMs: number): number | null {
    return this.serviceTimes.get(route)?.valueAt(nowMs, estimateMs) ?? null;
  }

  /** Null before the first answer. */
  serviceDeviationMs(route: ids.RouteName): number | null {
    return this.serviceTimes.get(route)?.deviation ?? null;
  }

  /** Expected size of an answer that waits for the uplink; 0 for small ones, which overtake the others. */
  uplinkBytes({ fromOtherHost, route }: exchange.ForwardedRequest): number {
    const bytes = this.sizes.get(route)?.value ?? 0;
    return fromOtherHost && bytes > frames.MAX_WHOLE_FRAME_BYTES ? bytes : 0;
  }

  clear(): void {
    this.serviceTimes.clear();
    this.sizes.clear();
  }
}
