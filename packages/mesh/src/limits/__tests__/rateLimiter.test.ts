import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as rateLimiter from '../rateLimiter.js';

/** Span in which the requests are counted, and how far they may exceed the limit in it. */
const COUNTED_MS = 4_000;
const TOLERATED_SHARE = 1.5;
const TOLERATED_REQUESTS = 5;

describe('RateLimiter', () => {
  it('lets everything start while there is no limit', () => {
    const limiter = new rateLimiter.RateLimiter();
    assert.ok(Array.from({ length: 100 }, () => limiter.tryTake(0)).every(Boolean));
  });

  it('never exceeds the limit in any span, at any pace of requests', () => {
    const perSecond = fc.double({ min: 0.5, max: 200, noNaN: true });
    const gapsMs = fc.array(fc.integer({ min: 0, max: 900 }), { minLength: 50, maxLength: 400 });
    fc.assert(
      fc.property(perSecond, gapsMs, (rate, gaps) => {
        const limiter = new rateLimiter.RateLimiter();
        limiter.setRate(rate, 0);
        const started: number[] = [];
        let now = 0;
        for (const gap of gaps) {
          now += gap;
          if (limiter.tryTake(now)) started.push(now);
        }
        const allowed = (TOLERATED_SHARE * rate * COUNTED_MS) / 1_000 + TOLERATED_REQUESTS;
        for (const startMs of started) {
          const counted = started.filter((at) => at >= startMs && at < startMs + COUNTED_MS);
          assert.ok(counted.length <= allowed);
        }
      }),
    );
  });

  it('yields the whole limit under steady demand', () => {
    const limiter = new rateLimiter.RateLimiter();
    limiter.setRate(20, 0);
    let started = 0;
    for (let now = 0; now < 10_000; now += 5) if (limiter.tryTake(now)) started += 1;
    assert.ok(started >= 195 && started <= 205, `${started}`);
  });

  it('starts a new limit without an allowance and keeps what a changed one has left', () => {
    const limiter = new rateLimiter.RateLimiter();
    limiter.setRate(10, 0);
    assert.equal(limiter.tryTake(0), false);
    assert.equal(limiter.waitMs(0, 0), 100);
    assert.equal(limiter.waitMs(2, 0), 300);
    limiter.setRate(5, 100);
    assert.equal(limiter.tryTake(100), true);
    assert.equal(limiter.tryTake(100), false);
  });

  // An upstream that gets nothing answers nothing, and could not state another limit.
  it('lets a request start now and then at a limit of 0', () => {
    const limiter = new rateLimiter.RateLimiter();
    limiter.setRate(0, 0);
    assert.equal(limiter.tryTake(1_000), false);
    assert.equal(limiter.tryTake(2_000), true);
  });
});
