import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as loadModel from './loadModel.js';

const EQUAL = [1, 1, 1, 1];

describe('load distribution over several failure domains', () => {
  // Guards against senders that all choose the fastest upstreams, also where there is room everywhere.
  it('uses all upstreams at low load, and leaves no failure domain', () => {
    const measured = loadModel.simulate({ load: 0.3, demand: EQUAL });
    assert.ok(measured.busiest < 2.4, String(measured.busiest));
    assert.ok(measured.avoidableWaits < 0.01, String(measured.avoidableWaits));
    assert.equal(measured.crossed, 0);
    assert.ok(measured.offers < 1.03, String(measured.offers));
  });

  // Guards against a failure domain with three times the demand of others that keeps what it can't serve.
  it('moves what does not fit near its callers, and little more', () => {
    const measured = loadModel.simulate({ load: 0.65, demand: [3, 1, 1, 1] });
    // Half of the demand arises where a quarter of the capacity is: 0.115 of it does not fit there.
    assert.ok(measured.crossed > 0.11 && measured.crossed < 0.17, String(measured.crossed));
    assert.ok(measured.lateDespiteRoom < 0.025, String(measured.lateDespiteRoom));
  });

  const disturbances: [string, Partial<loadModel.Scenario>, number][] = [
    ['upstreams that are slowed for moments', { slowPhases: true }, 0.35],
    ['reports that are lost', { lostReports: 0.5 }, 0.12],
    ['senders that start without knowledge', { restarts: true }, 0.12],
  ];
  for (const [name, disturbance, maxWaits] of disturbances) {
    it(`stays even with ${name}`, () => {
      const measured = loadModel.simulate({ load: 0.7, demand: EQUAL, ...disturbance });
      assert.ok(measured.busiest < 1.6, String(measured.busiest));
      assert.ok(measured.avoidableWaits < maxWaits, String(measured.avoidableWaits));
      assert.ok(measured.offers < 1.7, String(measured.offers));
    });
  }

  // Guards against queues that make most answers late once demand exceeds the capacity.
  it('answers most requests above the capacity in time', () => {
    const measured = loadModel.simulate({ load: 1.3, demand: EQUAL });
    assert.ok(measured.refused < 0.26, String(measured.refused));
    assert.ok(measured.late < 0.37, String(measured.late));
    // Without a reserve until the target, requests wait about 30 ms longer.
    assert.ok(measured.meanMs < 445, String(measured.meanMs));
  });
});
