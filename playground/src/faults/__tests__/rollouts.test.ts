import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as cells from '../cells/rollouts.js';

const context = { seed: 1, report: () => undefined };

describe('rollouts on real processes', () => {
  it('takes a version with one bad route back while the platform is down', () =>
    cells.runRolloutFault('failsOnOneRoute', 'platform down', 'canary', context));
});

describe('rollout cells', () => {
  it('name a kind, fault and stage of the table each, so that no proved cell is lost by a typo', () => {
    const names = new Set(cells.CELLS.map(({ fault, step }) => `${fault} ${step}`));
    assert.equal(names.size, cells.CELLS.length);
    const proved = cells.CELLS.filter(({ run, knownRed }) => run !== undefined && !knownRed);
    assert.equal(proved.length, cells.PROVED.size);
  });
});
