import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { clock as clocks, failures, ids, placement as placements } from '@godwittrack/core';
import type { records } from '@godwittrack/protocol';
import * as fc from 'fast-check';
import * as keyGuard from '../keyGuard.js';
import * as peers from '../recordPeers.js';
import * as recordStore from '../recordStore.js';
import * as recovery from '../recovery.js';

const SERVICE = ids.serviceName('fontworks');
const KEYS = ['k1', 'k2'];
const RETENTION_MS = 60_000;
const DEADLINE_MS = 2_000;
const LEASE_MS = 30_000;
/** A second run this long after the first is outside what the records promise. */
const WINDOW_MS = RETENTION_MS - recordStore.GRANT_LIFETIME_MS;
const LAYOUT = ['r1/a', 'r1/b', 'r2/a', 'r2/b', 'r1/a'];
/** Mask of all nodes. */
const ALL = 2 ** LAYOUT.length - 1;
/** After this time a restarted holder may copy. */
const COPY_WAIT_MS = recordStore.GRANT_LIFETIME_MS + recordStore.CLOCK_MARGIN_MS + 100;
const RUNS = Number(process.env.RECORDS_RUNS ?? 1_500);
const SEED = Number(process.env.RECORDS_SEED ?? Date.now() % 1_000_000);

type Kind = 'claim' | 'complete' | 'release' | 'copy';

interface Message {
  kind: Kind;
  /** Node that receives the request; empty for a reply, which any drain delivers. */
  to: string;
  deliver: () => void;
  /** The sender stops waiting; the request itself may still arrive. */
  giveUp: () => void;
}

interface Node {
  member: placements.LiveMember;
  store: recordStore.RecordStore;
  guard: keyGuard.KeyGuard;
  recovery: recovery.Recovery;
}

type Send = <T>(
  kind: Kind,
  to: placements.Member,
  call: (target: recordStore.RecordStore) => T,
) => Promise<T>;

class ModelPeers extends peers.RecordPeers {
  constructor(
    private readonly send: Send,
    private readonly noteKept: (answer: records.RecordedAnswer | undefined, ms: number) => void,
  ) {
    super();
  }

  override claim(to: placements.Member, req: records.ClaimRequest) {
    return this.send('claim', to, (target) => target.claim(req));
  }

  override complete(to: placements.Member, req: records.CompleteRequest) {
    return this.send('complete', to, (target) => {
      const reply = target.complete(req);
      if (reply.stored) this.noteKept(req.answer, RETENTION_MS + DEADLINE_MS);
      return reply;
    });
  }

  override release(to: placements.Member, req: records.ReleaseRequest) {
    return this.send('release', to, (target) => target.release(req));
  }

  override async recover(to: placements.Member, req: records.RecoverRequest) {
    const copy = await this.send('copy', to, (target) => target.copyFor(req));
    copy.records.forEach((record) => this.noteKept(record.answer, record.retentionLeftMs));
    return copy;
  }
}

/** Nodes, messages in flight and upstream runs; every step is chosen by the property. */
class Model {
  readonly clock = new clocks.ManualClock(1);

  readonly nodes: Node[] = [];

  readonly messages: Message[] = [];

  readonly granted: { node: Node; key: string; claim: keyGuard.KeyClaim }[] = [];

  readonly runs: { key: string; atMs: number; answer: string }[] = [];

  /** Time until which some holder may keep an answer. */
  private readonly keptUntilMs = new Map<string, number>();

  private timers: (() => void)[] = [];

  private latest: placements.Placement;

  private answers = 0;

  /** Key of the phases. */
  key = 'k1';

  violation: string | null = null;

  /** What happened, for the report of a failure. */
  readonly trace: string[] = [];

  constructor() {
    LAYOUT.forEach((_, i) => this.start(i, 1));
    const first = placements.Placement.first(
      SERVICE,
      this.nodes.slice(0, 4).map(({ member }) => member),
      0,
    );
    assert.ok(first);
    this.latest = first;
    this.nodes.forEach((node) => node.store.adopt(first));
  }

  start(i: number, incarnation: number): void {
    const [region, domain] = LAYOUT[i]!.split('/') as [string, string];
    const member: placements.LiveMember = {
      node: ids.nodeId(`n${i}`),
      incarnation: ids.incarnation(incarnation),
      region: ids.regionName(region),
      failureDomain: ids.domainName(domain),
    };
    const store = new recordStore.RecordStore(member.node, member.incarnation, this.clock, {
      retentionMs: () => RETENTION_MS,
      placementLeaseMs: LEASE_MS,
    });
    const transport = new ModelPeers(
      (kind, to, call) => this.send(kind, to, call),
      (answer, ms) => this.noteKept(answer, ms),
    );
    const source = {
      current: () => store.placement(SERVICE),
      refresh: async () => store.placement(SERVICE),
    };
    const sleep = () =>
      new Promise<void>((resolve) => {
        this.timers.push(resolve);
      });
    const options = { sleep, settleAttempts: 2 };
    this.nodes[i] = {
      member,
      store,
      guard: new keyGuard.KeyGuard(
        member.node,
        member.incarnation,
        source,
        transport,
        this.clock,
        options,
      ),
      recovery: new recovery.Recovery(store, transport, () => [SERVICE]),
    };
  }

  send<T>(
    kind: Kind,
    to: placements.Member,
    call: (target: recordStore.RecordStore) => T,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const giveUp = () =>
        reject(failures.toError({ type: 'timeout', operation: 'test', timeoutMs: 0 }));
      const deliver = () => {
        const target = this.nodes.find(({ member }) => member.node === to.node);
        if (target === undefined) return;
        const reply = call(target.store);
        this.note(`${kind} at ${to.node}: ${JSON.stringify(reply)}`);
        this.messages.push({ kind, to: '', deliver: () => resolve(reply), giveUp });
      };
      this.messages.push({ kind, to: to.node, deliver, giveUp });
    });
  }

  holderAt(place: number): number {
    const holders = this.latest.holders(this.key);
    return Number(holders[place % holders.length]!.node.slice(1));
  }

  /** Mask of the nodes that hold the key of the phases at these places. */
  maskOf(chosen: number): number {
    const holders = this.latest.holders(this.key).filter((_, i) => (chosen >> i) & 1);
    return holders.reduce((mask, { node }) => mask + 2 ** Number(node.slice(1)), 0);
  }

  note(event: string): void {
    this.trace.push(`${this.clock.monotonicMs()} ${event}`);
  }

  /** Claims the key of the phases; requests arrive at the nodes in `mask` only. */
  async claimAt(i: number, mask: number): Promise<void> {
    this.claim(i, this.key);
    await this.drain(mask, 'claim');
  }

  claim(i: number, key: string): void {
    this.note(`n${i} claims ${key}`);
    const node = this.nodes[i]!;
    const startedAtMs = this.clock.monotonicMs();
    node.guard.claim(SERVICE, key, 'same', DEADLINE_MS).then(
      (outcome) => {
        // A node that has restarted meanwhile dispatches nothing.
        if (this.nodes[i] !== node) return;
        if (outcome.type === 'granted') this.granted.push({ node, key, claim: outcome.claim });
        else this.checkReplay(key, outcome.answer.body.toString(), startedAtMs);
      },
      (err: unknown) => {
        if (failures.is(err, 'internal') || !(err instanceof failures.FailureError)) throw err;
      },
    );
  }

  finish(n: number, how: 'complete' | 'die' | 'release' | 'refused'): void {
    if (this.granted.length === 0) return;
    const [{ node, key, claim }] = this.granted.splice(n % this.granted.length, 1) as [
      (typeof this.granted)[0],
    ];
    if (!this.nodes.includes(node)) return;
    this.note(`${how} ${claim.attempt.claim} of ${key}`);
    if (how === 'release' || !claim.beginDispatch()) this.giveBack(key, claim, false);
    else if (how === 'refused') this.giveBack(key, claim, true);
    else {
      this.answers += 1;
      const answer = `answer ${this.answers}`;
      const earlier = this.recentRun(key);
      if (earlier !== undefined) this.violation = `second run of ${key}`;
      this.runs.push({ key, atMs: this.clock.monotonicMs(), answer });
      if (how === 'die') return;
      const body = Buffer.from(answer);
      void claim.complete({ status: 200, headers: [], body, bodyKept: true });
    }
  }

  giveBack(key: string, claim: keyGuard.KeyClaim, refused: boolean): void {
    const failure = claim.release({ refused });
    if (failure.type === 'notRun' && this.recentRun(key) !== undefined) {
      this.violation = `false notRun for ${key}`;
    }
  }

  recentRun(key: string, sinceMs = this.clock.monotonicMs() - WINDOW_MS) {
    return this.runs.find((run) => run.key === key && run.atMs > sinceMs);
  }

  /** Notes until when the holder that has just stored an answer keeps it, by its own clock. */
  noteKept(answer: records.RecordedAnswer | undefined, retentionLeftMs: number): void {
    if (answer === undefined) return;
    const text = answer.body.toString();
    const untilMs = this.clock.monotonicMs() + retentionLeftMs;
    this.keptUntilMs.set(text, Math.max(this.keptUntilMs.get(text) ?? 0, untilMs));
  }

  /**
   * A replay is the first answer of the key within its retention window. The one exception is the
   * limit in docs/at-most-once.md: a holder counts the window from when it stored the answer, so a
   * late message or copy lets it replay an earlier answer until that window has ended.
   */
  checkReplay(key: string, answer: string, startedAtMs: number): void {
    const run = this.runs.find((each) => each.key === key && each.answer === answer);
    const first = this.recentRun(key, startedAtMs - WINDOW_MS);
    const keptLate = (this.keptUntilMs.get(answer) ?? 0) > startedAtMs;
    if (run === undefined || (first !== undefined && first !== run && !keptLate)) {
      this.violation = `other answer for ${key}`;
    }
  }

  restart(i: number): void {
    this.note(`n${i} restarts`);
    this.start(i, this.nodes[i]!.member.incarnation + 1);
  }

  adopt(i: number): void {
    this.note(`n${i} adopts epoch ${this.latest.epoch}`);
    this.nodes[i]!.store.adopt(this.latest);
  }

  adoptAt(mask: number): void {
    this.nodes.forEach((_, i) => {
      if ((mask >> i) & 1) this.adopt(i);
    });
  }

  recover(): void {
    this.nodes.forEach((node) => {
      void node.recovery.round(SERVICE);
    });
  }

  reconcile(mask: number): void {
    const live = this.nodes.filter((_, i) => (mask >> i) & 1).map(({ member }) => member);
    const nowMs = this.clock.nowMs() + placements.MIN_EPOCH_INTERVAL_MS;
    this.latest = this.latest.next(live, nowMs, RETENTION_MS) ?? this.latest;
    const names = this.latest.members.map(({ node, incarnation }) => `${node}.${incarnation}`);
    this.note(`placement ${this.latest.epoch}: ${names.join(' ')}`);
  }

  deliver(n: number): void {
    if (this.messages.length === 0) return;
    this.messages.splice(n % this.messages.length, 1)[0]!.deliver();
  }

  /** Delivers messages in order, except requests to the nodes left out of `mask`. */
  async drain(mask: number, kind?: Kind): Promise<void> {
    for (let round = 0; round < 12; round++) {
      const due = this.messages
        .filter((message) => kind === undefined || message.kind === kind)
        .filter(({ to }) => to === '' || (mask >> Number(to.slice(1))) & 1);
      if (due.length === 0) return;
      due.forEach((message) => {
        this.messages.splice(this.messages.indexOf(message), 1);
        message.deliver();
      });
      await turn();
    }
  }

  /** Loses the requests of one kind that are in flight. */
  lose(kind: Kind): void {
    const lost = this.messages.filter((message) => message.kind === kind && message.to !== '');
    lost.forEach((message) => this.messages.splice(this.messages.indexOf(message), 1));
    lost.forEach((message) => message.giveUp());
  }

  advance(ms: number): void {
    this.clock.advance(ms);
    const due = this.timers;
    this.timers = [];
    due.forEach((resolve) => resolve());
  }
}

type Step = (model: Model) => void | Promise<void>;

function turn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function finishAll(m: Model): void {
  while (m.granted.length > 0) m.finish(0, 'complete');
}

const index = fc.integer({ min: 0, max: LAYOUT.length - 1 });
const any = fc.nat(1_000);
const masks = fc.oneof(fc.constant(ALL), fc.integer({ min: 1, max: ALL }));

function step(weight: number, arbitrary: fc.Arbitrary<Step>) {
  return { weight, arbitrary };
}

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    step(
      6,
      fc.tuple(index, fc.constantFrom(...KEYS)).map(
        ([i, key]) =>
          (m) =>
            m.claim(i, key),
      ),
    ),
    step(
      20,
      any.map((n) => (m) => m.deliver(n)),
    ),
    // Longer scenarios: messages arrive in order, perhaps not at some nodes.
    step(
      10,
      masks.map((mask) => (m) => m.drain(mask)),
    ),
    step(
      6,
      fc
        .tuple(index, fc.constantFrom(...KEYS), fc.integer({ min: 1, max: ALL }))
        .map(([i, key, mask]) => async (m) => {
          m.claim(i, key);
          await m.drain(mask);
          finishAll(m);
        }),
    ),
    step(
      3,
      fc.integer({ min: 1, max: ALL }).map((mask) => async (m) => {
        m.advance(COPY_WAIT_MS);
        m.recover();
        await m.drain(mask);
      }),
    ),
    step(
      2,
      any.map((n) => (m) => m.messages[n % Math.max(1, m.messages.length)]?.giveUp()),
    ),
    step(
      1,
      any.map((n) => (m) => {
        if (m.messages.length > 0) m.messages.splice(n % m.messages.length, 1)[0]!.giveUp();
      }),
    ),
    step(
      6,
      fc
        .tuple(any, fc.constantFrom('complete', 'complete', 'die', 'release', 'refused' as const))
        .map(
          ([n, how]) =>
            (m) =>
              m.finish(n, how),
        ),
    ),
    step(
      2,
      index.map((i) => (m) => m.restart(i)),
    ),
    step(
      3,
      index.map((i) => (m) => m.adopt(i)),
    ),
    step(
      2,
      fc.constant<Step>((m) => m.adoptAt(ALL)),
    ),
    step(
      4,
      index.map((i) => (m) => {
        void m.nodes[i]!.recovery.round(SERVICE);
      }),
    ),
    step(
      2,
      fc.integer({ min: 1, max: ALL }).map((mask) => (m) => m.reconcile(mask)),
    ),
    step(
      4,
      fc.constantFrom(10, 1_000, COPY_WAIT_MS, 31_000).map((ms) => (m) => m.advance(ms)),
    ),
  ),
  { minLength: 20, maxLength: 160, size: 'max' },
);

const endings = fc.constantFrom('complete', 'die', 'release', 'refused' as const);

/** Set of the key's holders by their rank, which meets a quorum more often than a set of nodes. */
const places = fc.constantFrom(1, 2, 3, 4, 5, 6);

/** Two claims in flight while a holder restarts and copies, in any order that the rules allow. */
const restartBetween = fc
  .record({
    first: fc.tuple(index, places),
    second: fc.option(fc.tuple(index, places), { freq: 1 }),
    early: fc.boolean(),
    ending: fc.constantFrom('complete', 'die', 'release' as const),
    lost: fc.nat(2),
    waits: fc.boolean(),
    copied: fc.oneof(fc.constant(7), places),
    late: places,
    again: fc.tuple(index, places),
  })
  .map(({ first, second, early, ending, lost, waits, copied, late, again }) => async (m: Model) => {
    await m.claimAt(first[0], m.maskOf(first[1]));
    if (second !== null) await m.claimAt(second[0], m.maskOf(second[1]));
    if (early) m.finish(0, ending);
    const holder = m.holderAt(lost);
    m.restart(holder);
    m.adopt(holder);
    if (waits) m.advance(COPY_WAIT_MS);
    m.recover();
    await m.drain(m.maskOf(copied), 'copy');
    await m.drain(m.maskOf(late), 'claim');
    m.finish(0, ending);
    // Otherwise the next claim would bring the late ones to its holders.
    m.lose('claim');
    await turn();
    await m.drain(ALL, 'release');
    await m.claimAt(again[0], m.maskOf(again[1]));
    finishAll(m);
  });

/** A claim is held for longer than the holders keep it, and the key runs meanwhile. */
const heldTooLong = fc.tuple(index, index, masks).map(([i, other, mask]) => async (m: Model) => {
  await m.claimAt(i, ALL);
  m.advance(RETENTION_MS + DEADLINE_MS + 1_000);
  m.adoptAt(ALL);
  await m.claimAt(other, mask);
  m.finish(1, 'complete');
  m.finish(0, 'release');
});

/** Some members learn the new epoch and the others go on under the old one until their lease ends. */
const dividedEpoch = fc
  .record({
    live: masks,
    informed: masks,
    old: fc.tuple(index, masks),
    next: fc.tuple(index, masks),
    pauses: fc.constantFrom([LEASE_MS - 2_000, RETENTION_MS - 20_000], [LEASE_MS + 2_000, 0]),
  })
  .map(({ live, informed, old, next, pauses: [beforeMs, afterMs] }) => async (m: Model) => {
    m.adoptAt(ALL);
    m.reconcile(live);
    m.adoptAt(informed);
    m.advance(beforeMs);
    m.adoptAt(informed);
    await m.claimAt(...old);
    finishAll(m);
    m.advance(afterMs);
    m.adoptAt(informed);
    await m.claimAt(...next);
    finishAll(m);
  });

const scenario: fc.Arbitrary<Step> = fc.oneof(
  step(6, restartBetween),
  step(1, heldTooLong),
  step(3, dividedEpoch),
);

const phase: fc.Arbitrary<Step> = fc.oneof(
  step(9, scenario),
  step(
    8,
    fc.tuple(index, masks).map(
      ([i, mask]) =>
        (m) =>
          m.claimAt(i, mask),
    ),
  ),
  step(
    3,
    fc.tuple(masks, fc.constantFrom(undefined, 'claim' as const)).map(
      ([mask, kind]) =>
        (m) =>
          m.drain(mask, kind),
    ),
  ),
  step(
    6,
    fc.tuple(any, endings).map(
      ([n, how]) =>
        (m) =>
          m.finish(n, how),
    ),
  ),
  step(
    4,
    index.map((i) => (m) => {
      m.restart(i);
      m.adopt(i);
    }),
  ),
  step(
    4,
    fc.tuple(fc.boolean(), masks).map(([waits, mask]) => async (m) => {
      if (waits) m.advance(COPY_WAIT_MS);
      m.recover();
      await m.drain(mask, 'copy');
    }),
  ),
  step(
    3,
    fc.tuple(masks, masks).map(([live, informed]) => (m) => {
      m.reconcile(live);
      m.adoptAt(informed);
    }),
  ),
  step(
    2,
    masks.map((mask) => (m) => m.adoptAt(mask)),
  ),
  step(
    2,
    fc.constantFrom(COPY_WAIT_MS, RETENTION_MS + 3_000).map((ms) => (m) => {
      m.advance(ms);
      m.adoptAt(ALL);
    }),
  ),
);

/** Whole phases on one key, so that short sequences reach the narrow windows of the rules. */
const phases: fc.Arbitrary<Step[]> = fc
  .tuple(
    fc.integer({ min: 1, max: 12 }),
    fc.oneof(
      { weight: 2, arbitrary: scenario.map((one) => [one]) },
      { weight: 1, arbitrary: fc.array(phase, { minLength: 1, maxLength: 10 }) },
    ),
  )
  .map(([n, chosen]) => [
    (m) => {
      m.key = `k${n}`;
    },
    ...chosen,
  ]);

async function check(sequences: fc.Arbitrary<Step[]>, numRuns: number): Promise<number> {
  let runs = 0;
  await fc.assert(
    fc.asyncProperty(sequences, async (sequence) => {
      const model = new Model();
      for (const act of sequence) {
        await act(model);
        await turn();
        assert.equal(model.violation, null, [model.violation, ...model.trace].join('\n'));
      }
      runs += model.runs.length;
    }),
    { numRuns, seed: SEED, includeErrorInReport: true },
  );
  return runs;
}

describe('at most once', () => {
  const cases = [
    { name: 'single messages', sequences: steps, numRuns: RUNS, reach: 1 / 4 },
    { name: 'phases on one key', sequences: phases, numRuns: RUNS * 8, reach: 1 / 8 },
  ];
  cases.forEach(({ name, sequences, numRuns, reach }) => {
    it(`guards against a second run, a false notRun and a replaced answer: ${name}, seed ${SEED}`, async (t) => {
      const runs = await check(sequences, numRuns);
      t.diagnostic(`${name}, seed ${SEED}: ${runs} upstream runs in ${numRuns} sequences`);
      assert.ok(runs > numRuns * reach, 'the sequences reach the upstream');
    });
  });
});
