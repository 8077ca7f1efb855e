import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as configurationDiff from '../configurationDiff.js';
import * as configurationPlace from '../configurationPlace.js';

const { placeOf } = configurationPlace;

const name = fc.oneof(fc.string(), fc.constantFrom('a', 'b', 'constructor', 'toString'));
const regions = fc.uniqueArray(fc.constantFrom('north', 'south').map(ids.regionName));
const quota = fc.record({ ratePerSecond: fc.nat(9), burst: fc.nat(9) });
const route = fc
  .tuple(name, fc.record({ host: name, homeRegions: regions, isPublic: fc.boolean() }))
  .map((args) => fixtures.route(...args));
const customer = fc
  .tuple(name, fc.array(name), fc.record({ quota: fc.option(quota), homeRegions: regions }))
  .map((args) => fixtures.customer(...args));
const customers = fc
  .array(customer)
  .map((entries) => Object.fromEntries(entries.map((entry) => [entry.name, entry])));
const anyConfiguration = fc
  .tuple(fc.array(route), fc.option(customers))
  .map(([routes, table]) => ({ ...fixtures.configurationOf(1, routes), customers: table }));

describe('compareConfigurations', () => {
  // A difference that is none would hide those that the operator looks for.
  it('finds nothing between a configuration and its copy', () => {
    fc.assert(
      fc.property(anyConfiguration, (cfg) => {
        assert.deepEqual(configurationDiff.compareConfigurations(cfg, structuredClone(cfg)), []);
      }),
      { numRuns: 500 },
    );
  });

  it('lists changed fields with both values, and entries that came or went', () => {
    const before = fixtures.configurationOf(1, [fixtures.route('a'), fixtures.route('b')]);
    const routes = [fixtures.route('b', { timeoutMs: 9 }), fixtures.route('c')];
    const after = fixtures.configurationOf(2, routes);
    const { shop } = before.services;
    after.services = { shop: { ...shop!, coldStart: { durationMs: 0, perSecond: 3 } } };
    after.limits = { ...before.limits, maxBodyBytes: 7 };
    const changed = placeOf('routes', 'b', 'timeoutMs');
    assert.deepEqual(configurationDiff.compareConfigurations(before, after), [
      { type: 'removed', place: placeOf('routes', 'a') },
      { type: 'changed', place: changed, before: 1_000, after: 9 },
      { type: 'added', place: placeOf('routes', 'c') },
      {
        type: 'changed',
        place: placeOf('services', 'shop', 'coldStart.durationMs'),
        before: null,
        after: 0,
      },
      {
        type: 'changed',
        place: placeOf('services', 'shop', 'coldStart.perSecond'),
        before: null,
        after: 3,
      },
      {
        type: 'changed',
        place: placeOf('limits', null, 'maxBodyBytes'),
        before: 1_000_000,
        after: 7,
      },
    ]);
  });

  it('counts the keys of customers and never contains them', () => {
    const before = fixtures.configurationOf(1, []);
    const [a, b] = [fixtures.customer('a', ['k1', 'k2']), fixtures.customer('a', ['k2', 'k3'])];
    const quoted = { ...b, quota: { ratePerSecond: 5, burst: 2 } };
    const changes = configurationDiff.compareConfigurations(
      { ...before, customers: { a } },
      { ...before, customers: { a: quoted } },
    );
    const place = placeOf('customers', 'a', 'keyDigests');
    assert.deepEqual(
      changes.map(({ type }) => type),
      ['changed', 'changed', 'keysChanged'],
    );
    assert.deepEqual(changes[2], { type: 'keysChanged', place, added: 1, removed: 1 });
    for (const digest of [...a.keyDigests, ...b.keyDigests])
      assert.ok(!JSON.stringify(changes).includes(digest));
  });

  // Without the table, requests need no key: the most far-reaching change of all.
  it('reports that the table of customers came or went', () => {
    const before = fixtures.configurationOf(1, []);
    const changes = configurationDiff.compareConfigurations(before, { ...before, customers: {} });
    assert.deepEqual(changes, [{ type: 'added', place: placeOf('customers') }]);
  });
});
