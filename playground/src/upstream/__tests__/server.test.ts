import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as nodeHttp from 'node:http';
import { afterEach, beforeEach, describe, it } from 'node:test';
import got from 'got';
import * as addresses from '../../common/address.js';
import * as http from '../../common/http.js';
import * as clients from '../../harness/clients.js';
import * as wait from '../../harness/wait.js';
import * as upstreams from '../server.js';

interface AdminCall {
  method: string;
  state: string | undefined;
}

describe('upstream stand-in', () => {
  let admin: nodeHttp.Server;
  let adminCalls: AdminCall[];
  let upstream: upstreams.Upstream;
  let control: clients.UpstreamControl;
  let url: string;

  function send(path: string, headers: Record<string, string> = {}, signal?: AbortSignal) {
    const options = { headers, signal, retry: { limit: 0 }, throwHttpErrors: false };
    return got(`${url}${path}`, { ...options, responseType: 'buffer' });
  }

  const waitForInFlight = (count: number) =>
    wait.waitFor(`${count} in flight`, async () => (await control.stats()).inFlight === count);

  beforeEach(async () => {
    adminCalls = [];
    admin = nodeHttp.createServer((req, res) => {
      void http.readBody(req, 10_000).then((body) => {
        const { state } = (body.length > 0 ? http.parseJson(body) : {}) as { state?: string };
        adminCalls.push({ method: req.method ?? '', state });
        res.end(JSON.stringify({ renewWithinMs: 60 }));
      });
    });
    const adminUrl = `http://${await addresses.listen(admin, '127.0.0.1:0')}`;
    upstream = await upstreams.createUpstream({
      service: 'storefront',
      version: 'v1',
      server: 'storefront-1',
      slots: 2,
      adminUrl,
      serviceTimeMs: 0,
      drainQuietMs: 50,
    });
    control = new clients.UpstreamControl(`http://${upstream.controlAddress}`);
    url = `http://${upstream.address}`;
  });

  afterEach(async () => {
    await upstream.drain();
    admin.close();
    admin.closeAllConnections();
  });

  it('counts the runs of each idempotency key, so that duplicates are detected', async () => {
    for (const key of ['a', 'b', 'b']) await send('/orders', { 'idempotency-key': key });
    const runs = await control.runs();
    assert.deepEqual(runs, { total: 3, byPath: { '/orders': 3 }, keys: { a: 1, b: 2 } });
    assert.deepEqual((await control.duplicates()).keys, { b: 2 });
    assert.deepEqual((await control.runs('a')).keys, { a: 1 });
  });

  it('echoes the request id and a checksum, so that mixed-up answers are detected', async () => {
    const ids = [...Array(2).keys()].map((n) => `request-${n}`);
    const answers = await Promise.all(
      ids.map((id) => send('/proofs?bytes=100000', { 'x-request-id': id })),
    );
    answers.forEach(({ body, headers }, n) => {
      assert.equal(body.length, 100_000);
      assert.ok(body.toString().startsWith(`request-${n}\nrequest-${n}\n`));
      assert.equal(headers['x-checksum'], upstreams.checksum(body));
      assert.equal(headers['x-request-id'], ids[n]);
      assert.equal(headers['x-upstream-version'], 'v1');
      assert.equal(headers['x-upstream-server'], 'storefront-1');
    });
  });

  it('sheds requests beyond its slots and does not count them as runs', async () => {
    await control.change({ rules: [{ addedLatencyMs: 30_000 }] });
    const caller = new AbortController();
    const held = [1, 2].map(() => assert.rejects(send('/slow', {}, caller.signal)));
    await waitForInFlight(2);
    const shed = await send('/slow', { 'idempotency-key': 'shed' });
    assert.equal(shed.statusCode, 503);
    assert.ok(Number(shed.headers['retry-after']) > 0);
    assert.deepEqual((await control.runs()).keys, {});
    caller.abort();
    await Promise.all(held);
    await waitForInFlight(0);
    assert.equal((await control.stats()).cancelled, 2);
  });

  it('aborts a run at its deadline', async () => {
    await control.change({ rules: [{ addedLatencyMs: 30_000 }] });
    assert.equal((await send('/slow', { 'x-request-timeout-ms': '40' })).statusCode, 504);
    const { expired, inFlight: left } = await control.stats();
    assert.deepEqual({ expired, left }, { expired: 1, left: 0 });
  });

  it('fails only on the path and after the request count of a rule, and can report fixed health', async () => {
    const rule = { pathPrefix: '/plates', afterRequests: 1, errorRate: 1, errorStatus: 502 };
    await control.change({ rules: [rule], health: 'alwaysHealthy' });
    const statuses = [];
    for (const path of ['/plates', '/proofs', '/plates/2', '/proofs', '/healthz']) {
      statuses.push((await send(path)).statusCode);
    }
    assert.deepEqual(statuses, [200, 200, 502, 200, 200]);
    await control.change({ health: 'truthful' });
    assert.equal((await send('/healthz')).statusCode, 503);
  });

  it('fails only above the number of requests in flight that a rule sets', async () => {
    const slow = { pathPrefix: '/slow', addedLatencyMs: 30_000 };
    await control.change({ rules: [slow, { aboveInFlight: 1, errorRate: 1 }] });
    assert.equal((await send('/proofs')).statusCode, 200);
    const caller = new AbortController();
    const held = assert.rejects(send('/slow', {}, caller.signal));
    await waitForInFlight(1);
    assert.equal((await send('/proofs')).statusCode, 500);
    caller.abort();
    await held;
  });

  it('truncates answers on request, which clients can detect', async () => {
    await control.change({ rules: [{ truncateRate: 1 }] });
    await assert.rejects(send('/proofs?bytes=100000'));
    await assert.rejects(send('/proofs?bytes=100000&chunked'));
  });

  it('renews, announces the drain, finishes requests in flight, and only then withdraws', async () => {
    const renewed = () => adminCalls.filter(({ state }) => state === 'serving').length >= 3;
    await wait.waitFor('renewals', renewed);
    await control.change({ rules: [{ addedLatencyMs: 300 }] });
    const pending = send('/slow');
    await waitForInFlight(1);
    const drained = upstream.drain();
    await wait.waitFor('the drain', () => adminCalls.some(({ state }) => state === 'draining'));
    assert.equal((await send('/late')).statusCode, 200);
    assert.ok(adminCalls.every(({ method }) => method !== 'DELETE'));
    assert.equal((await pending).statusCode, 200);
    await drained;
    assert.deepEqual(adminCalls.at(-1), { method: 'DELETE', state: undefined });
    await assert.rejects(send('/gone'), { code: 'ECONNREFUSED' });
  });

  it('refuses connections over its limit', async () => {
    const limited = await upstreams.createUpstream({
      ...{ service: 's', version: 'v1', server: 'limited', slots: 1, connections: 1 },
    });
    const agent = new nodeHttp.Agent({ keepAlive: true });
    const [first] = (await once(
      nodeHttp.get(`http://${limited.address}/healthz`, { agent }),
      'response',
    )) as [nodeHttp.IncomingMessage];
    first.resume();
    await assert.rejects(got(`http://${limited.address}/healthz`, { retry: { limit: 0 } }));
    agent.destroy();
    limited.close();
  });
});
