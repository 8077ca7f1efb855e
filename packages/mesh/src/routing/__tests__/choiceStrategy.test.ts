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
  const option = (score: number, freeShare: number, penaltyMs = 0) => ({
    score: score + penaltyMs,
    penaltyMs,
    capacityPerSecond: 40,
    freeShare,
  });

  // Guards against many nodes with the same reports that choose the same upstream.
  it('gives nearly equal upstreams nearly equal shares', () => {
    for (const share of sharesOf([100, 101, 102, 103].map((score) => option(score, 0.5)))) {
      assert.ok(share > 0.03 && share < 0.5, String(share));
    }
  });

  // Requests that may run only once are lost at an upstream that fails, however much room it has.
  it('hardly chooses an upstream that fails many requests while another has room', () => {
    const [failing] = sharesOf([option(100, 0.9, 400), option(150, 0.4)]);
    assert.ok(failing! < 0.001, String(failing));
  });

  it('hardly chooses a full upstream, and chooses one if all are full', () => {
    assert.ok(sharesOf([option(100, 0), option(110, 0.8)])[0]! < 0.05);
    assert.equal(sharesOf([option(900, 0)])[0], 1);
  });
});

describe('LowestScore', () => {
  // In an overload, requests that were drawn into long queues were refused while shorter ones had room.
  it('chooses the shortest queue, and spreads requests over equal ones', () => {
    const strategy = new choiceStrategy.LowestScore(seeded());
    const options = [900, 400, 400, 700].map((score) => ({
      score,
      penaltyMs: 0,
      capacityPerSecond: 40,
      freeShare: 0,
    }));
    const counts = [0, 0, 0, 0];
    for (let i = 0; i < 1_000; i += 1) counts[strategy.choose(options, 200)]! += 1;
    assert.deepEqual([counts[0], counts[3]], [0, 0]);
    assert.ok(Math.min(counts[1]!, counts[2]!) > 400, String(counts));
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
