import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids, rollout as rollouts } from '@godwittrack/core';
import type { configuration } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as fc from 'fast-check';
import * as localGuard from '../localGuard.js';
import * as trafficShares from '../trafficShares.js';
import * as vetoSet from '../vetoSet.js';

const service = ids.serviceName('fontworks');

function makePlan(ticket: number, target: string | undefined = 'v2'): configuration.VersionPlan {
  const deadline = '2026-01-01T00:00:00Z';
  const number = ids.ticketNumber(ticket);
  const replaces = ticket > 1 ? ids.ticketNumber(ticket - 1) : null;
  const versions = { stable: 'v1', target };
  return { service, ticket: number, replaces, ...versions, deadline, soak: 0, balance: 'even' };
}

function plansOf(plan: configuration.VersionPlan) {
  return { plans: new Map([[service, plan]]) };
}

function makeVeto(ticket: number, node = 'node-1'): distribution.Veto {
  const rollout = `fontworks.${ticket}`;
  return { rollout, version: 'v2', route: '', node, reason: 'test', atMs: 1 };
}

function documents(ticket: number): rollouts.Rollout[] {
  const path: [rollouts.Phase, number][] = [
    ['canary', 5],
    ['stepping', 40],
    ['stepping', 100],
    ['soaking', 100],
    ['done', 100],
  ];
  let document = rollouts.Rollout.create(makePlan(ticket), 1, 0);
  return [
    document,
    ...path.map(([phase, sharePct]) => {
      document = document.transition({ epoch: 1, phase, sharePct, reason: 'test' }, 0);
      return document;
    }),
  ];
}

describe('traffic shares', () => {
  it('sends all to stable without a document, and all to the target after done', () => {
    const view = new trafficShares.TrafficShares(new vetoSet.VetoSet());
    view.setConfiguration(plansOf(makePlan(1)));
    assert.equal(view.shareOf(service, 'proof')?.targetPct, 0);
    documents(1).forEach((document) => view.apply(document));
    assert.equal(view.chooseVersion(service, 'proof', 0.999)?.version, 'v2');
  });

  it('converges for any order and repetition; a document never overrides a veto', () => {
    type Message = { document: rollouts.Rollout } | { veto: distribution.Veto };
    const messages: Message[] = [
      ...documents(1).map((document) => ({ document })),
      { veto: makeVeto(1) },
      { veto: makeVeto(1, 'node-2') },
    ];
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...messages), { maxLength: 40 }), (order) => {
        const vetoes = new vetoSet.VetoSet();
        const view = new trafficShares.TrafficShares(vetoes);
        view.setConfiguration(plansOf(makePlan(1)));
        let newest = 0;
        let share = 0;
        for (const message of order) {
          if ('veto' in message) vetoes.merge([message.veto]);
          else {
            const { revision, sharePct } = message.document.data;
            assert.equal(view.apply(message.document), revision > newest);
            if (revision > newest) share = sharePct;
            newest = Math.max(newest, revision);
          }
          const expected = vetoes.has('fontworks.1') ? 0 : share;
          assert.equal(view.shareOf(service, 'proof')?.targetPct, expected);
        }
      }),
    );
  });

  it('does not carry a veto over to a new ticket, nor forget it within the rollout', () => {
    const vetoes = new vetoSet.VetoSet();
    const view = new trafficShares.TrafficShares(vetoes);
    view.setConfiguration(plansOf(makePlan(1)));
    vetoes.merge([makeVeto(1), makeVeto(2)]);
    view.setConfiguration(plansOf(makePlan(1)));
    assert.equal(vetoes.has('fontworks.1'), true);
    view.setConfiguration(plansOf(makePlan(2)));
    assert.deepEqual([vetoes.has('fontworks.1'), vetoes.has('fontworks.2')], [false, true]);
  });

  it('keeps the share while a plan with another deadline has no document yet', () => {
    const view = new trafficShares.TrafficShares(new vetoSet.VetoSet());
    view.setConfiguration(plansOf(makePlan(1)));
    documents(1)
      .slice(0, 3)
      .forEach((document) => view.apply(document));
    view.setConfiguration(plansOf(makePlan(2)));
    assert.equal(view.shareOf(service, 'proof')?.targetPct, 40);
    view.setConfiguration(plansOf(makePlan(3, 'v3')));
    assert.equal(view.shareOf(service, 'proof')?.targetPct, 0);
  });

  it('falls back to the target only when it is accepted and not vetoed', () => {
    const vetoes = new vetoSet.VetoSet();
    const view = new trafficShares.TrafficShares(vetoes);
    const [planned, canary, stepping] = documents(1);
    assert.ok(planned && canary && stepping);
    view.setConfiguration(plansOf(makePlan(1)));
    const choose = () => view.chooseVersion(service, 'proof', 0.99, (one) => one === 'v2')?.version;
    view.apply(canary);
    assert.equal(choose(), 'v1');
    view.apply(stepping);
    assert.equal(choose(), 'v2');
    vetoes.merge([makeVeto(1)]);
    assert.equal(choose(), 'v1');
  });
});

describe('late vetoes', () => {
  it('of a rollout that is done return to stable, unless stable has no server left', () => {
    const vetoes = new vetoSet.VetoSet();
    const view = new trafficShares.TrafficShares(vetoes);
    view.setConfiguration(plansOf(makePlan(1)));
    documents(1).forEach((document) => view.apply(document));
    vetoes.merge([makeVeto(1)]);
    const choose = (ready: string[]) =>
      view.chooseVersion(service, 'proof', 0.5, (one) => ready.includes(one))?.version;
    assert.deepEqual([choose(['v1', 'v2']), choose(['v2'])], ['v1', 'v2']);
  });

  it('of an earlier rollout that the current one continues stop the current one on the node', () => {
    const vetoes = new vetoSet.VetoSet();
    const view = new trafficShares.TrafficShares(vetoes);
    let document = documents(1)[2];
    assert.ok(document);
    for (const ticket of [2, 3])
      document = rollouts.Rollout.continue(makePlan(ticket), document, 1, 0);
    view.apply(document);
    view.setConfiguration(plansOf(makePlan(3)));
    assert.equal(view.shareOf(service, 'proof')?.targetPct, 40);
    vetoes.merge([makeVeto(1)]);
    view.setConfiguration(plansOf(makePlan(3)));
    assert.equal(view.shareOf(service, 'proof')?.targetPct, 0);
  });
});

describe('local guard', () => {
  function makeGuard(readyServers = 3) {
    const vetoes: distribution.Veto[] = [];
    const guard = new localGuard.LocalGuard({
      node: 'node-1',
      nowMs: () => 0,
      onVeto: (veto) => vetoes.push(veto),
      readyServers: () => readyServers,
      entryNodes: () => 1,
    });
    guard.watch([{ rollout: 's.1', stable: 'v1', target: 'v2', balance: 'even' }]);
    const send = (version: string, outcome: 'ok' | 'error' | 'refused', server = 'a') =>
      guard.record({
        rollout: 's.1',
        version,
        route: 'proof',
        server,
        outcome,
        latencyMs: 1,
        coldStart: false,
      });
    return { guard, vetoes, send };
  }

  it('vetoes a failing version within a few requests while stable succeeds', () => {
    const { vetoes, send } = makeGuard();
    for (let at = 0; at < 5; at++) {
      send('v2', 'error', `server-${at % 3}`);
      for (let stable = 0; stable < 19; stable++) send('v1', 'ok');
    }
    assert.equal(vetoes.length, 1);
  });

  it('does not veto for a fault shared with stable, one bad host, or shed load', () => {
    const shared = makeGuard();
    const oneHost = makeGuard();
    const shed = makeGuard();
    for (let at = 0; at < 100; at++) {
      shared.send('v2', 'error', `server-${at % 2}`);
      shared.send('v1', at % 2 === 0 ? 'error' : 'ok');
      oneHost.send('v2', 'error', 'server-1');
      oneHost.send('v1', 'ok');
      shed.send('v2', 'refused', `server-${at % 2}`);
      shed.send('v1', 'ok');
    }
    assert.deepEqual([shared.vetoes, oneHost.vetoes, shed.vetoes], [[], [], []]);
  });

  it('suspects the target without a veto when there is no stable traffic to compare with', () => {
    const { guard, vetoes, send } = makeGuard();
    for (let at = 0; at < 20; at++) send('v2', 'error', `server-${at % 2}`);
    assert.deepEqual([vetoes.length, guard.isSuspect('s.1')], [0, true]);
  });
});
