/** Speeds of the hosts of a version, and how much they differ. */

import * as logProbabilities from './logProbabilities.js';
import * as responseTimes from './responseTimes.js';
import type * as upstreamTimes from './upstreamTimes.js';

/** Speeds of hosts that are told apart, in classes around the usual speed. */
export const MAX_HOST_SHIFT = 6;
/** Usual deviation of the speeds of hosts, in classes, and the number of hosts that it counts for. */
const PRIOR_HOST_DEVIATION = 2;
const PRIOR_HOSTS = 3;
/** Responses by which the measured speed of a host is pulled towards the usual one. */
const HOST_SPEED_PRIOR_ANSWERS = 4;

/** How much slower each host of the old version is than usual, in classes; null without responses. */
export function hostShifts(
  stables: readonly upstreamTimes.UpstreamTimes[],
  routes: readonly string[],
): (number | null)[] {
  const usual = new Map(routes.map((route) => [route, usualClass(stables, route)]));
  return stables.map((times) => {
    let sum = 0;
    let answers = 0;
    for (const [route, usualMean] of usual) {
      const counts = times.get(route)?.counts ?? [];
      const count = responseTimes.total(counts);
      sum += count * (responseTimes.meanClass(counts) - usualMean);
      answers += count;
    }
    return answers === 0 ? null : sum / (answers + HOST_SPEED_PRIOR_ANSWERS);
  });
}

/** Lower median of the upstreams' mean classes on a route: half of them may be slow for a reason of their own. */
function usualClass(stables: readonly upstreamTimes.UpstreamTimes[], route: string): number {
  const means = stables
    .map((times) => times.get(route)?.counts ?? [])
    .filter((counts) => responseTimes.total(counts) > 0)
    .map(responseTimes.meanClass)
    .sort((a, b) => a - b);
  return means[Math.floor((means.length - 1) / 2)] ?? 0;
}

export interface Hosts {
  /** Mean shift of the old version's hosts, in classes. */
  mean: number;
  deviation: number;
  /** Standard deviation of the mean. */
  meanDeviation: number;
}

/** Slow hosts are left out of the usual speeds. */
export function describeHosts(shifts: readonly (number | null)[]): Hosts {
  const known = shifts.filter((shift) => shift !== null && shift <= MAX_HOST_SHIFT) as number[];
  const mean = known.reduce((sum, shift) => sum + shift, 0) / Math.max(1, known.length);
  const squares = known.reduce((sum, shift) => sum + (shift - mean) ** 2, 0);
  const variance =
    (PRIOR_HOSTS * PRIOR_HOST_DEVIATION ** 2 + squares) /
    (PRIOR_HOSTS + Math.max(0, known.length - 1));
  const deviation = Math.sqrt(variance);
  return { mean, deviation, meanDeviation: deviation / Math.sqrt(Math.max(1, known.length)) };
}

export const HOST_SHIFTS = Array.from(
  { length: 2 * MAX_HOST_SHIFT + 1 },
  (_, index) => index - MAX_HOST_SHIFT,
);

export function hostLogWeights({ mean, deviation }: Hosts, offset: number): number[] {
  const logs = HOST_SHIFTS.map((shift) => -0.5 * ((shift - mean - offset) / deviation) ** 2);
  const norm = logProbabilities.logSumExp(logs);
  return logs.map((log) => log - norm);
}
