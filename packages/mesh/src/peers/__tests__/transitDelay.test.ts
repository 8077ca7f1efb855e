import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as transitDelay from '../transitDelay.js';

describe('TransitDelay', () => {
  // Requests delayed by a congested link reached servers long after their callers had left.
  it('returns the delay of a message beyond the fastest one', () => {
    const delay = new transitDelay.TransitDelay();
    assert.equal(delay.record(1_000, 500_012), 0);
    assert.equal(delay.record(2_000, 501_015), 3);
    assert.equal(delay.record(3_000, 502_900), 888);
  });

  it('forgets old messages, since clocks drift apart', () => {
    const delay = new transitDelay.TransitDelay();
    delay.record(0, 10);
    for (let at = 1_000; at <= 60_000; at += 1_000) delay.record(at, at + 50);
    assert.equal(delay.record(61_000, 61_052), 2);
  });

  it('is never negative', () => {
    const times = fc.array(fc.tuple(fc.nat(100_000), fc.nat(100_000)), { maxLength: 50 });
    fc.assert(
      fc.property(times, (messages) => {
        const delay = new transitDelay.TransitDelay();
        for (const [sent, received] of messages) assert.ok(delay.record(sent, received) >= 0);
      }),
    );
  });
});
