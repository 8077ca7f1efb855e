import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as configuration from '../configuration.js';
import * as configurationCheck from '../configurationCheck.js';

const WINDOW_MS = 5_000;
const SHOP = ids.serviceName('shop');
const [NORTH, SOUTH] = [ids.regionName('north'), ids.regionName('south')];

/** `type section.name.field` of each finding. */
function check(cfg: configuration.Configuration): string[] {
  return configurationCheck.checkConfiguration(cfg, WINDOW_MS).map(({ type, place }) => {
    const path = [place.section, place.name, place.field].filter((part) => part !== null);
    return `${type} ${path.join('.')}`;
  });
}

function checkRoutes(...overrides: Partial<configuration.Route>[]): string[] {
  const routes = overrides.map((override, i) => fixtures.route(`r${i}`, override));
  return check(fixtures.configurationOf(1, routes));
}

function checkWith(overrides: Partial<configuration.Configuration>): string[] {
  return check({ ...fixtures.configurationOf(1, [fixtures.route('r0')]), ...overrides });
}

describe('checkConfiguration', () => {
  // Requests would reach another service than meant, or none, without any failure in the nodes' logs.
  describe('of routes', () => {
    it('reports those with the same host and prefix, and only those', () => {
      const same = { pathPrefix: '/a/' };
      assert.deepEqual(checkRoutes(same, same, { ...same, host: 'other.example' }), [
        'sameHostAndPrefix routes.r1.pathPrefix',
      ]);
    });

    it('reports those that match no request', () => {
      for (const host of ['a.example:80', 'https://a.example', '*.example', 'a.example/x']) {
        assert.deepEqual(checkRoutes({ host }), ['neverMatches routes.r0.host'], host);
      }
      assert.deepEqual(checkRoutes({ pathPrefix: '/a?b/' }), ['neverMatches routes.r0.pathPrefix']);
    });

    it('reports destinations that get no requests', () => {
      const idle = { service: SHOP, weight: 0 };
      const expected = ['noWeight routes.r0.destinations'];
      assert.deepEqual(checkRoutes({ destinations: [idle, { ...idle, weight: 1 }] }), expected);
      assert.deepEqual(checkRoutes({ destinations: [idle, idle] }), expected);
      const inherited = { service: ids.serviceName('constructor'), weight: 1 };
      assert.deepEqual(checkRoutes({ destinations: [inherited] }), [
        'unknownService routes.r0.destinations',
      ]);
    });

    it('reports a target above the timeout, but not attempts of requests that run once', () => {
      assert.deepEqual(checkRoutes({ targetLatencyMs: 1_001, timeoutMs: 1_000 }), [
        'targetAboveTimeout routes.r0.targetLatencyMs',
      ]);
      // A request that an upstream refused without running it is offered again.
      assert.deepEqual(checkRoutes({ targetLatencyMs: 1_000, semantics: 'once' }), []);
    });
  });

  // Callers would get refusals that no load explains.
  describe('of customers', () => {
    const route = fixtures.route('r0', { homeRegions: [NORTH] });
    const keyed = (homeRegions: ids.RegionName[], name: string) =>
      fixtures.customer(name, undefined, { homeRegions });

    it('reports routes that they cannot use for their home regions', () => {
      const table = { a: keyed([SOUTH], 'a'), b: keyed([NORTH, SOUTH], 'b'), c: keyed([], 'c') };
      const cfg = fixtures.configurationOf(1, [route, fixtures.route('r1')]);
      assert.deepEqual(check({ ...cfg, customers: table }), [
        'noCommonRegion routes.r0.homeRegions',
      ]);
      assert.deepEqual(check({ ...cfg, customers: { b: table.b, c: table.c } }), []);
    });

    it('names some of them, and says when nobody can use the route', () => {
      const names = Array.from({ length: 74 }, (_, i) => `c${i}`);
      const customers = Object.fromEntries(names.map((name) => [name, keyed([SOUTH], name)]));
      const cfg = { ...fixtures.configurationOf(1, [route]), customers };
      const [finding] = configurationCheck.checkConfiguration(cfg, WINDOW_MS);
      assert.match(finding!.message, /"c4" and 69 more, .*; no customer can use it$/);
    });

    it('reports that nobody has a key, unless all routes are public', () => {
      const customers = { a: fixtures.customer('a', []) };
      assert.deepEqual(checkWith({ customers }), ['noKeys customers']);
      const routes = { r0: fixtures.route('r0', { isPublic: true }) };
      assert.deepEqual(checkWith({ customers, routes }), []);
    });

    it('reports a rate below one request in the window', () => {
      const withRate = (ratePerSecond: number) =>
        checkWith({
          customers: { a: fixtures.customer('a', ['k'], { quota: { ratePerSecond, burst: 0 } }) },
        });
      assert.deepEqual(withRate(0.19), ['rateBelowWindow customers.a.quota.ratePerSecond']);
      assert.deepEqual(withRate(0.2), []);
    });
  });

  it('reports limits that contradict each other', () => {
    const { limits, services } = fixtures.configurationOf(1, []);
    assert.deepEqual(checkWith({ limits: { ...limits, idleTimeoutMs: 2_999, maxBodyBytes: 0 } }), [
      'idleBelowHeaderTimeout limits.idleTimeoutMs',
    ]);
    const cold = (durationMs: number) =>
      checkWith({
        services: { shop: { ...services.shop!, coldStart: { durationMs, perSecond: 3 } } },
      });
    assert.deepEqual(cold(0), ['coldRateWithoutTime services.shop.coldStart.perSecond']);
    assert.deepEqual(cold(1), []);
  });
});

describe('checkSuccession', () => {
  // Nodes ignore such a configuration, so the operator would wait for its effect in vain.
  it('reports a version that is not above the one in force', () => {
    const [one, two] = [fixtures.configurationOf(1, []), fixtures.configurationOf(2, [])];
    assert.deepEqual(configurationCheck.checkSuccession(one, two), []);
    for (const older of [one, two]) {
      const [finding] = configurationCheck.checkSuccession(two, older);
      assert.deepEqual([finding?.severity, finding?.type], ['error', 'versionNotHigher']);
    }
  });
});
