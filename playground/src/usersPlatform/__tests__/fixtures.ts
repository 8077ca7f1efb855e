/** Configurations, bounds and seeds for the tests of a fleet on the users' platform. */

import process from 'node:process';
import * as timers from 'node:timers/promises';
import type * as application from '../application.js';

/** Time after which a change must be kept or a node counts as in touch (`stable_window_ms`). */
export const STABLE_WINDOW_MS = 3_000;
/** Time from the write of a version until every node in touch with the store must serve it. */
export const CONFIG_APPLY_MS = 2_000;
/** Response time of servers whose versions are compared by their response times. */
const SERVICE_MS = 40;
/** Span in which the requests of a limited server are counted. */
export const COUNTED_MS = 4_000;

/** Most requests that a server may get in a span in which its limit allows `requests`. */
export function mostWithinLimit(requests: number): number {
  return 1.5 * requests + 5;
}

export function route(pathPrefix: string, overrides: object = {}): object {
  return {
    host: 'shop.example',
    path_prefix: pathPrefix,
    kind: 'safe',
    service: 'shop',
    timeout_ms: 700,
    ...overrides,
  };
}

/** A configuration as the operator writes it. */
export function configurationOf(
  version: number,
  routes: Record<string, object>,
  services: readonly string[] = ['shop'],
): object {
  const service = { health_path: '/health', max_connections: 130 };
  return {
    version,
    routes,
    services: Object.fromEntries(services.map((name) => [name, service])),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** A configuration that adds a route of its own to those of the versions before it. */
export function versionWithRoutes(version: number, routeCount = 24): object {
  const routes: Record<string, object> = {};
  for (let each = Math.max(1, version - routeCount + 1); each <= version; each += 1) {
    routes[`r-${each}`] = route(pathOfVersion(each));
  }
  return configurationOf(version, routes);
}

/** Path of the route that a version of `versionWithRoutes` adds. */
export function pathOfVersion(version: number): string {
  return `/v${version}/`;
}

/** Answers each request after the same time. */
export const answerSteadily: application.ApplicationStandIn['handler'] = async (_req, res) => {
  await timers.setTimeout(SERVICE_MS);
  res.end('steady');
};

/** Seeds of a soak: `NAME_SEEDS` of them from `NAME_FIRST_SEED` on, if these variables are set. */
export function seedsOf(name: string, count: number): number[] {
  const length = Number(process.env[`${name}_SEEDS`] ?? count);
  const firstSeed = Number(process.env[`${name}_FIRST_SEED`] ?? 1);
  return Array.from({ length }, (_, i) => firstSeed + i);
}
