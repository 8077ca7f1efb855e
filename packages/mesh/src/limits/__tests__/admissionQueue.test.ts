import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as admissionQueue from '../admissionQueue.js';

interface NamedRequest extends admissionQueue.AdmissionRequest {
  name: string;
}

const SERVICE_MS = 100;

function createRequest(
  name: string,
  nowMs: number,
  overrides: Partial<NamedRequest> = {},
): NamedRequest {
  return {
    name,
    customerPriority: 0,
    priority: 2,
    targetAtMs: nowMs + 3 * SERVICE_MS,
    deadlineAtMs: nowMs + 8 * SERVICE_MS,
    estimateMs: SERVICE_MS,
    transferWaitMs: 0,
    maxWaitMs: Infinity,
    ...overrides,
  };
}

describe('AdmissionQueue', () => {
  let queue: admissionQueue.AdmissionQueue<NamedRequest>;

  beforeEach(() => {
    queue = new admissionQueue.AdmissionQueue();
    queue.setSlots(2);
  });

  const fillSlots = (nowMs = 0) => {
    const running = [createRequest('r1', nowMs), createRequest('r2', nowMs)];
    for (const request of running) assert.equal(queue.offer(request, nowMs).type, 'run');
    return running;
  };

  describe('rate', () => {
    const PER_SECOND = 10;

    beforeEach(() => {
      queue.setRate(PER_SECOND, 0);
    });

    it('lets requests wait that the rate admits in time, in the order of their priority', () => {
      const request = createRequest('p2', 0);
      const urgent = createRequest('p0', 0, { priority: 0 });
      assert.equal(queue.offer(request, 0).type, 'wait');
      assert.equal(queue.offer(urgent, 0).type, 'wait');
      assert.deepEqual(queue.advance(99).started, []);
      assert.deepEqual(queue.advance(100).started, [urgent]);
      assert.deepEqual(queue.advance(200).started, [request]);
    });

    it('refuses at once what the rate does not admit in time, and states the wait', () => {
      for (const name of ['a', 'b', 'c']) queue.offer(createRequest(name, 0), 0);
      const decision = queue.offer(createRequest('d', 0, { deadlineAtMs: 499 }), 0);
      assert.deepEqual(decision, { type: 'refuse', reason: 'limitReached', retryAfterMs: 400 });
    });

    it('refuses waiting requests that a lower rate no longer admits in time', () => {
      const request = createRequest('a', 0);
      queue.offer(request, 0);
      queue.setRate(1, 10);
      const { refused } = queue.advance(10);
      assert.deepEqual(
        refused.map(({ reason }) => reason),
        ['limitReached'],
      );
    });

    it('starts every urgent request while others ask for five times the rate', () => {
      const SECONDS = 10;
      const running: { request: NamedRequest; endMs: number }[] = [];
      const started = { urgent: 0, other: 0 };
      const refused = { urgent: 0, other: 0 };
      const count = (counts: typeof started, { name }: NamedRequest) => {
        counts[name as keyof typeof started] += 1;
      };
      const applyUpdate = (update: admissionQueue.QueueUpdate<NamedRequest>, now: number) => {
        for (const request of update.started) {
          running.push({ request, endMs: now + SERVICE_MS });
          count(started, request);
        }
        for (const { request } of update.refused) count(refused, request);
      };
      const offer = (name: string, priority: number, now: number) => {
        const request = createRequest(name, now, { priority });
        const decision = queue.offer(request, now);
        if (decision.type === 'run') applyUpdate({ started: [request], refused: [] }, now);
        if (decision.type === 'refuse') count(refused, request);
      };
      for (let now = 0; now < SECONDS * 1_000; now += 5) {
        while (running.length > 0 && running[0]!.endMs <= now) {
          applyUpdate(queue.release(running.shift()!.request, now), now);
        }
        if (now % 25 === 0) applyUpdate(queue.advance(now), now);
        if (now % 20 === 0) offer('other', 2, now);
        if (now % 200 === 100) offer('urgent', 0, now);
      }
      assert.equal(refused.urgent, 0);
      assert.ok(started.urgent >= SECONDS * 5 - 2, `${started.urgent}`);
      assert.ok(started.urgent + started.other >= SECONDS * PER_SECOND * 0.95);
    });

    // At a limited upstream, requests waited for the rate until their caller gave up and got 504.
    it('does not let a request wait to its deadline while others overtake it', () => {
      const late = createRequest('late', 0, { targetAtMs: 0 });
      assert.equal(queue.offer(late, 0).type, 'wait');
      let refusedAtMs = Infinity;
      for (let now = 5; now < 8 * SERVICE_MS && refusedAtMs === Infinity; now += 5) {
        if (now % 50 === 0) queue.offer(createRequest('other', now), now);
        const { started, refused } = queue.advance(now);
        for (const request of started) queue.release(request, now);
        if (refused.some(({ request }) => request === late)) refusedAtMs = now;
      }
      assert.ok(refusedAtMs <= 3 * SERVICE_MS, `${refusedAtMs}`);
    });

    it('refuses a request that could only just be answered before its deadline', () => {
      const tight = createRequest('tight', 0, {
        targetAtMs: 2 * SERVICE_MS,
        deadlineAtMs: 2 * SERVICE_MS,
      });
      assert.equal(queue.offer(tight, 0).type, 'refuse');
    });

    it('starts waiting requests when the limit is lifted', () => {
      const request = createRequest('a', 0);
      queue.offer(request, 0);
      queue.setRate(null, 10);
      assert.deepEqual(queue.advance(10).started, [request]);
    });
  });

  describe('admission', () => {
    it('runs no more requests than there are slots', () => {
      fillSlots();
      assert.equal(queue.offer(createRequest('w', 0), 0).type, 'wait');
      assert.equal(queue.runningCount, 2);
    });

    it('refuses at once what cannot be answered before the deadline of the caller', () => {
      const decision = queue.offer(createRequest('late', 0, { deadlineAtMs: SERVICE_MS - 1 }), 0);
      assert.equal(decision.type, 'refuse');
    });

    // Guards against requests that queue at a busy server although their sender knows an idle one.
    it('refuses a wait beyond the limit of the sender, and accepts one within it', () => {
      fillSlots();
      const limited = queue.offer(createRequest('p', 0, { maxWaitMs: SERVICE_MS / 4 }), 0);
      assert.deepEqual(limited, {
        type: 'refuse',
        reason: 'waitTooLong',
        retryAfterMs: SERVICE_MS / 2,
      });
      assert.equal(queue.offer(createRequest('w', 0, { maxWaitMs: SERVICE_MS }), 0).type, 'wait');
    });

    // Guards against answers that wait for a crowded uplink although their sender knows an idle one.
    it('counts the wait for the uplink against the limit of the sender, with free slots too', () => {
      const transferWaitMs = SERVICE_MS;
      const limited = createRequest('limited', 0, { transferWaitMs, maxWaitMs: SERVICE_MS - 1 });
      assert.deepEqual(queue.offer(limited, 0), {
        type: 'refuse',
        reason: 'waitTooLong',
        retryAfterMs: SERVICE_MS,
      });
      const accepted = createRequest('accepted', 0, { transferWaitMs, maxWaitMs: SERVICE_MS });
      assert.equal(queue.offer(accepted, 0).type, 'run');
    });

    it('refuses at once what the uplink cannot send before the deadline of the caller', () => {
      const overrides = { deadlineAtMs: 2 * SERVICE_MS, transferWaitMs: 2 * SERVICE_MS };
      assert.deepEqual(queue.offer(createRequest('late', 0, overrides), 0), {
        type: 'refuse',
        reason: 'noTimeLeft',
        retryAfterMs: SERVICE_MS,
      });
    });

    it('refuses everything while the upstream takes no work', () => {
      queue.setSlots(0);
      const decision = queue.offer(createRequest('a', 0), 0);
      assert.equal(decision.type === 'refuse' && decision.reason, 'notAccepting');
    });

    it('states a retry delay with each refusal', () => {
      fillSlots();
      for (let i = 0; i < 20; i += 1) {
        const decision = queue.offer(createRequest(`w${i}`, 0), 0);
        if (decision.type === 'refuse') assert.ok(decision.retryAfterMs > 0);
      }
    });
  });

  describe('order', () => {
    it('starts urgent requests first, those with less time left before others', () => {
      const [first, second] = fillSlots();
      queue.offer(createRequest('usual', 0), 0);
      queue.offer(createRequest('urgent', 0, { priority: 0 }), 0);
      queue.offer(createRequest('sooner', 0, { priority: 0, targetAtMs: 2.5 * SERVICE_MS }), 0);
      const started = [
        ...queue.release(first!, 50).started,
        ...queue.release(second!, 60).started,
      ].map(({ name }) => name);
      assert.deepEqual(started, ['sooner', 'urgent']);
    });

    // Guards against downloads that the uplink makes late, and that go before calls that are in time.
    it('counts requests that the uplink makes late as late', () => {
      const [first] = fillSlots();
      queue.offer(createRequest('late', 0, { transferWaitMs: 2 * SERVICE_MS }), 0);
      queue.offer(createRequest('onTime', 0, { priority: 3 }), 0);
      assert.deepEqual(
        queue.release(first!, 10).started.map(({ name }) => name),
        ['onTime'],
      );
    });

    it('lets late requests run only when no other waits', () => {
      const [first] = fillSlots();
      queue.offer(createRequest('late', 0, { targetAtMs: 0 }), 0);
      queue.offer(createRequest('onTime', 0), 0);
      assert.deepEqual(
        queue.release(first!, 10).started.map(({ name }) => name),
        ['onTime'],
      );
    });
  });

  describe('overload: twice the load that the slots can serve', () => {
    /**
     * Serves 20 s of arrivals; returns the number of requests that were answered within their
     * target.
     */
    function simulate(admit: 'queue' | 'fifo'): number {
      const fifo: NamedRequest[] = [];
      const running: { atMs: number; request: NamedRequest }[] = [];
      let onTime = 0;
      let fifoRunning = 0;
      const start = (request: NamedRequest, nowMs: number) => {
        running.push({ atMs: nowMs + SERVICE_MS, request });
      };
      for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
        for (const end of running.filter(({ atMs }) => atMs <= nowMs)) {
          running.splice(running.indexOf(end), 1);
          if (end.atMs <= end.request.targetAtMs) onTime += 1;
          if (admit === 'queue') {
            for (const next of queue.release(end.request, nowMs).started) start(next, nowMs);
          } else {
            fifoRunning -= 1;
            const next = fifo.shift();
            if (next !== undefined) {
              fifoRunning += 1;
              start(next, nowMs);
            }
          }
        }
        const request = createRequest(`${nowMs}`, nowMs);
        if (admit === 'queue') {
          if (queue.offer(request, nowMs).type === 'run') start(request, nowMs);
        } else if (fifoRunning < 2) {
          fifoRunning += 1;
          start(request, nowMs);
        } else fifo.push(request);
      }
      return onTime;
    }

    it('answers nearly as many in time as the slots allow, where first come first served collapses', () => {
      const capacity = (20_000 / SERVICE_MS) * 2;
      assert.ok(simulate('queue') >= capacity * 0.9);
      assert.ok(simulate('fifo') < capacity * 0.1);
    });
  });
});
