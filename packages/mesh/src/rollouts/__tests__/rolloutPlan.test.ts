import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as phases from '../phases.js';
import * as rolloutPlan from '../rolloutPlan.js';

const MAX_EXPOSURE_SHARE = 0.1;
/** The requests allowed beyond the share, of 10,000 in the time of a rollout. */
const SLACK_SHARE = 0.005;

/** Share of the requests up to the deadline that reach the target if nothing is found. */
function exposureOf(durationMs: number): number {
  const { pulseAtMs, fullAtMs } = rolloutPlan.createPlan(durationMs, MAX_EXPOSURE_SHARE);
  const { canary, pulse, full } = phases.TARGET_SHARE;
  const sum = canary * pulseAtMs + pulse * (fullAtMs - pulseAtMs) + full * (durationMs - fullAtMs);
  return sum / durationMs;
}

describe('the plan of a rollout', () => {
  // All requests went to an unproved version from the middle of the ordered time on.
  it('keeps an order of 16 s or more within the allowed exposure, even if nothing is found', () => {
    fc.assert(
      fc.property(fc.integer({ min: 16_000, max: 86_400_000 }), (durationMs) => {
        assert.ok(exposureOf(durationMs) <= MAX_EXPOSURE_SHARE + SLACK_SHARE);
      }),
    );
  });

  it('has its steps in order, for any duration', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 100_000 }), (durationMs) => {
        const plan = rolloutPlan.createPlan(durationMs, MAX_EXPOSURE_SHARE);
        const { pulseAtMs, fullAtMs, recordAtMs } = plan;
        const times = [0, pulseAtMs, fullAtMs, recordAtMs, durationMs];
        assert.deepEqual(
          times,
          [...times].sort((a, b) => a - b),
        );
      }),
    );
  });
});
