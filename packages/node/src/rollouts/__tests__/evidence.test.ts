import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { distribution } from '@godwittrack/protocol';
import * as fc from 'fast-check';
import * as evidenceMerge from '../evidenceMerge.js';
import * as evidenceRecorder from '../evidenceRecorder.js';

function finished(
  change: Partial<evidenceRecorder.FinishedRequest> = {},
): evidenceRecorder.FinishedRequest {
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
  it('ignores cold starts and counts refusals separately, so that neither counts against a version', () => {
    const recorder = new evidenceRecorder.EvidenceRecorder('node-1', 1, 0);
    recorder.record(finished({ coldStart: true, outcome: 'error' }));
    recorder.record(finished({ outcome: 'refused' }));
    recorder.record(finished());
    const [sample] = recorder.samples();
    assert.deepEqual([sample?.ok, sample?.errors, sample?.refused], [1, 0, 1]);
    assert.equal(sample?.servers[0]?.ok, 1);
  });

  it('keeps memory bounded when servers and routes keep changing', () => {
    const recorder = new evidenceRecorder.EvidenceRecorder('node-1', 1, 0);
    for (let at = 0; at < 3_000; at++) {
      recorder.record(finished({ route: `route-${at}` }));
      recorder.record(finished({ server: `server-${at}` }));
    }
    const samples = recorder.samples({ all: true });
    assert.ok(samples.length <= 2_000);
    const servers = samples.find(({ route }) => route === 'proof')?.servers ?? [];
    assert.ok(servers.length <= 65);
    assert.equal(
      servers.reduce((sum, { ok }) => sum + ok, 0),
      3_000,
    );
  });

  it('reports servers of the target only, so that a report stays small', () => {
    const recorder = new evidenceRecorder.EvidenceRecorder('node-1', 1, 0);
    recorder.retain(new Map([['fontworks.1', 'v2']]));
    recorder.record(finished());
    recorder.record(finished({ version: 'v1' }));
    const servers = recorder.samples().map((sample) => [sample.version, sample.servers.length]);
    assert.deepEqual(servers, [
      ['v2', 1],
      ['v1', 0],
    ]);
    recorder.retain(new Map());
    assert.deepEqual(recorder.samples({ all: true }), []);
  });

  it('puts each latency under its bucket bound, so that quantiles are not understated', () => {
    fc.assert(
      fc.property(fc.double({ min: 0, max: 30_000, noNaN: true }), (latencyMs) => {
        const bound =
          evidenceRecorder.LATENCY_BOUNDS_MS[evidenceRecorder.bucketOf(latencyMs)] ?? Infinity;
        assert.ok(latencyMs <= bound * 1.000001);
      }),
    );
  });
});

describe('evidence merge', () => {
  it('gives the same totals for lost, repeated and reordered reports', () => {
    const reports: distribution.EvidenceSample[][] = [];
    for (const node of ['node-1', 'node-2']) {
      const recorder = new evidenceRecorder.EvidenceRecorder(node, 7, 0);
      for (let at = 0; at < 6; at++) {
        recorder.record(finished({ outcome: at % 2 === 0 ? 'ok' : 'error' }));
        reports.push(recorder.samples());
      }
    }
    const wanted = new evidenceMerge.EvidenceMerge();
    reports.forEach((report) => wanted.merge(report));
    const last = [reports[5] ?? [], reports[11] ?? []];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...reports), { maxLength: 30 }), (order) => {
        const merge = new evidenceMerge.EvidenceMerge();
        [...order, ...last, ...order].forEach((report) => merge.merge(report));
        assert.deepEqual(merge.totals('fontworks.1'), wanted.totals('fontworks.1'));
      }),
    );
  });

  it('adds up the incarnations of a restarted node instead of losing the first', () => {
    const merge = new evidenceMerge.EvidenceMerge();
    for (const incarnation of [1, 2]) {
      const recorder = new evidenceRecorder.EvidenceRecorder('node-1', incarnation, 0);
      recorder.record(finished());
      assert.equal(merge.merge(recorder.samples()).length, 1);
    }
    assert.equal(merge.totals('fontworks.1').get('proof')?.get('v2')?.ok, 2);
  });
});
