/** Distributions of response times on a route, without a slowdown of the version and with several ones. */

import * as hostSpeeds from './hostSpeeds.js';
import * as responseTimes from './responseTimes.js';
import type * as upstreamTimes from './upstreamTimes.js';

/** A slowdown of the version. */
export interface Alternative {
  /** Share of slowed responses. */
  share: number;
  /** Factor by which they are slowed. */
  factor: number;
}

export const ALTERNATIVES: readonly Alternative[] = [
  { share: 1, factor: 1.7 },
  { share: 1, factor: 2.4 },
  { share: 1, factor: 4 },
  { share: 1, factor: 8 },
  { share: 1, factor: 16 },
  { share: 0.5, factor: 2.5 },
  { share: 0.5, factor: 4 },
  { share: 0.5, factor: 8 },
  { share: 0.5, factor: 16 },
  { share: 0.25, factor: 4 },
  { share: 0.25, factor: 8 },
  { share: 0.25, factor: 16 },
  { share: 0.08, factor: 8 },
  { share: 0.08, factor: 16 },
];

/** Models of a route: without a slowdown, then with each alternative. */
export const MODEL_COUNT = ALTERNATIVES.length + 1;
/** Likelihood of a time that the old version never shows. */
const FLOOR_PROBABILITY = 2e-4;
const SMOOTHING = [0.25, 0.5, 0.25];

/**
 * Log probabilities of the classes, and of being at or above each class; `MAX_HOST_SHIFT` more on each side,
 * equal to those at the ends.
 */
interface Distribution {
  log: number[];
  logTail: number[];
}

/** The distribution of each model. */
export type RouteModel = readonly Distribution[];

/** Times of the old version on a route, as on a host of the usual speed, without those of slow hosts. */
export function pooledCounts(
  stables: readonly upstreamTimes.UpstreamTimes[],
  shifts: readonly (number | null)[],
  route: string,
): number[] {
  const pooled = new Array<number>(responseTimes.CLASS_COUNT).fill(0);
  stables.forEach((times, index) => {
    const shift = Math.round(shifts[index] ?? 0);
    if (shift > hostSpeeds.MAX_HOST_SHIFT) return;
    times.get(route)?.counts.forEach((count, at) => {
      pooled[clampClass(at - shift)]! += count;
    });
  });
  return pooled;
}

function clampClass(index: number): number {
  return Math.min(responseTimes.CLASS_COUNT - 1, Math.max(0, index));
}

export function createModel(counts: readonly number[]): RouteModel {
  const answers = counts.reduce((sum, count) => sum + count, 0);
  const usual = counts.map((_, index) => {
    const smoothed = SMOOTHING.reduce(
      (sum, weight, offset) => sum + weight * (counts[clampClass(index + offset - 1)] ?? 0),
      0,
    );
    return FLOOR_PROBABILITY + smoothed / answers;
  });
  const slowed = ALTERNATIVES.map(({ share, factor }) => {
    const shift = Math.round(responseTimes.classesOf(factor));
    const mixed = usual.map((probability) => (1 - share) * probability);
    usual.forEach((probability, index) => {
      mixed[clampClass(index + shift)]! += share * probability;
    });
    return mixed.map((probability) => Math.max(FLOOR_PROBABILITY, probability));
  });
  return [usual, ...slowed].map(toDistribution);
}

function toDistribution(probabilities: readonly number[]): Distribution {
  const sum = probabilities.reduce((acc, probability) => acc + probability, 0);
  let above = 0;
  const logTail = [...probabilities]
    .reverse()
    .map((probability) => {
      above += probability;
      return Math.log(above / sum);
    })
    .reverse();
  const log = probabilities.map((probability) => Math.log(probability / sum));
  return { log: pad(log), logTail: pad(logTail) };
}

function pad(values: readonly number[]): number[] {
  const repeat = (value: number) => new Array<number>(hostSpeeds.MAX_HOST_SHIFT).fill(value);
  return [...repeat(values[0]!), ...values, ...repeat(values[values.length - 1]!)];
}
