import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as configHolder from '../configHolder.js';
import * as configuration from '../configuration.js';
import * as news from '../news.js';

interface Node {
  name: string;
  domain: string;
  isRelay: boolean;
  heard: boolean;
}

/** Passes one piece of news on as far as it goes. */
function spread(nodes: Node[], watcher: Node): void {
  const queue: { to: Node; origin: news.Origin }[] = [{ to: watcher, origin: 'store' }];
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { to: at, origin } = next;
    if (!at.heard) {
      at.heard = true;
      const audience = news.audienceOf(origin);
      for (const node of nodes) {
        const inDomain = node.domain === at.domain;
        const told = inDomain ? audience.domain : audience.farRelays && at.isRelay && node.isRelay;
        if (told) queue.push({ to: node, origin: inDomain ? 'domain' : 'remote' });
      }
    }
  }
}

describe('news', () => {
  // Only a node that watched itself passed news on, so a domain without one missed a configuration.
  it('reaches all nodes of a failure domain in which no node watches', () => {
    const domains = ['a', 'b', 'c'];
    fc.assert(
      fc.property(
        fc.nat({ max: 8 }),
        fc.array(fc.nat({ max: 2 }), { minLength: 3 }),
        (at, picks) => {
          const nodes = domains.flatMap((domain, i) =>
            [0, 1, 2].map((place) => ({
              name: `${domain}${place}`,
              domain,
              isRelay: place === picks[i],
              heard: false,
            })),
          );
          spread(nodes, nodes[at]!);
          assert.deepEqual(
            nodes.filter(({ heard }) => !heard),
            [],
          );
        },
      ),
    );
  });
});

describe('ConfigHolder', () => {
  const source = { origin: 'domain', name: 'n' } as const;

  // Nodes that read the store at different times skip different versions; without the earlier
  // versions each such difference made the receiver ask for a whole configuration.
  it('takes a difference from a version that it held before', () => {
    const holder = new configHolder.ConfigHolder(() => 0);
    const first = fixtures.configurationOf(1, [fixtures.route('a')]);
    const second = fixtures.configurationOf(2, [fixtures.route('a'), fixtures.route('b')]);
    const third = fixtures.configurationOf(3, [fixtures.route('a', { timeoutMs: 5 })]);
    holder.offer(first, source);
    holder.offer(second, source);
    const delta = configuration.difference(first, third);
    holder.offer(configuration.applyDelta(holder.find(delta.base)!, delta), source);
    assert.deepEqual(holder.current!.cfg, third);
  });

  it('never goes back to an older version', () => {
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
