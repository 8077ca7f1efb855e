import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { distribution } from '@godwittrack/protocol';
import * as decisionExperiment from '../decisionExperiment.js';
import * as localGuard from '../localGuard.js';

interface Traffic {
  seed: number;
  /** Share of the target. */
  share: number;
  seconds: number;
  errorRate: (isTarget: boolean, server: number) => number;
}

const REQUESTS_PER_SECOND = 300;
const SEEDS = 40;

/** Sends the traffic of one entry node through its guard; returns the vetoes. */
function vetoesAfter({ seed, share, seconds, errorRate }: Traffic): distribution.Veto[] {
  const random = decisionExperiment.createRandom(seed);
  const vetoes: distribution.Veto[] = [];
  const guard = new localGuard.LocalGuard({
    node: 'node-1',
    nowMs: () => 0,
    onVeto: (veto) => vetoes.push(veto),
    readyServers: () => 4,
    entryNodes: () => 4,
  });
  guard.watch([{ rollout: 's.1', stable: 'v1', target: 'v2', balance: 'careful' }]);
  for (let count = 0; count < seconds * REQUESTS_PER_SECOND; count++) {
    const isTarget = random() < share;
    const server = Math.floor(random() * 4);
    guard.record({
      rollout: 's.1',
      version: isTarget ? 'v2' : 'v1',
      route: random() < 0.5 ? 'browse' : 'proof',
      server: `${isTarget}-${server}`,
      outcome: random() < errorRate(isTarget, server) ? 'error' : 'ok',
      latencyMs: 1,
      coldStart: false,
    });
  }
  return vetoes;
}

function vetoedSeeds(traffic: Omit<Traffic, 'seed'>): number {
  const seeds = Array.from({ length: SEEDS }, (_, seed) => seed);
  return seeds.filter((seed) => vetoesAfter({ ...traffic, seed }).length > 0).length;
}

describe('local guard at a high rate', () => {
  it('does not veto when an occasional error of a second server falls into a run of one bad host', () => {
    const errorRate = (isTarget: boolean, server: number) =>
      isTarget && server === 0 ? 0.8 : 2e-3;
    assert.equal(vetoedSeeds({ share: 0.5, seconds: 200, errorRate }), 0);
  });

  it('does not veto when both versions have the same fault and there are few stable requests', () => {
    for (const share of [0.25, 0.65, 0.9]) {
      assert.equal(vetoedSeeds({ share, seconds: 20, errorRate: () => 0.5 }), 0, `share ${share}`);
    }
  });

  it('vetoes a version that fails on all its servers, despite occasional errors of stable', () => {
    const failing = vetoedSeeds({
      share: 0.2,
      seconds: 10,
      errorRate: (isTarget) => (isTarget ? 0.95 : 2e-3),
    });
    assert.equal(failing, SEEDS);
  });
});
