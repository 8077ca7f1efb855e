import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as configurationDiff from '../configurationDiff.js';
import * as configurationPlace from '../configurationPlace.js';

const { compareConfigurations } = configurationDiff;
const { placeOf } = configurationPlace;

const name = fc.oneof(fc.string(), fc.constantFrom('a', 'b', 'constructor', '__proto__'));
const routes = fc.array(fc.tuple(name, fc.record({ host: name, isPublic: fc.boolean() })));
const customers = fc
  .array(fc.tuple(name, fc.array(name)).map((args) => fixtures.customer(...args)))
  .map((entries) => Object.fromEntries(entries.map((entry) => [entry.name, entry])));
const anyConfiguration = fc.tuple(routes, fc.option(customers)).map(([list, table]) => ({
  ...fixtures.configurationOf(
    1,
    list.map((args) => fixtures.route(...args)),
  ),
  customers: table,
}));

describe('compareConfigurations', () => {
  // A difference that is none would hide those that the operator looks for.
  it('finds nothing between a configuration and its copy', () => {
    fc.assert(
      fc.property(anyConfiguration, (cfg) => {
        assert.deepEqual(compareConfigurations(cfg, structuredClone(cfg)), []);
      }),
    );
  });

  it('lists changed fields with both values, and entries that came or went', () => {
    const before = fixtures.configurationOf(1, [fixtures.route('a'), fixtures.route('b')]);
    const changed = fixtures.route('b', { timeoutMs: 9 });
    const after = fixtures.configurationOf(2, [changed, fixtures.route('constructor')]);
    after.limits.maxBodyBytes = 7;
    const bodies = placeOf('limits', null, 'maxBodyBytes');
    assert.deepEqual(compareConfigurations(before, after), [
      { type: 'removed', place: placeOf('routes', 'a') },
      { type: 'changed', place: placeOf('routes', 'b', 'timeoutMs'), before: 1_000, after: 9 },
      { type: 'added', place: placeOf('routes', 'constructor') },
      { type: 'changed', place: bodies, before: 1_000_000, after: 7 },
    ]);
  });

  // Without the table of customers, requests need no key: the most far-reaching change of all.
  it('reports whether there are customers, and counts their keys without containing them', () => {
    const open = fixtures.configurationOf(1, []);
    const [a, b] = [fixtures.customer('a', ['k1', 'k2']), fixtures.customer('a', ['k2', 'k3'])];
    const before = { ...open, customers: { a } };
    const place = placeOf('customers', 'a', 'keyDigests');
    assert.deepEqual(compareConfigurations(before, { ...open, customers: { a: b } }), [
      { type: 'keysChanged', place, added: 1, removed: 1 },
    ]);
    assert.deepEqual(compareConfigurations(open, before), [
      { type: 'added', place: placeOf('customers') },
      { type: 'added', place: placeOf('customers', 'a') },
      { type: 'keysChanged', place, added: 2, removed: 0 },
    ]);
  });
});
