import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as attemptTimeouts from '../attemptTimeouts.js';

const LONG_MS = 60_000;

describe('timeout of an attempt', () => {
  let timeouts: attemptTimeouts.AttemptTimeouts;

  beforeEach(() => {
    timeouts = new attemptTimeouts.AttemptTimeouts();
  });

  function observe(route: string, ms: number, count = 40): void {
    for (let n = 0; n < count; n++) timeouts.observe(route, ms);
  }

  it('is half of the remaining time while no latency is known', () => {
    assert.equal(timeouts.timeoutMs('a', 4_000), 2_000);
  });

  it('leaves half of the remaining time for another server, however slow the route is', () => {
    observe('a', 10_000);
    assert.equal(timeouts.timeoutMs('a', 4_000), 2_000);
  });

  it('is never below the minimum, however fast the route is', () => {
    // Guards against a short pause of the process that moves every request to another server.
    observe('a', 1);
    assert.equal(timeouts.timeoutMs('a', LONG_MS), 500);
    assert.equal(timeouts.timeoutMs('a', 100), 500);
  });

  it('follows a route that becomes slower, so that a slow service is not cut off', () => {
    observe('a', 100);
    const fastMs = timeouts.timeoutMs('a', LONG_MS);
    assert.ok(fastMs < 1_000, `${fastMs} ms for a route of 100 ms`);
    timeouts.observe('a', 2_000);
    assert.ok(timeouts.timeoutMs('a', LONG_MS) > 2_000);
    observe('a', 2_000);
    const settledMs = timeouts.timeoutMs('a', LONG_MS);
    assert.ok(settledMs >= 2_000 && settledMs < 4_000, `${settledMs} ms for a route of 2,000 ms`);
    assert.equal(timeouts.timeoutMs('b', LONG_MS), LONG_MS / 2, 'another route is not affected');
  });
});
