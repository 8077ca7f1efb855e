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
}

export interface ServiceSettings {
  name: ids.ServiceName;
  healthPath: string;
  maxConnections: number;
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
}

/** Changes from version `base` to `version`. Services and limits are small and are sent in full. */
export interface ConfigurationDelta {
  base: ids.ConfigVersion;
  version: ids.ConfigVersion;
  changed: Route[];
  removed: string[];
  services: Record<string, ServiceSettings>;
  limits: CallerLimits;
}

export function createDelta(from: Configuration, to: Configuration): ConfigurationDelta {
  const changed = Object.values(to.routes).filter(
    (route) => !sameRoute(from.routes[route.name], route),
  );
  const removed = Object.keys(from.routes).filter((name) => to.routes[name] === undefined);
  const { version, services, limits } = to;
  return { base: from.version, version, changed, removed, services, limits };
}

/** @throws olderVersion if `base` is not the version that the delta was made from */
export function applyDelta(base: Configuration, delta: ConfigurationDelta): Configuration {
  if (base.version !== delta.base) {
    throw failures.toError({ type: 'olderVersion', held: base.version, offered: delta.base });
  }
  const routes = { ...base.routes };
  for (const name of delta.removed) delete routes[name];
  for (const route of delta.changed) routes[route.name] = route;
  return { version: delta.version, routes, services: delta.services, limits: delta.limits };
}

function sameRoute(a: Route | undefined, b: Route): boolean {
  return a !== undefined && JSON.stringify(a) === JSON.stringify(b);
}
