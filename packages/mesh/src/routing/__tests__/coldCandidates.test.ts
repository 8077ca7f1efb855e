import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fixtures from '../../__tests__/fixtures.js';
import * as balancer from '../balancer.js';

const PROFILE = { transferBytes: 1_000, targetLeftMs: 1_000, deadlineLeftMs: 5_000 };
const COLD = { isCold: true, limitPerSecond: 4 };

describe('Balancer with cold upstreams', () => {
  const subject = new balancer.Balancer(() => 0.5);
  const choose = (...candidates: balancer.Candidate[]) => subject.choose(candidates, PROFILE)!;

  // All hosts of a failure domain that comes back would send its whole load to its cold upstreams.
  it('prefers warm ones with room, also in another failure domain', () => {
    const { candidate } = choose(
      fixtures.candidate('cold', COLD),
      fixtures.candidate('warm', { distance: 'region', load: 8 }),
    );
    assert.equal(candidate.node, 'warm');
  });

  it('uses cold ones when the warm ones are full', () => {
    const full = { load: 25, serviceMs: 200 };
    const { candidate, maxWaitMs } = choose(
      fixtures.candidate('cold', COLD),
      fixtures.candidate('warm', full),
    );
    assert.equal(candidate.node, 'cold');
    assert.ok(maxWaitMs > 0);
  });

  it('accepts no wait at a cold one while a warm one is free', () => {
    const { candidate, maxWaitMs } = choose(
      fixtures.candidate('cold', COLD),
      fixtures.candidate('far', { distance: 'remote', serviceMs: 300 }),
    );
    assert.deepEqual([candidate.node, maxWaitMs], ['cold', 0]);
  });

  it('uses cold ones where there are no others', () => {
    const { candidate, maxWaitMs } = choose(fixtures.candidate('cold', COLD));
    assert.deepEqual([candidate.node, maxWaitMs], ['cold', Infinity]);
  });
});
