import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as fixtures from '../../__tests__/fixtures.js';
import * as limitedHeap from '../../__tests__/limitedHeap.js';
import * as byteBudget from '../../limits/byteBudget.js';
import * as upstreamConnection from '../upstreamConnection.js';

/** Small, so that an endless body soon exceeds it. */
const BODY_BUDGET_BYTES = 8 * 1024 * 1024;

/** Old space of a worker that runs a connection. */
const HEAP_MB = 32;

const answer = (id: string, body: string) =>
  `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

describe('UpstreamConnection', () => {
  let server: net.Server;
  let script: (socket: net.Socket, request: number) => void;
  let connection: upstreamConnection.UpstreamConnection;
  let bodyBudget: byteBudget.ByteBudget;

  beforeEach(async () => {
    server = net.createServer((socket) => {
      let requests = 0;
      // Some tests reset the connection on purpose.
      socket.on('error', () => socket.destroy());
      socket.on('data', () => {
        requests += 1;
        script(socket, requests);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    bodyBudget = new byteBudget.ByteBudget(BODY_BUDGET_BYTES);
    connection = new upstreamConnection.UpstreamConnection(
      '127.0.0.1',
      port,
      new fixtures.TestHeaders(),
      () => undefined,
      bodyBudget,
    );
  });

  afterEach(() => {
    connection.destroy('end of test');
    server.close();
  });

  const send = (id: string) => connection.send(id, Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  const bodyOf = (raw: upstreamConnection.RawOutcome) =>
    raw.type === 'answer' ? raw.answer.body.toString() : raw.type;

  it('returns complete answers and stays reusable', async () => {
    script = (socket, n) => socket.write(answer(String(n), `body ${n}`));
    assert.equal(bodyOf(await send('1')), 'body 1');
    assert.ok(connection.reusable);
    assert.equal(bodyOf(await send('2')), 'body 2');
  });

  it('skips a second answer to an earlier request that comes where the next is expected', async () => {
    script = (socket, n) => {
      socket.write(n === 1 ? answer('1', 'one') : answer('1', 'again') + answer('2', 'two'));
    };
    assert.equal(bodyOf(await send('1')), 'one');
    assert.equal(bodyOf(await send('2')), 'two');
  });

  it('is not used again after bytes that belong to no request', async () => {
    script = (socket, n) => {
      socket.write(answer(String(n), 'one'));
      setTimeout(() => socket.write('garbage'), 10);
    };
    assert.equal(bodyOf(await send('1')), 'one');
    await timers.setTimeout(50);
    assert.equal(connection.reusable, false);
  });

  // The begin of a second answer stayed in the parser and gave the next answer its status, so that requests
  // ran twice, or were reported as not run although they had run.
  describe('bytes behind a complete answer, in the same chunk', () => {
    const surplus: [string, string][] = [
      ['a part of a status line', 'HTTP/1.1 2'],
      ['a status line', 'HTTP/1.1 503 Service Unavailable\r\n'],
      ['a head without its end', 'HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\n'],
      ['an interim answer', 'HTTP/1.1 100 Continue\r\n\r\n'],
      ['an empty line', '\r\n'],
      ['bytes that are not HTTP', '\u0000'],
      ['a second answer', answer('1', 'again')],
    ];

    async function checkClosed(bytes: string): Promise<void> {
      script = (socket) => socket.write(answer('1', 'one') + bytes);
      assert.equal(bodyOf(await send('1')), 'one');
      assert.equal(connection.reusable, false);
      assert.equal((await send('2')).type, 'unsent');
    }

    for (const [what, bytes] of surplus) {
      it(`${what}: the answer counts, the connection is not used again`, () => checkClosed(bytes));
    }
  });

  // The broken answer may also arrive after the next request was sent; what follows in its head or body must
  // not be read as a part of it.
  describe('a broken late answer in front of the expected one', () => {
    const own = 'HTTP/1.1 500 Internal Server Error\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo';
    const late = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nagain';

    async function checkNotMixed(bytes: number): Promise<void> {
      script = (socket) => socket.write(late.slice(0, bytes) + own);
      const raw = await Promise.race([send('2'), timers.setTimeout(50, null)]);
      assert.ok(raw === null || raw.type === 'broken', JSON.stringify(raw));
    }

    for (let bytes = 1; bytes < late.length; bytes += 1) {
      it(`is not mixed with it, cut after ${bytes} bytes`, () => checkNotMixed(bytes));
    }
  });

  it('returns an answer to HEAD, which has no body, at once', async () => {
    script = (socket) => socket.write('HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n');
    const raw = await connection.send('1', Buffer.from('HEAD / HTTP/1.1\r\n\r\n'), 'HEAD');
    assert.equal(raw.type, 'answer');
    assert.ok(connection.reusable);
  });

  it('reports an answer that ends early as broken', async () => {
    script = (socket) => socket.end('HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf');
    assert.equal((await send('1')).type, 'broken');
  });

  it('reports bytes that are not HTTP as broken', async () => {
    script = (socket) => socket.write('\u0000\u0001 nothing of HTTP\r\n\r\n');
    assert.equal((await send('1')).type, 'broken');
  });

  it('accepts an answer without length as complete when the connection is closed', async () => {
    script = (socket) =>
      socket.end('HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\nall of it');
    assert.equal(bodyOf(await send('1')), 'all of it');
  });

  it('reports an answer without length as broken when the connection is reset', async () => {
    script = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\na part');
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    assert.equal((await send('1')).type, 'broken');
  });

  it('reports a request that was never sent as unsent', async () => {
    const { port } = server.address() as net.AddressInfo;
    connection.destroy('unused');
    server.close();
    await timers.setTimeout(10);
    const unreachable = new upstreamConnection.UpstreamConnection(
      '127.0.0.1',
      port,
      new fixtures.TestHeaders(),
      () => undefined,
      bodyBudget,
    );
    assert.equal((await unreachable.send('1', Buffer.from('x'))).type, 'unsent');
  });

  // A truncated answer must never be taken for a complete one, wherever it is cut.
  describe('truncated answers', () => {
    const chunked =
      'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n';
    const cases: [string, string][] = [
      ['by length', answer('1', 'abcde')],
      ['in chunks', chunked],
    ];

    /** Sends on a new connection, which the upstream closes after `bytes` of its answer. */
    async function sendCut(whole: string, bytes: number): Promise<upstreamConnection.RawOutcome> {
      script = (socket) => socket.end(whole.slice(0, bytes));
      const { port } = server.address() as net.AddressInfo;
      const cut = new upstreamConnection.UpstreamConnection(
        '127.0.0.1',
        port,
        new fixtures.TestHeaders(),
        () => undefined,
        bodyBudget,
      );
      return cut.send('1', Buffer.from('GET / HTTP/1.1\r\n\r\n'));
    }

    async function checkCuts(whole: string): Promise<void> {
      for (let bytes = 0; bytes < whole.length; bytes += 1) {
        const raw = await sendCut(whole, bytes);
        assert.equal(raw.type, 'broken', `cut after ${bytes} bytes: ${whole.slice(0, bytes)}`);
      }
      assert.equal(bodyOf(await sendCut(whole, whole.length)), 'abcde');
    }

    for (const [kind, whole] of cases) {
      it(`${kind} are reported as broken at every byte`, () => checkCuts(whole));
    }
  });

  // A faulty upstream may send without end; that must not exhaust the memory of the node.
  describe('endless data', () => {
    const PIECE_BYTES = 64 * 1024;

    /** Sends `head`, then repeats `piece` until the connection is closed. */
    function endless(head: string, piece: string): (socket: net.Socket) => void {
      const bytes = Buffer.from(piece.repeat(Math.ceil(PIECE_BYTES / piece.length)));
      return (socket) => {
        const writeUntilFull = () => {
          while (!socket.destroyed && socket.write(bytes));
        };
        socket.on('drain', writeUntilFull);
        socket.write(head);
        writeUntilFull();
      };
    }

    const cases: [string, string, string][] = [
      ['in the status line', 'HTTP/1.1 200 ', 'OK'],
      ['in a header', 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: ', 'y'],
      ['as headers', 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n', 'A: b\r\n'],
      ['as interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
      ['as answers to other requests', '', answer('0', 'x'.repeat(1_000))],
      [
        'in the length of a chunk',
        'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;',
        'x',
      ],
      [
        'in trailers',
        'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n',
        'A: b\r\n',
      ],
      ['in a body without length', 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n', 'x'],
    ];
    async function checkEnded(head: string, piece: string): Promise<void> {
      script = endless(head, piece);
      assert.equal((await send('1')).type, 'broken');
      assert.equal(connection.reusable, false);
      assert.equal(bodyBudget.used, 0);
    }

    for (const [where, head, piece] of cases) {
      it(`${where} closes the connection and fails the request`, { timeout: 10_000 }, () =>
        checkEnded(head, piece),
      );
    }

    // One object for each chunk exhausted the heap of the process after some 13 MB.
    it('holds a body in chunks of one byte within a small heap', { timeout: 60_000 }, async () => {
      const bodyBytes = 2 * 1024 * 1024;
      const head = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n';
      script = (socket) => {
        socket.write(head);
        socket.write(Buffer.from('1\r\nx\r\n'.repeat(bodyBytes)));
        socket.write('0\r\n\r\n');
      };
      const { port } = server.address() as net.AddressInfo;
      const module = new URL('answerWorker.js', import.meta.url);
      assert.equal(await limitedHeap.run(module, `127.0.0.1:${port}`, HEAP_MB), bodyBytes);
    });

    it('is told apart from a late answer to an earlier request', async () => {
      const late = answer('0', 'x'.repeat(1024 * 1024));
      script = (socket) => socket.write(late + answer('1', 'mine'));
      assert.equal(bodyOf(await send('1')), 'mine');
    });
  });
});
