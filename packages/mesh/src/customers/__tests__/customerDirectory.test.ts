import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fixtures from '../../__tests__/fixtures.js';
import * as configuration from '../../config/configuration.js';
import * as customerDirectory from '../customerDirectory.js';

const ROUTE = fixtures.route('r');
const PUBLIC_ROUTE = fixtures.route('p', { isPublic: true });

function configurationWith(
  version: number,
  customers: configuration.Customer[] | null,
): configuration.Configuration {
  const table =
    customers === null ? null : Object.fromEntries(customers.map((each) => [each.name, each]));
  return { ...fixtures.configurationOf(version, [ROUTE]), customers: table };
}

function identify(
  cfg: configuration.Configuration,
  key: string | null,
  route = ROUTE,
): string | null {
  const found = customerDirectory.resolveDirectory(cfg)!.identify(route, key);
  return found.type === 'unknownKey' ? found.type : (found.customer?.name ?? null);
}

describe('CustomerDirectory', () => {
  const large = fixtures.customer('large', ['k-1', 'k-2'], { priority: 2 });
  const small = fixtures.customer('small', ['k-3'], { priority: 1 });
  const cfg = configurationWith(1, [large, small]);

  it('identifies a customer by each of its keys', () => {
    assert.deepEqual(
      ['k-1', 'k-2', 'k-3'].map((key) => identify(cfg, key)),
      ['large', 'large', 'small'],
    );
  });

  it('rejects unknown and missing keys, unless the route is public', () => {
    for (const key of ['k-4', '', null]) {
      assert.equal(identify(cfg, key), 'unknownKey');
      assert.equal(identify(cfg, key, PUBLIC_ROUTE), null);
    }
    assert.equal(identify(cfg, 'k-3', PUBLIC_ROUTE), 'small');
  });

  // A nested call carries no key, and its parent's work is lost if it is refused.
  it('ranks requests without a customer with the most urgent customers', () => {
    const found = customerDirectory.resolveDirectory(cfg)!.identify(PUBLIC_ROUTE, null);
    assert.deepEqual(found, { type: 'identified', customer: null, customerPriority: 1 });
  });

  it('needs no keys where the configuration has no customers', () => {
    assert.equal(customerDirectory.resolveDirectory(configurationWith(1, null)), null);
  });

  it('holds no key in readable form', () => {
    assert.ok(!JSON.stringify(cfg).includes('k-1'));
  });

  describe('after a delta', () => {
    const apply = (to: configuration.Configuration) =>
      configuration.applyDelta(cfg, configuration.createDelta(cfg, to));

    // A removed key that goes on working gives access to whoever has taken it.
    it('rejects a removed key and accepts an added one', () => {
      const changed = fixtures.customer('large', ['k-2', 'k-5'], { priority: 2 });
      const next = apply(configurationWith(2, [changed, small]));
      assert.equal(identify(next, 'k-1'), 'unknownKey');
      assert.equal(identify(next, 'k-5'), 'large');
      assert.equal(identify(cfg, 'k-1'), 'large');
    });

    it('rejects the keys of a removed customer', () => {
      assert.equal(identify(apply(configurationWith(2, [small])), 'k-1'), 'unknownKey');
    });

    it('follows the removal and the first addition of customers as a whole', () => {
      const without = apply(configurationWith(2, null));
      assert.equal(without.customers, null);
      const again = configurationWith(3, [small]);
      const delta = configuration.createDelta(without, again);
      assert.equal(identify(configuration.applyDelta(without, delta), 'k-3'), 'small');
    });

    // Configurations that change several times a second would digest thousands of keys anew.
    it('keeps the directory while the customers stay the same', () => {
      const next = apply(configurationWith(2, [large, small]));
      assert.equal(
        customerDirectory.resolveDirectory(next),
        customerDirectory.resolveDirectory(cfg),
      );
    });
  });
});
