import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import { beforeEach, describe, it } from 'node:test';
import { clock } from '@godwittrack/core';
import * as admission from '../admission.js';

const { signal } = new AbortController();

function createRequest(callingService = '', priority = 5): admission.AdmissionRequest {
  return { callingService, priority, timeoutMs: 5_000 };
}

describe('admission', () => {
  const time = new clock.ManualClock();
  let admissionControl: admission.Admission;

  beforeEach(() => {
    admissionControl = new admission.Admission(() => 'back', time);
    admissionControl.setLimits({ slots: 1, queueLength: 4, queueTimeoutMs: 2_000 });
  });

  /** Waits for a slot and records the order in which slots are granted. */
  function acquireAndRecord(order: string[], name: string, priority = 5): Promise<void> {
    return admissionControl.acquire(createRequest(name[0], priority), signal).then(
      (release) => {
        order.push(name);
        release();
      },
      () => {
        order.push(`${name} refused`);
      },
    );
  }

  it('serves higher priorities first and calling services round-robin', async () => {
    const order: string[] = [];
    const release = await admissionControl.acquire(createRequest(), signal);
    const all = [
      acquireAndRecord(order, 'a1'),
      acquireAndRecord(order, 'a2'),
      acquireAndRecord(order, 'b1'),
      acquireAndRecord(order, 'c1', 9),
    ];
    release();
    await Promise.all(all);
    assert.deepEqual(order, ['c1', 'a1', 'b1', 'a2']);
  });

  it('sheds from the service with the longest queue, and the lowest priority first', async () => {
    const order: string[] = [];
    const release = await admissionControl.acquire(createRequest(), signal);
    const all = ['a1', 'a2', 'a3', 'a4', 'b1'].map((name) => acquireAndRecord(order, name));
    all.push(acquireAndRecord(order, 'c1', 9), acquireAndRecord(order, 'd1', 1));
    await timers.setImmediate();
    assert.deepEqual(order.sort(), ['a3 refused', 'a4 refused', 'd1 refused']);
    release();
    await Promise.all(all);
    assert.equal(admissionControl.inFlight + admissionControl.queued, 0);
  });

  it('refuses at once what would not be served in time, with the expected wait', async () => {
    const first = await admissionControl.acquire(createRequest(), signal);
    time.advance(1_500);
    first();
    const second = await admissionControl.acquire(createRequest(), signal);
    const waiting = admissionControl.acquire(createRequest(), signal);
    await assert.rejects(
      admissionControl.acquire(createRequest(), signal),
      /queueFull.*retryAfterMs=3000/,
    );
    second();
    (await waiting)();
  });

  it('lowers its limit after the upstream shed requests, and raises it again', async () => {
    admissionControl.setLimits({ slots: 10, queueLength: 4, queueTimeoutMs: 2_000 });
    admissionControl.recordShed();
    admissionControl.recordShed();
    assert.equal(admissionControl.limit, 8);
    for (let n = 0; n < 20; n++) (await admissionControl.acquire(createRequest(), signal))();
    assert.equal(admissionControl.limit, 10);
  });

  it('holds no slot after a wait that was cancelled before it or during it', async () => {
    const release = await admissionControl.acquire(createRequest(), signal);
    const cancellation = new AbortController();
    const waiting = admissionControl.acquire(createRequest(), cancellation.signal);
    cancellation.abort();
    await assert.rejects(waiting, /cancelled/);
    await assert.rejects(
      admissionControl.acquire(createRequest(), cancellation.signal),
      /cancelled/,
    );
    admissionControl.refuseAll({ type: 'draining', node: 'n1', retryAfterMs: 1 });
    release();
    assert.equal(admissionControl.inFlight + admissionControl.queued, 0);
  });
});
