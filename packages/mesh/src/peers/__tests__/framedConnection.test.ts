import * as assert from 'node:assert/strict';
import * as stream from 'node:stream';
import { describe, it } from 'node:test';
import { failures, ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as eventLoop from '../../eventLoop.js';
import * as framedConnection from '../framedConnection.js';
import * as frames from '../frames.js';
import * as reassembler from '../reassembler.js';
import * as uplinkScheduler from '../uplinkScheduler.js';

const { MAX_WHOLE_FRAME_BYTES: PIECE_BYTES } = frames;

/** One end of a connection whose sent bytes wait until the test delivers them. */
class End {
  sent: Buffer[] = [];

  readonly uplink = new uplinkScheduler.UplinkScheduler(() => 0);

  readonly connection = new framedConnection.FramedConnection(
    new stream.Duplex({
      read: () => {},
      write: (chunk: Buffer, _, done) => {
        this.sent.push(chunk);
        done();
      },
    }),
    'peer',
    this.uplink,
  );

  takeSent(): Buffer {
    return Buffer.concat(this.sent.splice(0));
  }
}

function outcome(id: number, bodyBytes: number): frames.Frame {
  const body = Buffer.alloc(bodyBytes, id);
  const answer = { type: 'answer' as const, status: 200, headers: [], body, serviceMs: 1 };
  return { type: 'outcome', id, delivery: { outcome: answer, report: null } };
}

/** Delivers everything in chunks of the given sizes, with the acknowledgements. */
function exchangeAll(from: End, to: End, chunkSizes: number[]): frames.Frame[] {
  const received: frames.Frame[] = [];
  let i = 0;
  for (let bytes = from.takeSent(); bytes.length > 0; bytes = from.takeSent()) {
    while (bytes.length > 0) {
      const size = chunkSizes[i % chunkSizes.length]!;
      received.push(...to.connection.receive(bytes.subarray(0, size)));
      bytes = bytes.subarray(size);
      i += 1;
    }
    from.connection.receive(to.takeSent());
  }
  return received;
}

function idOf(frame: frames.Frame): number {
  assert.ok(frame.type === 'outcome');
  return frame.id;
}

describe('FramedConnection', () => {
  it('delivers frames of any size, however the bytes are split into chunks', () => {
    const nearPiece = fc.integer({ min: PIECE_BYTES - 40, max: PIECE_BYTES + 40 });
    const bodyBytes = fc.oneof(
      nearPiece,
      nearPiece.map((size) => size + PIECE_BYTES),
      fc.integer({ min: 0, max: 6 * PIECE_BYTES }),
    );
    fc.assert(
      fc.property(
        fc.array(bodyBytes, { minLength: 1, maxLength: 8 }),
        fc.array(fc.integer({ min: 1, max: 3 * PIECE_BYTES }), { minLength: 1, maxLength: 10 }),
        (sizes, chunkSizes) => {
          const [from, to] = [new End(), new End()];
          const sent = sizes.map((size, i) => outcome(i + 1, size));
          for (const frame of sent) from.connection.send(frame);
          const received = exchangeAll(from, to, chunkSizes);
          received.sort((a, b) => idOf(a) - idOf(b));
          assert.deepEqual(received, sent);
          assert.equal(from.uplink.hasPending, false);
        },
      ),
      { numRuns: 200 },
    );
  });

  it('lets small frames overtake large ones', () => {
    const [from, to] = [new End(), new End()];
    from.connection.send(outcome(1, 4 * PIECE_BYTES));
    from.connection.send({ type: 'pong' });
    const types = exchangeAll(from, to, [1_000]).map(({ type }) => type);
    assert.deepEqual(types, ['pong', 'outcome']);
  });

  it('does not let a delta overtake the configuration that it is based on', () => {
    const [from, to] = [new End(), new End()];
    const routes = Array.from({ length: 500 }, (_, i) => fixtures.route(`route-${i}`));
    const cfg = fixtures.configurationOf(3, routes);
    const { services, limits } = cfg;
    const version = ids.configVersion(4);
    const changes = { changed: [], removed: [], customers: null };
    const delta = { base: cfg.version, version, ...changes, services, limits };
    from.connection.send({ type: 'configFull', cfg });
    from.connection.send({ type: 'configDelta', delta });
    assert.deepEqual(exchangeAll(from, to, [1_000]), [
      { type: 'configFull', cfg },
      { type: 'configDelta', delta },
    ]);
    from.connection.send({ type: 'configDelta', delta });
    assert.equal(from.uplink.hasPending, false);
  });

  it('discards what has arrived of a frame that the sender drops', () => {
    const [from, to] = [new End(), new End()];
    const transfer = from.connection.send(outcome(1, 4 * PIECE_BYTES));
    from.connection.send(outcome(2, 4 * PIECE_BYTES));
    assert.ok(transfer!.cancel());
    assert.deepEqual(exchangeAll(from, to, [1_000]).map(idOf), [2]);
  });

  it('reports a frame as flushed once its last piece is written', async () => {
    const [from, to] = [new End(), new End()];
    const sent: string[] = [];
    from.connection.send(outcome(1, 4 * PIECE_BYTES), () => sent.push('large'));
    from.connection.send({ type: 'pong' }, () => sent.push('small'));
    await eventLoop.nextPoll();
    assert.deepEqual(sent, ['small']);
    exchangeAll(from, to, [1_000]);
    await eventLoop.nextPoll();
    assert.deepEqual(sent, ['small', 'large']);
  });
});

describe('Reassembler', () => {
  const bytes = Buffer.alloc(PIECE_BYTES);
  const first = { type: 'piece', transfer: 1, last: false, bytes } as const;

  function rejects(run: (pieces: reassembler.Reassembler) => void): void {
    const pieces = new reassembler.Reassembler('peer', 4 * PIECE_BYTES);
    pieces.add(first);
    assert.throws(
      () => run(pieces),
      (err) => failures.is(err, 'protocolViolation'),
    );
  }

  it('rejects a piece of a transfer that has not started or is over', () => {
    rejects((pieces) => pieces.add({ ...first, transfer: 3 }));
    rejects((pieces) => {
      pieces.drop(1);
      pieces.add(first);
    });
    rejects((pieces) => pieces.drop(2));
  });

  it('rejects pieces that are empty or too large', () => {
    rejects((pieces) => pieces.add({ ...first, bytes: Buffer.alloc(0) }));
    rejects((pieces) => pieces.add({ ...first, bytes: Buffer.alloc(PIECE_BYTES + 1) }));
  });

  it('rejects more bytes than it may hold, in all transfers together', () => {
    rejects((pieces) => {
      for (let i = 0; i < 4; i += 1) pieces.add({ ...first, transfer: (i % 2) + 1 });
    });
  });

  it('holds nothing of the frames that were completed or dropped', () => {
    const pieces = new reassembler.Reassembler('peer', 2 * PIECE_BYTES);
    const message = frames.withoutLength(frames.encode(outcome(1, PIECE_BYTES)));
    for (let transfer = 1; transfer < 20; transfer += 2) {
      const head = message.subarray(0, PIECE_BYTES);
      const tail = message.subarray(PIECE_BYTES);
      pieces.add({ ...first, transfer });
      pieces.drop(transfer);
      assert.equal(pieces.add({ ...first, transfer: transfer + 1, bytes: head }), null);
      const whole = pieces.add({ ...first, transfer: transfer + 1, bytes: tail, last: true });
      assert.deepEqual(whole, outcome(1, PIECE_BYTES));
    }
  });

  it('rejects pieces that make up a piece, or no frame', () => {
    const nested = frames.withoutLength(frames.encode({ ...first, bytes: Buffer.from('x') }));
    for (const message of [nested, Buffer.from('not a frame')]) {
      const pieces = new reassembler.Reassembler('peer');
      assert.throws(
        () => pieces.add({ ...first, last: true, bytes: message }),
        (err) => failures.is(err, 'protocolViolation'),
      );
    }
  });
});
