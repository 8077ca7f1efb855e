import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as localUpstream from '../../membership/localUpstream.js';
import * as meters from '../../observability/meters.js';
import * as frames from '../../peers/frames.js';
import * as evidence from '../../rollouts/evidence.js';
import type * as exchange from '../../routing/exchange.js';
import * as localDestination from '../localDestination.js';
import * as upstreamPool from '../upstreamPool.js';

const LARGE = 'large';
const TRANSFER_WAIT_MS = 5_000;

/** Answers a request for `/large/` with a body that waits for the uplink, any other with a small one. */
function answerTo(requestText: string): string {
  const isLarge = requestText.startsWith(`GET /${LARGE}/`);
  const body = 'x'.repeat(isLarge ? frames.MAX_WHOLE_FRAME_BYTES + 1 : 10);
  return `HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe('LocalDestination', { timeout: 20_000 }, () => {
  let server: net.Server;
  let pool: upstreamPool.UpstreamPool;
  let subject: localDestination.LocalDestination;
  let transferWaitMs: (bytes: number) => number;

  beforeEach(async () => {
    transferWaitMs = () => TRANSFER_WAIT_MS;
    server = net.createServer((socket) => {
      socket.on('data', (chunk) => socket.write(answerTo(String(chunk))));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const upstream = new localUpstream.LocalUpstream(address);
    const codec = new fixtures.TestHeaders();
    pool = new upstreamPool.UpstreamPool(address, codec);
    subject = new localDestination.LocalDestination({
      upstream,
      pool,
      codec,
      log: fixtures.silentLog(),
      meters: meters.createMetrics(),
      evidence: new evidence.EvidenceRecorder(() => false),
      mayServe: () => true,
      transferWaitMs: (bytes) => transferWaitMs(bytes),
      nowMs: () => performance.now(),
    });
    upstream.announce(fixtures.announcement({ address }));
  });

  afterEach(() => {
    pool.clear();
    server.close();
  });

  function send(
    route: string,
    overrides: Partial<exchange.ForwardedRequest> = {},
  ): Promise<exchange.Delivery> {
    const req = fixtures.forwardedRequest({
      route: ids.routeName(route),
      target: `/${route}/`,
      instance: ids.instanceId('i-1'),
      targetLeftMs: 10_000,
      deadlineLeftMs: 30_000,
      ...overrides,
    });
    return subject.send(req, new AbortController().signal);
  }

  it('reports the wait for the uplink', async () => {
    const { report } = await send('small');
    assert.equal(report?.transferWaitMs, TRANSFER_WAIT_MS);
  });

  // The report that came with a large answer left that answer out, so the sender chose the host again.
  it('counts an answer in the report that comes with it', async () => {
    await send(LARGE);
    transferWaitMs = (bytes) => bytes;
    const { report } = await send(LARGE);
    assert.equal(report?.transferWaitMs, frames.MAX_WHOLE_FRAME_BYTES + 1);
  });

  // Guards against senders with an old report: all of them choose the host whose uplink was idle then.
  it('refuses a large answer that the uplink delays beyond the limit of the sender', async () => {
    // The size of the answers is known from the first one.
    assert.equal((await send(LARGE)).outcome.type, 'answer');
    const { outcome } = await send(LARGE, { maxWaitMs: TRANSFER_WAIT_MS - 1 });
    assert.equal(outcome.type === 'refused' && outcome.reason, 'waitTooLong');
    const accepted = await send(LARGE, { maxWaitMs: TRANSFER_WAIT_MS });
    assert.equal(accepted.outcome.type, 'answer');
  });

  it('refuses a large answer that the uplink delays beyond the deadline of the caller', async () => {
    await send(LARGE);
    const { outcome } = await send(LARGE, { deadlineLeftMs: TRANSFER_WAIT_MS });
    assert.equal(outcome.type === 'refused' && outcome.reason, 'noTimeLeft');
  });

  it('does not count the uplink for small answers and for callers on the same host', async () => {
    const limits = { maxWaitMs: 1, deadlineLeftMs: TRANSFER_WAIT_MS };
    for (const request of [
      { route: 'small', fromOtherHost: true },
      { route: LARGE, fromOtherHost: false },
    ]) {
      const { route, fromOtherHost } = request;
      await send(route);
      const { outcome } = await send(route, { ...limits, fromOtherHost });
      assert.equal(outcome.type, 'answer', route);
    }
  });
});
