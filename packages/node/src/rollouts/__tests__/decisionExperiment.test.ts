import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as decisionExperiment from '../decisionExperiment.js';

describe('decision experiment', () => {
  it('gives equal results for equal seeds, so that published figures can be reproduced', async () => {
    const options = { seed: 3, versions: 4, balance: 'even' as const, requestsPerSecond: 30 };
    const first = await decisionExperiment.runDecisionExperiment(options);
    assert.deepEqual(await decisionExperiment.runDecisionExperiment(options), first);
    assert.equal(first.badTakenBackPct, 100);
    assert.equal(first.falseTakeBackPct, 0);
    assert.ok(first.maxBadSharePct <= 5);
  });
});
