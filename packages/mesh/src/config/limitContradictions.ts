/**
 * Finds limits of a configuration that contradict each other. Several attempts on a route whose requests run
 * at most once are none: a request that an upstream has refused without running it is offered again. Neither
 * is a body limit below that of the headers, since a deployment may take requests without a body only.
 */

import type * as configuration from './configuration.js';
import * as configurationFinding from './configurationFinding.js';
import * as configurationPlace from './configurationPlace.js';

const { warning } = configurationFinding;
const { placeOf } = configurationPlace;

export function findLimitContradictions(
  cfg: configuration.Configuration,
  quotaWindowMs: number,
): configurationFinding.Finding[] {
  return [
    ...Object.values(cfg.routes).flatMap(checkRoute),
    ...Object.values(cfg.services).flatMap(checkService),
    ...checkCallerLimits(cfg.limits),
    ...Object.values(cfg.customers ?? {}).flatMap((customer) =>
      checkCustomer(customer, quotaWindowMs),
    ),
  ];
}

function checkRoute({
  name,
  targetLatencyMs,
  timeoutMs,
}: configuration.Route): configurationFinding.Finding[] {
  if (targetLatencyMs <= timeoutMs) return [];
  const message = `the target latency of ${targetLatencyMs} ms is above the timeout of ${timeoutMs} ms`;
  const place = placeOf('routes', name, 'targetLatencyMs');
  return [warning('targetAboveTimeout', place, message)];
}

function checkService({
  name,
  coldStart,
}: configuration.ServiceSettings): configurationFinding.Finding[] {
  if (coldStart === null || coldStart.durationMs > 0) return [];
  const message = `cold upstreams get ${coldStart.perSecond} requests/s, but the cold time is 0 or absent`;
  const place = placeOf('services', name, 'coldStart.perSecond');
  return [warning('coldRateWithoutTime', place, message)];
}

function checkCallerLimits({
  headerTimeoutMs,
  idleTimeoutMs,
}: configuration.CallerLimits): configurationFinding.Finding[] {
  if (idleTimeoutMs >= headerTimeoutMs) return [];
  const message =
    `an idle connection is closed after ${idleTimeoutMs} ms, earlier than one whose request headers ` +
    `are incomplete (${headerTimeoutMs} ms)`;
  return [warning('idleBelowHeaderTimeout', placeOf('limits', null, 'idleTimeoutMs'), message)];
}

function checkCustomer(
  { name, quota }: configuration.Customer,
  quotaWindowMs: number,
): configurationFinding.Finding[] {
  if (quota === null || quota.ratePerSecond * quotaWindowMs >= 1_000) return [];
  const message = `${quota.ratePerSecond} requests/s are less than one in the quota window of ${quotaWindowMs / 1_000} s`;
  const place = placeOf('customers', name, 'quota.ratePerSecond');
  return [warning('rateBelowWindow', place, message)];
}
