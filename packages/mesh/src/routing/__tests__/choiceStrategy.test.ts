import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as choiceStrategy from '../choiceStrategy.js';
import * as loadEstimates from '../loadEstimates.js';

function seeded(): () => number {
  const rng = random.xoroshiro128plus(7);
  return () => uniform.uniformFloat64(rng);
}

describe('BestOfDrawn', () => {
  const sharesOf = (options: choiceStrategy.Option[]) => {
    const strategy = new choiceStrategy.BestOfDrawn(seeded());
    const counts = options.map(() => 0);
    for (let i = 0; i < 4_000; i += 1) counts[strategy.choose(options, 200)]! += 1;
    return counts.map((count) => count / 4_000);
  };
  const option = (score: number, freeShare: number) => ({
    score,
    capacityPerSecond: 40,
    freeShare,
  });

  // Guards against many nodes with the same reports that choose the same upstream.
  it('gives nearly equal upstreams nearly equal shares', () => {
    for (const share of sharesOf([100, 101, 102, 103].map((score) => option(score, 0.5)))) {
      assert.ok(share > 0.03 && share < 0.5, String(share));
    }
  });

  it('hardly chooses a full upstream, and chooses one if all are full', () => {
    assert.ok(sharesOf([option(100, 0), option(110, 0.8)])[0]! < 0.05);
    assert.equal(sharesOf([option(900, 0)])[0], 1);
  });
});

describe('LoadEstimates', () => {
  // Guards against upstreams that look idle to every node a moment after they were full.
  it('assumes the average of the neighbours for an old report', () => {
    const known = (reportedLoad: number, reportWeight: number) => ({
      load: reportedLoad * reportWeight,
      reportedLoad,
      reportWeight,
    });
    const estimates = new loadEstimates.LoadEstimates();
    const old = known(8, 0);
    for (const each of [known(6, 1), known(6, 1), old]) estimates.add('domain', each, 8);
    estimates.add('remote', old, 8);
    const { load } = estimates.estimate('domain', old, 8);
    assert.ok(load > 5.5 && load <= 6, String(load));
    assert.equal(estimates.estimate('domain', known(6, 1), 8).load, 6);
    assert.equal(estimates.estimate('remote', old, 8).load, 0);
  });
});
