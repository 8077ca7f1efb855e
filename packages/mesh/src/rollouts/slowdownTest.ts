/**
 * Decides whether a new version responds more slowly than the old one, by the ratio of two likelihoods of its
 * response times: that all of its upstreams are slowed in the same way, and that none is but for what hosts
 * differ by. Hosts differ in speed, and some are slow for reasons of their own.
 */

import * as hostSpeeds from './hostSpeeds.js';
import * as logProbabilities from './logProbabilities.js';
import * as responseTimes from './responseTimes.js';
import * as slowdownModel from './slowdownModel.js';
import type * as upstreamTimes from './upstreamTimes.js';

/** The most likely slowdown. */
export interface Slowdown extends slowdownModel.Alternative {
  /** Logarithm of the likelihood ratio; above 0 if a slowdown of the version explains the times better. */
  logRatio: number;
}

export const NO_SLOWDOWN: Slowdown = { logRatio: 0, share: 0, factor: 1 };

/** Responses of the old version on a route that its usual times need. */
const MIN_STABLE_ANSWERS = 30;
/** Upstreams of the target and routes that are compared, those with the most responses. */
const MAX_UPSTREAMS = 16;
const MAX_ROUTES = 6;
/** Share of hosts that are slow for a reason of their own, and the number of hosts that it counts for. */
const PRIOR_SLOW_HOST_SHARE = 0.06;
const PRIOR_SLOW_HOSTS = 8;
/** Log likelihood ratio for each response from which on a host counts as slow. */
const MIN_SLOW_HOST_LOG_RATIO = 0.1;
/** Deviations of the mean speed of the old version's hosts that are taken into account. */
const MEAN_SPEED_DEVIATIONS = [-1.5, -0.75, 0, 0.75, 1.5];

/** Log likelihoods of an upstream's times, by model and by shift of its host. */
type UpstreamFit = readonly (readonly number[])[];

export function evaluate(
  targets: readonly upstreamTimes.UpstreamTimes[],
  stables: readonly upstreamTimes.UpstreamTimes[],
): Slowdown {
  const routes = comparableRoutes(targets, stables);
  if (routes.length === 0) return NO_SLOWDOWN;
  const shifts = hostSpeeds.hostShifts(stables, routes);
  const hosts = hostSpeeds.describeHosts(shifts);
  const models = new Map(
    routes.map((route) => [
      route,
      slowdownModel.createModel(slowdownModel.pooledCounts(stables, shifts, route)),
    ]),
  );
  // A slow host cannot be told from a slow version if it is the only one.
  const slowHostShare =
    targets.length < 2 ? 0 : slowHostShareOf(mostActive(stables, routes), models, hosts);
  const fits = mostActive(targets, routes).map((times) => fitUpstream(times, models));
  return compareFits(fits, hosts, slowHostShare);
}

function compareFits(
  fits: readonly UpstreamFit[],
  hosts: hostSpeeds.Hosts,
  slowHostShare: number,
): Slowdown {
  if (fits.length === 0) return NO_SLOWDOWN;
  const byMean = MEAN_SPEED_DEVIATIONS.map((deviations) => {
    const logWeights = hostSpeeds.hostLogWeights(hosts, deviations * hosts.meanDeviation);
    const weight = -0.5 * deviations ** 2;
    return { weight, logs: modelLogs(fits, logWeights, slowHostShare) };
  });
  const [usual, ...slowed] = Array.from({ length: slowdownModel.MODEL_COUNT }, (_, model) =>
    logProbabilities.logSumExp(byMean.map(({ weight, logs }) => weight + logs[model]!)),
  );
  const best = slowed.indexOf(Math.max(...slowed));
  return {
    logRatio: logProbabilities.logMeanExp(slowed) - usual!,
    ...slowdownModel.ALTERNATIVES[best]!,
  };
}

/** Log likelihood of all upstreams' times under each model, with the mean speed of hosts given. */
function modelLogs(
  fits: readonly UpstreamFit[],
  logWeights: readonly number[],
  slowHostShare: number,
): number[] {
  const logs = new Array<number>(slowdownModel.MODEL_COUNT).fill(0);
  for (const fit of fits) {
    const byModel = averageOverShifts(fit, logWeights);
    const ofSlowHost = Math.log(slowHostShare) + logProbabilities.logMeanExp(byModel.slice(1));
    byModel.forEach((log, model) => {
      logs[model]! += logProbabilities.logSumExp([Math.log1p(-slowHostShare) + log, ofSlowHost]);
    });
  }
  return logs;
}

/** Log likelihood of an upstream's times under each model, whatever the speed of its host. */
function averageOverShifts(fit: UpstreamFit, logWeights: readonly number[]): number[] {
  return fit.map((byShift) =>
    logProbabilities.logSumExp(byShift.map((log, i) => log + logWeights[i]!)),
  );
}

/** Routes on which the old version's usual times are known and the target has responded. */
function comparableRoutes(
  targets: readonly upstreamTimes.UpstreamTimes[],
  stables: readonly upstreamTimes.UpstreamTimes[],
): string[] {
  const answers = (upstreams: readonly upstreamTimes.UpstreamTimes[], route: string) =>
    upstreams.reduce((sum, times) => sum + responseTimes.total(times.get(route)?.counts ?? []), 0);
  const routes = new Set(targets.flatMap((times) => [...times.keys()]));
  return [...routes]
    .filter((route) => answers(stables, route) >= MIN_STABLE_ANSWERS)
    .map((route) => ({ route, requests: answers(targets, route) }))
    .sort((a, b) => b.requests - a.requests)
    .slice(0, MAX_ROUTES)
    .map(({ route }) => route);
}

function mostActive(
  upstreams: readonly upstreamTimes.UpstreamTimes[],
  routes: readonly string[],
): upstreamTimes.UpstreamTimes[] {
  return upstreams
    .map((times) => ({ times, count: countEntries(times, routes) }))
    .filter(({ count }) => count > 0)
    .sort((a, b) => b.count - a.count)
    .slice(0, MAX_UPSTREAMS)
    .map(({ times }) => times);
}

/** Times and lower bounds of an upstream on some routes. */
function countEntries(times: upstreamTimes.UpstreamTimes, routes: Iterable<string>): number {
  let entries = 0;
  for (const route of routes) {
    const { counts = [], unfinished = [] } = times.get(route) ?? {};
    entries += responseTimes.total(counts) + responseTimes.total(unfinished);
  }
  return entries;
}

/** Share of the old version's hosts whose times look like those of a slowed version. */
function slowHostShareOf(
  stables: readonly upstreamTimes.UpstreamTimes[],
  models: ReadonlyMap<string, slowdownModel.RouteModel>,
  hosts: hostSpeeds.Hosts,
): number {
  const logWeights = hostSpeeds.hostLogWeights(hosts, 0);
  const slow = stables.filter((times) => {
    const [usual, ...slowed] = averageOverShifts(fitUpstream(times, models), logWeights);
    const logRatio = logProbabilities.logMeanExp(slowed) - usual!;
    // With many responses, small deviations from the model of a host look significant too.
    const minLogRatio = MIN_SLOW_HOST_LOG_RATIO * countEntries(times, models.keys());
    return logRatio > Math.max(1, minLogRatio);
  });
  const sum = PRIOR_SLOW_HOSTS * PRIOR_SLOW_HOST_SHARE + slow.length;
  return Math.min(0.5, sum / (PRIOR_SLOW_HOSTS + stables.length));
}

function fitUpstream(
  times: upstreamTimes.UpstreamTimes,
  models: ReadonlyMap<string, slowdownModel.RouteModel>,
): UpstreamFit {
  const fit = Array.from({ length: slowdownModel.MODEL_COUNT }, () =>
    new Array<number>(hostSpeeds.HOST_SHIFTS.length).fill(0),
  );
  for (const [route, model] of models) {
    const ofRoute = times.get(route);
    if (ofRoute !== undefined) {
      const counts = usedClasses(ofRoute.counts);
      const unfinished = usedClasses(ofRoute.unfinished);
      for (const [index, { log, logTail }] of model.entries()) {
        addFit(fit[index]!, counts, log);
        addFit(fit[index]!, unfinished, logTail);
      }
    }
  }
  return fit;
}

/** A class with responses in it. */
interface UsedClass {
  index: number;
  count: number;
}

function usedClasses(counts: responseTimes.TimeCounts): UsedClass[] {
  return counts.map((count, index) => ({ index, count })).filter(({ count }) => count > 0);
}

/** Called for each upstream, route and model, hence the plain loops. */
function addFit(byShift: number[], classes: readonly UsedClass[], logs: readonly number[]): void {
  for (let shift = 0; shift < byShift.length; shift += 1) {
    let sum = 0;
    for (let i = 0; i < classes.length; i += 1) {
      const { index, count } = classes[i]!;
      sum += count * logs[index + 2 * hostSpeeds.MAX_HOST_SHIFT - shift]!;
    }
    byShift[shift]! += sum;
  }
}
