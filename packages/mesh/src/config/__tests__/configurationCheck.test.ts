import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as configuration from '../configuration.js';
import * as configurationCheck from '../configurationCheck.js';

const SHOP = ids.serviceName('shop');
const [NORTH, SOUTH] = [ids.regionName('north'), ids.regionName('south')];

const findIn = (cfg: configuration.Configuration) =>
  configurationCheck.checkConfiguration(cfg, 5_000);

/** `type section.name.field` of each finding. */
function check(overrides: Partial<configuration.Configuration>): string[] {
  const cfg = fixtures.configurationOf(1, [fixtures.route('r0')]);
  return findIn({ ...cfg, ...overrides }).map(({ type, place }) => {
    const path = [place.section, place.name, place.field].filter((part) => part !== null);
    return `${type} ${path.join('.')}`;
  });
}

function checkRoutes(...overrides: Partial<configuration.Route>[]): string[] {
  const routes = overrides.map((override, i) => fixtures.route(`r${i}`, override));
  return check({ routes: fixtures.configurationOf(1, routes).routes });
}

describe('checkConfiguration', () => {
  // Requests would reach another service than meant, or none, without any failure in the nodes' logs.
  describe('of routes', () => {
    const same = { pathPrefix: '/a/' };
    const idle = { service: SHOP, weight: 0 };
    const inherited = { service: ids.serviceName('constructor'), weight: 1 };
    const cases: [string, ...Partial<configuration.Route>[]][] = [
      ['sameHostAndPrefix routes.r1.pathPrefix', same, same, { ...same, host: 'other' }],
      ['neverMatches routes.r0.host', { host: 'a.example:80' }],
      ['neverMatches routes.r0.host', { host: '*.example' }],
      ['neverMatches routes.r0.pathPrefix', { pathPrefix: '/a?b/' }],
      ['noWeight routes.r0.destinations', { destinations: [idle, { ...idle, weight: 1 }] }],
      ['noWeight routes.r0.destinations', { destinations: [idle, idle] }],
      ['unknownService routes.r0.destinations', { destinations: [inherited] }],
      ['targetAboveTimeout routes.r0.targetLatencyMs', { targetLatencyMs: 9, timeoutMs: 8 }],
    ];
    for (const [expected, ...routes] of cases)
      it(`reports ${expected}`, () => assert.deepEqual(checkRoutes(...routes), [expected]));
  });

  // Callers would get refusals that no load explains.
  describe('of customers', () => {
    const routes = { r0: fixtures.route('r0', { homeRegions: [NORTH] }) };
    const a = fixtures.customer('a', ['k'], { homeRegions: [SOUTH] });
    const b = fixtures.customer('b', ['l'], { homeRegions: [NORTH, SOUTH] });

    it('reports routes that they cannot use for their home regions', () => {
      const c = fixtures.customer('c');
      assert.equal(
        check({ routes, customers: { a, b, c } })[0],
        'noCommonRegion routes.r0.homeRegions',
      );
      assert.deepEqual(check({ routes, customers: { b, c } }), []);
      const all = Array.from({ length: 74 }, (_, i) => [`c${i}`, { ...a, name: `c${i}` }]);
      const customers = Object.fromEntries(all) as Record<string, configuration.Customer>;
      const [finding] = findIn({ ...fixtures.configurationOf(1, []), routes, customers });
      assert.match(finding!.message, /"c4" and 69 more, .*; no customer can use it$/);
    });

    it('reports that nobody has a key, unless all routes are public', () => {
      const open = { r0: fixtures.route('r0', { isPublic: true }) };
      assert.deepEqual(check({ customers: {} }), ['noKeys customers']);
      assert.deepEqual(check({ customers: {}, routes: open }), []);
    });

    it('reports a rate below one request in the window', () => {
      const withRate = (ratePerSecond: number) =>
        check({ customers: { a: { ...a, quota: { ratePerSecond, burst: 0 } } } });
      assert.deepEqual(withRate(0.19), ['rateBelowWindow customers.a.quota.ratePerSecond']);
      assert.deepEqual(withRate(0.2), []);
    });
  });

  it('reports limits that contradict each other', () => {
    const { limits, services } = fixtures.configurationOf(1, []);
    const idle = check({ limits: { ...limits, idleTimeoutMs: 2_999, maxBodyBytes: 0 } });
    assert.deepEqual(idle, ['idleBelowHeaderTimeout limits.idleTimeoutMs']);
    services.shop!.coldStart = { durationMs: 0, perSecond: 3 };
    assert.deepEqual(check({ services }), [
      'coldRateWithoutTime services.shop.coldStart.perSecond',
    ]);
  });
});
