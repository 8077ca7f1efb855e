/** Configurations and bounds for the tests of a fleet on the users' platform. */

/** Time after which a change must be kept or a node counts as in touch (`stable_window_ms`). */
export const STABLE_WINDOW_MS = 3_000;
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

/** A configuration as the operator writes it, with the service `shop`. */
export function configurationOf(version: number, routes: Record<string, object>): object {
  return {
    version,
    routes,
    services: { shop: { health_path: '/health', max_connections: 130 } },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
