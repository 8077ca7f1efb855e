/** The configuration that a node routes by: whole, immutable, numbered. */

import { failures, type ids } from '@godwittrack/core';

/** `repeatable` requests may run more than once; `once` requests run at most once. */
export type Semantics = 'repeatable' | 'once';

export interface Destination {
  service: ids.ServiceName;
  /** Share of the route's requests, relative to the other destinations. */
  weight: number;
}

export interface Route {
  name: ids.RouteName;
  /** Lower case, without port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  semantics: Semantics;
  /** Longest time that a request is kept waiting for its answer. */
  timeoutMs: number;
  /** Time within which an answer is worth most to its caller. */
  targetLatencyMs: number;
  /** Upstreams to which one request may be sent. */
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

/** What changed from `base` to `version`; services and limits are small and travel whole. */
export interface ConfigurationDelta {
  base: ids.ConfigVersion;
  version: ids.ConfigVersion;
  changed: Route[];
  removed: string[];
  services: Record<string, ServiceSettings>;
  limits: CallerLimits;
}

export function difference(from: Configuration, to: Configuration): ConfigurationDelta {
  const changed = Object.values(to.routes).filter(
    (route) => !sameRoute(from.routes[route.name], route),
  );
  const removed = Object.keys(from.routes).filter((name) => to.routes[name] === undefined);
  const { version, services, limits } = to;
  return { base: from.version, version, changed, removed, services, limits };
}

/** @throws olderVersion if the delta was not made from `held` */
export function applyDelta(held: Configuration, delta: ConfigurationDelta): Configuration {
  if (held.version !== delta.base) {
    throw failures.raise({ type: 'olderVersion', held: held.version, offered: delta.base });
  }
  const routes = { ...held.routes };
  for (const name of delta.removed) delete routes[name];
  for (const route of delta.changed) routes[route.name] = route;
  return { version: delta.version, routes, services: delta.services, limits: delta.limits };
}

function sameRoute(a: Route | undefined, b: Route): boolean {
  return a !== undefined && JSON.stringify(a) === JSON.stringify(b);
}
