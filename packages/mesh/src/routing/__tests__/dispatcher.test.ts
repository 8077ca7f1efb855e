import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as admissionQueue from '../../limits/admissionQueue.js';
import * as retryBudget from '../../limits/retryBudget.js';
import * as members from '../../membership/members.js';
import * as meters from '../../observability/meters.js';
import * as quarantine from '../../quarantine/quarantine.js';
import * as rolloutTable from '../../rollouts/rolloutTable.js';
import * as balancer from '../balancer.js';
import * as dispatcher from '../dispatcher.js';
import * as exchange from '../exchange.js';
import * as placement from '../placement.js';
import * as upstreamStats from '../upstreamStats.js';
import * as trafficSplitter from '../trafficSplitter.js';

const SHOP = ids.serviceName('shop');

const OK: exchange.Answer = {
  type: 'answer',
  status: 200,
  headers: [],
  body: Buffer.from('ok'),
  serviceMs: 10,
};

/** Returns the given outcomes in order, then successful answers. */
class ScriptedDestination extends exchange.Destination {
  readonly received: exchange.ForwardedRequest[] = [];

  load = 0;

  constructor(private readonly script: exchange.Outcome[]) {
    super();
  }

  send(req: exchange.ForwardedRequest): Promise<exchange.Delivery> {
    this.received.push(req);
    return Promise.resolve({
      outcome: this.script.shift() ?? OK,
      report: { load: this.load, averageServiceMs: null, transferWaitMs: 0 },
    });
  }
}

class RecordingBalancer extends balancer.Balancer {
  readonly profiles: balancer.RequestProfile[] = [];

  override choose(
    candidates: readonly balancer.Candidate[],
    profile: balancer.RequestProfile,
  ): balancer.Choice | null {
    this.profiles.push(profile);
    return super.choose(candidates, profile);
  }
}

describe('Dispatcher', () => {
  let first: ScriptedDestination;
  let second: ScriptedDestination;
  let rollouts: rolloutTable.RolloutTable;
  let budget: retryBudget.RetryBudget;
  let loadBalancer: RecordingBalancer;
  let now: number;
  let suspects: quarantine.Quarantine;
  let hasCustomers: boolean;
  const evacuations = fixtures.evacuations();

  /** Dispatcher on the first of two nodes; the local upstream is preferred. */
  function build(
    scripts: [exchange.Outcome[], exchange.Outcome[]],
    self = 'a',
    nodes = ['a', 'b'],
    placeOf = (_: string) => 'p',
  ): dispatcher.Dispatcher {
    first = new ScriptedDestination(scripts[0]);
    second = new ScriptedDestination(scripts[1]);
    const memberOf = (node: string) => fixtures.member(node, {}, placeOf(node), placeOf(node));
    const table = new members.MemberTable(memberOf(self));
    for (const node of nodes) if (node !== self) table.merge(memberOf(node));
    const log = fixtures.silentLog();
    rollouts = new rolloutTable.RolloutTable(log, () => now);
    return new dispatcher.Dispatcher({
      table,
      local: first,
      destinationOf: () => second,
      hasOpenLink: () => true,
      rollouts,
      evacuations,
      quarantine: suspects,
      balancer: loadBalancer,
      trafficSplitter: new trafficSplitter.TrafficSplitter(() => 0),
      versionChooser: fixtures.versionChooserOf(rollouts),
      upstreamStats: new upstreamStats.UpstreamStats(() => now),
      retryBudget: budget,
      log,
      meters: meters.createMetrics(),
      hasCustomers: () => hasCustomers,
      callerService: () => ids.serviceName('shop'),
      nowMs: () => now,
    });
  }

  function request(
    semantics: 'repeatable' | 'once',
    maxUpstreams = 2,
    targetAtMs = 300,
  ): dispatcher.CallerRequest {
    return {
      requestId: ids.requestId('q'),
      method: 'GET',
      target: '/r/',
      headers: [],
      body: Buffer.alloc(0),
      route: fixtures.route('r', { semantics, maxUpstreams }),
      customer: null,
      customerPriority: 0,
      arrivedMs: 0,
      targetAtMs,
      deadlineAtMs: 1_000,
    };
  }

  function send(
    scripts: [exchange.Outcome[], exchange.Outcome[]],
    semantics: 'repeatable' | 'once',
    maxUpstreams = 2,
  ): Promise<exchange.Outcome> {
    const { signal } = new AbortController();
    return build(scripts).dispatch(request(semantics, maxUpstreams), signal);
  }

  beforeEach(() => {
    now = 0;
    hasCustomers = false;
    suspects = new quarantine.Quarantine({ log: fixtures.silentLog(), nowMs: () => now });
    loadBalancer = new RecordingBalancer(() => 0);
    budget = new retryBudget.RetryBudget({ ratio: 0.2, extra: 100 }, () => 1);
    for (let i = 0; i < 100; i += 1) budget.deposit(ids.serviceName('shop'));
  });

  describe('requests that may run once', () => {
    it('are never sent again after they may have run', async () => {
      const outcome = await send([[exchange.lost('reset')], []], 'once');
      assert.equal(outcome.type, 'lost');
      assert.equal(second.received.length, 0);
    });

    it('are sent elsewhere after a refusal', async () => {
      const outcome = await send([[exchange.refused('queueTooLong', 50)], []], 'once');
      assert.equal(outcome.type, 'answer');
    });

    it('are refused as not run only if no upstream may have begun them', async () => {
      const no = exchange.refused('queueTooLong', 70);
      const outcome = await send([[no], [no]], 'once');
      assert.deepEqual(outcome, {
        type: 'refused',
        reason: 'queueTooLong',
        retryAfterMs: 70,
        reachedUpstream: false,
      });
      const lost = await send([[no], [exchange.lost('reset')]], 'once');
      assert.equal(lost.type, 'lost');
    });

    it('return the failure that the upstream answered', async () => {
      const failure = { ...OK, status: 500 };
      assert.deepEqual(await send([[failure], []], 'once'), failure);
      assert.equal(second.received.length, 0);
    });
  });

  describe('repeatable requests', () => {
    it('are sent elsewhere after a failure', async () => {
      const outcome = await send([[{ ...OK, status: 500 }], []], 'repeatable');
      assert.equal(outcome.type === 'answer' && outcome.status, 200);
    });

    it('are sent to no more upstreams than the route allows', async () => {
      await send([[exchange.lost('reset')], []], 'repeatable', 1);
      assert.equal(second.received.length, 0);
    });

    it('are not sent again when the retry budget is exhausted', async () => {
      budget = new retryBudget.RetryBudget({ ratio: 0, extra: 0 }, () => 1);
      const outcome = await send([[exchange.lost('reset')], []], 'repeatable');
      assert.equal(outcome.type, 'lost');
      assert.equal(second.received.length, 0);
    });

    // Requests that had lost their upstream spent the budget on offers that no upstream got.
    it('are charged once for a retry, however many offers it takes', async () => {
      budget = new retryBudget.RetryBudget({ ratio: 2, extra: 0 }, () => 1);
      budget.deposit(SHOP);
      const full = exchange.refused(admissionQueue.WAIT_TOO_LONG, 50);
      const outcome = await send([[exchange.lost('reset')], [full, full]], 'repeatable');
      assert.equal(outcome.type, 'answer');
      assert.equal(second.received.length, 3);
    });

    it('need no retry budget after a refusal that reached no upstream', async () => {
      budget = new retryBudget.RetryBudget({ ratio: 0, extra: 0 }, () => 1);
      const outcome = await send([[exchange.refused('queueTooLong', 50)], []], 'repeatable');
      assert.equal(outcome.type, 'answer');
    });
  });

  // Guards against repeated offers to full nodes: under high load, half of all requests made four
  // offers before they were refused, which took 120 ms of their target latency of 300 ms.
  describe('when upstreams have no room', () => {
    const full = exchange.refused('queueTooLong', 100);
    const { signal } = new AbortController();

    it('refuses a similar request at once and states a retry delay', async () => {
      const subject = build([[full], [full]]);
      await subject.dispatch(request('repeatable'), signal);
      const outcome = await subject.dispatch(request('repeatable'), signal);
      assert.deepEqual(outcome, exchange.refused('noRoomInTime', 50));
      assert.equal(first.received.length + second.received.length, 2);
    });

    it('still offers a request that has more time', async () => {
      const subject = build([[full], [full]]);
      await subject.dispatch(request('repeatable', 2, 200), signal);
      const outcome = await subject.dispatch(request('repeatable', 2, 300), signal);
      assert.equal(outcome.type, 'answer');
    });

    it('asks again after half of the stated wait', async () => {
      const subject = build([[full], [full]]);
      await subject.dispatch(request('repeatable'), signal);
      now = 50;
      const outcome = await subject.dispatch(request('repeatable'), signal);
      assert.equal(outcome.type, 'answer');
    });
  });

  // A flood of one customer made its senders refuse the requests of all others on the route.
  it('backs off for one customer only after a refusal for its own share', async () => {
    const { signal } = new AbortController();
    const full = exchange.refused(admissionQueue.CUSTOMER_SHARE_REACHED, 100);
    const subject = build([[full], [full]]);
    const requestOf = (name: string) => ({
      ...request('repeatable'),
      customer: fixtures.customer(name),
    });
    await subject.dispatch(requestOf('a'), signal);
    const again = await subject.dispatch(requestOf('a'), signal);
    assert.equal(again.type === 'refused' && again.reason, 'noRoomInTime');
    assert.equal((await subject.dispatch(requestOf('b'), signal)).type, 'answer');
  });

  // Reported loads count waiting requests that an urgent one overtakes.
  it('asks a node with a high load for a place where requests use shares', async () => {
    const { signal } = new AbortController();
    const sendTo = (usesShares: boolean) => {
      hasCustomers = usesShares;
      const subject = build([[], []], 'a', ['a']);
      first.load = 1_000;
      return subject
        .dispatch(request('repeatable'), signal)
        .then(() => subject.dispatch(request('repeatable'), signal));
    };
    assert.equal((await sendTo(false)).type, 'refused');
    assert.equal((await sendTo(true)).type, 'answer');
    assert.equal(first.received[1]!.maxWaitMs, Infinity);
  });

  // Node a is in region and failure domain p, b to d are in q, e is in s.
  describe('requests that only some places may serve', () => {
    const { signal } = new AbortController();
    const buildPlaces = (ofSelf: exchange.Outcome[], ofOthers: exchange.Outcome[]) =>
      build(
        [ofSelf, ofOthers],
        'a',
        ['a', 'b', 'c', 'd', 'e'],
        (n) => ({ a: 'p', e: 's' })[n] ?? 'q',
      );
    const receivers = () =>
      second.received
        .map(({ instance }) => instance)
        .sort()
        .join();

    function requestFor(...homes: string[]): dispatcher.CallerRequest {
      const plain = request('repeatable', 5);
      return { ...plain, route: { ...plain.route, homeRegions: homes.map(ids.regionName) } };
    }

    // Guards against the body of a request that a near upstream outside its home gets when all are busy.
    it('go nowhere else when all at home are full, and state the shortest wait', async () => {
      const full = (ms: number) => exchange.refused('queueTooLong', ms);
      const subject = buildPlaces([], [full(300), full(120), full(250)]);
      assert.deepEqual(await subject.dispatch(requestFor('q'), signal), full(120));
      assert.equal(receivers(), 'i-b,i-c,i-d');
      now = 20;
      const next = await subject.dispatch(requestFor('q'), signal);
      assert.deepEqual(next, exchange.refused('noRoomInTime', 100));
      const absent = await subject.dispatch(requestFor('z'), signal);
      assert.deepEqual(absent, exchange.refused('noUpstreamAtHome', 100));
      assert.deepEqual([first.received.length, second.received.length], [0, 3]);
    });

    // Guards against five offers within one place that the sender does not know to be excluded.
    for (const reason of [placement.OUTSIDE_HOME, placement.EVACUATED]) {
      it(`leave out the whole place after a refusal (${reason})`, async () => {
        const refusal = exchange.refused(reason, 100);
        const subject = buildPlaces([refusal], [refusal, refusal]);
        assert.deepEqual(await subject.dispatch(requestFor(), signal), refusal);
        assert.match(receivers(), /^i-[bcd],i-e$/);
      });
    }

    it('are refused at once if all of it is evacuated', async () => {
      const subject = buildPlaces([], []);
      evacuations.applyStored(fixtures.positionOf(1), ['p', 'q'].map(ids.domainName));
      const outcome = await subject.dispatch(requestFor('p', 'q'), signal);
      assert.deepEqual(outcome, exchange.refused('evacuated', placement.EVACUATED_RETRY_MS));
      await subject.dispatch(requestFor(), signal);
      assert.equal(receivers(), 'i-e');
      evacuations.applyStored(fixtures.positionOf(2), []);
    });
  });

  describe('requests during which upstreams ended', () => {
    const { signal } = new AbortController();
    const endOf = (n: number) => ({ id: ids.upstreamEndId(`e-${n}`), wasSuspect: n > 1 });
    const lost = (n: number) => exchange.lost('connection ended', endOf(n));
    const recordEnd = (end: exchange.UpstreamEnd, req = request('repeatable')) =>
      suspects.recordEnd({ ...req, callerService: SHOP }, end, 'remote');

    it('are sent to one other upstream, then blocked, and not called unrun', async () => {
      const subject = build([[lost(1)], [lost(2)]]);
      const outcome = await subject.dispatch(request('repeatable', 5), signal);
      assert.equal(outcome.type, 'lost');
      assert.deepEqual([first.received.length, second.received.length], [1, 1]);
    });

    it('are refused at once while they are blocked, with the time until the next attempt', async () => {
      const subject = build([[lost(1)], [lost(2)]]);
      await subject.dispatch(request('repeatable', 5), signal);
      now = 2_000;
      const outcome = await subject.dispatch(request('repeatable'), signal);
      assert.deepEqual(outcome, exchange.refused(quarantine.BLOCKED, 28_000));
      assert.equal(first.received.length + second.received.length, 2);
    });

    it('do not block others', async () => {
      const subject = build([[lost(1)], [lost(2)]]);
      await subject.dispatch(request('repeatable', 5), signal);
      const other = { ...request('repeatable'), target: '/r/other' };
      assert.equal((await subject.dispatch(other, signal)).type, 'answer');
    });

    // Spread over the upstreams, a few attempts at the same time ended all of them.
    it('go to the same upstream from every node', async () => {
      const receivers = new Set<string>();
      recordEnd(endOf(1));
      for (const local of ['a', 'b', 'c']) {
        await build([[], []], local, ['a', 'b', 'c']).dispatch(request('repeatable'), signal);
        for (const { instance } of [...first.received, ...second.received]) receivers.add(instance);
      }
      assert.equal(receivers.size, 1);
    });

    it('are not offered to another upstream while one is running them', async () => {
      const busy = exchange.refused(quarantine.SUSPECT_RUNNING, 100);
      const subject = build([[busy], [busy]]);
      recordEnd(endOf(1));
      assert.deepEqual(await subject.dispatch(request('repeatable'), signal), busy);
      assert.equal(first.received.length + second.received.length, 1);
    });

    it('go to another upstream, and at last beside others, where suspects run', async () => {
      const beside = exchange.refused(quarantine.BESIDE_SUSPECT, 100);
      const subject = build([[beside], [beside]]);
      recordEnd(endOf(1));
      const outcome = await subject.dispatch(request('repeatable'), signal);
      assert.equal(outcome.type, 'answer');
      const offers = [...first.received, ...second.received];
      assert.deepEqual(offers.map(({ maxWaitMs }) => maxWaitMs).sort(), [1_000, 1_000, Infinity]);
      assert.ok(offers.every(({ crashReport }) => crashReport?.ends.length === 1));
    });

    // Nodes had room for one attempt and not for another, so two ran at the same time.
    it('that were blocked are not offered elsewhere if the first upstream has no room', async () => {
      const full = exchange.refused('queueTooLong', 50);
      const subject = build([[full], [full]]);
      for (const n of [1, 2]) {
        recordEnd(endOf(n));
      }
      now = 30_000;
      const req = { ...request('repeatable', 2, 30_300), deadlineAtMs: 31_000 };
      assert.deepEqual(await subject.dispatch(req, signal), full);
      assert.equal(first.received.length + second.received.length, 1);
    });

    it('do not go to an incarnation that has ended', async () => {
      const subject = build([[], []]);
      for (const node of ['a', 'b']) {
        const path = `/r/${node}`;
        const req = { ...request('repeatable'), target: path };
        const id = members.endIdOf(fixtures.member(node).upstream!);
        recordEnd({ id, wasSuspect: false }, req);
        await subject.dispatch(req, signal);
      }
      assert.deepEqual(
        [first.received.map(({ target }) => target), second.received.map(({ target }) => target)],
        [['/r/b'], ['/r/a']],
      );
    });
  });

  // A node refused every request of a route for good after its first answer had taken almost the timeout.
  it('sends a request again some time after an answer that was as slow as the deadline', async () => {
    const subject = build([[{ ...OK, serviceMs: 1_100 }], []], 'a', ['a']);
    const { signal } = new AbortController();
    const sendNow = () => {
      const deadlineAtMs = now + 1_000;
      return subject.dispatch({ ...request('repeatable', 2, now + 300), deadlineAtMs }, signal);
    };
    await sendNow();
    assert.equal((await sendNow()).type, 'refused');
    now = 10_000;
    assert.equal((await sendNow()).type, 'answer');
  });

  // Guards against counting answers only: small answers to large uploads then seem cheap to send far.
  it('counts the bodies of both directions as the size of a transfer', async () => {
    const subject = build([[{ ...OK, body: Buffer.alloc(500) }], []]);
    const upload = { ...request('once'), body: Buffer.alloc(4_000) };
    const { signal } = new AbortController();
    await subject.dispatch(upload, signal);
    await subject.dispatch(upload, signal);
    assert.deepEqual(
      loadBalancer.profiles.map(({ transferBytes }) => transferBytes),
      [4_000, 4_500],
    );
  });

  it('passes on the chosen incarnation and the remaining time', async () => {
    await send([[], []], 'once');
    const [req] = first.received;
    assert.equal(req!.instance, 'i-a');
    assert.equal(req!.deadlineLeftMs, 1_000);
  });
});
