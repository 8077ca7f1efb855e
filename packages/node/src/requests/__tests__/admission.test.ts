import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import { beforeEach, describe, it } from 'node:test';
import { clock } from '@godwittrack/core';
import * as admission from '../admission.js';

const { signal } = new AbortController();

function entrant(callingService = '', priority = 5): admission.Entrant {
  return { callingService, priority, timeoutMs: 5_000 };
}

describe('admission', () => {
  const time = new clock.ManualClock();
  let gate: admission.Admission;

  beforeEach(() => {
    gate = new admission.Admission(() => 'back', time);
    gate.setLimits({ slots: 1, queueLength: 4, queueTimeoutMs: 2_000 });
  });

  /** Waits for a slot and records the order in which slots are granted. */
  function join(order: string[], name: string, priority = 5): Promise<void> {
    return gate.enter(entrant(name[0], priority), signal).then(
      (release) => {
        order.push(name);
        release();
      },
      () => {
        order.push(`${name} refused`);
      },
    );
  }

  it('serves calling services in turn and the more important first', async () => {
    const order: string[] = [];
    const release = await gate.enter(entrant(), signal);
    const all = [join(order, 'a1'), join(order, 'a2'), join(order, 'b1'), join(order, 'c1', 9)];
    release();
    await Promise.all(all);
    assert.deepEqual(order, ['c1', 'a1', 'b1', 'a2']);
  });

  it('sheds from the service that fills the queue, and the least important first', async () => {
    const order: string[] = [];
    const release = await gate.enter(entrant(), signal);
    const all = ['a1', 'a2', 'a3', 'a4', 'b1'].map((name) => join(order, name));
    all.push(join(order, 'c1', 9), join(order, 'd1', 1));
    await timers.setImmediate();
    assert.deepEqual(order.sort(), ['a3 refused', 'a4 refused', 'd1 refused']);
    release();
    await Promise.all(all);
    assert.equal(gate.inFlight + gate.queued, 0);
  });

  it('refuses at once what would not be served in time, with the true wait', async () => {
    const first = await gate.enter(entrant(), signal);
    time.advance(1_500);
    first();
    const second = await gate.enter(entrant(), signal);
    const waiting = gate.enter(entrant(), signal);
    await assert.rejects(gate.enter(entrant(), signal), /queueFull.*retryAfterMs=3000/);
    second();
    (await waiting)();
  });

  it('takes less after the upstream shed requests, and recovers', async () => {
    gate.setLimits({ slots: 10, queueLength: 4, queueTimeoutMs: 2_000 });
    gate.noteShed();
    gate.noteShed();
    assert.equal(gate.limit, 8);
    for (let n = 0; n < 20; n++) (await gate.enter(entrant(), signal))();
    assert.equal(gate.limit, 10);
  });

  it('leaves no slot taken after a cancelled wait, also one cancelled before', async () => {
    const release = await gate.enter(entrant(), signal);
    const own = new AbortController();
    const waiting = gate.enter(entrant(), own.signal);
    own.abort();
    await assert.rejects(waiting, /cancelled/);
    await assert.rejects(gate.enter(entrant(), own.signal), /cancelled/);
    gate.refuseAll({ type: 'draining', node: 'n1', retryAfterMs: 1 });
    release();
    assert.equal(gate.inFlight + gate.queued, 0);
  });
});
