import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as ids from '../ids.js';
import * as placements from '../placement.js';

const WAIT_MS = 1_000_000;

function member(name: string, place: string, incarnation = 1): placements.LiveMember {
  const [region, domain] = place.split('/') as [string, string];
  return {
    node: ids.nodeId(name),
    incarnation: ids.incarnation(incarnation),
    region: ids.regionName(region),
    failureDomain: ids.domainName(domain),
  };
}

const LIVE = [
  ...['r1/a', 'r1/b', 'r2/a', 'r2/b'].flatMap((place) => [
    member(`${place}-1`, place),
    member(`${place}-2`, place),
  ]),
];

function createFirst(live = LIVE): placements.Placement {
  const placement = placements.Placement.first(ids.serviceName('s'), live, 0, 1);
  assert.ok(placement);
  return placement;
}

const names = (placement: placements.Placement) => placement.members.map(({ node }) => node);

describe('placement', () => {
  it('puts the holders of a key in three domains of two regions', () => {
    fc.assert(
      fc.property(fc.string(), (key) => {
        const holders = createFirst().holders(key);
        const domains = holders.map((m) => `${m.region}/${m.failureDomain}`);
        assert.equal(new Set(domains).size, 3);
        assert.equal(holders[0]?.region, holders[1]?.region);
        assert.notEqual(holders[0]?.region, holders[2]?.region);
      }),
    );
  });

  it('falls back to a single domain, and needs the grants of all of one or two holders', () => {
    const sameDomain = ['x', 'y', 'z', 'w'].map((name) => member(name, 'r1/a'));
    assert.equal(new Set(createFirst(sameDomain).holders('k')).size, 3);
    assert.equal(createFirst(sameDomain.slice(0, 2)).holders('k').length, 2);
    assert.equal(createFirst(sameDomain.slice(0, 1)).holders('k').length, 1);
    assert.deepEqual([1, 2, 3].map(placements.quorum), [1, 2, 2]);
    assert.deepEqual([1, 2, 3].map(placements.readQuorum), [1, 1, 2]);
  });

  it('waits for enough members before the first epoch', () => {
    assert.equal(placements.Placement.first(ids.serviceName('s'), LIVE.slice(0, 2), 0), null);
  });

  it('changes one member per epoch, with a minimum time in between', () => {
    const held = createFirst(LIVE.slice(0, 6));
    const next = held.next(LIVE, placements.MIN_EPOCH_INTERVAL_MS, WAIT_MS);
    assert.equal(next?.epoch, 2);
    assert.equal(next.members.length, 7);
    assert.deepEqual(next.previous, held.members);
    assert.equal(next.next(LIVE, placements.MIN_EPOCH_INTERVAL_MS + 1, WAIT_MS), null);
    assert.equal(held.next(LIVE.slice(0, 6), placements.MIN_EPOCH_INTERVAL_MS, WAIT_MS), null);
  });

  it('treats a restarted member as one that has lost its records', () => {
    const live = LIVE.map((m, i) => (i === 0 ? member(m.node, 'r1/a', 2) : m));
    const next = createFirst().next(live, placements.MIN_EPOCH_INTERVAL_MS, WAIT_MS);
    assert.equal(next?.member(LIVE[0]!.node)?.incarnation, 2);
  });

  it('replaces a whole domain at once, but lets members of several domains wait', () => {
    const withoutDomain = createFirst().next(
      LIVE.slice(2),
      placements.MIN_EPOCH_INTERVAL_MS,
      WAIT_MS,
    );
    assert.ok(withoutDomain);
    assert.deepEqual(
      names(withoutDomain),
      LIVE.slice(2).map(({ node }) => node),
    );
    const restarted = LIVE.map((m, i) => (i < 3 ? { ...m, incarnation: ids.incarnation(2) } : m));
    const next = createFirst().next(restarted, placements.MIN_EPOCH_INTERVAL_MS, WAIT_MS);
    assert.equal(
      next?.member(LIVE[0]!.node)?.fullFromMs,
      placements.MIN_EPOCH_INTERVAL_MS + WAIT_MS,
    );
  });

  it('survives a JSON round trip and refuses another shape', () => {
    const next = createFirst().next(LIVE.slice(1), placements.MIN_EPOCH_INTERVAL_MS, WAIT_MS);
    const stored: unknown = JSON.parse(JSON.stringify(next));
    assert.deepEqual(placements.Placement.parse(stored), next);
    assert.throws(() => placements.Placement.parse({ epoch: 0 }));
  });
});
