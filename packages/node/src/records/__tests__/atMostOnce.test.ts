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
/** The records prevent a second execution of a key only within this time after the first. */
const GUARANTEE_WINDOW_MS = RETENTION_MS - recordStore.GRANT_LIFETIME_MS;
const LAYOUT = ['r1/a', 'r1/b', 'r2/a', 'r2/b', 'r1/a'];
/** Bit mask of all nodes. */
const ALL_NODES = 2 ** LAYOUT.length - 1;
/** Time after which a restarted holder may request copies. */
const COPY_WAIT_MS = recordStore.GRANT_LIFETIME_MS + recordStore.CLOCK_MARGIN_MS + 100;
const RUNS = Number(process.env.RECORDS_RUNS ?? 1_500);
const SEED = Number(process.env.RECORDS_SEED ?? Date.now() % 1_000_000);

type Kind = 'claim' | 'complete' | 'release' | 'copy';

interface Message {
  kind: Kind;
  /** Node that receives the request; empty for a reply, which `drain` delivers with any mask. */
  to: string;
  deliver: () => void;
  /** Fails the call with a timeout at the sender; the request itself may still arrive. */
  timeOut: () => void;
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
    private readonly noteRetention: (
      answer: records.RecordedAnswer | undefined,
      ms: number,
    ) => void,
  ) {
    super();
  }

  override claim(to: placements.Member, req: records.ClaimRequest) {
    return this.send('claim', to, (target) => target.claim(req));
  }

  override complete(to: placements.Member, req: records.CompleteRequest) {
    return this.send('complete', to, (target) => {
      const reply = target.complete(req);
      if (reply.stored) this.noteRetention(req.answer, RETENTION_MS + DEADLINE_MS);
      return reply;
    });
  }

  override release(to: placements.Member, req: records.ReleaseRequest) {
    return this.send('release', to, (target) => target.release(req));
  }

  override async recover(to: placements.Member, req: records.RecoverRequest) {
    const copy = await this.send('copy', to, (target) => target.createCopy(req));
    copy.records.forEach((record) => this.noteRetention(record.answer, record.retentionLeftMs));
    return copy;
  }
}

/** Nodes, messages in flight and executions at the upstream; the property chooses each step. */
class Model {
  readonly clock = new clocks.ManualClock(1);

  readonly nodes: Node[] = [];

  readonly messages: Message[] = [];

  readonly granted: { node: Node; key: string; claim: keyGuard.KeyClaim }[] = [];

  readonly runs: { key: string; atMs: number; answer: string }[] = [];

  /** Time until which a holder may still have an answer. */
  private readonly keptUntilMs = new Map<string, number>();

  private timers: (() => void)[] = [];

  private latest: placements.Placement;

  private answers = 0;

  /** Key used by the steps that work on a single key. */
  key = 'k1';

  violation: string | null = null;

  /** Log of events for the failure message. */
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
      (answer, ms) => this.noteRetention(answer, ms),
    );
    const source = {
      current: () => store.placement(SERVICE),
      refresh: async () => store.placement(SERVICE),
    };
    const sleep = () =>
      new Promise<void>((resolve) => {
        this.timers.push(resolve);
      });
    const options = { sleep, updateAttempts: 2 };
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
      const timeOut = () =>
        reject(failures.toError({ type: 'timeout', operation: 'test', timeoutMs: 0 }));
      const deliver = () => {
        const target = this.nodes.find(({ member }) => member.node === to.node);
        if (target === undefined) return;
        const reply = call(target.store);
        this.note(`${kind} at ${to.node}: ${JSON.stringify(reply)}`);
        this.messages.push({ kind, to: '', deliver: () => resolve(reply), timeOut });
      };
      this.messages.push({ kind, to: to.node, deliver, timeOut });
    });
  }

  holderAt(rank: number): number {
    const holders = this.latest.holders(this.key);
    return Number(holders[rank % holders.length]!.node.slice(1));
  }

  /** Returns the bit mask of the holders of `key` whose ranks are set in the bit mask `chosen`. */
  maskOf(chosen: number): number {
    const holders = this.latest.holders(this.key).filter((_, i) => (chosen >> i) & 1);
    return holders.reduce((mask, { node }) => mask + 2 ** Number(node.slice(1)), 0);
  }

  note(event: string): void {
    this.trace.push(`${this.clock.monotonicMs()} ${event}`);
  }

  /** Claims `key` through node `i`; the claim messages arrive at the nodes in `mask` only. */
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
        // A node that has restarted since does not dispatch the request.
        if (this.nodes[i] !== node) return;
        if (outcome.type === 'granted') this.granted.push({ node, key, claim: outcome.claim });
        else this.checkReplay(key, outcome.answer.body.toString(), startedAtMs);
      },
      (err: unknown) => {
        if (failures.is(err, 'internal') || !(err instanceof failures.FailureError)) throw err;
      },
    );
  }

  finish(n: number, ending: 'complete' | 'die' | 'release' | 'refused'): void {
    if (this.granted.length === 0) return;
    const [{ node, key, claim }] = this.granted.splice(n % this.granted.length, 1) as [
      (typeof this.granted)[0],
    ];
    if (!this.nodes.includes(node)) return;
    this.note(`${ending} ${claim.attempt.claim} of ${key}`);
    if (ending === 'release' || !claim.beginDispatch()) this.releaseClaim(key, claim, false);
    else if (ending === 'refused') this.releaseClaim(key, claim, true);
    else {
      this.answers += 1;
      const answer = `answer ${this.answers}`;
      const earlier = this.recentRun(key);
      if (earlier !== undefined) this.violation = `second execution of ${key}`;
      this.runs.push({ key, atMs: this.clock.monotonicMs(), answer });
      if (ending === 'die') return;
      const body = Buffer.from(answer);
      void claim.complete({ status: 200, headers: [], body, bodyKept: true });
    }
  }

  releaseClaim(key: string, claim: keyGuard.KeyClaim, refused: boolean): void {
    const failure = claim.release({ refused });
    if (failure.type === 'notRun' && this.recentRun(key) !== undefined) {
      this.violation = `false notRun for ${key}`;
    }
  }

  recentRun(key: string, sinceMs = this.clock.monotonicMs() - GUARANTEE_WINDOW_MS) {
    return this.runs.find((run) => run.key === key && run.atMs > sinceMs);
  }

  /** Notes until when a holder that stores an answer now will keep it. */
  noteRetention(answer: records.RecordedAnswer | undefined, retentionLeftMs: number): void {
    if (answer === undefined) return;
    const text = answer.body.toString();
    const untilMs = this.clock.monotonicMs() + retentionLeftMs;
    this.keptUntilMs.set(text, Math.max(this.keptUntilMs.get(text) ?? 0, untilMs));
  }

  /**
   * Checks that a replay returns the first answer of the key within the guarantee window. The one
   * exception is the limit in docs/at-most-once.md: a holder measures retention from the time at
   * which it stored the answer, so after a late message or copy it may replay an earlier answer
   * until that retention has ended.
   */
  checkReplay(key: string, answer: string, startedAtMs: number): void {
    const run = this.runs.find((each) => each.key === key && each.answer === answer);
    const first = this.recentRun(key, startedAtMs - GUARANTEE_WINDOW_MS);
    const keptLate = (this.keptUntilMs.get(answer) ?? 0) > startedAtMs;
    if (run === undefined || (first !== undefined && first !== run && !keptLate)) {
      this.violation = `wrong answer replayed for ${key}`;
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

  /** Delivers messages in order, except requests to nodes that are not in `mask`. */
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
      await nextTurn();
    }
  }

  /** Drops the requests of one kind that are in flight. */
  dropRequests(kind: Kind): void {
    const dropped = this.messages.filter((message) => message.kind === kind && message.to !== '');
    dropped.forEach((message) => this.messages.splice(this.messages.indexOf(message), 1));
    dropped.forEach((message) => message.timeOut());
  }

  advance(ms: number): void {
    this.clock.advance(ms);
    const due = this.timers;
    this.timers = [];
    due.forEach((resolve) => resolve());
  }
}

type Step = (model: Model) => void | Promise<void>;

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function finishAll(m: Model): void {
  while (m.granted.length > 0) m.finish(0, 'complete');
}

const index = fc.integer({ min: 0, max: LAYOUT.length - 1 });
const any = fc.nat(1_000);
const masks = fc.oneof(fc.constant(ALL_NODES), fc.integer({ min: 1, max: ALL_NODES }));

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
    // For longer sequences: messages arrive in order, but possibly not at all nodes.
    step(
      10,
      masks.map((mask) => (m) => m.drain(mask)),
    ),
    step(
      6,
      fc
        .tuple(index, fc.constantFrom(...KEYS), fc.integer({ min: 1, max: ALL_NODES }))
        .map(([i, key, mask]) => async (m) => {
          m.claim(i, key);
          await m.drain(mask);
          finishAll(m);
        }),
    ),
    step(
      3,
      fc.integer({ min: 1, max: ALL_NODES }).map((mask) => async (m) => {
        m.advance(COPY_WAIT_MS);
        m.recover();
        await m.drain(mask);
      }),
    ),
    step(
      2,
      any.map((n) => (m) => m.messages[n % Math.max(1, m.messages.length)]?.timeOut()),
    ),
    step(
      1,
      any.map((n) => (m) => {
        if (m.messages.length > 0) m.messages.splice(n % m.messages.length, 1)[0]!.timeOut();
      }),
    ),
    step(
      6,
      fc
        .tuple(any, fc.constantFrom('complete', 'complete', 'die', 'release', 'refused' as const))
        .map(
          ([n, ending]) =>
            (m) =>
              m.finish(n, ending),
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
      fc.constant<Step>((m) => m.adoptAt(ALL_NODES)),
    ),
    step(
      4,
      index.map((i) => (m) => {
        void m.nodes[i]!.recovery.round(SERVICE);
      }),
    ),
    step(
      2,
      fc.integer({ min: 1, max: ALL_NODES }).map((mask) => (m) => m.reconcile(mask)),
    ),
    step(
      4,
      fc.constantFrom(10, 1_000, COPY_WAIT_MS, 31_000).map((ms) => (m) => m.advance(ms)),
    ),
  ),
  { minLength: 20, maxLength: 160, size: 'max' },
);

const endings = fc.constantFrom('complete', 'die', 'release', 'refused' as const);

/** Bit mask of holders by rank, which includes a quorum more often than a mask of nodes does. */
const rankMasks = fc.constantFrom(1, 2, 3, 4, 5, 6);

/** Two claims in flight while a holder restarts and copies; the order of the steps varies. */
const restartBetweenClaims = fc
  .record({
    first: fc.tuple(index, rankMasks),
    second: fc.option(fc.tuple(index, rankMasks), { freq: 1 }),
    early: fc.boolean(),
    ending: fc.constantFrom('complete', 'die', 'release' as const),
    restarted: fc.nat(2),
    waits: fc.boolean(),
    copied: fc.oneof(fc.constant(7), rankMasks),
    late: rankMasks,
    again: fc.tuple(index, rankMasks),
  })
  .map(
    ({ first, second, early, ending, restarted, waits, copied, late, again }) =>
      async (m: Model) => {
        await m.claimAt(first[0], m.maskOf(first[1]));
        if (second !== null) await m.claimAt(second[0], m.maskOf(second[1]));
        if (early) m.finish(0, ending);
        const holder = m.holderAt(restarted);
        m.restart(holder);
        m.adopt(holder);
        if (waits) m.advance(COPY_WAIT_MS);
        m.recover();
        await m.drain(m.maskOf(copied), 'copy');
        await m.drain(m.maskOf(late), 'claim');
        m.finish(0, ending);
        // Otherwise the drain of the next claim would also deliver the remaining claim messages.
        m.dropRequests('claim');
        await nextTurn();
        await m.drain(ALL_NODES, 'release');
        await m.claimAt(again[0], m.maskOf(again[1]));
        finishAll(m);
      },
  );

/** A claim outlives its records at the holders, and the key is executed again before it ends. */
const claimOutlivesRecords = fc
  .tuple(index, index, masks)
  .map(([i, other, mask]) => async (m: Model) => {
    await m.claimAt(i, ALL_NODES);
    m.advance(RETENTION_MS + DEADLINE_MS + 1_000);
    m.adoptAt(ALL_NODES);
    await m.claimAt(other, mask);
    m.finish(1, 'complete');
    m.finish(0, 'release');
  });

/** Some members adopt a new epoch while the others use the old one until their lease ends. */
const dividedEpoch = fc
  .record({
    live: masks,
    informed: masks,
    old: fc.tuple(index, masks),
    next: fc.tuple(index, masks),
    pauses: fc.constantFrom([LEASE_MS - 2_000, RETENTION_MS - 20_000], [LEASE_MS + 2_000, 0]),
  })
  .map(({ live, informed, old, next, pauses: [beforeMs, afterMs] }) => async (m: Model) => {
    m.adoptAt(ALL_NODES);
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
  step(6, restartBetweenClaims),
  step(1, claimOutlivesRecords),
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
      ([n, ending]) =>
        (m) =>
          m.finish(n, ending),
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
      m.adoptAt(ALL_NODES);
    }),
  ),
);

/** Multi-step phases on one key, so that short sequences reach rare interleavings. */
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
        await nextTurn();
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
    { name: 'single messages', sequences: steps, numRuns: RUNS, minRunsPerSequence: 1 / 4 },
    { name: 'phases on one key', sequences: phases, numRuns: RUNS * 8, minRunsPerSequence: 1 / 8 },
  ];
  cases.forEach(({ name, sequences, numRuns, minRunsPerSequence }) => {
    it(`guards against a second run, a false notRun and a replaced answer: ${name}, seed ${SEED}`, async (t) => {
      const runs = await check(sequences, numRuns);
      t.diagnostic(`${name}, seed ${SEED}: ${runs} upstream runs in ${numRuns} sequences`);
      assert.ok(runs > numRuns * minRunsPerSequence, 'too few sequences reached the upstream');
    });
  });
});
