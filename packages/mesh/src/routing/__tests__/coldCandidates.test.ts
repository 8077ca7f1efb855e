import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as rateLimiter from '../../limits/rateLimiter.js';
import * as balancer from '../balancer.js';

const COLD = { isCold: true, limitPerSecond: 4 };
const PROFILE = { transferBytes: 1_000, targetLeftMs: 1_000, deadlineLeftMs: 5_000 };

describe('Balancer with cold upstreams', () => {
  const subject = new balancer.Balancer(Math.random);
  const choose = (candidates: balancer.Candidate[]) => subject.choose(candidates, PROFILE);

  it('uses a cold one rather than a far one, but accepts no wait there while the far one is free', () => {
    const cold = fixtures.candidate('cold', COLD);
    const far = fixtures.candidate('far', { distance: 'remote', serviceMs: 300 });
    for (const [candidates, maxWaitMs] of [
      [[cold, far], 0],
      [[cold], Infinity],
    ] as const) {
      const choice = choose([...candidates])!;
      assert.deepEqual([choice.candidate.node, choice.maxWaitMs], ['cold', maxWaitMs]);
    }
  });

  /** 6 upstreams of a failure domain have come back cold, 6 of another one have 10 slots and a queue. */
  function play(perSecond: number): { toCold: number; givenUp: number } {
    const upstreams = Array.from({ length: 12 }, (_, i) => {
      const place = i < 6 ? COLD : ({ distance: 'region' } as const);
      return { candidate: fixtures.candidate(`n${i}`, place), endsMs: [] as number[] };
    });
    const limiters = new Map<ids.NodeId, rateLimiter.RateLimiter>();
    for (const { candidate } of upstreams.slice(0, 6)) {
      limiters.set(candidate.node, new rateLimiter.RateLimiter());
      limiters.get(candidate.node)!.setRate(4, 0);
    }
    const result = { toCold: 0, givenUp: 0 };
    for (let now = 0; now < 10_000; now += 1_000 / perSecond) {
      for (const each of upstreams) {
        each.endsMs = each.endsMs.filter((endMs) => endMs > now);
        each.candidate.load = each.endsMs.length;
      }
      let left = upstreams.map(({ candidate }) => candidate);
      let isServed = false;
      for (let offer = 0; offer < 5 && !isServed; offer += 1) {
        const { node, isCold } = choose(left)!.candidate;
        const { endsMs } = upstreams.find(({ candidate }) => candidate.node === node)!;
        // FIFO with equal work, so a request starts when the tenth last one ends.
        const startMs = endsMs.at(-10) ?? now;
        isServed = limiters.get(node)?.tryTake(now) ?? startMs < now + 400;
        if (isServed) endsMs.push(startMs + 200);
        if (isServed && isCold) result.toCold += 1;
        left = left.filter((other) => other.node !== node);
      }
      if (!isServed) result.givenUp += 1;
    }
    return result;
  }

  // All hosts of the failure domain would offer its whole load to its idle upstreams, five times each.
  it('fills a failure domain that comes back only as far as the others are full', () => {
    assert.deepEqual(play(200), { toCold: 0, givenUp: 0 });
    const { toCold, givenUp } = play(310);
    assert.ok(toCold > 50 && toCold <= 6 * 41, String(toCold));
    assert.ok(givenUp < 10, String(givenUp));
  });
});
