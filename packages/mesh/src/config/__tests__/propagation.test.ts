import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as configHolder from '../configHolder.js';
import * as configuration from '../configuration.js';
import * as propagation from '../propagation.js';

interface Node {
  name: string;
  domain: string;
  isRelay: boolean;
  informed: boolean;
}

/** Forwards one update until no further node receives it. */
function propagate(nodes: Node[], watcher: Node): void {
  const queue: { to: Node; origin: propagation.Origin }[] = [{ to: watcher, origin: 'store' }];
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { to: node, origin } = next;
    if (!node.informed) {
      node.informed = true;
      const scope = propagation.scopeOf(origin);
      for (const other of nodes) {
        const inDomain = other.domain === node.domain;
        const receives = inDomain
          ? scope.domain
          : scope.remoteRelays && node.isRelay && other.isRelay;
        if (receives) queue.push({ to: other, origin: inDomain ? 'domain' : 'remote' });
      }
    }
  }
}

describe('forwarding of updates', () => {
  // Guards against a domain without a watching node missing a configuration, because only nodes that
  // watched the store themselves forwarded updates.
  it('reaches all nodes of a failure domain in which no node watches', () => {
    const domains = ['a', 'b', 'c'];
    fc.assert(
      fc.property(
        fc.nat({ max: 8 }),
        fc.array(fc.nat({ max: 2 }), { minLength: 3 }),
        (watcher, relays) => {
          const nodes = domains.flatMap((domain, i) =>
            [0, 1, 2].map((rank) => ({
              name: `${domain}${rank}`,
              domain,
              isRelay: rank === relays[i],
              informed: false,
            })),
          );
          propagate(nodes, nodes[watcher]!);
          assert.deepEqual(
            nodes.filter(({ informed }) => !informed),
            [],
          );
        },
      ),
    );
  });
});

describe('ConfigHolder', () => {
  const source = { origin: 'domain', name: 'n' } as const;

  // Nodes that read the store at different times skip different versions. Without the earlier versions,
  // each delta with another base made the receiver request the full configuration.
  it('applies a delta whose base is an earlier version', () => {
    const holder = new configHolder.ConfigHolder(() => 0);
    const first = fixtures.configurationOf(1, [fixtures.route('a')]);
    const second = fixtures.configurationOf(2, [fixtures.route('a'), fixtures.route('b')]);
    const third = fixtures.configurationOf(3, [fixtures.route('a', { timeoutMs: 5 })]);
    holder.offer(first, source);
    holder.offer(second, source);
    const delta = configuration.createDelta(first, third);
    holder.offer(configuration.applyDelta(holder.find(delta.base)!, delta), source);
    assert.deepEqual(holder.current!.cfg, third);
  });

  it('never returns to an older version', () => {
    const versions = fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 40 });
    fc.assert(
      fc.property(versions, (offered) => {
        const holder = new configHolder.ConfigHolder(() => 0);
        let newest = 0;
        for (const version of offered) {
          holder.offer(fixtures.configurationOf(version, []), source);
          newest = Math.max(newest, version);
          assert.equal(holder.version, newest);
        }
      }),
    );
  });
});
