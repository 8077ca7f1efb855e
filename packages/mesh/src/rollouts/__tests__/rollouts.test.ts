import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as evidence from '../evidence.js';
import * as phases from '../phases.js';
import * as rolloutBoard from '../rolloutBoard.js';
import * as versionJudge from '../versionJudge.js';

const SHOP = ids.serviceName('shop');
const V2 = ids.versionName('v2');
const ORDER = { service: SHOP, target: V2, durationMs: 14_000 };

function board(): rolloutBoard.RolloutBoard {
  return new rolloutBoard.RolloutBoard(fixtures.silentLog(), () => 0);
}

describe('RolloutBoard', () => {
  it('gives an ordered version no traffic before its first phase', () => {
    const subject = board();
    subject.learn({ ...ORDER, recorded: null, revision: 1 });
    assert.deepEqual(subject.split('shop'), { target: 'v2', share: 0 });
  });

  it('reaches the same state in whatever order nodes hear of phases', () => {
    const phase = fc.constantFrom<phases.Phase>('held', 'canary', 'pulse', 'full', 'rolledBack');
    fc.assert(
      fc.property(fc.array(phase, { minLength: 1, maxLength: 8 }), (heard) => {
        const forwards = board();
        const backwards = board();
        const state = (one: phases.Phase) => ({ ...ORDER, phase: one, reason: null });
        for (const one of heard) forwards.merge([state(one)], 'domain');
        for (const one of [...heard].reverse()) backwards.merge([state(one)], 'domain');
        assert.deepEqual(forwards.split('shop'), backwards.split('shop'));
        assert.equal(forwards.mayServe('shop', 'v2'), !heard.includes('rolledBack'));
      }),
    );
  });

  it('never serves a version again that was taken back, also after a newer order', () => {
    const subject = board();
    subject.learn({ ...ORDER, recorded: null, revision: 1 });
    subject.advance(SHOP, V2, 'rolledBack', 'failures');
    subject.learn({ ...ORDER, target: ids.versionName('v3'), recorded: null, revision: 2 });
    assert.equal(subject.mayServe('shop', 'v2'), false);
    assert.equal(subject.split('shop').target, 'v3');
  });

  it('follows the final record of the store over what a node believed', () => {
    const subject = board();
    subject.merge([{ ...ORDER, phase: 'rolledBack', reason: 'failures' }], 'domain');
    subject.learn({ ...ORDER, recorded: 'completed', revision: 3 });
    assert.equal(subject.mayServe('shop', 'v2'), true);
  });
});

describe('EvidenceRecorder', () => {
  const state = fixtures.member('a', { version: V2 }).upstream!;
  let vetoes: string[];
  let recorder: evidence.EvidenceRecorder;

  beforeEach(() => {
    vetoes = [];
    recorder = new evidence.EvidenceRecorder((_service, version) => version === 'v2');
    recorder.onVeto((_state, reason) => vetoes.push(reason));
  });

  it('stops a version on trial that fails half of its requests, within a dozen answers', () => {
    for (let i = 0; i < 12; i += 1) recorder.record(state, 'r', i % 2 === 0, 10);
    assert.ok(vetoes.length > 0);
  });

  it('does not stop a version for single failures', () => {
    for (let i = 0; i < 500; i += 1) recorder.record(state, 'r', i % 50 === 0, 10);
    assert.equal(vetoes.length, 0);
  });

  // A fault under load that was spread over many upstreams was outweighed by the canary's good answers.
  it('judges the pulse by its own answers, which show faults under load', () => {
    const judge = new versionJudge.VersionJudge();
    for (const [version, failsUnderLoad] of [
      ['v1', false],
      ['v2', true],
    ] as const) {
      for (let host = 0; host < 6; host += 1) {
        const { upstream } = fixtures.member(`${version}-${host}`, {
          version: ids.versionName(version),
        });
        const counted = new evidence.EvidenceRecorder(() => false);
        for (let i = 0; i < 40; i += 1) counted.record(upstream!, 'r', false, 90);
        counted.enterPhase('pulse');
        for (let i = 0; i < 10; i += 1) counted.record(upstream!, 'r', failsUnderLoad && i < 3, 90);
        const { service, instance } = upstream!;
        const node = ids.nodeId(`${version}-${host}`);
        const routes = counted.snapshot();
        judge.hear({ node, service, version: upstream!.version, instance, routes });
      }
    }
    assert.equal(judge.judge(SHOP, V2).good, false);
  });

  it('leaves a version that is not on trial alone', () => {
    for (let i = 0; i < 20; i += 1)
      recorder.record({ ...state, version: ids.versionName('v1') }, 'r', true, 10);
    assert.equal(vetoes.length, 0);
  });
});

describe('VersionJudge', () => {
  type Seen = Record<string, [requests: number, failures: number, meanMs: number]>;

  function judge(stable: Seen, onTrial: Seen): versionJudge.Verdict {
    const subject = new versionJudge.VersionJudge();
    const report = (instance: string, version: string, seen: Seen) => {
      const routes = Object.fromEntries(
        Object.entries(seen).map(([route, [requests, failures, meanMs]]) => [
          route,
          { requests, failures, totalMs: (requests - failures) * meanMs },
        ]),
      );
      subject.hear({
        node: ids.nodeId(instance),
        service: SHOP,
        version: ids.versionName(version),
        instance: ids.instanceId(instance),
        routes,
      });
    };
    report('i-1', 'v1', stable);
    report('i-2', 'v2', onTrial);
    return subject.judge(SHOP, V2);
  }

  const cases: [string, Seen, Seen, boolean][] = [
    ['a version like the old one', { r: [200, 1, 90] }, { r: [40, 0, 95] }, true],
    ['a version that fails half', { r: [200, 1, 90] }, { r: [20, 10, 90] }, false],
    ['a version that is eight times as slow', { r: [200, 0, 90] }, { r: [20, 0, 720] }, false],
    [
      'a version as slow as any that has just started',
      { r: [200, 0, 90] },
      { r: [20, 0, 180] },
      true,
    ],
    [
      'a version that fails on one route',
      { a: [99, 0, 9], b: [99, 0, 9] },
      { a: [50, 0, 9], b: [9, 5, 9] },
      false,
    ],
    ['a time in which both versions fail alike', { r: [200, 80, 90] }, { r: [20, 8, 90] }, true],
    ['three failures', { r: [200, 0, 90] }, { r: [6, 3, 90] }, true],
  ];
  for (const [name, stable, onTrial, good] of cases) {
    it(`judges ${name} as ${good ? 'good' : 'bad'}`, () => {
      assert.equal(judge(stable, onTrial).good, good);
    });
  }
});
