import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import type { configuration } from '@godwittrack/core';
import * as router from '../router.js';
import * as fixtures from './requestFixtures.js';

/** Reference implementation of the documented rules: tries every route and keeps the best match. */
function findRouteNaively(
  routes: configuration.Route[],
  method: string,
  target: string,
  host: string,
) {
  const path = target.split('?')[0] ?? '';
  let best: configuration.Route | null = null;
  for (const route of routes) {
    const { pathPrefix, methods, host: wanted } = route.match;
    const isUnderPrefix = `${path}/`.startsWith(
      pathPrefix.endsWith('/') ? pathPrefix : `${pathPrefix}/`,
    );
    const isPathMatch = pathPrefix.endsWith('/') ? path.startsWith(pathPrefix) : isUnderPrefix;
    if (!isPathMatch) continue;
    if (methods !== undefined && !methods.includes(method as 'GET')) continue;
    if (wanted !== undefined && wanted !== host) continue;
    const rank = (candidate: configuration.Route) =>
      candidate.match.pathPrefix.length * 4 +
      (candidate.match.host === undefined ? 0 : 2) +
      (candidate.match.methods === undefined ? 0 : 1);
    const better =
      best === null ||
      rank(route) > rank(best) ||
      (rank(route) === rank(best) && route.name < best.name);
    if (better) best = route;
  }
  return best;
}

describe('router', () => {
  it('finds the same route as a naive search', () => {
    const path = fc
      .array(fc.constantFrom('a', 'b', 'ab'), { maxLength: 3 })
      .chain((parts) => fc.constantFrom(`/${parts.join('/')}`, `/${parts.join('/')}/`))
      .map((text) => text.replace(/\/+/g, '/'));
    const methods = fc.constantFrom(undefined, ['GET'], ['POST', 'GET']);
    const host = fc.constantFrom(undefined, 'x.test');
    const spec = fc.record({ pathPrefix: path, methods, host }, { noNullPrototype: true });
    const property = fc.property(
      fc.array(spec, { maxLength: 8 }),
      path,
      fc.constantFrom('', '?q=/a/b'),
      fc.constantFrom('GET', 'POST', 'PUT'),
      fc.constantFrom('x.test', 'X.test:80', 'y.test'),
      (specs, requestPath, query, method, hostHeader) => {
        const routes = specs.map((match, n) => fixtures.route(`r${n}`, { match }));
        const table = new router.Router({ routes } as unknown as configuration.Configuration);
        const found = table.match({ method, path: requestPath + query, host: hostHeader });
        const normalizedHost = hostHeader.toLowerCase().replace(':80', '');
        assert.equal(
          found?.name,
          findRouteNaively(routes, method, requestPath + query, normalizedHost)?.name,
        );
      },
    );
    fc.assert(property, { numRuns: 500 });
  });
});
