/** The routing configuration of a node: complete, immutable and versioned. */

import { failures, type ids } from '@godwittrack/core';

/** `repeatable` requests may run more than once; `once` requests run at most once. */
export type Semantics = 'repeatable' | 'once';

export interface Destination {
  service: ids.ServiceName;
  /** Relative weight among the destinations of the route. */
  weight: number;
}

export interface Route {
  name: ids.RouteName;
  /** Lower case, without port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  semantics: Semantics;
  /** Time after which the caller gets an error if there is no response. */
  timeoutMs: number;
  /** Response time that the route aims for; a later response is worth less to the caller. */
  targetLatencyMs: number;
  /** Largest number of upstreams tried for one request. */
  maxUpstreams: number;
  /** 0 is the most urgent. */
  priority: number;
  destinations: Destination[];
  /** The only regions whose upstreams may serve the route; empty for any region. */
  homeRegions: readonly ids.RegionName[];
  /** Whether requests need no key where the configuration has customers. */
  isPublic: boolean;
}

/** Token bucket that limits the requests of a customer over all nodes. */
export interface Quota {
  ratePerSecond: number;
  /** Requests beyond the rate that may come at once. */
  burst: number;
}

export interface Customer {
  name: ids.CustomerName;
  keyDigests: readonly ids.KeyDigest[];
  /** 0 is the most urgent; precedes the priority of the route. */
  priority: number;
  /** Null for no limit. */
  quota: Quota | null;
  /** As for routes; where both have home regions, both restrict the upstream. */
  homeRegions: readonly ids.RegionName[];
}

export interface ServiceSettings {
  name: ids.ServiceName;
  healthPath: string;
  maxConnections: number;
  /** Null if upstreams of the service need no protection after their start. */
  coldStart: ColdStart | null;
}

/** What an upstream takes while it is cold. */
export interface ColdStart {
  /** Time for which an upstream stays cold after its start. */
  durationMs: number;
  /** Requests per second that a cold upstream takes from all nodes together. */
  perSecond: number;
}

export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface Configuration {
  version: ids.ConfigVersion;
  routes: Record<string, Route>;
  services: Record<string, ServiceSettings>;
  limits: CallerLimits;
  /** Null if requests need no keys. */
  customers: Record<string, Customer> | null;
}

/** Changes from version `base` to `version`. Services and limits are small and are sent in full. */
export interface ConfigurationDelta {
  base: ids.ConfigVersion;
  version: ids.ConfigVersion;
  changed: Route[];
  removed: string[];
  services: Record<string, ServiceSettings>;
  limits: CallerLimits;
  /** Null if `version` has no customers. */
  customers: CustomerChanges | null;
}

export interface CustomerChanges {
  changed: Customer[];
  removed: string[];
}

export function createDelta(from: Configuration, to: Configuration): ConfigurationDelta {
  const { version, services, limits } = to;
  const customers =
    to.customers === null ? null : changesBetween(from.customers ?? {}, to.customers);
  const routes = changesBetween(from.routes, to.routes);
  return { base: from.version, version, ...routes, services, limits, customers };
}

/** @throws olderVersion if `base` is not the version that the delta was made from */
export function applyDelta(base: Configuration, delta: ConfigurationDelta): Configuration {
  if (base.version !== delta.base) {
    throw failures.toError({ type: 'olderVersion', held: base.version, offered: delta.base });
  }
  const { version, services, limits } = delta;
  const routes = applyChanges(base.routes, delta);
  const customers =
    delta.customers === null ? null : applyChanges(base.customers ?? {}, delta.customers);
  return { version, routes, services, limits, customers };
}

interface Changes<T> {
  changed: T[];
  removed: string[];
}

function changesBetween<T extends { name: string }>(
  from: Record<string, T>,
  to: Record<string, T>,
): Changes<T> {
  const changed = Object.values(to).filter((entry) => !isSame(from[entry.name], entry));
  const removed = Object.keys(from).filter((name) => to[name] === undefined);
  return { changed, removed };
}

/** @returns `table` itself if nothing has changed, so that what was derived from it can be kept */
function applyChanges<T extends { name: string }>(
  table: Record<string, T>,
  { changed, removed }: Changes<T>,
): Record<string, T> {
  if (changed.length === 0 && removed.length === 0) return table;
  const result = { ...table };
  for (const name of removed) delete result[name];
  for (const entry of changed) result[entry.name] = entry;
  return result;
}

function isSame(a: object | undefined, b: object): boolean {
  return a !== undefined && JSON.stringify(a) === JSON.stringify(b);
}
