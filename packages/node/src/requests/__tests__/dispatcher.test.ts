import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { clock, failures, metrics } from '@godwittrack/core';
import * as balancer from '../balancer.js';
import * as dispatcher from '../dispatcher.js';
import * as exchange from '../exchange.js';
import * as retryBudget from '../retryBudget.js';
import * as fixtures from './requestFixtures.js';

const [SAFE, ONCE] = fixtures.ROUTES;
const BODY = Buffer.from('order');

type Play = (signal: AbortSignal) => Promise<exchange.Answer>;

/** Server whose response is scripted by the test. */
class FakeServer extends exchange.Destination {
  constructor(private readonly play: Play) {
    super();
  }

  override forward(
    _head: unknown,
    _body: exchange.RequestBody,
    signal: AbortSignal,
  ): Promise<exchange.Answer> {
    return this.play(signal);
  }
}

describe('dispatcher', () => {
  let asked: string[];
  let ended: string[];

  beforeEach(() => {
    asked = [];
    ended = [];
  });

  function answer(node: string, status: number): exchange.Answer {
    const body = exchange.settleAfter(exchange.bodyOf(Buffer.from(node)), () => ended.push(node));
    return { head: { status, headers: [], requestId: 'r1', upstreamMs: 1 }, body };
  }

  function create(
    plays: Readonly<Record<string, Play>>,
    spec: Record<string, unknown> = { retryBudgetPct: 100 },
  ): dispatcher.Dispatcher {
    const cfg = fixtures.createSettings('entry', '');
    const time = new clock.SystemClock();
    const members = Object.keys(plays).map((node, n) =>
      // The first is in the nearest failure domain, so it is asked first.
      fixtures.member(node, 'r', n === 0 ? 'd' : 'e'),
    );
    const table = fixtures.createTable(() => members);
    const versions = new fixtures.AnyVersion();
    return new dispatcher.Dispatcher(
      cfg,
      fixtures.createConfig(fixtures.ROUTES, spec),
      new balancer.Balancer(cfg, table, time),
      versions,
      ({ node }) =>
        new FakeServer((signal) => {
          asked.push(node);
          const play = plays[node];
          if (play === undefined) throw new RangeError(node);
          return play(signal);
        }),
      new fixtures.UnrecordedOnceGuard(),
      new retryBudget.RetryBudget(time),
      new metrics.Metrics(),
    );
  }

  function request(route = SAFE, wholeBody: Uint8Array | null = BODY): dispatcher.CallerRequest {
    assert.ok(route);
    const head = { ...fixtures.HEAD, timeoutMs: 4_000 };
    const body = () => exchange.wholeBody(BODY);
    return { route, head, body, wholeBody, idempotencyKey: 'k1', mayHaveRun: false };
  }

  const { signal } = new AbortController();

  describe('when an upstream sheds with 503', () => {
    const shed = {
      first: () => Promise.resolve(answer('first', 503)),
      second: () => Promise.resolve(answer('second', 200)),
    };

    it('asks another server and drops the answer of the first', async () => {
      const got = await create(shed).dispatch(request(), signal);
      assert.equal(got.head.status, 200);
      assert.deepEqual(asked, ['first', 'second']);
      // Guards against a slot of the first server that is never released.
      assert.deepEqual(ended, ['first']);
    });

    it('passes it on for a once request, whose upstream may have done a part', async () => {
      const got = await create(shed).dispatch(request(ONCE), signal);
      assert.equal(got.head.status, 503);
      assert.deepEqual(asked, ['first']);
    });

    it('passes it on when the body was not kept or there is no other server', async () => {
      const got = await create(shed).dispatch(request(SAFE, null), signal);
      assert.equal(got.head.status, 503);
      const alone = await create({ first: shed.first }).dispatch(request(), signal);
      assert.equal(alone.head.status, 503);
      assert.deepEqual(asked, ['first', 'first']);
    });

    it('passes it on without a retry budget, so that retries add nothing to an overload', async () => {
      const got = await create(shed, { retryBudgetPct: 0 }).dispatch(request(), signal);
      assert.equal(got.head.status, 503);
      assert.deepEqual(asked, ['first']);
    });
  });

  it('tries a once request elsewhere after a refusal as draining, without a budget', async () => {
    const node = 'first';
    const plays = {
      first: () => Promise.reject(failures.raise({ type: 'draining', node, retryAfterMs: 1 })),
      second: () => Promise.resolve(answer('second', 200)),
    };
    const got = await create(plays, { retryBudgetPct: 0 }).dispatch(request(ONCE), signal);
    assert.equal(got.head.status, 200);
    assert.deepEqual(asked, ['first', 'second']);
  });

  it('leaves a frozen server for another one, and cancels the attempt there', async () => {
    let cancelled = false;
    const frozen: Play = (own) =>
      new Promise((_resolve, reject) => {
        own.addEventListener('abort', () => {
          cancelled = true;
          reject(failures.raise(failures.of(own.reason)));
        });
      });
    const plays = { first: frozen, second: () => Promise.resolve(answer('second', 200)) };
    const entry = create(plays);
    const brief = { ...request(), head: { ...fixtures.HEAD, timeoutMs: 1_200 } };
    const got = await entry.dispatch(brief, signal);
    assert.equal(got.head.status, 200);
    assert.deepEqual(asked, ['first', 'second']);
    assert.ok(cancelled);
  });
});
