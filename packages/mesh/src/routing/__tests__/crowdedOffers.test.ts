import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { metrics } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as meters from '../../observability/meters.js';
import * as balancer from '../balancer.js';
import * as crowdedOffers from '../crowdedOffers.js';
import * as exchange from '../exchange.js';

describe('CrowdedOffers', () => {
  // Guards against uneven load that an operator can't tell from a full failure domain.
  it('counts full upstreams and waits, by whether another one had room', () => {
    const registry = new metrics.Metrics();
    const counter = new crowdedOffers.CrowdedOffers(registry);
    const choose = (load: number) =>
      new balancer.Balancer(() => 0).choose(
        [fixtures.candidate('a'), fixtures.candidate('b', { load })],
        { transferBytes: 0, targetLeftMs: 900, deadlineLeftMs: 2_000 },
      )!;
    const answer: exchange.Answer = {
      type: 'answer',
      status: 200,
      headers: [],
      body: Buffer.alloc(0),
      serviceMs: 100,
    };
    counter.record(choose(0), exchange.refused('waitTooLong', 40), 1);
    counter.record(choose(99), answer, 150);
    counter.record(choose(99), answer, 103);
    const text = registry.render();
    assert.match(text, new RegExp(`${meters.CROWDED_OFFERS}\\{[^}]*other="room"[^}]*\\} 1`));
    assert.match(text, new RegExp(`${meters.CROWDED_OFFERS}\\{[^}]*other="none"[^}]*\\} 1`));
  });
});
