import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import * as fc from 'fast-check';
import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import * as exchange from '../exchange.js';
import * as forwardServer from '../forwardServer.js';
import * as peerDestination from '../peerDestination.js';
import * as peerListener from '../peerListener.js';
import * as fixtures from './requestFixtures.js';

const { HEAD } = fixtures;

type Handler = (
  head: requests.RequestHead,
  body: exchange.RequestBody,
  signal: AbortSignal,
) => Promise<exchange.Response>;

class FakeDestination extends exchange.Destination {
  handle: Handler = () => Promise.reject(new Error('not set'));

  override forward(...args: Parameters<Handler>): Promise<exchange.Response> {
    return this.handle(...args);
  }
}

function createResponse(body: exchange.Body, headers: requests.Header[] = []): exchange.Response {
  return { head: { status: 200, headers, requestId: 'r1', upstreamMs: 1 }, body };
}

async function readAll(body: exchange.Body): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
}

async function* chunksOf(chunks: Uint8Array[]): exchange.Body {
  for (const chunk of chunks) {
    await timers.setImmediate();
    yield chunk;
  }
}

describe('forwarding between nodes', () => {
  const local = new FakeDestination();
  const server = new forwardServer.ForwardServer('n2', local, fixtures.SILENT_LOGGER);
  const connections = new peerDestination.PeerConnections();
  let accepted = 0;
  const localListener = new peerListener.PeerListener({
    grpc: (socket) => socket.destroy(),
    forward: (socket) => {
      accepted += 1;
      server.accept(socket);
    },
  });
  let peer: peerDestination.PeerDestination;

  before(async () => {
    const localPort = await fixtures.freePort();
    await localListener.listen('127.0.0.1', localPort);
    peer = new peerDestination.PeerDestination('n2', `127.0.0.1:${localPort}`, connections);
  });

  after(() => {
    connections.close();
    localListener.close();
    server.close();
  });

  it('passes any body and any headers unchanged, in both directions', async () => {
    const chunk = fc.uint8Array({ maxLength: 3_000 });
    const fields = { name: fc.constantFrom('a', 'b', 'A'), value: fc.string() };
    const header = fc.record(fields, { noNullPrototype: true });
    const property = fc.asyncProperty(
      fc.array(chunk, { maxLength: 4 }),
      fc.array(chunk, { maxLength: 4 }),
      fc.array(header, { maxLength: 4 }),
      fc.boolean(),
      async (sent, returned, headers, isBuffered) => {
        local.handle = async (head, body) => {
          assert.deepEqual(head.headers, headers);
          assert.ok((await readAll(body.chunks)).equals(Buffer.concat(sent)));
          return createResponse(chunksOf(returned), headers);
        };
        const all = Buffer.concat(sent);
        const body = isBuffered
          ? exchange.bufferedBody(all)
          : { buffered: null, chunks: chunksOf(sent) };
        const { signal } = new AbortController();
        const response = await peer.forward({ ...HEAD, headers }, body, signal);
        assert.deepEqual(response.head.headers, headers);
        assert.ok((await readAll(response.body)).equals(Buffer.concat(returned)));
      },
    );
    await fc.assert(property, { numRuns: 60 });
  });

  it('reuses a connection after a complete response', async () => {
    // Guards against closing the connection between the last frame and the end of the message.
    local.handle = async (_head, body) => {
      await readAll(body.chunks);
      return createResponse(chunksOf([Buffer.alloc(100), Buffer.alloc(100)]));
    };
    const acceptedBefore = accepted;
    for (let n = 0; n < 20; n++) {
      const body = { buffered: null, chunks: chunksOf([Buffer.alloc(10)]) };
      const response = await peer.forward(HEAD, body, new AbortController().signal);
      await readAll(response.body);
      await exchange.discard(response.body);
      await timers.setImmediate();
    }
    assert.ok(
      accepted - acceptedBefore <= 2,
      `${accepted - acceptedBefore} connections for 20 requests`,
    );
  });

  // The status of a frame without one reads as 0, and would be written to the caller as 000.
  it('takes no response from another node whose status is not one of HTTP', async () => {
    for (const status of [0, 99, 101, 600]) {
      local.handle = async () => {
        const response = createResponse(chunksOf([]));
        return { ...response, head: { ...response.head, status } };
      };
      const sent = peer.forward(HEAD, exchange.bufferedBody(), new AbortController().signal);
      await assert.rejects(sent, (err) => failures.is(err, 'protocolViolation'), String(status));
    }
  });

  it('reports a response that is cut off as incomplete', async () => {
    async function* broken(): exchange.Body {
      yield Buffer.alloc(70_000);
      await timers.setTimeout(5);
      const { SERVICE: service } = fixtures;
      throw failures.toError({ type: 'answerIncomplete', service, detail: 'cut' });
    }
    local.handle = () => Promise.resolve(createResponse(broken()));
    const response = await peer.forward(
      HEAD,
      exchange.bufferedBody(),
      new AbortController().signal,
    );
    await assert.rejects(readAll(response.body), /answerIncomplete/);
  });

  it('distinguishes a request that was never sent from one whose outcome is unknown', async () => {
    const unreachable = new peerDestination.PeerDestination(
      'n3',
      `127.0.0.1:${await fixtures.freePort()}`,
      connections,
    );
    const { signal } = new AbortController();
    await assert.rejects(
      unreachable.forward(HEAD, exchange.bufferedBody(), signal),
      /started=false/,
    );
    const closingServer = net.createServer((socket) => {
      socket.once('data', () => socket.destroy());
    });
    await new Promise<void>((resolve) => {
      closingServer.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(closingServer.address() as net.AddressInfo).port}`;
    const closing = new peerDestination.PeerDestination('n4', address, connections);
    await assert.rejects(closing.forward(HEAD, exchange.bufferedBody(), signal), /started=true/);
    closingServer.close();
  });

  it('cancels the work at the destination when the entry node gives up', async () => {
    const cancelled = new Promise<void>((resolve) => {
      local.handle = (_head, _body, signal) =>
        new Promise((_resolve, reject) => {
          signal.addEventListener('abort', () => {
            resolve();
            reject(failures.toError({ type: 'cancelled', detail: 'test' }));
          });
        });
    });
    const cancellation = new AbortController();
    const pending = peer.forward(HEAD, exchange.bufferedBody(), cancellation.signal);
    await timers.setTimeout(30);
    const reason = { type: 'deadlineExceeded', timeoutMs: 1, retryAfterMs: 1 } as const;
    cancellation.abort(failures.toError(reason));
    await assert.rejects(pending, /deadlineExceeded/);
    await cancelled;
  });

  it('refuses new requests as draining, and finishes those in flight', async () => {
    let finish = () => {};
    local.handle = async () => {
      await new Promise<void>((resolve) => {
        finish = resolve;
      });
      return createResponse(exchange.bodyOf(Buffer.from('done')));
    };
    const { signal } = new AbortController();
    const running = peer.forward(HEAD, exchange.bufferedBody(), signal);
    await timers.setTimeout(30);
    server.drain();
    await assert.rejects(peer.forward(HEAD, exchange.bufferedBody(), signal), /draining/);
    finish();
    assert.equal((await readAll((await running).body)).toString(), 'done');
  });

  describe('to a node that stops', () => {
    let leaving: forwardServer.ForwardServer;
    let listener: peerListener.PeerListener;
    let destination: peerDestination.PeerDestination;
    const { signal } = new AbortController();

    beforeEach(async () => {
      local.handle = () => Promise.resolve(createResponse(exchange.bodyOf(Buffer.from('done'))));
      leaving = new forwardServer.ForwardServer('n5', local, fixtures.SILENT_LOGGER);
      listener = new peerListener.PeerListener({
        grpc: (socket) => socket.destroy(),
        forward: (socket) => leaving.accept(socket),
      });
      const leavingPort = await fixtures.freePort();
      await listener.listen('127.0.0.1', leavingPort);
      destination = new peerDestination.PeerDestination(
        'n5',
        `127.0.0.1:${leavingPort}`,
        connections,
      );
      await readAll((await destination.forward(HEAD, exchange.bufferedBody(), signal)).body);
      await timers.setTimeout(20);
    });

    afterEach(() => {
      listener.close();
      leaving.close();
    });

    it('is refused as draining on an idle connection too, so that its outcome is known', async () => {
      // Guards against idle connections that the drain closes while a request is on the way.
      const pending = destination.forward(HEAD, exchange.bufferedBody(), signal);
      leaving.drain();
      await assert.rejects(pending, /draining/);
    });

    it('is known not to have run when it is keyed and the node has ended', async () => {
      // Guards against reuse of a keep-alive connection to a process that has ended.
      listener.close();
      leaving.close();
      const head = { ...HEAD, headers: [{ name: 'idempotency-key', value: 'k1' }] };
      const pending = destination.forward(head, exchange.bufferedBody(), signal);
      await assert.rejects(pending, /started=false/);
      const overIdleConnection = destination.forward(HEAD, exchange.bufferedBody(), signal);
      await assert.rejects(
        overIdleConnection,
        /upstreamFailed/,
        'the idle connection was not closed',
      );
    });
  });
});
