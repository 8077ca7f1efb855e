import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as calleePressure from '../calleePressure.js';

const [PARENT, OTHER, CALL] = ['parent', 'other', 'call'].map(ids.routeName) as [
  ids.RouteName,
  ids.RouteName,
  ids.RouteName,
];
const TICK_MS = 10;
const LEARNED_MS = 300_000;

interface Load {
  /** Part of the runs that make the call. */
  callingShare?: number;
  /** Calls per second of other callers on the host. */
  foreignPerSecond?: number;
  /** Requests of the parent route per second. */
  perSecond?: number;
}

/** Runs requests of two routes, of which one makes a call 50 ms after its start, for 200 ms each. */
class Host {
  readonly pressure = new calleePressure.CalleePressure();

  counts = { urgent: [0, 0], usual: [0, 0], other: [0, 0], failedCalls: 0 };

  private now = 0;

  private events: { atMs: number; apply: () => void }[] = [];

  private readonly rng = random.xoroshiro128plus(5);

  /** @param callsPerSecond capacity of the callee */
  play(durationMs: number, callsPerSecond: number, load: Load = {}): Host['counts'] {
    const { callingShare = 1, foreignPerSecond = 0, perSecond = 8 } = load;
    this.counts = { urgent: [0, 0], usual: [0, 0], other: [0, 0], failedCalls: 0 };
    const isDue = (rate: number) => uniform.uniformFloat64(this.rng) < (rate * TICK_MS) / 1_000;
    let room = 1;
    const call = () => {
      this.pressure.recordCall(CALL, this.now);
      const isServed = room >= 1;
      if (isServed) room -= 1;
      else this.counts.failedCalls += 1;
      const refusal = { type: 'refused', reason: 'queueTooLong' };
      this.pressure.recordOutcome(CALL, isServed ? { type: 'answer' } : refusal, this.now);
      return isServed;
    };
    const offer = (count: number[], route: ids.RouteName, priority: number, calls: boolean) => {
      if (this.pressure.tryStart(route, priority, this.now).type === 'refuse') {
        count[1]! += 1;
        return;
      }
      count[0]! += 1;
      const run = this.pressure.beginRun(route, this.now);
      let isComplete = true;
      const makeCall = () => {
        isComplete = call();
      };
      if (calls) this.events.push({ atMs: this.now + 50, apply: makeCall });
      const end = () => this.pressure.endRun(run, isComplete, this.now);
      this.events.push({ atMs: this.now + 200, apply: end });
    };
    for (const endMs = this.now + durationMs; this.now < endMs; this.now += TICK_MS) {
      room = Math.min(4, room + (callsPerSecond * TICK_MS) / 1_000);
      const due = this.events.filter(({ atMs }) => atMs <= this.now);
      this.events = this.events.filter(({ atMs }) => atMs > this.now);
      for (const { apply } of due) apply();
      const calls = uniform.uniformFloat64(this.rng) < callingShare;
      if (isDue(perSecond / 4)) offer(this.counts.urgent, PARENT, 0, calls);
      if (isDue((3 * perSecond) / 4)) offer(this.counts.usual, PARENT, 2, calls);
      if (isDue(4)) offer(this.counts.other, OTHER, 2, false);
      if (isDue(foreignPerSecond)) call();
    }
    return this.counts;
  }
}

const servedShare = ([started, refused]: number[]) => started! / (started! + refused!);

describe('CalleePressure', () => {
  describe('when the callee has capacity for half of the calls', () => {
    const host = new Host();
    const learned = host.play(LEARNED_MS, 1_000, { perSecond: 3 });
    const short = host.play(60_000, 4);

    it('refuses nothing while calls are served', () => {
      assert.deepEqual([learned.urgent[1], learned.usual[1], learned.other[1]], [0, 0, 0]);
    });

    // Requests ran, and their work was lost when their call was refused.
    it('refuses requests before they run, the least urgent first', () => {
      const started = short.urgent[0]! + short.usual[0]!;
      assert.ok(short.failedCalls < 0.35 * started, `${short.failedCalls} of ${started}`);
      assert.ok(started - short.failedCalls > 0.85 * 4 * 60, 'the callee is used');
      assert.ok(servedShare(short.urgent) > 0.85, `${servedShare(short.urgent)}`);
      assert.ok(servedShare(short.usual) < 0.75);
      assert.equal(short.other[1], 0);
    });

    it('recovers by itself once the calls are served', () => {
      host.play(15_000, 1_000);
      const after = host.play(30_000, 1_000);
      assert.deepEqual([after.urgent[1], after.usual[1]], [0, 0]);
    });
  });

  for (const [name, load] of [
    ['others on the host make the same call', { foreignPerSecond: 1 }],
    ['some runs make no call', { callingShare: 0.5 }],
    ['the route always runs', { perSecond: 60 }],
  ] as const) {
    it(`does nothing where ${name}`, () => {
      const host = new Host();
      host.play(LEARNED_MS, 1_000, { perSecond: 3, ...load });
      const { urgent, usual, other } = host.play(30_000, 1, { perSecond: 8, ...load });
      assert.deepEqual([urgent[1], usual[1], other[1]], [0, 0, 0]);
    });
  }
});
