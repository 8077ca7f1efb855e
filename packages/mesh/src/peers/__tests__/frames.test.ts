import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as msgpack from '@msgpack/msgpack';
import { failures, ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as phases from '../../rollouts/phases.js';
import * as frames from '../frames.js';

const REQUEST: frames.Frame = {
  type: 'request',
  sentMs: 1_234,
  id: 7,
  req: fixtures.forwardedRequest({
    method: 'POST',
    headers: ['Host', 'host.example'],
    body: Buffer.from([0, 255, 13, 10]),
  }),
};

const ROLLOUT: phases.RolloutState = {
  service: ids.serviceName('shop'),
  target: ids.versionName('v2'),
  durationMs: 9_000,
  phase: 'canary',
  orderPosition: { era: ids.storeEra(2), revision: 16 },
  reason: null,
};

const FRAMES: frames.Frame[] = [
  REQUEST,
  {
    type: 'members',
    members: [fixtures.member('a', { limitPerSecond: 22.7 }), fixtures.member('b')],
  },
  { type: 'ping' },
  { type: 'cancel', id: 7 },
  { type: 'rollouts', states: [ROLLOUT] },
  { type: 'beacon', configVersion: 4, storeEra: ids.storeEra(2) },
  {
    type: 'stateSummary',
    configVersion: 4,
    rollouts: [ROLLOUT],
    rolloutsKnown: true,
    storeEra: null,
  },
  { type: 'configFull', cfg: fixtures.configurationOf(3, [fixtures.route('r')]) },
  {
    type: 'outcome',
    id: 7,
    delivery: {
      outcome: {
        type: 'answer',
        status: 200,
        headers: ['A', 'b'],
        body: Buffer.from('x'),
        serviceMs: 4,
      },
      report: { load: 3, averageServiceMs: 40 },
    },
  },
  {
    type: 'outcome',
    id: 8,
    delivery: {
      outcome: { type: 'refused', reason: 'queueTooLong', retryAfterMs: 50, reachedUpstream: true },
      report: null,
    },
  },
  {
    type: 'outcome',
    id: 9,
    delivery: { outcome: { type: 'lost', detail: 'reset' }, report: null },
  },
];

describe('frames', () => {
  it('are decoded as they were encoded, however the bytes are split into chunks', () => {
    const bytes = Buffer.concat(FRAMES.map(frames.encode));
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1 }), (sizes) => {
        const splitter = new frames.FrameSplitter('peer');
        const read: frames.Frame[] = [];
        for (let at = 0, i = 0; at < bytes.length; i += 1) {
          const size = sizes[i % sizes.length]!;
          read.push(...splitter.push(bytes.subarray(at, at + size)));
          at += size;
        }
        assert.deepEqual(read, FRAMES);
      }),
    );
  });

  it('of a release that knows no eras have rollouts of era 0', () => {
    const { orderPosition, ...state } = ROLLOUT;
    const packed = { states: [{ ...state, orderRevision: 16 }] };
    const framed = frames.encode({ type: 'rollouts', states: [] });
    const [code] = msgpack.decode(framed.subarray(4)) as [number];
    const message = msgpack.encode([code, packed]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(message.length);
    const read = new frames.FrameSplitter('peer').push(Buffer.concat([length, message]));
    const expected = { ...state, orderPosition: { era: 0, revision: orderPosition.revision } };
    assert.deepEqual(read, [{ type: 'rollouts', states: [expected] }]);
  });

  it('of random bytes fail with a protocol violation and nothing else', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (noise) => {
        const framed = Buffer.alloc(4 + noise.length);
        framed.writeUInt32BE(noise.length);
        framed.set(noise, 4);
        try {
          new frames.FrameSplitter('peer').push(framed);
        } catch (err) {
          assert.ok(failures.is(err, 'protocolViolation'));
        }
      }),
    );
  });
});
