import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as balancer from '../balancer.js';
import * as fixtures from './requestFixtures.js';

const { SERVICE: service } = fixtures;
const LIMITS = { consecutiveFailures: 3, ejectionTime: 1_000, maxEjectedPct: 50 };
const NONE: ReadonlySet<string> = new Set();

describe('balancer', () => {
  const time = new clock.ManualClock();
  let all: distribution.Member[];
  let far: distribution.Member[];
  let loadBalancer: balancer.Balancer;

  beforeEach(() => {
    all = [fixtures.member('near-1'), fixtures.member('near-2'), fixtures.member('mid', 'r', 'e')];
    far = [fixtures.member('far', 's', 'f')];
    const table = fixtures.createTable(
      () => all,
      () => far,
    );
    loadBalancer = new balancer.Balancer(fixtures.createSettings('n1', ''), table, time);
  });

  function pick(exclude = NONE): balancer.Candidate {
    const chosen = loadBalancer.pick(service, 'v1', exclude);
    assert.ok(chosen !== null);
    return chosen;
  }

  function pickedNodes(): Set<string> {
    return new Set([...Array(60).keys()].map(() => pick().node));
  }

  function finishRequests(
    node: string,
    count: number,
    result: balancer.AttemptResult = 'failed',
  ): void {
    const candidate = candidateOf(node);
    for (let n = 0; n < count; n++) {
      loadBalancer.beginRequest(candidate);
      loadBalancer.endRequest(candidate, service, result, LIMITS);
    }
  }

  function candidateOf(node: string): balancer.Candidate {
    const others = [...all, ...far].map((one) => one.node).filter((name) => name !== node);
    return pick(new Set(others));
  }

  it('spills over to the next locality only when every server of the nearer one is full', () => {
    assert.deepEqual(pickedNodes(), new Set(['near-1', 'near-2']));
    const taken: balancer.Candidate[] = [];
    const take = () => {
      const chosen = pick();
      loadBalancer.beginRequest(chosen);
      taken.push(chosen);
      return chosen.node;
    };
    const order = [...Array(8).keys()].map(take);
    assert.deepEqual(new Set(order.slice(0, 4)), new Set(['near-1', 'near-2']));
    assert.deepEqual(order.slice(4), ['mid', 'mid', 'far', 'far']);
    assert.equal(taken[6]?.address, 'far:2', 'the external address for another region');
    const [first] = taken;
    assert.ok(first);
    loadBalancer.endRequest(first, service, 'ok', LIMITS);
    assert.equal(take(), first.node, 'back to the nearer one as soon as it has capacity');
  });

  it('skips a server that refused for lack of capacity, for a short time', () => {
    finishRequests('near-1', 1, 'busy');
    assert.deepEqual(pickedNodes(), new Set(['near-2']));
    time.advance(30);
    assert.deepEqual(pickedNodes(), new Set(['near-1', 'near-2']));
  });

  it('ejects after consecutive failures, for longer each time, and readmits', () => {
    finishRequests('near-1', 2);
    finishRequests('near-1', 1, 'ok');
    finishRequests('near-1', 2);
    assert.ok(!loadBalancer.isEjected('near-1'), 'the failures were not consecutive');
    finishRequests('near-1', 1);
    assert.deepEqual(pickedNodes(), new Set(['near-2']));
    time.advance(1_001);
    assert.deepEqual(pickedNodes(), new Set(['near-1', 'near-2']));
    finishRequests('near-1', 3);
    time.advance(1_001);
    assert.ok(loadBalancer.isEjected('near-1'), 'the second ejection is longer');
    time.advance(1_000);
    assert.ok(!loadBalancer.isEjected('near-1'));
  });

  it('never ejects more than the share, and uses an ejected server when no other is left', () => {
    // Guards against a fault of the whole service that leaves no server at all.
    ['near-1', 'near-2', 'mid', 'far'].forEach((node) => finishRequests(node, 3));
    const ejected = ['near-1', 'near-2', 'mid', 'far'].filter((node) =>
      loadBalancer.isEjected(node),
    );
    assert.deepEqual(ejected, ['near-1', 'near-2']);
    assert.equal(pick(new Set(['near-2', 'mid', 'far'])).node, 'near-1');
  });

  it('ejects an unreachable server at once, and resets it when its node has restarted', () => {
    finishRequests('near-1', 1, 'unreachable');
    assert.ok(loadBalancer.isEjected('near-1'));
    const restarted = { ...candidateOf('near-1'), incarnation: 2 };
    loadBalancer.beginRequest(restarted);
    assert.ok(!loadBalancer.isEjected('near-1'));
  });
});
