/**
 * The complete resolved configuration that a node routes by. It is built only from a manifest and
 * all of its bodies, and validated as a whole, both when a ticket is filed and at every node.
 */

import * as failures from './failures.js';
import * as hash from './hash.js';
import * as ids from './ids.js';
import * as manifests from './manifest.js';
import * as problems from './problems.js';
import * as resources from './resources.js';

export interface Service extends resources.ServiceSpec {
  name: ids.ServiceName;
}

export interface Route extends Omit<resources.RouteSpec, 'service'> {
  name: ids.RouteName;
  service: ids.ServiceName;
}

export interface VersionPlan extends resources.VersionPlanSpec {
  service: ids.ServiceName;
  /** Ticket that set the plan; with the service it identifies the rollout. */
  ticket: ids.TicketNumber;
  /** Ticket of the previous plan; null for the first plan of the service. */
  replaces: ids.TicketNumber | null;
}

/** Returns the body with the given hash, or undefined when it is not available. */
export type BodyLookup = (contentHash: ids.ContentHash) => resources.RawSpec | undefined;

export class Configuration {
  readonly version: ids.ConfigVersion;

  readonly manifest: manifests.Manifest;

  readonly services: ReadonlyMap<ids.ServiceName, Service>;

  readonly routes: readonly Route[];

  readonly plans: ReadonlyMap<ids.ServiceName, VersionPlan>;

  private constructor(
    manifest: manifests.Manifest,
    services: Map<ids.ServiceName, Service>,
    routes: Route[],
    plans: Map<ids.ServiceName, VersionPlan>,
  ) {
    this.version = manifest.version;
    this.manifest = manifest;
    this.services = services;
    this.routes = routes;
    this.plans = plans;
  }

  static empty(): Configuration {
    return new Configuration(manifests.Manifest.empty(), new Map(), [], new Map());
  }

  /**
   * Builds and validates the whole configuration; never returns a partial one.
   * @throws incompleteConfiguration when a body is missing
   * @throws hashMismatch when a body is not the one that the manifest names
   * @throws invalidConfiguration with every problem found
   */
  static resolve(manifest: manifests.Manifest, findBody: BodyLookup): Configuration {
    const bodies = collectBodies(manifest, findBody);
    const found: failures.Problem[] = [];
    const services = new Map<ids.ServiceName, Service>();
    const routes: Route[] = [];
    const plans = new Map<ids.ServiceName, VersionPlan>();
    for (const entry of manifest.liveEntries) {
      const spec = parseSpec(entry, bodies.get(entry.hash), found);
      if (spec === null) continue;
      const service = ids.serviceName(entry.name);
      if (spec.kind === 'service') services.set(service, { ...spec.value, name: service });
      if (spec.kind === 'route') routes.push(toRoute(entry.name, spec.value));
      if (spec.kind === 'versionPlan') {
        const { ticket, replaces } = entry;
        plans.set(service, { ...spec.value, service, ticket, replaces });
      }
    }
    found.push(...checkLimits(manifest), ...checkReferences(services, routes, plans));
    if (found.length > 0) throw failures.toError({ type: 'invalidConfiguration', problems: found });
    return new Configuration(manifest, services, routes, plans);
  }
}

type ParsedSpec =
  | { kind: 'service'; value: resources.ServiceSpec }
  | { kind: 'route'; value: resources.RouteSpec }
  | { kind: 'versionPlan'; value: resources.VersionPlanSpec };

function collectBodies(manifest: manifests.Manifest, findBody: BodyLookup) {
  const bodies = new Map<ids.ContentHash, resources.RawSpec>();
  const missing: string[] = [];
  for (const entry of manifest.liveEntries) {
    const body = findBody(entry.hash);
    if (body === undefined) {
      missing.push(resources.resourceKey(entry.kind, entry.name));
      continue;
    }
    const actual = hash.hashValue(body);
    if (actual !== entry.hash) {
      throw failures.toError({ type: 'hashMismatch', expected: entry.hash, actual });
    }
    bodies.set(entry.hash, body);
  }
  if (missing.length > 0) {
    const { version } = manifest;
    throw failures.toError({ type: 'incompleteConfiguration', version, missing });
  }
  return bodies;
}

function parseSpec(
  entry: manifests.ManifestEntry,
  body: resources.RawSpec | undefined,
  found: failures.Problem[],
): ParsedSpec | null {
  const checked = resources.specSchemas[entry.kind].safeParse(body);
  if (checked.success) return { kind: entry.kind, value: checked.data } as ParsedSpec;
  const prefix = resources.resourceKey(entry.kind, entry.name);
  for (const problem of problems.fromZod(checked.error, () => undefined)) {
    found.push({ ...problem, path: `${prefix}: ${problem.path}` });
  }
  return null;
}

function toRoute(name: string, spec: resources.RouteSpec): Route {
  return { ...spec, name: ids.routeName(name), service: ids.serviceName(spec.service) };
}

function checkLimits(manifest: manifests.Manifest): failures.Problem[] {
  if (manifest.liveEntries.length <= resources.MAX_RESOURCES) return [];
  const message = `holds ${manifest.liveEntries.length} resources; the limit is ${resources.MAX_RESOURCES}`;
  return [{ path: '', message }];
}

function checkReferences(
  services: ReadonlyMap<ids.ServiceName, Service>,
  routes: readonly Route[],
  plans: ReadonlyMap<ids.ServiceName, VersionPlan>,
): failures.Problem[] {
  const found: failures.Problem[] = [];
  const matches = new Map<string, ids.RouteName>();
  for (const route of routes) {
    const path = resources.resourceKey('route', route.name);
    if (!services.has(route.service)) {
      const hint = 'Add the service in the same ticket, or delete the route.';
      found.push({ path, message: `names the missing service ${route.service}`, hint });
    }
    for (const match of matchKeys(route)) {
      const other = matches.get(match);
      if (other !== undefined) {
        found.push({ path, message: `matches the same requests as route/${other} (${match})` });
      }
      matches.set(match, route.name);
    }
  }
  for (const service of plans.keys()) {
    if (services.has(service)) continue;
    const path = resources.resourceKey('versionPlan', service);
    const hint = 'Add the service in the same ticket, or delete the plan.';
    found.push({ path, message: 'names a missing service', hint });
  }
  return found;
}

/** Keys of the requests that the route matches: one for each method, with host and path prefix. */
function matchKeys(route: Route): string[] {
  const { host = '*', pathPrefix, methods } = route.match;
  return (methods ?? ['*']).map((method) => `${method} ${host}${pathPrefix}`);
}
