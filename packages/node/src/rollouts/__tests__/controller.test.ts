import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { clock, ids, rollout as rollouts } from '@godwittrack/core';
import type { configuration } from '@godwittrack/core';
import { memoryObjectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import * as leases from '../lease.js';
import * as rolloutController from '../rolloutController.js';
import * as sequentialTest from '../sequentialTest.js';
import * as vetoSet from '../vetoSet.js';

const service = ids.serviceName('fontworks');
const DEADLINE_MS = 60_000;

/** Returns the verdict that the test case sets. */
class StubTest extends sequentialTest.SequentialTest {
  constructor(private readonly decide: () => sequentialTest.Verdict['decision']) {
    super();
  }

  private requests = 0;

  override observe(): sequentialTest.Verdict {
    this.requests += 50;
    return {
      decision: this.decide(),
      route: '',
      reason: 'given',
      summary: { ...rollouts.NO_EVIDENCE, targetRequests: this.requests },
      routeRequests: new Map([
        ['proof', this.requests],
        ['order', this.requests],
      ]),
      suspect: false,
    };
  }
}

class Harness {
  readonly time = new clock.ManualClock(0);

  readonly store = new memoryObjectStore.MemoryObjectStore();

  readonly vetoes = new vetoSet.VetoSet();

  readonly audits: rolloutController.AuditEntry[] = [];

  plans = new Map<ids.ServiceName, configuration.VersionPlan>();

  decision: sequentialTest.Verdict['decision'] = 'good';

  load = 1;

  private starts = 0;

  plan(ticket: number, change: Partial<configuration.VersionPlan> = {}): void {
    const deadline = new Date(this.time.nowMs() + DEADLINE_MS).toISOString();
    const number = ids.ticketNumber(ticket);
    const replaces = this.plans.get(service)?.ticket ?? null;
    const versions = { stable: 'v1', target: 'v2' };
    const base = { service, ticket: number, replaces, ...versions, deadline, soak: 3_000 };
    this.plans = new Map([[service, { ...base, balance: 'even', ...change }]]);
  }

  start(): rolloutController.RolloutController {
    this.starts += 1;
    const holder = `node-${this.starts}`;
    return new rolloutController.RolloutController({
      node: holder,
      store: this.store,
      lease: new leases.ControllerLease(this.store, this.time, holder),
      clock: this.time,
      inputs: {
        isEligible: () => true,
        configuration: () => ({
          plans: this.plans,
          routes: [
            { ...route('proof'), semantics: 'safe' as const },
            { ...route('order'), semantics: 'once' as const },
          ],
        }),
        evidence: () => new Map(),
        vetoes: (rollout) => this.vetoes.of(rollout),
        members: () => [
          { server: 'a', service, version: 'v2', ready: true, coldStart: false, slots: 12 },
        ],
        load: () => this.load,
      },
      audit: { record: (entry) => this.audits.push(entry) },
      logger: { info: () => undefined, warn: () => undefined },
      onDocument: () => undefined,
      onVeto: (veto) => this.vetoes.merge([veto]),
      createTest: () => new StubTest(() => this.decision),
    });
  }

  async run(ms: number, ...running: rolloutController.RolloutController[]): Promise<void> {
    for (let passed = 0; passed < ms; passed += 500) {
      await Promise.all(running.map((one) => one.tick()));
      this.time.advance(500);
    }
  }

  async runUntil(
    phase: rollouts.Phase,
    controller: rolloutController.RolloutController,
    ticket = 1,
  ) {
    for (let round = 0; round < 400; round++) {
      await this.run(500, controller);
      if ((await this.stored(ticket))?.data.phase === phase) return;
    }
    assert.fail(`the rollout never reached ${phase}`);
  }

  async stored(ticket = 1): Promise<rollouts.Rollout | null> {
    const { faults } = this.store;
    this.store.faults = () => null;
    const found = await this.store.get('rollout', `fontworks.${ticket}`);
    this.store.faults = faults;
    return found === null ? null : rollouts.Rollout.parse(found.value);
  }

  veto(ticket: number): void {
    const rollout = `fontworks.${ticket}`;
    const veto: distribution.Veto = {
      rollout,
      version: 'v2',
      route: '',
      node: 'n',
      reason: 'r',
      atMs: 1,
    };
    this.vetoes.merge([veto]);
  }
}

function route(name: string) {
  return { name: ids.routeName(name), service, match: { pathPrefix: `/${name}` }, priority: 5 };
}

describe('rollout controller', () => {
  it('completes by the deadline, with once routes one step behind and on stable in canary', async () => {
    const harness = new Harness();
    harness.plan(1);
    const controller = harness.start();
    await harness.runUntil('canary', controller);
    assert.equal((await harness.stored())?.shareOf('order'), 0);
    await harness.runUntil('stepping', controller);
    const first = await harness.stored();
    assert.ok((first?.shareOf('order') ?? 100) < (first?.shareOf('proof') ?? 0));
    await harness.runUntil('soaking', controller);
    assert.ok(harness.time.nowMs() <= DEADLINE_MS);
    await harness.runUntil('done', controller);
    assert.match(controller.statuses()[0]?.summary ?? '', /^done: v2 serves all traffic/);
  });

  it('continues after a restart in each phase and never lowers the share', async () => {
    for (const phase of ['planned', 'canary', 'stepping', 'soaking'] as const) {
      const harness = new Harness();
      harness.plan(1);
      const first = harness.start();
      if (phase === 'planned') harness.load = 1_000_000;
      await harness.runUntil(phase, first);
      harness.load = 1;
      const before = await harness.stored();
      const second = harness.start();
      await harness.run(leases.LEASE_DURATION_MS + 500, second);
      const after = await harness.stored();
      assert.ok((after?.data.sharePct ?? 0) >= (before?.data.sharePct ?? 0));
      assert.ok((after?.data.epoch ?? 0) >= 1);
      await harness.runUntil('done', second);
      assert.equal((await harness.stored())?.data.epoch, 2);
    }
  });

  it('lets only one of two controllers write, each state once', async () => {
    const harness = new Harness();
    harness.plan(1);
    const both = [harness.start(), harness.start()];
    await harness.run(DEADLINE_MS + 10_000, ...both);
    const stored = await harness.stored();
    assert.equal(stored?.data.phase, 'done');
    assert.equal(stored.data.epoch, 1);
    assert.equal(both.filter(({ isActive }) => isActive).length, 1);
    assert.equal(harness.audits.filter(({ outcome }) => outcome === 'done').length, 1);
  });

  it('fences a lease holder that was paused until after its lease expired', async () => {
    const harness = new Harness();
    harness.plan(1);
    const paused = harness.start();
    await harness.runUntil('canary', paused);
    const next = harness.start();
    await harness.run(leases.LEASE_DURATION_MS + 1_000, next);
    const before = await harness.stored();
    assert.equal(before?.data.epoch, 2);
    harness.decision = 'bad';
    await paused.tick();
    assert.deepEqual((await harness.stored())?.data, before.data);
    assert.equal(paused.isActive, false);
  });

  it('finishes when every second answer to a write is lost, with no state written twice', async () => {
    const harness = new Harness();
    harness.plan(1);
    let writes = 0;
    harness.store.faults = (operation) => {
      if (operation !== 'put') return null;
      writes += 1;
      return writes % 2 === 0 ? 'answerLost' : null;
    };
    await harness.runUntil('done', harness.start());
    const shares = (await harness.stored())?.data.history.map(({ sharePct }) => sharePct) ?? [];
    assert.deepEqual(
      shares,
      [...shares].sort((a, b) => a - b),
    );
  });

  it('keeps the audit entry of a verdict whose write lost its answer, and only one', async () => {
    const harness = new Harness();
    harness.plan(1);
    const controller = harness.start();
    await harness.runUntil('canary', controller);
    harness.store.faults = (operation) => (operation === 'put' ? 'answerLost' : null);
    harness.decision = 'bad';
    await harness.run(1_000, controller);
    harness.store.faults = () => null;
    await harness.run(10_000, controller);
    const ends = harness.audits.filter(({ outcome }) => outcome === 'takenBack');
    assert.equal(ends.length, 1);
  });

  it('holds the share in a platform outage and reports it, while a bad verdict still causes a veto', async () => {
    const harness = new Harness();
    harness.plan(1);
    const controller = harness.start();
    await harness.runUntil('stepping', controller);
    const before = await harness.stored();
    harness.store.faults = () => 'unavailable';
    await harness.run(20_000, controller);
    assert.deepEqual((await harness.stored())?.data, before?.data);
    const summary = controller.statuses()[0]?.summary;
    const share = before?.data.sharePct;
    assert.equal(summary, `held at ${share} % because the platform is unreachable`);
    harness.decision = 'bad';
    await harness.run(1_000, controller);
    assert.equal(harness.vetoes.has('fontworks.1'), true);
    harness.store.faults = () => null;
    await harness.runUntil('takenBack', controller);
  });

  it('records a verdict once, also with many vetoes and after a restart', async () => {
    const harness = new Harness();
    harness.plan(1);
    const controller = harness.start();
    await harness.runUntil('canary', controller);
    harness.veto(1);
    harness.decision = 'bad';
    await harness.run(5_000, controller);
    await harness.run(10_000, harness.start());
    const ends = harness.audits.filter(({ outcome }) => outcome === 'takenBack');
    assert.equal(ends.length, 1);
    assert.equal((await harness.stored())?.data.sharePct, 0);
  });

  it('limits the share to the capacity of the target, instead of overloading its few servers', async () => {
    const harness = new Harness();
    harness.plan(1);
    harness.load = 48;
    const controller = harness.start();
    await harness.run(DEADLINE_MS, controller);
    assert.equal((await harness.stored())?.data.sharePct, 20);
    assert.match(controller.statuses()[0]?.summary ?? '', /cannot take a larger share/);
  });

  it('stays at canary while the verdict is undecided, even past the deadline', async () => {
    const harness = new Harness();
    harness.plan(1, { balance: 'timely' });
    harness.decision = 'undecided';
    const controller = harness.start();
    await harness.run(DEADLINE_MS + 10_000, controller);
    const stored = await harness.stored();
    assert.deepEqual([stored?.data.phase, stored?.data.sharePct], ['canary', 5]);
    assert.match(controller.statuses()[0]?.summary ?? '', /the deadline has passed/);
  });

  describe('conflicting tickets', () => {
    async function conflict(change: Partial<configuration.VersionPlan>, vetoed = false) {
      const harness = new Harness();
      harness.plan(1);
      const controller = harness.start();
      await harness.runUntil('stepping', controller);
      const reached = (await harness.stored())?.data.sharePct;
      if (vetoed) harness.veto(1);
      harness.plan(2, change);
      await harness.run(500, controller);
      const [old, next] = [await harness.stored(1), await harness.stored(2)];
      return { harness, controller, reached, old: old?.data, next: next?.data ?? null };
    }

    it('a plan for another version ends the rollout and starts at the canary share', async () => {
      const { old, next } = await conflict({ target: 'v3' });
      assert.equal(old?.phase, 'superseded');
      assert.equal(old.supersededBy, 2);
      assert.ok((next?.sharePct ?? 100) <= rollouts.MAX_CANARY_SHARE_PCT);
    });

    it('a plan without target cancels', async () => {
      const { old, next } = await conflict({ target: undefined, deadline: undefined });
      assert.deepEqual(
        [old?.phase, old?.reason, next],
        ['superseded', rollouts.CANCELLED_REASON, null],
      );
    });

    it('a plan with only another deadline continues at the share reached', async () => {
      const { old, next, reached } = await conflict({});
      assert.equal(old?.phase, 'superseded');
      assert.ok((next?.sharePct ?? 0) >= (reached ?? 100));
    });

    it('a new ticket for a version that was rolled back starts again at the canary share', async () => {
      const { harness, controller, old, next } = await conflict({}, true);
      assert.equal(old?.phase, 'takenBack');
      assert.ok((next?.sharePct ?? 100) <= rollouts.MAX_CANARY_SHARE_PCT);
      await harness.runUntil('done', controller, 2);
    });
  });
});

describe('late vetoes', () => {
  async function soaking() {
    const harness = new Harness();
    harness.plan(1);
    const controller = harness.start();
    await harness.runUntil('soaking', controller);
    return { harness, controller };
  }

  it('in the soak period end the rollout, once', async () => {
    const { harness, controller } = await soaking();
    harness.veto(1);
    await harness.run(10_000, controller);
    assert.equal((await harness.stored())?.data.phase, 'takenBack');
    const ends = harness.audits.filter(({ outcome }) => ['takenBack', 'done'].includes(outcome));
    assert.equal(ends.length, 1);
  });

  it('after done change nothing that was recorded', async () => {
    const { harness, controller } = await soaking();
    await harness.runUntil('done', controller);
    const before = await harness.stored();
    harness.veto(1);
    await harness.run(10_000, controller, harness.start());
    assert.deepEqual((await harness.stored())?.data, before?.data);
  });

  it('of an earlier rollout end the one that continues it, over more than one ticket', async () => {
    const { harness, controller } = await soaking();
    for (const ticket of [2, 3]) {
      harness.plan(ticket);
      await harness.run(500, controller);
    }
    assert.deepEqual((await harness.stored(3))?.data.inherits, ['fontworks.2', 'fontworks.1']);
    harness.veto(1);
    await harness.run(1_000, controller);
    assert.equal((await harness.stored(3))?.data.phase, 'takenBack');
    assert.equal((await harness.stored(1))?.data.phase, 'superseded');
  });

  it('of a rollout that a plan with other versions replaced do not affect the new one', async () => {
    const { harness, controller } = await soaking();
    harness.plan(2, { stable: 'v0' });
    await harness.run(500, controller);
    harness.veto(1);
    await harness.runUntil('done', controller, 2);
    assert.equal((await harness.stored(1))?.data.phase, 'superseded');
  });

  it('of a cancelled rollout change nothing; a new ticket for the version starts at canary', async () => {
    const { harness, controller } = await soaking();
    harness.plan(2, { target: undefined, deadline: undefined });
    await harness.run(500, controller);
    harness.veto(1);
    await harness.run(1_000, controller);
    assert.equal((await harness.stored(1))?.data.phase, 'superseded');
    harness.plan(3);
    await harness.run(1_000, controller);
    const { phase, sharePct } = (await harness.stored(3))?.data ?? {};
    assert.ok(phase === 'planned' || phase === 'canary', phase);
    assert.ok((sharePct ?? 100) <= rollouts.MAX_CANARY_SHARE_PCT);
  });
});

describe('conflicting tickets from concurrent operators', () => {
  it('ends with exactly one running rollout, of the last ticket, for every order of tickets', async () => {
    const changes: Partial<configuration.VersionPlan>[] = [
      { target: 'v3' },
      {},
      { target: undefined, deadline: undefined },
      { stable: 'v0' },
    ];
    for (const first of changes) {
      for (const second of changes) {
        const harness = new Harness();
        harness.plan(1);
        const both = [harness.start(), harness.start()];
        await harness.run(3_000, ...both);
        // Ticket 3 is accepted while the controllers are processing ticket 2.
        harness.plan(2, first);
        const race = Promise.all(both.map((one) => one.tick()));
        harness.plan(3, second);
        await race;
        await harness.run(2_000, ...both);
        const stored = await Promise.all([1, 2, 3].map((ticket) => harness.stored(ticket)));
        const running = stored.filter((one) => one !== null && !one.isFinal);
        const expected = second.target === undefined && 'target' in second ? [] : [3];
        assert.deepEqual(
          running.map((one) => one?.data.ticket),
          expected,
        );
        const ends = harness.audits.filter(({ outcome }) => outcome === 'superseded');
        assert.equal(new Set(ends.map(({ ticket }) => ticket)).size, ends.length);
      }
    }
  });

  it('after done, another deadline keeps 100 %, but after a cancellation it starts at canary', async () => {
    // A cancellation and the next plan may both be accepted between two rounds of the controller.
    for (const [cancelled, seen, sharePct] of [
      [false, true, 100],
      [true, true, 5],
      [true, false, 5],
    ] as const) {
      const harness = new Harness();
      harness.plan(1);
      const controller = harness.start();
      await harness.runUntil('done', controller);
      if (cancelled) harness.plan(2, { target: undefined, deadline: undefined });
      if (seen) await harness.run(1_000, controller);
      harness.plan(3);
      await harness.run(1_000, controller);
      assert.equal((await harness.stored(3))?.data.sharePct, sharePct);
      assert.equal((await harness.stored(1))?.data.phase, 'done');
    }
  });

  it('a plan whose deadline has passed still needs a verdict before it leaves canary', async () => {
    const harness = new Harness();
    harness.plan(1);
    harness.decision = 'undecided';
    const controller = harness.start();
    await harness.runUntil('canary', controller);
    harness.plan(2, { deadline: new Date(harness.time.nowMs() - 1_000).toISOString() });
    await harness.run(5_000, controller);
    assert.equal((await harness.stored(2))?.data.sharePct, 5);
  });
});

describe('controller lease', () => {
  it('takes an epoch above the stored rollouts after the lease object is lost, so it is not fenced for ever', async () => {
    const harness = new Harness();
    harness.plan(1);
    await harness.runUntil('canary', harness.start());
    const second = harness.start();
    await harness.run(7_000, second);
    await harness.store.delete('lease', leases.LEASE_NAME, { type: 'none' });
    await harness.runUntil('done', harness.start());
  });
});
