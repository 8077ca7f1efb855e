import * as assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import * as fixtures from '../../__tests__/fixtures.js';
import * as limitedHeap from '../../__tests__/limitedHeap.js';
import * as loopback from '../../__tests__/loopback.js';
import * as meters from '../../observability/meters.js';
import * as exchange from '../../routing/exchange.js';
import type * as quotaClient from '../../quotas/quotaClient.js';
import * as callerFixtures from './callerFixtures.js';

/** Old space of a worker that serves callers. */
const HEAP_MB = 32;
const UPLOADS = 2;

const CALLER = { closedBy: 'caller' };

const { BUFFERED_BYTES, LARGE_BYTES, answer } = callerFixtures;

describe('CallerServer', { timeout: 30_000 }, () => {
  let fixture: callerFixtures.CallerServerFixture;
  const callers: callerFixtures.Caller[] = [];

  beforeEach(async () => {
    fixture = await callerFixtures.startCallerServer();
  });

  afterEach(() => {
    for (const { socket } of callers.splice(0)) socket.destroy();
    fixture.server.closeIdle();
    fixture.upstream.release();
  });

  function connect(): callerFixtures.Caller {
    const caller = new callerFixtures.Caller(fixture.address);
    callers.push(caller);
    return caller;
  }

  /** Sends requests on one connection and waits until all have been passed on. */
  async function pass(caller: callerFixtures.Caller, ...ids: readonly string[]): Promise<void> {
    const expected = fixture.upstream.received.length + ids.length;
    caller.send(...ids);
    await loopback.until(() => fixture.upstream.received.length >= expected);
  }

  // An answer counted as given when it was queued, and a stopping node cut it.
  it('counts a request as in flight until its answer has been handed to the kernel', async () => {
    const caller = connect();
    await pass(caller, '1');
    caller.pauseAtFirstData();
    fixture.upstream.release(answer('1', Buffer.alloc(LARGE_BYTES)));
    await loopback.until(() => caller.socket.bytesRead > 0);
    assert.equal(fixture.server.inFlightCount, 1);
    caller.socket.resume();
    await loopback.until(() => caller.answers().length === 1);
    await loopback.until(() => fixture.server.inFlightCount === 0);
  });

  // Node's own check of the status throws; the request must still get its answer.
  it('answers 502 in place of an answer without a valid status', async () => {
    const caller = connect();
    await pass(caller, '1');
    fixture.upstream.release({ ...answer('1', Buffer.alloc(0)), status: 0 });
    await loopback.until(() => caller.answers().length === 1);
    assert.equal(caller.answers()[0]!.status, 502);
  });

  describe('with customers', () => {
    beforeEach(async () => {
      fixture.server.closeIdle();
      const customers = { acme: fixtures.customer('acme', ['k-1']) };
      fixture = await callerFixtures.startCallerServer(undefined, customers);
    });

    it('passes a request on under the name of its customer', async () => {
      const caller = connect();
      caller.socket.write(callerFixtures.request('1', 'k-1'));
      await loopback.until(() => fixture.upstream.received.length === 1);
      assert.equal(fixture.upstream.received[0]!.customer, 'acme');
    });

    // An unknown key must neither run a request nor appear where others can read it.
    it('answers 401 to unknown keys, without a trace of the key', async () => {
      const caller = connect();
      caller.socket.write(callerFixtures.request('1', 'secret') + callerFixtures.request('2'));
      await loopback.until(() => caller.answers().length === 2);
      assert.deepEqual(
        caller.answers().map(({ status }) => status),
        [401, 401],
      );
      assert.equal(fixture.upstream.received.length, 0);
      assert.ok(!JSON.stringify(fixture.lines).includes('secret'));
      assert.ok(!fixture.metrics.render().includes('secret'));
    });
  });

  describe('with quotas', () => {
    beforeEach(async () => {
      fixture.server.closeIdle();
      const quota = { ratePerSecond: 10, burst: 5 };
      const customers = { acme: fixtures.customer('acme', ['k-1'], { quota }) };
      fixture = await callerFixtures.startCallerServer(undefined, customers);
    });

    // A refused request must not run, and the caller must learn when the next one is within the quota.
    // The request ran for nobody, beside the one that its caller had sent in its place.
    it('does not dispatch a request whose caller left while it waited for a permit', async () => {
      let grant = (_decision: quotaClient.Decision) => {};
      const admitted = await fixture.quotas.decision;
      fixture.quotas.decision = new Promise((resolve) => {
        grant = resolve;
      });
      const caller = connect();
      caller.socket.write(callerFixtures.request('1', 'k-1'));
      await loopback.until(() => fixture.server.inFlightCount === 1);
      caller.socket.destroy();
      await loopback.until(() => fixture.metrics.counter(meters.INTERRUPTED_ANSWERS, CALLER) === 1);
      grant(admitted);
      await loopback.until(() => fixture.quotas.released.length === 1);
      assert.equal(fixture.upstream.received.length, 0);
    });

    it('answers 429 with the time to wait to a request over its quota', async () => {
      fixture.quotas.decision = { type: 'refused', reason: 'overQuota', retryAfterMs: 62 };
      const caller = connect();
      caller.socket.write(callerFixtures.request('1', 'k-1'));
      await loopback.until(() => caller.answers().length === 1);
      assert.equal(caller.answers()[0]!.status, 429);
      assert.match(caller.received(), /\r\nRetry-After: 0\.062\r\n/);
      assert.equal(fixture.upstream.received.length, 0);
    });

    // Refusals for lack of capacity used up the quota of a customer that stayed below it.
    it('returns the permit of a request that was refused, and of no other', async () => {
      const caller = connect();
      const run = async (id: string, outcome: exchange.Outcome) => {
        caller.socket.write(callerFixtures.request(id, 'k-1'));
        await loopback.until(() => fixture.upstream.received.length === Number(id));
        fixture.upstream.release(outcome);
        await loopback.until(() => caller.answers().length === Number(id));
      };
      await run('1', callerFixtures.answer('1', Buffer.alloc(0)));
      assert.equal(fixture.quotas.released.length, 0);
      await run('2', exchange.refused('test', 10));
      assert.equal(fixture.quotas.released.length, 1);
    });
  });

  describe('while it drains', () => {
    // The first answer closed the connection, and those of the other requests were never written.
    it('answers all pipelined requests that were passed on, and closes after the last', async () => {
      const caller = connect();
      await pass(caller, '1', '2', '3');
      fixture.server.drain();
      for (const id of ['1', '2', '3']) {
        fixture.upstream.releaseFirst(answer(id, Buffer.from(id)));
      }
      await loopback.until(() => caller.isClosed);
      assert.deepEqual(
        caller.answers().map(({ id, closesConnection }) => ({ id, closesConnection })),
        [
          { id: '1', closesConnection: false },
          { id: '2', closesConnection: false },
          { id: '3', closesConnection: true },
        ],
      );
    });

    // Such a request was passed on although its connection was about to close.
    it('does not pass on a request that follows an answer that closes the connection', async () => {
      const caller = connect();
      await pass(caller, '1');
      fixture.server.drain();
      caller.pauseAtFirstData();
      fixture.upstream.release(answer('1', Buffer.alloc(LARGE_BYTES)));
      await loopback.until(() => caller.socket.bytesRead > 0);
      caller.send('2');
      // The request on another connection is read later than the one before.
      await pass(connect(), '3');
      caller.socket.resume();
      await loopback.until(() => caller.isClosed);
      assert.deepEqual(
        caller.answers().map(({ id, closesConnection }) => ({ id, closesConnection })),
        [{ id: '1', closesConnection: true }],
      );
      assert.deepEqual(
        fixture.upstream.received.map(({ requestId }) => requestId),
        ['1', '3'],
      );
    });
  });

  // The closed connection was reset by the next request, and the rest of the answer was lost on the way.
  it('delivers an answer that closes the connection although another request follows', async () => {
    const caller = connect();
    await pass(caller, '1');
    fixture.server.drain();
    caller.pauseAtFirstData();
    fixture.upstream.release(answer('1', Buffer.alloc(BUFFERED_BYTES)));
    await loopback.until(() => caller.socket.bytesRead > 0 && fixture.server.inFlightCount === 0);
    fixture.server.closeIdle();
    await new Promise((resolve) => {
      caller.socket.write(callerFixtures.request('2'), resolve);
    });
    assert.equal(fixture.server.hasEndingConnections, true);
    caller.socket.resume();
    await loopback.until(() => caller.isClosed);
    assert.deepEqual(
      caller.answers().map(({ id, bodyBytes }) => ({ id, bodyBytes })),
      [{ id: '1', bodyBytes: BUFFERED_BYTES }],
    );
    caller.socket.end();
    await loopback.until(() => !fixture.server.hasEndingConnections);
    assert.equal(fixture.upstream.received.length, 1);
  });

  // The answer to the malformed request was written in the place of an earlier request's answer.
  it('answers the requests before a malformed one, and closes after the last', async () => {
    const caller = connect();
    await pass(caller, '1', '2');
    caller.socket.write('malformed\r\n\r\n');
    const logged = 'callers: a connection sent a malformed request';
    await loopback.until(() => caller.isClosed || fixture.lines.some(({ msg }) => msg === logged));
    for (const id of ['1', '2']) fixture.upstream.releaseFirst(answer(id, Buffer.from(id)));
    await loopback.until(() => caller.isClosed);
    assert.deepEqual(
      caller.answers().map(({ status, id }) => ({ status, id })),
      [
        { status: 200, id: '1' },
        { status: 200, id: '2' },
      ],
    );
  });

  it('answers a malformed request with 400 on a connection without other requests', async () => {
    const caller = connect();
    caller.socket.write('malformed\r\n\r\n');
    await loopback.until(() => caller.isClosed);
    assert.deepEqual(
      caller.answers().map(({ status }) => status),
      [400],
    );
  });

  // A stopping node exited while answers were still queued at the upstream's host; their callers got nothing.
  it('answers the requests that are open when a stop ends', async () => {
    const caller = connect();
    await pass(caller, '1');
    fixture.server.answerBy(performance.now());
    await loopback.until(() => caller.answers().length === 1);
    assert.equal(caller.answers()[0]!.status, 504);
  });

  it('passes requests on with no more time than the stop has left', async () => {
    const leftMs = 15_000;
    fixture.server.answerBy(performance.now() + leftMs);
    await pass(connect(), '1');
    const { deadlineLeftMs } = fixture.upstream.received[0]!;
    assert.ok(deadlineLeftMs > 0 && deadlineLeftMs <= leftMs, `${deadlineLeftMs}`);
  });

  describe('a request whose body cannot be read', () => {
    const post = 'POST /r/body HTTP/1.1\r\nHost: host.example\r\nX-Id: body\r\n';
    const badChunk = `${post}Transfer-Encoding: chunked\r\n\r\nZZ\r\nabc`;

    // Node reports the parse error, and ends neither the request nor its connection.
    it('is answered with 400 and closes its connection', async () => {
      const caller = connect();
      caller.socket.write(badChunk);
      await loopback.until(() => caller.isClosed);
      assert.deepEqual(
        caller.answers().map(({ status }) => status),
        [400],
      );
      await loopback.until(() => fixture.server.inFlightCount === 0);
      assert.equal(fixture.upstream.received.length, 0);
    });

    it('is answered after the requests before it', async () => {
      const caller = connect();
      await pass(caller, '1');
      caller.socket.write(badChunk);
      const logged = 'callers: a connection sent a malformed request';
      await loopback.until(() => fixture.lines.some(({ msg }) => msg === logged));
      fixture.upstream.releaseFirst(answer('1', Buffer.from('1')));
      await loopback.until(() => caller.isClosed);
      assert.deepEqual(
        caller.answers().map(({ status }) => status),
        [200, 400],
      );
    });

    // The unfinished request counted as in flight for good, and each stop waited for it.
    it('ends if its caller leaves during the upload', async () => {
      const caller = connect();
      caller.socket.write(`${post}Content-Length: 100\r\n\r\nabc`);
      await loopback.until(() => fixture.server.inFlightCount === 1);
      caller.socket.end();
      await loopback.until(() => fixture.server.inFlightCount === 0 && caller.isClosed);
    });
  });

  // One object for each chunk exhausted the heap of the process.
  it('holds uploads in chunks of one byte within a small heap', async () => {
    const bodyBytes = 1_000_000;
    const address = await loopback.freeAddress();
    const module = new URL('uploadWorker.js', import.meta.url);
    const sizes = limitedHeap.run(module, { address, uploads: UPLOADS }, HEAP_MB);
    const head =
      'POST /r/a HTTP/1.1\r\nHost: host.example\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n';
    const chunks = '1\r\nx\r\n'.repeat(bodyBytes);
    await loopback.untilListening(address);
    for (let i = 0; i < UPLOADS; i++) {
      const caller = new callerFixtures.Caller(address);
      callers.push(caller);
      caller.socket.write(`${head}${chunks}0\r\n\r\n`);
    }
    assert.deepEqual(
      await sizes,
      Array.from({ length: UPLOADS }, () => bodyBytes),
    );
  });

  // Node does not count a connection as idle before its first request. Such a request was passed on just
  // before the process exited.
  it('refuses a request that arrives after the idle connections were closed', async () => {
    const caller = connect();
    await loopback.until(() => !caller.socket.connecting);
    await pass(connect(), 'earlier');
    fixture.server.closeIdle();
    caller.send('1');
    await loopback.until(() => caller.isClosed || fixture.upstream.received.length > 1);
    assert.equal(fixture.upstream.received.length, 1);
    assert.deepEqual(
      caller.answers().map(({ status, closesConnection }) => ({ status, closesConnection })),
      [{ status: 503, closesConnection: true }],
    );
  });

  const interrupted = (closedBy: string) =>
    fixture.metrics.counter(meters.INTERRUPTED_ANSWERS, { closedBy });

  function interruptedLine(): object {
    const message = 'callers: a connection ended before its answer was complete';
    const line = fixture.lines.find(({ msg }) => msg === message);
    assert.ok(line !== undefined);
    const { requestId, closedBy, ahead, hasAnswer } = line;
    assert.equal(typeof line.ageMs, 'number');
    return { requestId, closedBy, ahead, hasAnswer, isUnwritten: Number(line.unwrittenBytes) > 0 };
  }

  // An answer that was cut left no trace, so that it could not be told who had closed the connection.
  describe('records a connection that ends before its answer is complete', () => {
    it('if the caller closes it before the answer', async () => {
      const caller = connect();
      await pass(caller, '1');
      caller.socket.destroy();
      await loopback.until(() => interrupted('caller') === 1);
      const expected = { requestId: '1', closedBy: 'caller', ahead: 0, hasAnswer: false };
      assert.deepEqual(interruptedLine(), { ...expected, isUnwritten: false });
      // The upstream still runs the request.
      fixture.server.recordUnanswered();
      assert.deepEqual([interrupted('caller'), interrupted('node')], [1, 0]);
    });

    it('if the caller resets it while the answer is being written', async () => {
      const caller = connect();
      await pass(caller, '1');
      caller.pauseAtFirstData();
      fixture.upstream.release(answer('1', Buffer.alloc(LARGE_BYTES)));
      await loopback.until(() => caller.socket.bytesRead > 0);
      caller.socket.resetAndDestroy();
      await loopback.until(() => interrupted('caller') === 1);
      const expected = { requestId: '1', closedBy: 'caller', ahead: 0, hasAnswer: true };
      assert.deepEqual(interruptedLine(), { ...expected, isUnwritten: true });
    });

    it('if this node exits', async () => {
      const caller = connect();
      await pass(caller, '1');
      fixture.server.recordUnanswered();
      const expected = { requestId: '1', closedBy: 'node', ahead: 0, hasAnswer: false };
      assert.deepEqual(interruptedLine(), { ...expected, isUnwritten: false });
      assert.equal(interrupted('node'), 1);
    });

    it('and no other one', async () => {
      const caller = connect();
      await pass(caller, '1');
      fixture.upstream.release(answer('1', Buffer.alloc(LARGE_BYTES)));
      await loopback.until(() => caller.answers().length === 1);
      caller.socket.destroy();
      const next = connect();
      await pass(next, '2');
      fixture.server.recordUnanswered();
      assert.deepEqual([interrupted('caller'), interrupted('node')], [0, 1]);
    });
  });
});
