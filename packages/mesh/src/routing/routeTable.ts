/** Finds the route of a request by host and longest path prefix. */

import type * as configuration from '../config/configuration.js';

export class RouteTable {
  private readonly prefixesByHost = new Map<string, Map<string, configuration.Route>>();

  constructor(cfg: configuration.Configuration) {
    for (const route of Object.values(cfg.routes)) {
      let prefixes = this.prefixesByHost.get(route.host);
      if (prefixes === undefined) {
        prefixes = new Map();
        this.prefixesByHost.set(route.host, prefixes);
      }
      prefixes.set(route.pathPrefix, route);
    }
  }

  /**
   * @param target request target, with or without query; costs one look-up for each path segment
   */
  find(host: string, target: string): configuration.Route | null {
    const prefixes = this.prefixesByHost.get(normalizeHost(host));
    if (prefixes === undefined) return null;
    const queryAt = target.indexOf('?');
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return null;
  }
}

/** Lower case and without port. */
export function normalizeHost(host: string): string {
  const portAt = host.lastIndexOf(':');
  return (portAt < 0 ? host : host.slice(0, portAt)).toLowerCase();
}
