/** Response times of upstreams, as they are compared. */

import type * as responseTimes from './responseTimes.js';

/** Response times of one upstream on one route. */
export interface RouteTimes {
  /** Times of the responses. */
  counts: responseTimes.TimeCounts;
  /** Times after which requests had no response yet, as lower bounds. */
  unfinished: responseTimes.TimeCounts;
}

/** Response times of one upstream, by route. */
export type UpstreamTimes = ReadonlyMap<string, RouteTimes>;
