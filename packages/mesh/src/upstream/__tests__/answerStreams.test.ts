import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { after, before, describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as byteBudget from '../../limits/byteBudget.js';
import * as upstreamConnection from '../upstreamConnection.js';

/** Requests that follow each other, on one connection as long as it is reusable. */
const REQUESTS = 3;
/** Time after which a request whose answer is not complete is given up. */
const DEADLINE_MS = 20;
const BODY_BUDGET_BYTES = 1024 * 1024;

/** Streams of a run; `READER_STREAMS=100000 READER_SEED=N` runs more of them. */
const PARAMETERS = {
  numRuns: Number(process.env.READER_STREAMS ?? 300),
  seed: Number(process.env.READER_SEED ?? 45),
};

interface Reply {
  status: number;
  body: string;
  isChunked: boolean;
}

/** What the upstream sends for one request. */
interface Script {
  reply: Reply;
  /** Sent in front of the answer: the begin of another answer to the request before. */
  late: { reply: Reply; bytes: number } | null;
  /** Changes the answer so that it is none; the request must not get it. */
  spoil: ((text: string) => string) | null;
  /** Sent behind the answer, in the same write. */
  surplus: string;
  /** Sent behind the answer in a write of its own. */
  surplusLater: string;
  cuts: number[];
}

function textOf(id: number, { status, body, isChunked }: Reply): string {
  const head = `HTTP/1.1 ${status} Text\r\nX-Id: ${id}\r\nX-Status: ${status}\r\n`;
  if (!isChunked) return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`;
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}

const replies = fc.record({
  status: fc.constantFrom(200, 404, 429, 500, 503),
  body: fc.string({ unit: 'binary-ascii', maxLength: 60 }),
  isChunked: fc.boolean(),
});

const spoilers = fc.constantFrom<((text: string) => string)[]>(
  (text) => text.replace(/Content-Length: /, 'Content-Length: x'),
  (text) => text.replace(/Content-Length: \d+/, 'Content-Length: 1x0'),
  (text) => text.replace(/chunked\r\n\r\n/, 'chunked\r\n\r\nzz\r\n'),
  (text) => text.replace(/chunked\r\n\r\n/, 'chunked\r\n\r\n-'),
  (text) => text.replace(/chunked/, 'chunked\r\nContent-Length: 3'),
  (text) => text.replace(/\r\n/, '\n'),
  (text) => text.replace(/X-Id: /, 'X-Id '),
  (text) => text.replace(/HTTP\/1.1/, 'HTTP/3.1'),
);

const rarely = <T>(value: fc.Arbitrary<T>) => fc.option(value, { freq: 2 });
const leftovers = fc.constantFrom(
  'HTTP/1.1 503 Text\r\n',
  'HTTP/1.1 200 OK\r\nX-Status: 1\r\n',
  '\r\n',
  'x',
);

const scripts: fc.Arbitrary<Script> = fc.record({
  reply: replies,
  late: rarely(fc.record({ reply: replies, bytes: fc.nat(200) })),
  spoil: rarely(spoilers),
  surplus: rarely(leftovers).map((text) => text ?? ''),
  surplusLater: rarely(leftovers).map((text) => text ?? ''),
  cuts: fc.array(fc.nat(400), { maxLength: 4 }),
});

describe('UpstreamConnection, generated streams', { timeout: 600_000 }, () => {
  let server: net.Server;
  let port: number;
  let current: readonly Script[];

  before(async () => {
    server = net.createServer({ noDelay: true }, (socket) => {
      socket.on('error', () => socket.destroy());
      // What is sent for one request does not go into the answer to the next.
      let responded = Promise.resolve();
      socket.on('data', (request) => {
        const id = Number(/X-Id: (\d+)/.exec(request.toString('latin1'))?.[1]);
        responded = responded.then(() => respond(socket, id));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    ({ port } = server.address() as net.AddressInfo);
  });

  after(() => server.close());

  async function respond(socket: net.Socket, id: number): Promise<void> {
    const { reply, late, spoil, surplus, surplusLater, cuts } = current[id]!;
    const own = textOf(id, reply);
    const prefix = late === null ? '' : textOf(id - 1, late.reply).slice(0, late.bytes);
    const answer = prefix + (spoil === null ? own : spoil(own));
    const text = answer + surplus;
    // The surplus comes with the last byte of the answer.
    const ends = [...cuts.map((cut) => cut % answer.length), text.length];
    let sent = 0;
    for (const cut of ends.sort((a, b) => a - b)) {
      socket.write(Buffer.from(text.slice(sent, cut), 'latin1'));
      sent = Math.max(sent, cut);
      await timers.setImmediate();
    }
    if (surplusLater !== '') socket.write(surplusLater);
  }

  function connect(): upstreamConnection.UpstreamConnection {
    return new upstreamConnection.UpstreamConnection(
      '127.0.0.1',
      port,
      new fixtures.TestHeaders(),
      () => undefined,
      new byteBudget.ByteBudget(BODY_BUDGET_BYTES),
    );
  }

  // Answers were mixed with what a faulty upstream sends in front of them, behind them and in their place.
  it('give each request its whole answer or a failure', async () => {
    const script = fc.array(scripts, { minLength: REQUESTS, maxLength: REQUESTS });
    await fc.assert(
      fc.asyncProperty(script, async (generated) => {
        current = generated;
        let connection = connect();
        for (const [id, { reply, spoil, surplus }] of generated.entries()) {
          const timer = setTimeout((each) => each.destroy('deadline'), DEADLINE_MS, connection);
          const raw = await connection.send(
            String(id),
            Buffer.from(`GET / HTTP/1.1\r\nX-Id: ${id}\r\n\r\n`),
          );
          clearTimeout(timer);
          if (raw.type === 'answer') {
            const isSpoilt = spoil !== null && spoil(textOf(id, reply)) !== textOf(id, reply);
            assert.ok(!isSpoilt, 'a spoilt answer was taken for a whole one');
            const { status, headers, body } = raw.answer;
            const stated = headers[headers.indexOf('X-Status') + 1];
            assert.deepEqual(
              [status, stated, body.toString('latin1')],
              [reply.status, String(reply.status), reply.body],
            );
            assert.ok(surplus === '' || !connection.reusable, 'reusable with surplus bytes');
          }
          if (!connection.reusable) {
            connection.destroy('not reusable');
            connection = connect();
          }
        }
        connection.destroy('end of the stream');
      }),
      PARAMETERS,
    );
  });
});
