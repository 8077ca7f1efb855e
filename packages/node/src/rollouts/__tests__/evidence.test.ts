import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { distribution } from '@godwittrack/protocol';
import * as fc from 'fast-check';
import * as evidence from '../evidenceMerge.js';
import * as recorder from '../evidenceRecorder.js';

function finished(change: Partial<recorder.FinishedRequest> = {}): recorder.FinishedRequest {
  return {
    rollout: 'fontworks.1',
    version: 'v2',
    route: 'proof',
    server: 'server-1',
    outcome: 'ok',
    latencyMs: 12,
    coldStart: false,
    ...change,
  };
}

describe('evidence recorder', () => {
  it('leaves cold starts out and refusals apart, so that neither counts against a version', () => {
    const held = new recorder.EvidenceRecorder('node-1', 1, 0);
    held.record(finished({ coldStart: true, outcome: 'error' }));
    held.record(finished({ outcome: 'refused' }));
    held.record(finished());
    const [sample] = held.samples();
    assert.deepEqual([sample?.ok, sample?.errors, sample?.refused], [1, 0, 1]);
    assert.equal(sample?.servers[0]?.ok, 1);
  });

  it('keeps memory bounded when servers and routes keep changing', () => {
    const held = new recorder.EvidenceRecorder('node-1', 1, 0);
    for (let at = 0; at < 3_000; at++) {
      held.record(finished({ route: `route-${at}` }));
      held.record(finished({ server: `server-${at}` }));
    }
    const samples = held.samples({ all: true });
    assert.ok(samples.length <= 2_000);
    const servers = samples.find(({ route }) => route === 'proof')?.servers ?? [];
    assert.ok(servers.length <= 65);
    assert.equal(
      servers.reduce((sum, { ok }) => sum + ok, 0),
      3_000,
    );
  });

  it('reports servers of the target only, so that a report stays small', () => {
    const held = new recorder.EvidenceRecorder('node-1', 1, 0);
    held.retain(new Map([['fontworks.1', 'v2']]));
    held.record(finished());
    held.record(finished({ version: 'v1' }));
    const servers = held.samples().map((sample) => [sample.version, sample.servers.length]);
    assert.deepEqual(servers, [
      ['v2', 1],
      ['v1', 0],
    ]);
    held.retain(new Map());
    assert.deepEqual(held.samples({ all: true }), []);
  });

  it('puts each latency under its bucket bound, so that quantiles are not understated', () => {
    fc.assert(
      fc.property(fc.double({ min: 0, max: 30_000, noNaN: true }), (latencyMs) => {
        const bound = recorder.LATENCY_BOUNDS_MS[recorder.bucketOf(latencyMs)] ?? Infinity;
        assert.ok(latencyMs <= bound * 1.000001);
      }),
    );
  });
});

describe('evidence merge', () => {
  it('gives the same totals for lost, repeated and reordered reports', () => {
    const reports: distribution.EvidenceSample[][] = [];
    for (const node of ['node-1', 'node-2']) {
      const held = new recorder.EvidenceRecorder(node, 7, 0);
      for (let at = 0; at < 6; at++) {
        held.record(finished({ outcome: at % 2 === 0 ? 'ok' : 'error' }));
        reports.push(held.samples());
      }
    }
    const wanted = new evidence.EvidenceMerge();
    reports.forEach((report) => wanted.merge(report));
    const last = [reports[5] ?? [], reports[11] ?? []];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...reports), { maxLength: 30 }), (order) => {
        const merge = new evidence.EvidenceMerge();
        [...order, ...last, ...order].forEach((report) => merge.merge(report));
        assert.deepEqual(merge.totals('fontworks.1'), wanted.totals('fontworks.1'));
      }),
    );
  });

  it('adds the lives of a restarted node instead of losing the first', () => {
    const merge = new evidence.EvidenceMerge();
    for (const incarnation of [1, 2]) {
      const held = new recorder.EvidenceRecorder('node-1', incarnation, 0);
      held.record(finished());
      assert.equal(merge.merge(held.samples()).length, 1);
    }
    assert.equal(merge.totals('fontworks.1').get('proof')?.get('v2')?.ok, 2);
  });
});
