import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as configuration from '../../config/configuration.js';
import * as fixtures from '../../__tests__/fixtures.js';
import * as balancer from '../balancer.js';
import * as exchange from '../exchange.js';
import * as routeTable from '../routeTable.js';
import * as trafficSplitter from '../trafficSplitter.js';
import * as upstreamStats from '../upstreamStats.js';

describe('RouteTable', () => {
  const table = new routeTable.RouteTable(
    fixtures.configurationOf(1, [
      fixtures.route('all', { pathPrefix: '/' }),
      fixtures.route('a', { pathPrefix: '/a/' }),
      fixtures.route('ab', { pathPrefix: '/a/b/' }),
      fixtures.route('other', { host: 'other.example', pathPrefix: '/x/' }),
    ]),
  );

  const cases: [string, string, string | null][] = [
    ['host.example', '/a/b/c?d=/a/', 'ab'],
    ['HOST.example:80', '/a/b', 'a'],
    ['host.example', '/ab/', 'all'],
    ['host.example', '/a', 'all'],
    ['other.example', '/', null],
    ['other.example', '/x/', 'other'],
    ['none.example', '/a/', null],
  ];
  for (const [host, target, expected] of cases) {
    it(`finds ${expected} for ${host}${target}`, () => {
      assert.equal(table.find(host, target)?.name ?? null, expected);
    });
  }
});

describe('SplitChooser', () => {
  it('gives each destination its weight within any ten requests', () => {
    const chooser = new trafficSplitter.TrafficSplitter(() => 0.3);
    const split = fixtures.route('r', {
      destinations: [
        { service: ids.serviceName('a'), weight: 7 },
        { service: ids.serviceName('b'), weight: 3 },
      ],
    });
    for (let round = 0; round < 5; round += 1) {
      const chosen = Array.from({ length: 10 }, () => chooser.choose(split).service);
      assert.equal(chosen.filter((service) => service === 'b').length, 3);
    }
  });

  // Many nodes with few requests each, as after a route is added to a large fleet.
  it('keeps the weights over 200 requests that are spread over 195 nodes', () => {
    const weights = fc.integer({ min: 5, max: 50 });
    const run = (weight: number, seed: number) => {
      const rng = random.xoroshiro128plus(seed);
      const next = () => uniform.uniformFloat64(rng);
      const split = fixtures.route('r', {
        destinations: [
          { service: ids.serviceName('a'), weight: 100 - weight },
          { service: ids.serviceName('b'), weight },
        ],
      });
      const nodes = Array.from({ length: 195 }, () => new trafficSplitter.TrafficSplitter(next));
      let b = 0;
      for (let i = 0; i < 200; i += 1) {
        if (nodes[Math.floor(next() * nodes.length)]!.choose(split).service === 'b') b += 1;
      }
      // Required accuracy of a destination's share over 200 requests.
      assert.ok(Math.abs(b / 200 - weight / 100) < 0.2, `${b} of 200 at weight ${weight}`);
    };
    fc.assert(fc.property(weights, fc.integer(), run));
  });

  it('gives nothing to a destination of weight 0', () => {
    const chooser = new trafficSplitter.TrafficSplitter(() => 0.3);
    const split = fixtures.route('r', {
      destinations: [
        { service: ids.serviceName('a'), weight: 0 },
        { service: ids.serviceName('b'), weight: 1 },
      ],
    });
    for (let i = 0; i < 20; i += 1) assert.equal(chooser.choose(split).service, 'b');
  });
});

describe('configuration differences', () => {
  it('transform any configuration into any other', () => {
    const routes = fc.dictionary(
      fc.constantFrom('a', 'b', 'c', 'd'),
      fc.integer({ min: 1, max: 3 }),
    );
    fc.assert(
      fc.property(routes, routes, (before, after) => {
        const build = (version: number, table: Record<string, number>) =>
          fixtures.configurationOf(
            version,
            Object.entries(table).map(([name, ms]) => fixtures.route(name, { timeoutMs: ms })),
          );
        const from = build(1, before);
        const to = build(2, after);
        assert.deepEqual(configuration.applyDelta(from, configuration.createDelta(from, to)), to);
      }),
    );
  });

  it('are refused on a different base version, so that versions are never mixed', () => {
    const delta = configuration.createDelta(
      fixtures.configurationOf(1, []),
      fixtures.configurationOf(3, []),
    );
    assert.throws(() => configuration.applyDelta(fixtures.configurationOf(2, []), delta));
  });
});

describe('Balancer', () => {
  const choose = (
    candidates: balancer.Candidate[],
    overrides: Partial<balancer.RequestProfile> = {},
  ) => {
    const profile = {
      transferBytes: 2_048,
      targetLeftMs: 300,
      deadlineLeftMs: 1_000,
      ...overrides,
    };
    return new balancer.Balancer(() => 0.5).choose(candidates, profile)?.candidate.node ?? null;
  };
  const near = (overrides: Partial<balancer.Candidate> = {}) =>
    fixtures.candidate('near', { distance: 'domain', ...overrides });
  const far = (overrides: Partial<balancer.Candidate> = {}) =>
    fixtures.candidate('far', { distance: 'remote', ...overrides });

  const download = { transferBytes: 90_000, targetLeftMs: 1_139, deadlineLeftMs: 3_000 };

  it('stays in the own failure domain while there is room', () => {
    assert.equal(choose([far({ load: 0 }), near({ load: 9 })]), 'near');
  });

  it('chooses a distant node when waiting at a near one would miss the target latency', () => {
    assert.equal(choose([far(), near({ load: 60 })]), 'far');
  });

  it('avoids an upstream that fails, however near it is', () => {
    assert.equal(choose([far(), near({ failureShare: 0.5 })]), 'far');
  });

  it('avoids an upstream that is several times as slow', () => {
    assert.equal(choose([far(), near({ serviceMs: 600 })]), 'far');
  });

  it('sends requests with small bodies to distant nodes before those with large ones', () => {
    const crowded = [far(), near({ load: 20 })];
    assert.equal(choose(crowded, { transferBytes: 200 }), 'far');
    assert.equal(choose(crowded, { transferBytes: 8_000 }), 'near');
  });

  it('lets a large transfer wait near within its target latency', () => {
    const crowded = [far(), near({ load: 40 })];
    assert.equal(choose(crowded, { transferBytes: 8_000, targetLeftMs: 600 }), 'far');
    assert.equal(choose(crowded, { transferBytes: 90_000, targetLeftMs: 600 }), 'near');
    assert.equal(choose(crowded, { transferBytes: 90_000, targetLeftMs: 200 }), 'far');
  });

  // Guards against hosts whose uplink is overloaded while those of a neighbour domain have room.
  it('weighs the wait for the uplink against the distance, the target and the deadline', () => {
    const crowded = (transferWaitMs: number) => [far(), near({ transferWaitMs })];
    assert.equal(choose(crowded(500), download), 'near');
    assert.equal(choose(crowded(900), download), 'far');
    assert.equal(choose(crowded(500), { ...download, targetLeftMs: 400 }), 'far');
    assert.equal(choose([near({ transferWaitMs: 2_950 })], download), null);
  });

  it('lets an answer wait for a near uplink as long as no farther one is better', () => {
    const waitOf = (transferWaitMs: number) =>
      new balancer.Balancer(() => 0).choose([near({ transferWaitMs }), far()], download)!.maxWaitMs;
    assert.equal(waitOf(100), waitOf(0));
  });

  it('still uses a failing upstream where there is no other', () => {
    assert.equal(choose([near({ failureShare: 0.9 })]), 'near');
  });

  it('chooses none if no answer is expected before the deadline of the caller', () => {
    assert.equal(choose([near()], { deadlineLeftMs: 50 }), null);
  });
});

describe('UpstreamStats', () => {
  // Guards against old reports that keep requests away from an uplink that is idle again.
  it('shrinks a reported wait for the uplink by the time that has passed', () => {
    let now = 1_000;
    const stats = new upstreamStats.UpstreamStats(() => now);
    const node = ids.nodeId('a');
    assert.equal(stats.transferWaitMs(node), 0);
    const report = { load: 0, averageServiceMs: null, transferWaitMs: 300 };
    stats.recordReport(node, ids.routeName('r'), report, 0);
    now += 100;
    assert.equal(stats.transferWaitMs(node), 200);
    now += 250;
    assert.equal(stats.transferWaitMs(node), 0);
  });

  // Guards against nodes that all return to a full upstream at the same moment.
  it('ends the back-offs from a full upstream at different moments', () => {
    const node = ids.nodeId('a');
    const req = {
      route: ids.routeName('r'),
      customer: null,
      customerPriority: 0,
      targetLeftMs: 300,
    };
    const ends = Array.from({ length: 20 }, (_, i) => {
      const stats = new upstreamStats.UpstreamStats(
        () => 0,
        () => i / 20,
      );
      stats.recordFull(node, req, exchange.refused('queueTooLong', 100));
      return stats.fullBackoffMs(node, req);
    });
    assert.equal(new Set(ends.map(Math.round)).size, 20);
    assert.ok(Math.min(...ends) >= 25 && Math.max(...ends) <= 75, String(ends));
  });
});
