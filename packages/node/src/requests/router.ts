/**
 * Finds the route of a request: the longest path prefix wins, then a route that names a host, then
 * one that names methods.
 */

import type { configuration } from '@godwittrack/core';

export interface RequestLine {
  method: string;
  /** Path with or without a query. */
  path: string;
  host: string;
}

export class Router {
  private readonly sortedRoutes: readonly configuration.Route[];

  constructor(config: configuration.Configuration) {
    this.sortedRoutes = [...config.routes].sort(compareRoutes);
  }

  match(request: RequestLine): configuration.Route | null {
    const query = request.path.indexOf('?');
    const path = query < 0 ? request.path : request.path.slice(0, query);
    const host = request.host.replace(/:\d+$/, '').toLowerCase();
    return this.sortedRoutes.find((route) => matches(route, request.method, path, host)) ?? null;
  }
}

function matches(route: configuration.Route, method: string, path: string, host: string): boolean {
  const { methods, host: wantedHost, pathPrefix } = route.match;
  if (methods !== undefined && !methods.some((wanted) => wanted === method)) return false;
  if (wantedHost !== undefined && wantedHost.toLowerCase() !== host) return false;
  if (!path.startsWith(pathPrefix)) return false;
  // `/order` takes `/order` and `/order/7`, but not `/orders`.
  return (
    pathPrefix.endsWith('/') || path.length === pathPrefix.length || path[pathPrefix.length] === '/'
  );
}

function compareRoutes(a: configuration.Route, b: configuration.Route): number {
  const byLength = b.match.pathPrefix.length - a.match.pathPrefix.length;
  if (byLength !== 0) return byLength;
  const byHost = Number(b.match.host !== undefined) - Number(a.match.host !== undefined);
  if (byHost !== 0) return byHost;
  const byMethod = Number(b.match.methods !== undefined) - Number(a.match.methods !== undefined);
  return byMethod || (a.name < b.name ? -1 : 1);
}
