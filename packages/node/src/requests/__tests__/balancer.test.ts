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
  let servers: balancer.Balancer;

  beforeEach(() => {
    all = [fixtures.member('near-1'), fixtures.member('near-2'), fixtures.member('mid', 'r', 'e')];
    far = [fixtures.member('far', 's', 'f')];
    const table = fixtures.createTable(
      () => all,
      () => far,
    );
    servers = new balancer.Balancer(fixtures.createSettings('n1', ''), table, time);
  });

  function pick(exclude = NONE): balancer.Candidate {
    const chosen = servers.pick(service, 'v1', exclude);
    assert.ok(chosen !== null);
    return chosen;
  }

  function picked(): Set<string> {
    return new Set([...Array(60).keys()].map(() => pick().node));
  }

  function fail(node: string, count: number, ending: balancer.Ending = 'failed'): void {
    const found = candidateOf(node);
    for (let n = 0; n < count; n++) {
      servers.begin(found);
      servers.end(found, service, ending, LIMITS);
    }
  }

  function candidateOf(node: string): balancer.Candidate {
    const others = [...all, ...far].map((one) => one.node).filter((name) => name !== node);
    return pick(new Set(others));
  }

  it('spills over to the next locality only when every server of the nearer one is full', () => {
    assert.deepEqual(picked(), new Set(['near-1', 'near-2']));
    const taken: balancer.Candidate[] = [];
    const take = () => {
      const chosen = pick();
      servers.begin(chosen);
      taken.push(chosen);
      return chosen.node;
    };
    const order = [...Array(8).keys()].map(take);
    assert.deepEqual(new Set(order.slice(0, 4)), new Set(['near-1', 'near-2']));
    assert.deepEqual(order.slice(4), ['mid', 'mid', 'far', 'far']);
    assert.equal(taken[6]?.address, 'far:2', 'the address across the link');
    const [first] = taken;
    assert.ok(first);
    servers.end(first, service, 'ok', LIMITS);
    assert.equal(take(), first.node, 'back to the nearer one as soon as it has room');
  });

  it('passes over a server that refused for want of room, for a short time', () => {
    fail('near-1', 1, 'busy');
    assert.deepEqual(picked(), new Set(['near-2']));
    time.advance(30);
    assert.deepEqual(picked(), new Set(['near-1', 'near-2']));
  });

  it('ejects after consecutive failures, for longer each time, and readmits', () => {
    fail('near-1', 2);
    fail('near-1', 1, 'ok');
    fail('near-1', 2);
    assert.ok(!servers.isEjected('near-1'), 'the failures were not consecutive');
    fail('near-1', 1);
    assert.deepEqual(picked(), new Set(['near-2']));
    time.advance(1_001);
    assert.deepEqual(picked(), new Set(['near-1', 'near-2']));
    fail('near-1', 3);
    time.advance(1_001);
    assert.ok(servers.isEjected('near-1'), 'the second ejection is longer');
    time.advance(1_000);
    assert.ok(!servers.isEjected('near-1'));
  });

  it('never ejects more than the share, and uses an ejected server when no other is left', () => {
    // Guards against a fault of the whole service that leaves no server at all.
    ['near-1', 'near-2', 'mid', 'far'].forEach((node) => fail(node, 3));
    const ejected = ['near-1', 'near-2', 'mid', 'far'].filter((node) => servers.isEjected(node));
    assert.deepEqual(ejected, ['near-1', 'near-2']);
    assert.equal(pick(new Set(['near-2', 'mid', 'far'])).node, 'near-1');
  });

  it('ejects at once where nothing listens, and forgives a node that has restarted', () => {
    fail('near-1', 1, 'unreachable');
    assert.ok(servers.isEjected('near-1'));
    const restarted = { ...candidateOf('near-1'), incarnation: 2 };
    servers.begin(restarted);
    assert.ok(!servers.isEjected('near-1'));
  });
});
