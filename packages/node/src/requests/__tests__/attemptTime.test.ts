import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as attemptTime from '../attemptTime.js';

const LONG_MS = 60_000;

describe('time of an attempt', () => {
  let times: attemptTime.AttemptTimes;

  beforeEach(() => {
    times = new attemptTime.AttemptTimes();
  });

  function observe(route: string, ms: number, count = 40): void {
    for (let n = 0; n < count; n++) times.observe(route, ms);
  }

  it('is half of what is left while nothing is known', () => {
    assert.equal(times.limitMs('a', 4_000), 2_000);
  });

  it('leaves half of the time for another server, however slow the route is', () => {
    observe('a', 10_000);
    assert.equal(times.limitMs('a', 4_000), 2_000);
  });

  it('never cuts a fast route below the least time', () => {
    // Guards against a short pause of the process that moves every request to another server.
    observe('a', 1);
    assert.equal(times.limitMs('a', LONG_MS), 500);
    assert.equal(times.limitMs('a', 100), 500);
  });

  it('follows a route that becomes slower, so that a slow service is not cut', () => {
    observe('a', 100);
    const fastMs = times.limitMs('a', LONG_MS);
    assert.ok(fastMs < 1_000, `${fastMs} ms for a route of 100 ms`);
    times.observe('a', 2_000);
    assert.ok(times.limitMs('a', LONG_MS) > 2_000);
    observe('a', 2_000);
    const settledMs = times.limitMs('a', LONG_MS);
    assert.ok(settledMs >= 2_000 && settledMs < 4_000, `${settledMs} ms for a route of 2,000 ms`);
    assert.equal(times.limitMs('b', LONG_MS), LONG_MS / 2, 'another route is not affected');
  });
});
