import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import type { requests } from '@godwittrack/protocol';
import * as exchange from '../exchange.js';
import * as upstreamClient from '../upstreamClient.js';
import * as fixtures from './requestFixtures.js';

const HOST = { name: 'Host', value: 'back' };
const KEYED = [HOST, { name: 'Idempotency-Key', value: 'k1' }];
const { signal } = new AbortController();

async function readAll(body: exchange.Body): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

async function* chunksOf(...pieces: string[]): exchange.Body {
  for (const piece of pieces) yield Buffer.from(piece);
}

describe('client of the upstream', () => {
  let server: http.Server;
  let client: upstreamClient.NodeHttpUpstreamClient;
  let connections: net.Socket[];
  let seen: { line: string; encoding: string; length: string; body: string }[];
  let respond: (res: http.ServerResponse) => void;

  beforeEach(async () => {
    connections = [];
    seen = [];
    respond = (res) => res.end('ok');
    server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const encoding = req.headers['transfer-encoding'] ?? '';
        const length = req.headers['content-length'] ?? '';
        const body = Buffer.concat(chunks).toString();
        seen.push({ line: `${req.method} ${req.url}`, encoding, length, body });
        respond(res);
      });
    });
    server.on('connection', (socket: net.Socket) => connections.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = new upstreamClient.NodeHttpUpstreamClient();
  });

  afterEach(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });

  function send(
    overrides: Partial<requests.RequestHead> = {},
    body: exchange.RequestBody = exchange.bufferedBody(),
    onEnd: () => void = () => undefined,
  ): Promise<exchange.Response> {
    const { port } = server.address() as net.AddressInfo;
    const target = { service: 'back', address: `127.0.0.1:${port}`, connections: 8 };
    const head = { ...fixtures.HEAD, headers: [HOST], ...overrides };
    return client.send(target, head, body, signal, onEnd);
  }

  it('opens a new connection for a keyed request, so that a stale one cannot hide its outcome', async () => {
    await readAll((await send()).body);
    await readAll((await send()).body);
    assert.equal(connections.length, 1, 'requests without a key share connections');
    // As when an upstream process ends: the FIN is on its way when the request is sent.
    connections[0]?.destroy();
    const response = await send({ headers: KEYED });
    assert.equal(await readAll(response.body), 'ok');
    assert.equal(seen.length, 3);
    assert.equal(connections.length, 2);
  });

  it('knows that a keyed request did not run when the upstream has ended meanwhile', async () => {
    await readAll((await send()).body);
    const { port } = server.address() as net.AddressInfo;
    const address = `127.0.0.1:${port}`;
    server.close();
    server.closeAllConnections();
    const target = { service: 'back', address, connections: 8 };
    const head = { ...fixtures.HEAD, headers: KEYED };
    const sent = client.send(target, head, exchange.bufferedBody(), signal, () => undefined);
    await assert.rejects(sent, /started=false/);
  });

  it('frames a streamed body of any method, so that it is not read as another request', async () => {
    // Node writes a GET or DELETE body without framing headers as bare bytes.
    const inner = 'POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
    for (const method of ['GET', 'DELETE', 'HEAD', 'OPTIONS', 'POST']) {
      const streamed = { buffered: null, chunks: chunksOf(inner, 'tail') };
      await readAll((await send({ method, path: `/${method}` }, streamed)).body);
      const lengthHeaders = [HOST, { name: 'Content-Length', value: String(inner.length) }];
      const withLength = { buffered: null, chunks: chunksOf(inner) };
      await readAll(
        (await send({ method, path: '/known', headers: lengthHeaders }, withLength)).body,
      );
      assert.deepEqual(seen.splice(0), [
        { line: `${method} /${method}`, encoding: 'chunked', length: '', body: `${inner}tail` },
        { line: `${method} /known`, encoding: '', length: String(inner.length), body: inner },
      ]);
    }
  });

  // An upstream in trouble has sent the status 000, which Node's parser passes on.
  describe('a response whose status is not one of HTTP', () => {
    const listener = net.createServer();
    let status = '';

    before(async () => {
      listener.on('connection', (socket) => {
        socket.on('error', () => socket.destroy());
        socket.once('data', () => {
          socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`);
        });
      });
      listener.listen(0, '127.0.0.1');
      await once(listener, 'listening');
    });

    after(() => listener.close());

    it('is a failure after which the request may have run', async () => {
      const { port } = listener.address() as net.AddressInfo;
      const target = { service: 'back', address: `127.0.0.1:${port}`, connections: 8 };
      const head = { ...fixtures.HEAD, headers: [HOST] };
      let ends = 0;
      const onEnd = () => {
        ends += 1;
      };
      for (const each of ['000', '001', '099', '600', '999']) {
        status = each;
        const sent = client.send(target, head, exchange.bufferedBody(), signal, onEnd);
        await assert.rejects(sent, /started=true/, each);
      }
      assert.equal(ends, 0);
    });
  });

  it('calls onEnd only at the end of the response', async () => {
    // Guards against a slot that is released while the upstream still produces the response.
    let finish = () => {};
    respond = (res) => {
      res.write('begun ');
      finish = () => res.end('ended');
    };
    let ends = 0;
    const response = await send({}, exchange.bufferedBody(), () => {
      ends += 1;
    });
    const chunks = response.body[Symbol.asyncIterator]();
    assert.equal(Buffer.from((await chunks.next()).value as Uint8Array).toString(), 'begun ');
    assert.equal(ends, 0);
    finish();
    while (!(await chunks.next()).done);
    assert.equal(ends, 1);
  });
});
