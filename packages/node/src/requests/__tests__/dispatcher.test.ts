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

type Handler = (signal: AbortSignal) => Promise<exchange.Response>;

/** Server whose response is scripted by the test. */
class FakeServer extends exchange.Destination {
  constructor(private readonly handler: Handler) {
    super();
  }

  override forward(
    _head: unknown,
    _body: exchange.RequestBody,
    signal: AbortSignal,
  ): Promise<exchange.Response> {
    return this.handler(signal);
  }
}

describe('dispatcher', () => {
  let attempted: string[];
  let endedBodies: string[];

  beforeEach(() => {
    attempted = [];
    endedBodies = [];
  });

  function createResponse(node: string, status: number): exchange.Response {
    const body = exchange.notifyOnEnd(exchange.bodyOf(Buffer.from(node)), () =>
      endedBodies.push(node),
    );
    return { head: { status, headers: [], requestId: 'r1', upstreamMs: 1 }, body };
  }

  function create(
    handlers: Readonly<Record<string, Handler>>,
    spec: Record<string, unknown> = { retryBudgetPct: 100 },
  ): dispatcher.Dispatcher {
    const cfg = fixtures.createSettings('entry', '');
    const time = new clock.SystemClock();
    const members = Object.keys(handlers).map((node, n) =>
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
          attempted.push(node);
          const handler = handlers[node];
          if (handler === undefined) throw new RangeError(node);
          return handler(signal);
        }),
      new fixtures.UnrecordedOnceGuard(),
      new retryBudget.RetryBudget(time),
      new metrics.Metrics(),
    );
  }

  function request(route = SAFE, bufferedBody: Uint8Array | null = BODY): dispatcher.CallerRequest {
    assert.ok(route);
    const head = { ...fixtures.HEAD, timeoutMs: 4_000 };
    const body = () => exchange.bufferedBody(BODY);
    return { route, head, body, bufferedBody, idempotencyKey: 'k1', mayHaveRun: false };
  }

  const { signal } = new AbortController();

  describe('when an upstream sheds with 503', () => {
    const sheddingHandlers = {
      first: () => Promise.resolve(createResponse('first', 503)),
      second: () => Promise.resolve(createResponse('second', 200)),
    };

    it('retries at another server and discards the response of the first', async () => {
      const response = await create(sheddingHandlers).dispatch(request(), signal);
      assert.equal(response.head.status, 200);
      assert.deepEqual(attempted, ['first', 'second']);
      // Guards against a slot of the first server that is never released.
      assert.deepEqual(endedBodies, ['first']);
    });

    it('returns it for a once request, whose upstream may have done a part', async () => {
      const response = await create(sheddingHandlers).dispatch(request(ONCE), signal);
      assert.equal(response.head.status, 503);
      assert.deepEqual(attempted, ['first']);
    });

    it('returns it when the body was not buffered or there is no other server', async () => {
      const response = await create(sheddingHandlers).dispatch(request(SAFE, null), signal);
      assert.equal(response.head.status, 503);
      const onlyServer = await create({ first: sheddingHandlers.first }).dispatch(
        request(),
        signal,
      );
      assert.equal(onlyServer.head.status, 503);
      assert.deepEqual(attempted, ['first', 'first']);
    });

    it('returns it without a retry budget, so that retries do not add to an overload', async () => {
      const response = await create(sheddingHandlers, { retryBudgetPct: 0 }).dispatch(
        request(),
        signal,
      );
      assert.equal(response.head.status, 503);
      assert.deepEqual(attempted, ['first']);
    });
  });

  it('retries a once request elsewhere after a refusal as draining, without a budget', async () => {
    const node = 'first';
    const handlers = {
      first: () => Promise.reject(failures.toError({ type: 'draining', node, retryAfterMs: 1 })),
      second: () => Promise.resolve(createResponse('second', 200)),
    };
    const response = await create(handlers, { retryBudgetPct: 0 }).dispatch(request(ONCE), signal);
    assert.equal(response.head.status, 200);
    assert.deepEqual(attempted, ['first', 'second']);
  });

  it('retries at another server when one is frozen, and cancels the attempt there', async () => {
    let cancelled = false;
    const frozen: Handler = (attemptSignal) =>
      new Promise((_resolve, reject) => {
        attemptSignal.addEventListener('abort', () => {
          cancelled = true;
          reject(failures.toError(failures.fromError(attemptSignal.reason)));
        });
      });
    const handlers = {
      first: frozen,
      second: () => Promise.resolve(createResponse('second', 200)),
    };
    const entry = create(handlers);
    const shortRequest = { ...request(), head: { ...fixtures.HEAD, timeoutMs: 1_200 } };
    const response = await entry.dispatch(shortRequest, signal);
    assert.equal(response.head.status, 200);
    assert.deepEqual(attempted, ['first', 'second']);
    assert.ok(cancelled);
  });
});
