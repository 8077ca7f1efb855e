import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { failures } from '@godwittrack/core';
import * as frames from '../frames.js';
import * as uplinkScheduler from '../uplinkScheduler.js';

const { MAX_WHOLE_FRAME_BYTES: PIECE_BYTES } = frames;

describe('UplinkScheduler', () => {
  let now: number;
  let scheduler: uplinkScheduler.UplinkScheduler;
  /** Name of the connection and id of the transfer of each written piece, in order. */
  let written: string[];
  let dropped: string[];

  beforeEach(() => {
    now = 0;
    written = [];
    dropped = [];
    scheduler = new uplinkScheduler.UplinkScheduler(() => now);
  });

  function open(name: string): uplinkScheduler.UplinkChannel {
    return scheduler.openChannel((frame, onFlushed) => {
      onFlushed?.();
      const label = `${name}${frame.transfer}`;
      if (frame.type === 'dropTransfer') dropped.push(label);
      else written.push(frame.last ? `${label} last` : label);
    });
  }

  function pieces(count: number): Buffer {
    return Buffer.alloc(count * PIECE_BYTES);
  }

  describe('bounds', () => {
    it('the bytes under way on one connection', () => {
      const a = open('a');
      a.enqueue(pieces(5));
      assert.equal(a.outstandingBytes, uplinkScheduler.MAX_CONNECTION_BYTES);
      a.acknowledge(PIECE_BYTES, 'a');
      assert.equal(a.outstandingBytes, uplinkScheduler.MAX_CONNECTION_BYTES);
      assert.equal(scheduler.queuedBytes, 2 * PIECE_BYTES);
    });

    it('the bytes under way on all connections of the host', () => {
      const channels = ['a', 'b', 'c', 'd'].map(open);
      for (const channel of channels) channel.enqueue(pieces(2));
      assert.equal(scheduler.outstandingBytes, uplinkScheduler.MAX_HOST_BYTES);
      assert.equal(scheduler.queuedBytes, 4 * PIECE_BYTES);
      channels[1]!.acknowledge(PIECE_BYTES, 'b');
      assert.equal(scheduler.outstandingBytes, uplinkScheduler.MAX_HOST_BYTES);
      assert.equal(channels[2]!.outstandingBytes, PIECE_BYTES);
    });

    it('the size of the incomplete frames that the receiver has to hold', () => {
      const a = open('a');
      a.enqueue(Buffer.alloc(frames.MAX_FRAME_BYTES - PIECE_BYTES));
      a.enqueue(pieces(2));
      for (let i = 0; i < 2; i += 1) a.acknowledge(PIECE_BYTES, 'a');
      assert.deepEqual(written, ['a1', 'a1', 'a1', 'a1']);
    });

    it('the acknowledgements to what is under way', () => {
      const a = open('a');
      a.enqueue(pieces(1));
      assert.throws(
        () => a.acknowledge(PIECE_BYTES + 1, 'a'),
        (err) => failures.is(err, 'protocolViolation'),
      );
    });
  });

  describe('order', () => {
    it('takes one piece of each transfer in turn, so that short ones end early', () => {
      const a = open('a');
      a.enqueue(pieces(4));
      a.enqueue(pieces(2));
      a.enqueue(pieces(1));
      for (let i = 0; i < 5; i += 1) a.acknowledge(PIECE_BYTES, 'a');
      assert.deepEqual(written, ['a1', 'a1', 'a1', 'a2', 'a3 last', 'a1 last', 'a2 last']);
    });

    it('continues with other connections while one has reached its bound', () => {
      open('a').enqueue(pieces(4));
      open('b').enqueue(pieces(1));
      assert.deepEqual(written, ['a1', 'a1', 'b1 last']);
    });

    it('keeps the order of ordered frames on a connection', () => {
      const a = open('a');
      a.enqueue(pieces(5), { isOrdered: true });
      assert.ok(a.hasOrdered);
      a.enqueue(pieces(1), { isOrdered: true });
      a.enqueue(pieces(1));
      for (let i = 0; i < 5; i += 1) a.acknowledge(PIECE_BYTES, 'a');
      assert.deepEqual(written, ['a1', 'a1', 'a1', 'a2 last', 'a1', 'a1 last', 'a3 last']);
      assert.equal(a.hasOrdered, false);
    });

    it('reports a frame as sent with its last piece', () => {
      const a = open('a');
      let sent = 0;
      const onFlushed = () => {
        sent += 1;
      };
      const transfer = a.enqueue(pieces(3), { onFlushed });
      assert.deepEqual([sent, transfer.isSent], [0, false]);
      a.acknowledge(PIECE_BYTES, 'a');
      assert.deepEqual([sent, transfer.isSent], [1, true]);
      assert.equal(transfer.cancel(), false);
    });
  });

  describe('a connection without acknowledgements', () => {
    // A receiver that was cut off or frozen held the bytes that the host may have under way.
    it('is left out of the bound of the host until it acknowledges again', () => {
      const [cutA, cutB, open1] = [open('a'), open('b'), open('c')];
      cutA.enqueue(pieces(4));
      cutB.enqueue(pieces(2));
      open1.enqueue(pieces(1));
      assert.equal(open1.outstandingBytes, 0);
      now = uplinkScheduler.STALLED_AFTER_MS;
      scheduler.markStalled();
      assert.equal(open1.outstandingBytes, 0);
      now += 1;
      scheduler.markStalled();
      assert.equal(scheduler.stalledConnections, 2);
      assert.equal(open1.outstandingBytes, PIECE_BYTES);
      open1.acknowledge(PIECE_BYTES, 'c');
      assert.equal(cutA.queuedBytes, 2 * PIECE_BYTES);
      cutA.acknowledge(PIECE_BYTES, 'a');
      assert.equal(scheduler.stalledConnections, 1);
      assert.equal(cutA.queuedBytes, PIECE_BYTES);
    });

    it('gets no more pieces', () => {
      const a = open('a');
      a.enqueue(pieces(1));
      now = uplinkScheduler.STALLED_AFTER_MS + 1;
      scheduler.markStalled();
      a.enqueue(pieces(1));
      assert.deepEqual(written, ['a1 last']);
      a.acknowledge(PIECE_BYTES, 'a');
      assert.deepEqual(written, ['a1 last', 'a2 last']);
    });

    it('does not stall while it acknowledges piece by piece', () => {
      const a = open('a');
      a.enqueue(pieces(10));
      for (let i = 0; i < 5; i += 1) {
        now += uplinkScheduler.STALLED_AFTER_MS;
        scheduler.markStalled();
        assert.equal(scheduler.stalledConnections, 0);
        a.acknowledge(PIECE_BYTES, 'a');
      }
    });
  });

  describe('a connection that closes', () => {
    it('gives back what it has under way and queued', () => {
      const [a, b, c] = [open('a'), open('b'), open('c')];
      a.enqueue(pieces(3));
      b.enqueue(pieces(2));
      c.enqueue(pieces(2));
      assert.equal(c.outstandingBytes, 0);
      a.close();
      assert.equal(c.outstandingBytes, 2 * PIECE_BYTES);
      b.close();
      c.close();
      assert.deepEqual(
        [scheduler.queuedBytes, scheduler.outstandingBytes, scheduler.hasPending],
        [0, 0, false],
      );
    });

    it('gives back what it has under way after it stalled', () => {
      const [a, b] = [open('a'), open('b')];
      a.enqueue(pieces(2));
      now = uplinkScheduler.STALLED_AFTER_MS + 1;
      scheduler.markStalled();
      a.close();
      assert.equal(scheduler.stalledConnections, 0);
      for (const channel of [b, open('c'), open('d')]) channel.enqueue(pieces(2));
      assert.equal(scheduler.outstandingBytes, uplinkScheduler.MAX_HOST_BYTES);
    });

    it('accepts no more transfers', () => {
      const a = open('a');
      a.close();
      const transfer = a.enqueue(pieces(1));
      a.acknowledge(PIECE_BYTES, 'a');
      assert.deepEqual([written.length, transfer.isSent, transfer.cancel()], [0, false, true]);
      assert.equal(scheduler.hasPending, false);
    });
  });

  describe('a cancelled transfer', () => {
    it('is removed, and announced if a part of it was sent', () => {
      const a = open('a');
      const started = a.enqueue(pieces(3));
      const waiting = a.enqueue(pieces(3));
      assert.ok(started.cancel());
      assert.ok(waiting.cancel());
      assert.ok(waiting.cancel());
      assert.deepEqual(dropped, ['a1']);
      assert.equal(scheduler.queuedBytes, 0);
      a.acknowledge(2 * PIECE_BYTES, 'a');
      assert.deepEqual(written, ['a1', 'a1']);
      assert.equal(scheduler.hasPending, false);
    });
  });

  describe('backlogMs', () => {
    /** Acknowledges a piece of each connection at an interval, so that the host sends at a known rate. */
    function saturate(channels: uplinkScheduler.UplinkChannel[], rounds: number): void {
      for (const channel of channels) channel.enqueue(pieces(2 * rounds + 10));
      for (let i = 0; i < rounds * channels.length; i += 1) {
        const awaiting = channels.filter(({ outstandingBytes }) => outstandingBytes > 0);
        now += 16;
        awaiting[i % awaiting.length]!.acknowledge(PIECE_BYTES, 'peer');
      }
    }

    it('is the time to send what is queued and under way at the measured rate', () => {
      const channels = ['a', 'b', 'c'].map(open);
      saturate(channels, 50);
      const bytes = scheduler.queuedBytes + scheduler.outstandingBytes;
      const expectedMs = (bytes / PIECE_BYTES) * 16;
      assert.ok(Math.abs(scheduler.backlogMs() - expectedMs) < 1, `${scheduler.backlogMs()}`);
    });

    it('is 0 while nothing is queued', () => {
      assert.equal(scheduler.backlogMs(), 0);
      const channels = ['a', 'b', 'c'].map(open);
      saturate(channels, 50);
      for (const channel of channels) channel.close();
      assert.equal(scheduler.backlogMs(), 0);
      open('d').enqueue(pieces(1));
      assert.equal(scheduler.backlogMs(), 0);
    });

    it('is not measured over a pause of this process', () => {
      const channels = ['a', 'b', 'c'].map(open);
      saturate(channels, 10);
      const before = scheduler.backlogMs();
      now += 60_000;
      assert.ok(scheduler.backlogMs() < 10 * before, `${scheduler.backlogMs()}`);
    });

    // A rate that was measured too low kept large answers away, and was then never measured again.
    it('is 0 again when the link has not been saturated for a while', () => {
      const channels = ['a', 'b', 'c'].map(open);
      saturate(channels, 50);
      for (const channel of channels) channel.close();
      assert.ok(scheduler.backlogMs(PIECE_BYTES) > 0);
      now += uplinkScheduler.RATE_MAX_AGE_MS + 1;
      assert.equal(scheduler.backlogMs(PIECE_BYTES), 0);
    });

    it('leaves out what waits for a stalled connection', () => {
      const channels = ['a', 'b', 'c'].map(open);
      saturate(channels, 50);
      for (const channel of channels) channel.close();
      open('d').enqueue(pieces(20));
      now += uplinkScheduler.STALLED_AFTER_MS + 1;
      scheduler.markStalled();
      assert.equal(scheduler.backlogMs(), 0);
    });

    it('grows while the link makes no progress', () => {
      const channels = ['a', 'b', 'c'].map(open);
      saturate(channels, 10);
      const before = scheduler.backlogMs();
      now += 200;
      assert.ok(scheduler.backlogMs() > before);
    });
  });
});
