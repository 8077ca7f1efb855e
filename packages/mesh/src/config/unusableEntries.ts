/** Finds entries of a configuration that no request can use, or that others make ambiguous. */

import type * as configuration from './configuration.js';
import * as configurationFinding from './configurationFinding.js';
import * as configurationPlace from './configurationPlace.js';
import * as routeTable from '../routing/routeTable.js';

const { warning } = configurationFinding;
const { placeOf } = configurationPlace;

/** Customers named in one message; a fleet may have hundreds. */
const MAX_NAMED_CUSTOMERS = 5;
/** Characters that no `Host` header contains; nodes know no wildcards. */
const NOT_IN_HOST = /[\s/?#@*]/;
/** A query is removed from the target of a request before its route is looked up. */
const NOT_IN_PATH = /[\s?#]/;

export function findUnusableEntries(
  cfg: configuration.Configuration,
): configurationFinding.Finding[] {
  const routes = Object.values(cfg.routes);
  return [
    ...findAmbiguousRoutes(routes),
    ...routes.flatMap((route) => [
      ...findUnmatchable(route),
      ...findUnservable(route, cfg.services),
      ...findExcludedCustomers(route, cfg.customers),
    ]),
    ...findMissingKeys(routes, cfg.customers),
  ];
}

/** Nodes keep the last of the routes, and their order depends on the versions that a node has held. */
function findAmbiguousRoutes(
  routes: readonly configuration.Route[],
): configurationFinding.Finding[] {
  const first = new Map<string, configuration.Route>();
  return routes.flatMap((route) => {
    const key = JSON.stringify([route.host, route.pathPrefix]);
    const other = first.get(key);
    if (other === undefined) {
      first.set(key, route);
      return [];
    }
    const place = placeOf('routes', route.name, 'pathPrefix');
    const message =
      `has the same host (in lower case) ${quote(route.host)} and prefix ${quote(route.pathPrefix)} ` +
      `as route ${quote(other.name)}; which of them nodes use is not defined`;
    return [warning('sameHostAndPrefix', place, message)];
  });
}

function findUnmatchable({
  name,
  host,
  pathPrefix,
}: configuration.Route): configurationFinding.Finding[] {
  const found: configurationFinding.Finding[] = [];
  const normalized = routeTable.normalizeHost(host);
  const at = placeOf('routes', name, 'host');
  if (NOT_IN_HOST.test(host)) {
    found.push(warning('neverMatches', at, `${quote(host)} is not a host name`));
  } else if (normalized !== host) {
    const message = `requests are matched without port, by ${quote(normalized)}, so none matches`;
    found.push(warning('neverMatches', at, message));
  }
  if (NOT_IN_PATH.test(pathPrefix)) {
    const message = `${quote(pathPrefix)} is not the beginning of a path without query`;
    found.push(warning('neverMatches', placeOf('routes', name, 'pathPrefix'), message));
  }
  return found;
}

function findUnservable(
  { name, destinations }: configuration.Route,
  services: configuration.Configuration['services'],
): configurationFinding.Finding[] {
  const at = placeOf('routes', name, 'destinations');
  // Names such as "constructor" are found in any object.
  const unknown = destinations.filter(({ service }) => !Object.hasOwn(services, service));
  const found = unknown.map(({ service }) =>
    warning('unknownService', at, `there is no service ${quote(service)}`),
  );
  const idle = destinations.filter(({ weight }) => weight === 0);
  if (idle.length === destinations.length) {
    const first = quote(destinations[0]!.service);
    const message = `all destinations have weight 0, so all requests go to the first, ${first}`;
    found.push(warning('noWeight', at, message));
  } else if (idle.length > 0) {
    const names = idle.map(({ service }) => quote(service)).join(', ');
    found.push(warning('noWeight', at, `${names} with weight 0 gets no requests`));
  }
  return found;
}

/** Both the route and the customer restrict the upstreams that may serve a request. */
function findExcludedCustomers(
  { name, homeRegions, isPublic }: configuration.Route,
  customers: configuration.Configuration['customers'],
): configurationFinding.Finding[] {
  if (homeRegions.length === 0 || customers === null) return [];
  const all = Object.values(customers);
  const excluded = all.filter(
    (customer) =>
      customer.homeRegions.length > 0 &&
      !customer.homeRegions.some((region) => homeRegions.includes(region)),
  );
  if (excluded.length === 0) return [];
  const named = excluded.slice(0, MAX_NAMED_CUSTOMERS).map((customer) => quote(customer.name));
  const rest = excluded.length - named.length;
  const subject = `customers ${named.join(', ')}${rest > 0 ? ` and ${rest} more` : ''}`;
  const nobody = excluded.length === all.length && !isPublic ? '; no customer can use it' : '';
  const message = `has no home region in common with ${subject}, which cannot use the route${nobody}`;
  return [warning('noCommonRegion', placeOf('routes', name, 'homeRegions'), message)];
}

function findMissingKeys(
  routes: readonly configuration.Route[],
  customers: configuration.Configuration['customers'],
): configurationFinding.Finding[] {
  if (customers === null) return [];
  if (Object.values(customers).some(({ keyDigests }) => keyDigests.length > 0)) return [];
  const closed = routes.filter(({ isPublic }) => !isPublic);
  if (closed.length === 0) return [];
  const message = `no customer has a usable key, so nobody can use the ${closed.length} routes that are not public`;
  return [warning('noKeys', placeOf('customers'), message)];
}

function quote(text: string): string {
  return JSON.stringify(text);
}
