import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as randoms from '../../common/random.js';
import * as behaviours from '../behaviour.js';

const CONTEXT = { method: 'GET', path: '/proofs', inFlight: 1 };

describe('upstream rules', () => {
  it('apply only after their start time, so that a version can begin to fail later', () => {
    let nowMs = 1_000;
    const rules = new behaviours.Rules(new randoms.Random(1), () => nowMs);
    rules.replace([{ afterMs: 500, errorRate: 1 }, { addedLatencyMs: 5 }, { addedLatencyMs: 7 }]);
    nowMs = 1_499;
    assert.deepEqual(rules.resolve(CONTEXT), {
      ...{ errorStatus: null, addedLatencyMs: 12, truncate: false },
    });
    nowMs = 1_500;
    assert.equal(rules.resolve(CONTEXT).errorStatus, 500);
  });

  it('inject the same errors for the same seed, at about the configured rate', () => {
    const errors = (seed: number) => {
      const rules = new behaviours.Rules(new randoms.Random(seed));
      rules.replace([{ errorRate: 0.2 }]);
      return [...Array(1_000).keys()].filter(() => rules.resolve(CONTEXT).errorStatus !== null);
    };
    assert.deepEqual(errors(7), errors(7));
    assert.notDeepEqual(errors(7), errors(8));
    assert.ok(errors(7).length > 140 && errors(7).length < 260);
  });
});
