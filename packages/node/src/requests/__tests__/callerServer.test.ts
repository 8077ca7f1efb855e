import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { failures } from '@godwittrack/core';
import * as exchange from '../exchange.js';
import * as fixtures from './requestFixtures.js';

const TIMEOUT_MS = 400;

async function waitUntilIdle(stack: fixtures.Stack): Promise<void> {
  for (let n = 0; n < 100 && stack.admissionControl.inFlight + stack.callers.inFlight > 0; n++) {
    await timers.setTimeout(20);
  }
}

describe('requests through a node', () => {
  afterEach(fixtures.closeAll);

  it('release their slots however they end', async () => {
    // Guards against slots that leak with HEAD requests, 204 and 304 responses and disconnects.
    const stack = await fixtures.createStack((req, res) => {
      const status = Number(/status=(\d+)/.exec(req.url ?? '')?.[1] ?? 200);
      if (req.url?.includes('slow')) return;
      res.writeHead(status, status === 200 ? { 'Content-Length': 5 } : {});
      res.end(req.method === 'HEAD' || status !== 200 ? undefined : 'hello');
    });
    for (let n = 0; n < 3; n++) {
      assert.equal((await fixtures.call(stack.port, '/safe', { method: 'HEAD' })).status, 200);
      assert.equal((await fixtures.call(stack.port, '/safe?status=204')).status, 204);
      assert.equal((await fixtures.call(stack.port, '/safe?status=304')).status, 304);
      const abandoned = http.get({ host: '127.0.0.1', port: stack.port, path: '/safe?slow' });
      abandoned.on('error', () => undefined);
      setTimeout(() => abandoned.destroy(), 20);
      await timers.setTimeout(60);
    }
    await waitUntilIdle(stack);
    assert.deepEqual([stack.admissionControl.inFlight, stack.callers.inFlight], [0, 0]);
    assert.equal((await fixtures.call(stack.port, '/safe')).body.toString(), 'hello');
  });

  it('release their slots when the caller does not read the response', async () => {
    const stack = await fixtures.createStack((_req, res) => {
      res.end(Buffer.alloc(32 * 1024 * 1024));
    });
    const caller = net.connect(stack.port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.write('GET /safe HTTP/1.1\r\nHost: a\r\n\r\n');
    caller.pause();
    await timers.setTimeout(TIMEOUT_MS + 200);
    await waitUntilIdle(stack);
    assert.deepEqual([stack.admissionControl.inFlight, stack.callers.inFlight], [0, 0]);
    caller.destroy();
  });

  it('release their slots when the caller disconnects after pipelining several', async () => {
    // Guards against requests pipelined behind the first one that keep running after the caller
    // disconnected, and count as in flight forever.
    const running = new Set<string>();
    const serve: http.RequestListener = (req, res) => {
      running.add(req.url!);
      res.on('close', () => running.delete(req.url!));
    };
    const stack = await fixtures.createStack(serve, { slots: 3 });
    const caller = net.connect(stack.port, '127.0.0.1');
    const paths = ['/safe?1', '/safe?2', '/safe?3'];
    caller.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
    while (running.size < paths.length) await timers.setTimeout(5);
    caller.destroy();
    await waitUntilIdle(stack);
    assert.deepEqual(
      [stack.admissionControl.inFlight, stack.callers.inFlight, [...running]],
      [0, 0, []],
    );
  });

  it('send a body with its framing, so that the upstream reads one request', async () => {
    // Guards against a chunked GET or DELETE body that the upstream reads as another request.
    const seen: string[] = [];
    const stack = await fixtures.createStack((req, res) => {
      req.resume();
      req.on('end', () => {
        seen.push(`${req.method} ${req.url}`);
        res.end('ok');
      });
    });
    const inner = 'POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
    const chunked = `${inner.length.toString(16)}\r\n${inner}\r\n0\r\n\r\n`;
    for (const method of ['GET', 'DELETE', 'OPTIONS']) {
      const head = `${method} /safe HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n`;
      await fixtures.sendRaw(stack.port, `${head}Connection: close\r\n\r\n${chunked}`);
    }
    assert.deepEqual(seen, ['GET /safe', 'DELETE /safe', 'OPTIONS /safe']);
  });

  it('are refused when they are malformed, and only their connection is closed', async () => {
    let runs = 0;
    const stack = await fixtures.createStack((_req, res) => {
      runs += 1;
      res.end('ok');
    });
    const base = 'POST /safe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n';
    const malformed = [
      `${base}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
      `${base}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello`,
      `${base}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
      `${base}X: a\rb\r\n\r\n`,
      'POST /safe HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n',
      'GET /safe/../once HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
      'GET /safe/%2e%2E/once HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
      'GET /safe/..%2fonce HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
      'GET //safe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
    ];
    for (const text of malformed) {
      assert.match(await fixtures.sendRaw(stack.port, text), /^HTTP\/1.1 400 /, text);
    }
    const long = `GET /safe/${'x'.repeat(20_000)} HTTP/1.1\r\nHost: a\r\n\r\n`;
    assert.match(await fixtures.sendRaw(stack.port, long), /^HTTP\/1.1 431 /);
    assert.equal(runs, 0);
    assert.equal((await fixtures.call(stack.port, '/safe')).status, 200);
  });

  it('are refused with 413 when the upload passes the limit midway', async () => {
    const stack = await fixtures.createStack((req) => {
      req.resume();
    });
    const headers = { 'Transfer-Encoding': 'chunked' };
    const body = Buffer.alloc(300 * 1024);
    const options = { method: 'POST', headers, body };
    const reply = await fixtures.call(stack.port, '/safe', options);
    assert.equal(reply.status, 413);
    assert.equal(reply.headers['x-godwittrack-outcome'], 'unknown');
    await waitUntilIdle(stack);
    assert.equal(stack.admissionControl.inFlight, 0);
  });

  it('do not forward an outcome header that the upstream has set', async () => {
    const stack = await fixtures.createStack((_req, res) => {
      res.setHeader('X-Godwittrack-Outcome', 'notRun');
      res.end('ran');
    });
    const reply = await fixtures.call(stack.port, '/safe');
    assert.equal(reply.headers['x-godwittrack-outcome'], undefined);
  });

  it('end at their deadline with a response that states their outcome', async () => {
    const stack = await fixtures.createStack(() => undefined, { slots: 1 });
    const reply = await fixtures.call(stack.port, '/safe', { headers: { 'x-request-id': 'mine' } });
    assert.equal(reply.status, 504);
    assert.equal(reply.headers['x-godwittrack-outcome'], 'unknown');
    assert.equal(reply.headers['x-request-id'], 'mine');
    assert.ok(Number(reply.headers['retry-after']) >= 1);
  });

  it('say notRun only for what no attempt can have run', async () => {
    // Guards against a later refusal that hides an earlier attempt whose outcome is unknown.
    let attempts = 0;
    class Flaky extends exchange.Destination {
      override forward(): Promise<exchange.Response> {
        attempts += 1;
        const { SERVICE: service } = fixtures;
        return Promise.reject(
          attempts === 1
            ? failures.toError({ type: 'upstreamFailed', service, detail: 'reset', started: true })
            : failures.toError({ type: 'queueFull', service, retryAfterMs: 10 }),
        );
      }
    }
    const stack = await fixtures.createStack(() => undefined, { wrap: () => new Flaky() });
    const reply = await fixtures.call(stack.port, '/safe');
    assert.equal(attempts, 2);
    assert.equal(reply.headers['x-godwittrack-outcome'], 'unknown');
    const refused = await fixtures.call(stack.port, '/safe');
    assert.equal(refused.headers['x-godwittrack-outcome'], 'notRun');
  });

  it('run once where the route says so, and need a key', async () => {
    let runs = 0;
    const stack = await fixtures.createStack((req) => {
      runs += 1;
      req.socket.destroy();
    });
    const withoutKey = await fixtures.call(stack.port, '/once', { method: 'POST' });
    assert.equal(withoutKey.status, 400);
    assert.equal(withoutKey.headers['x-godwittrack-outcome'], 'notRun');
    const headers = { 'idempotency-key': 'k1' };
    const reply = await fixtures.call(stack.port, '/once', { method: 'POST', headers });
    assert.equal(reply.status, 502);
    assert.equal(reply.headers['x-godwittrack-outcome'], 'unknown');
    assert.equal(runs, 1);
    const withoutRoute = await fixtures.call(stack.port, '/none', { method: 'POST', headers });
    assert.equal(withoutRoute.headers['x-godwittrack-outcome'], 'unknown');
  });

  it('stop at the hop limit, also with a count that is no number', async () => {
    const stack = await fixtures.createStack((req, res) => {
      res.end(String(req.headers['x-godwittrack-hops']));
    });
    const withHops = (hops: string) =>
      fixtures.call(stack.port, '/safe', { headers: { 'x-godwittrack-hops': hops } });
    assert.equal((await withHops('3')).body.toString(), '4');
    for (const hops of ['8', '-5', 'many', '1e1']) assert.equal((await withHops(hops)).status, 508);
  });

  it('are not sent to an upstream that began to drain while they were queued', async () => {
    let runs = 0;
    const stack = await fixtures.createStack(
      (_req, res) => {
        runs += 1;
        setTimeout(() => res.end('ok'), 100);
      },
      { slots: 1 },
    );
    const first = fixtures.call(stack.port, '/safe');
    await timers.setTimeout(30);
    const waiting = fixtures.call(stack.port, '/safe');
    await timers.setTimeout(30);
    const { upstream } = stack.local;
    if (upstream === null) throw new Error('no upstream');
    const { service, version, address, slots, connections } = upstream;
    stack.local.announce({ service, version, address, slots, connections, state: 'draining' });
    assert.equal((await first).status, 200);
    const refused = await waiting;
    assert.equal(refused.status, 503);
    assert.equal(refused.headers['x-godwittrack-outcome'], 'notRun');
    assert.equal(runs, 1);
  });

  it('leave no idle connection when the node drains, and get complete responses', async () => {
    // Guards against a keep-alive connection that is closed while its next request is on the way.
    let finish = () => {};
    const stack = await fixtures.createStack((req, res) => {
      if (req.url?.includes('slow')) {
        finish = () => res.end('ended');
      } else res.end('ok');
    });
    const agent = new http.Agent({ keepAlive: true });
    const idle = () => Object.values(agent.freeSockets).flat().length;
    const call = (path: string) => fixtures.call(stack.port, path, { agent });
    try {
      await call('/safe');
      await timers.setTimeout(20);
      assert.equal(idle(), 1, 'the connection is kept alive before the drain');
      const slow = call('/safe?slow');
      await timers.setTimeout(50);
      stack.local.setDraining();
      const late = await call('/safe');
      assert.equal(late.headers.connection, 'close');
      stack.callers.stopAccepting();
      finish();
      assert.equal((await slow).body.toString(), 'ended');
      await timers.setTimeout(20);
      assert.equal(idle(), 0);
      assert.equal(stack.callers.inFlight, 0);
    } finally {
      agent.destroy();
    }
  });
});
