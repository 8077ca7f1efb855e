import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as answerReader from '../answerReader.js';

interface ReadAnswer {
  status: number;
  headers: string[];
  body: string;
  surplusBytes: number;
}

interface Reading {
  answers: ReadAnswer[];
  problem: string | null;
  /** Whether the stream ends between two answers, or completes one. */
  endsCleanly: boolean;
}

function readAll(parts: readonly Buffer[], method = 'GET'): Reading {
  const answers: ReadAnswer[] = [];
  let head: answerReader.AnswerHead | null = null;
  let body = '';
  const reader = new answerReader.AnswerReader({
    onHead: (received) => {
      head = received;
      body = '';
    },
    onBody: (chunk, start, end) => {
      body += chunk.toString('latin1', start, end);
    },
    onComplete: (surplusBytes) => {
      assert.ok(head !== null);
      answers.push({ status: head.status, headers: head.headers, body, surplusBytes });
      head = null;
    },
  });
  reader.expectAnswerTo(method);
  for (const part of parts) {
    const problem = reader.read(part);
    if (problem !== null) return { answers, problem, endsCleanly: false };
  }
  return { answers, problem: null, endsCleanly: reader.finish() };
}

const readText = (text: string, method?: string) => readAll([Buffer.from(text, 'latin1')], method);

/** Cuts bytes at the given positions. */
function split(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const positions = [0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length].sort(
    (a, b) => a - b,
  );
  return positions.slice(1).map((end, i) => bytes.subarray(positions[i], end));
}

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const SEED = 44;
/** Streams of each property; `READER_STREAMS=100000 READER_SEED=N` runs more of them. */
const STREAMS = Number(process.env.READER_STREAMS ?? 1_000);
const PARAMETERS = { numRuns: STREAMS, seed: Number(process.env.READER_SEED ?? SEED) };

interface Generated {
  bytes: Buffer;
  /** Length of the interim answers in front. */
  interimBytes: number;
  status: number;
  body: string;
}

const bodies = fc.string({ unit: 'binary-ascii', maxLength: 200 });
const statuses = fc.constantFrom(200, 201, 404, 421, 429, 500, 503, 504);
const extraHeaders = fc.constantFrom(
  '',
  'X-A: b\r\n',
  'X-A:\r\nX-B: \t c d \t\r\n',
  'Via: 1.1 x\r\n',
);
const interims = fc.constantFrom(
  '',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 102 P\r\nA: b\r\n\r\n',
);

const sized: fc.Arbitrary<Generated> = fc
  .tuple(statuses, bodies, extraHeaders, interims)
  .map(([status, body, extra, interim]) => ({
    status,
    body,
    interimBytes: interim.length,
    bytes: Buffer.from(
      `${interim}HTTP/1.1 ${status} Text\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`,
      'latin1',
    ),
  }));

const chunked: fc.Arbitrary<Generated> = fc
  .tuple(
    statuses,
    fc.array(fc.string({ unit: 'binary-ascii', minLength: 1, maxLength: 40 })),
    extraHeaders,
    fc.constantFrom('', ';a=b'),
  )
  .map(([status, chunks, extra, extension]) => ({
    status,
    body: chunks.join(''),
    interimBytes: 0,
    bytes: Buffer.from(
      `HTTP/1.1 ${status} Text\r\n${extra}Transfer-Encoding: Chunked\r\n\r\n${chunks
        .map((chunk) => `${chunk.length.toString(16)}${extension}\r\n${chunk}\r\n`)
        .join('')}0\r\n${extra}\r\n`,
      'latin1',
    ),
  }));

const wholeAnswer = fc.oneof(sized, chunked);
const cutPositions = fc.array(fc.nat(), { maxLength: 6 });

describe('AnswerReader', () => {
  describe('well-formed answers', () => {
    it('are read whole, however the bytes are split', () => {
      fc.assert(
        fc.property(
          fc.array(wholeAnswer, { minLength: 1, maxLength: 3 }),
          cutPositions,
          (sent, cuts) => {
            const bytes = Buffer.concat(sent.map((each) => each.bytes));
            const { answers, problem, endsCleanly } = readAll(split(bytes, cuts));
            assert.equal(problem, null);
            assert.ok(endsCleanly);
            const read = answers.map(({ status, body }) => ({ status, body }));
            assert.deepEqual(
              read,
              sent.map(({ status, body }) => ({ status, body })),
            );
          },
        ),
        PARAMETERS,
      );
    });

    it('are read whole in chunks of one byte', () => {
      const bytes = Buffer.from(`${CHUNKED}1\r\na\r\n1;x\r\nb\r\n0\r\nT: u\r\n\r\n`);
      const { answers } = readAll([...bytes].map((byte) => Buffer.from([byte])));
      assert.deepEqual(
        answers.map(({ body }) => body),
        ['ab'],
      );
    });

    it('without a length end with the connection', () => {
      const { answers, endsCleanly } = readText('HTTP/1.1 200 OK\r\n\r\nabc');
      assert.ok(endsCleanly);
      assert.deepEqual(
        answers.map(({ body, surplusBytes }) => [body, surplusBytes]),
        [['abc', 0]],
      );
    });

    it('have no body where the status or the method allows none', () => {
      for (const [status, method] of [
        [204, 'GET'],
        [304, 'GET'],
        [200, 'HEAD'],
      ] as const) {
        const { answers } = readText(`HTTP/1.1 ${status} X\r\nContent-Length: 5\r\n\r\n`, method);
        assert.deepEqual(
          answers.map(({ body }) => body),
          [''],
          `${status} ${method}`,
        );
      }
    });

    it('keep their headers, without the blanks around a value', () => {
      const { answers } = readText('HTTP/1.1 200 OK\r\nA: \t b\xa0 \r\nContent-Length:0\r\n\r\n');
      assert.deepEqual(answers[0]!.headers, ['A', 'b\xa0', 'Content-Length', '0']);
    });
  });

  // A connection with surplus bytes must not be used again.
  it('reports the number of bytes behind an answer', () => {
    fc.assert(
      fc.property(wholeAnswer, fc.nat(50), ({ bytes }, surplus) => {
        const { answers } = readAll([Buffer.concat([bytes, Buffer.alloc(surplus)])]);
        assert.equal(answers[0]!.surplusBytes, surplus);
      }),
      PARAMETERS,
    );
  });

  // A truncated answer must not look complete, wherever it is cut.
  it('does not complete an answer that is cut short', () => {
    fc.assert(
      fc.property(wholeAnswer, fc.nat(), cutPositions, ({ bytes }, cut, cuts) => {
        const { answers, endsCleanly } = readAll(
          split(bytes.subarray(0, cut % bytes.length), cuts),
        );
        assert.equal(answers.length, 0);
        if (endsCleanly)
          assert.ok(
            /^(HTTP\/1\.1 1\d\d [^]*\r\n\r\n)?$/.test(
              bytes.toString('latin1', 0, cut % bytes.length),
            ),
          );
      }),
      PARAMETERS,
    );
  });

  // The caller got the status of one answer with the headers and the body of another.
  it('does not mix an answer that is cut short with the answer that follows', () => {
    fc.assert(
      fc.property(wholeAnswer, fc.nat(), wholeAnswer, cutPositions, (first, cut, second, cuts) => {
        const begin = first.bytes.subarray(0, cut % first.bytes.length);
        const { answers } = readAll(split(Buffer.concat([begin, second.bytes]), cuts));
        const [answer] = answers;
        if (answer === undefined) return;
        const headBytes = first.bytes.indexOf('\r\n\r\n', first.interimBytes) + 4;
        if (begin.length >= headBytes) {
          // What follows counts as the rest of the body; the request id tells to which request it belongs.
          assert.equal(answer.status, first.status);
        } else {
          assert.ok(begin.length === 0 || begin.length === first.interimBytes);
          assert.deepEqual([answer.status, answer.body], [second.status, second.body]);
        }
      }),
      PARAMETERS,
    );
  });

  describe('malformed answers', () => {
    const sizedHead = (lines: string) => `HTTP/1.1 200 OK\r\n${lines}\r\n\r\nabcde`;
    const malformed: [string, string][] = [
      ['a length that is no number', sizedHead('Content-Length: x')],
      ['an empty length', sizedHead('Content-Length:')],
      ['a negative length', sizedHead('Content-Length: -5')],
      ['a fractional length', sizedHead('Content-Length: 5.0')],
      ['a hexadecimal length', sizedHead('Content-Length: 0x5')],
      ['a length with a sign', sizedHead('Content-Length: +5')],
      ['two lengths', sizedHead('Content-Length: 5\r\nContent-Length: 4')],
      ['a list of lengths', sizedHead('Content-Length: 5, 5')],
      ['a length beside chunks', sizedHead('Content-Length: 5\r\nTransfer-Encoding: chunked')],
      ['an unknown coding', sizedHead('Transfer-Encoding: gzip, chunked')],
      ['two codings', sizedHead('Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked')],
      ['chunks in HTTP/1.0', 'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
      ['a header without a colon', sizedHead('nothing')],
      ['a header without a name', sizedHead(': a')],
      ['a blank in front of the colon', sizedHead('A : b')],
      ['a folded header', sizedHead('A: b\r\n c')],
      ['a NUL in a header', sizedHead('A: b\0c')],
      ['a CR in a header', sizedHead('A: b\rc')],
      ['a line without CR', 'HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n'],
      ['another status line among the headers', sizedHead('HTTP/1.1 500 X')],
      ['another status line in a header', sizedHead('A: HTTP/1.1 500 X')],
      ['a status line of another version in the reason', 'HTTP/1.1 200 HTTP/3.1 503 X\r\n'],
      ['another status line in the reason', 'HTTP/1.1 200 OKHTTP/1.1 500 X\r\n'],
      ['another version', 'HTTP/2.0 200 OK\r\n'],
      ['a status of two digits', 'HTTP/1.1 20 OK\r\n'],
      ['the status 000', 'HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n'],
      ['a status below the known classes', 'HTTP/1.1 099 X\r\n'],
      ['the status 000 behind an interim answer', 'HTTP/1.1 102 X\r\n\r\nHTTP/1.1 000 X\r\n'],
      ['a status beyond the known classes', 'HTTP/1.1 600 X\r\n'],
      ['an upgrade', 'HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n'],
      ['many interim answers', 'HTTP/1.1 102 X\r\n\r\n'.repeat(17)],
      ['endless trailers', `${CHUNKED}0\r\n${'a: b\r\n'.repeat(20_000)}`],
      ['an empty line in front', '\r\nHTTP/1.1 200 OK\r\n\r\n'],
      ['a chunk without a size', `${CHUNKED}\r\nabc\r\n0\r\n\r\n`],
      ['a chunk size that is no number', `${CHUNKED}xyz\r\nabc\r\n0\r\n\r\n`],
      ['a negative chunk size', `${CHUNKED}-3\r\nabc\r\n0\r\n\r\n`],
      ['a prefixed chunk size', `${CHUNKED}0x3\r\nabc\r\n0\r\n\r\n`],
      ['a blank behind a chunk size', `${CHUNKED}3 \r\nabc\r\n0\r\n\r\n`],
      ['a chunk size of many digits', `${CHUNKED}${'0'.repeat(13)}\r\n`],
      ['a chunk size line without CR', `${CHUNKED}3\nabc\r\n0\r\n\r\n`],
      ['an extension line without CR', `${CHUNKED}3;a\nabc\r\n0\r\n\r\n`],
      ['a chunk longer than its size', `${CHUNKED}3\r\nabcd\r\n0\r\n\r\n`],
      ['a malformed trailer', `${CHUNKED}0\r\nnothing\r\n\r\n`],
      ['endless blanks in a header', sizedHead(`A: ${' '.repeat(70_000)}\x01`)],
    ];

    for (const [what, text] of malformed) {
      it(`with ${what} are not read`, () => {
        const bytes = Buffer.from(text, 'latin1');
        for (const parts of [[bytes], [...bytes].map((byte) => Buffer.from([byte]))]) {
          const { answers, problem } = readAll(parts);
          assert.notEqual(problem, null);
          assert.deepEqual(answers, []);
        }
      });
    }
  });
});
