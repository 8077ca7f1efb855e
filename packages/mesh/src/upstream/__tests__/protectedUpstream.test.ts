import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as configuration from '../../config/configuration.js';
import * as coldState from '../../membership/coldState.js';
import * as localUpstream from '../../membership/localUpstream.js';
import * as meters from '../../observability/meters.js';
import * as evidence from '../../rollouts/evidence.js';
import type * as exchange from '../../routing/exchange.js';
import * as localDestination from '../localDestination.js';
import * as upstreamPool from '../upstreamPool.js';

const SLOTS = 4;

/** `/health` states a cold time, `/held/` gets its answer from `answerHeld`, others are answered at once. */
describe('LocalDestination', { timeout: 20_000 }, () => {
  let server: net.Server;
  let pool: upstreamPool.UpstreamPool;
  let subject: localDestination.LocalDestination;
  let upstream: localUpstream.LocalUpstream;
  let coldStart: configuration.ColdStart | null;
  let clockAheadMs: number;
  let received: string[];
  let held: net.Socket[];

  beforeEach(async () => {
    coldStart = null;
    clockAheadMs = 0;
    received = [];
    held = [];
    server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', (chunk) => {
        const path = String(chunk).split(' ')[1]!;
        received.push(path);
        if (path === '/held/') held.push(socket);
        else answer(socket);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const nowMs = () => performance.now() + clockAheadMs;
    const cold = new coldState.ColdState({
      coldStartOf: () => coldStart,
      isConfigured: () => true,
      nowMs,
    });
    upstream = new localUpstream.LocalUpstream(address, nowMs, cold);
    const codec = new fixtures.TestHeaders();
    pool = new upstreamPool.UpstreamPool(address, codec);
    subject = new localDestination.LocalDestination({
      upstream,
      pool,
      codec,
      log: fixtures.silentLog(),
      meters: meters.createMetrics(),
      evidence: new evidence.EvidenceRecorder(),
      quarantine: fixtures.suspects(),
      mayServe: () => true,
      transferWaitMs: () => 0,
      stoodStillMs: () => 0,
      nowMs,
    });
    announce(0);
  });

  afterEach(() => {
    pool.clear();
    for (const socket of held) socket.destroy();
    server.close();
  });

  function answer(socket: net.Socket): void {
    socket.write('HTTP/1.1 200 OK\r\nX-Cold-Ms: 700\r\nContent-Length: 2\r\n\r\nok');
  }

  function announce(coldRemainingMs: number): void {
    const { address } = upstream;
    const sequence = Math.round(performance.now() * 1_000);
    upstream.announce(fixtures.announcement({ address, slots: SLOTS, sequence, coldRemainingMs }));
  }

  async function send(
    path: string,
    overrides: Partial<exchange.ForwardedRequest> = {},
  ): Promise<string> {
    const req = fixtures.forwardedRequest({
      target: `/${path}/`,
      semantics: 'repeatable',
      instance: ids.instanceId('i-1'),
      targetLeftMs: 10_000,
      deadlineLeftMs: 30_000,
      ...overrides,
    });
    const { outcome } = await subject.send(req, new AbortController().signal);
    return outcome.type === 'refused' ? outcome.reason : outcome.type;
  }

  describe('of a cold upstream', () => {
    beforeEach(() => {
      coldStart = { durationMs: 20_000, perSecond: 4 };
      announce(20_000);
    });

    // The sender chose the same upstream again, since its load was low, and queued there at last.
    it('states the limit where the wait is too long for the sender', async () => {
      assert.equal(await send('a', { maxWaitMs: 8 }), 'limitReached');
      assert.deepEqual(received, []);
    });

    it('starts no more than the limit, whoever sends, and all at once when it is warm', async () => {
      const sent = Array.from({ length: 40 }, () => send('a'));
      await timers.setTimeout(1_100);
      const inFirstSecond = received.length;
      assert.ok(inFirstSecond >= 3 && inFirstSecond <= 5, String(inFirstSecond));
      announce(0);
      await timers.setTimeout(100);
      assert.equal(received.length, 40);
      await Promise.all(sent);
    });

    it('sends a health check as a request that counts', async () => {
      const startedMs = performance.now();
      const outcome = await subject.checkHealth('/health');
      assert.deepEqual(outcome, { type: 'answer', coldRemainingMs: 700 });
      assert.ok(performance.now() - startedMs > 200, 'waits for the limit');
      assert.deepEqual(received, ['/health']);
      assert.equal(subject.load, 0);
    });

    it('sends no health check to an upstream that has left', async () => {
      upstream.leave(ids.instanceId('i-1'), 1_000);
      assert.deepEqual(await subject.checkHealth('/health'), {
        type: 'none',
        reason: 'upstreamLeaving',
      });
    });
  });

  it('counts an upstream as cold when it refuses connections', async () => {
    coldStart = { durationMs: 20_000, perSecond: 4 };
    server.close();
    assert.equal(await send('a'), 'upstreamUnreachable');
    assert.equal(upstream.state!.limitPerSecond, 4);
  });

  describe('of an upstream that stops responding', () => {
    let running: Promise<string>[];

    beforeEach(async () => {
      for (let i = 0; i < 10; i += 1) await send('a');
      running = Array.from({ length: SLOTS }, () => send('held', { deadlineLeftMs: 400 }));
    });

    // Requests waited behind hung ones until their deadline, while other upstreams were free.
    it('refuses what waits and what comes, until an answer', async () => {
      const waiting = send('a');
      await timers.setTimeout(50);
      clockAheadMs = 5_000;
      assert.equal(await waiting, 'upstreamStalled');
      assert.equal(await send('a'), 'upstreamStalled');
      assert.equal(subject.isStalled, true);
      answer(held[0]!);
      assert.equal(await running[0], 'answer');
      assert.equal(await send('a'), 'answer');
    });

    it('tries it with one request at a time once a slot is free', async () => {
      await timers.setTimeout(50);
      clockAheadMs = 5_000;
      assert.equal(await send('a'), 'upstreamStalled', 'all slots are taken');
      await Promise.all(running);
      const probe = send('held');
      assert.equal(await send('a'), 'upstreamStalled');
      await timers.setTimeout(50);
      answer(held.at(-1)!);
      assert.equal(await probe, 'answer');
      assert.equal(await send('a'), 'answer');
    });
  });
});
