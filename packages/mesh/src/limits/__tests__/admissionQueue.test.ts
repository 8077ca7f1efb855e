import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as admissionQueue from '../admissionQueue.js';

interface Named extends admissionQueue.Entrant {
  name: string;
}

const WORK_MS = 100;

function entrant(name: string, nowMs: number, more: Partial<Named> = {}): Named {
  return {
    name,
    priority: 2,
    targetAtMs: nowMs + 3 * WORK_MS,
    deadlineAtMs: nowMs + 8 * WORK_MS,
    estimateMs: WORK_MS,
    maxWaitMs: Infinity,
    ...more,
  };
}

describe('AdmissionQueue', () => {
  let queue: admissionQueue.AdmissionQueue<Named>;

  beforeEach(() => {
    queue = new admissionQueue.AdmissionQueue();
    queue.setSlots(2);
  });

  const fill = (nowMs = 0) => {
    const running = [entrant('r1', nowMs), entrant('r2', nowMs)];
    for (const one of running) assert.equal(queue.offer(one, nowMs).type, 'run');
    return running;
  };

  describe('admission', () => {
    it('runs no more requests than there are slots', () => {
      fill();
      assert.equal(queue.offer(entrant('w', 0), 0).type, 'wait');
      assert.equal(queue.runningCount, 2);
    });

    it('refuses at once what cannot be answered before its caller gives up', () => {
      const decision = queue.offer(entrant('late', 0, { deadlineAtMs: WORK_MS - 1 }), 0);
      assert.equal(decision.type, 'refuse');
    });

    // Its sender knows of a shorter wait elsewhere: the pattern of a busy server beside an idle one.
    it('refuses a wait that its sender does not want, and takes one that it does', () => {
      fill();
      const picky = queue.offer(entrant('p', 0, { maxWaitMs: WORK_MS / 4 }), 0);
      assert.deepEqual(picky, { type: 'refuse', reason: 'waitTooLong', retryAfterMs: WORK_MS / 2 });
      assert.equal(queue.offer(entrant('w', 0, { maxWaitMs: WORK_MS }), 0).type, 'wait');
    });

    it('refuses everything while the upstream takes no work', () => {
      queue.setSlots(0);
      const decision = queue.offer(entrant('a', 0), 0);
      assert.equal(decision.type === 'refuse' && decision.reason, 'notAccepting');
    });

    it('names a wait with each refusal', () => {
      fill();
      for (let i = 0; i < 20; i += 1) {
        const decision = queue.offer(entrant(`w${i}`, 0), 0);
        if (decision.type === 'refuse') assert.ok(decision.retryAfterMs > 0);
      }
    });
  });

  describe('order', () => {
    it('starts urgent requests first, those with less time left before others', () => {
      const [first, second] = fill();
      queue.offer(entrant('usual', 0), 0);
      queue.offer(entrant('urgent', 0, { priority: 0 }), 0);
      queue.offer(entrant('sooner', 0, { priority: 0, targetAtMs: 2.5 * WORK_MS }), 0);
      const started = [
        ...queue.release(first!, 50).started,
        ...queue.release(second!, 60).started,
      ].map(({ name }) => name);
      assert.deepEqual(started, ['sooner', 'urgent']);
    });

    it('lets late requests run only when no other waits', () => {
      const [first] = fill();
      queue.offer(entrant('late', 0, { targetAtMs: 0 }), 0);
      queue.offer(entrant('onTime', 0), 0);
      assert.deepEqual(
        queue.release(first!, 10).started.map(({ name }) => name),
        ['onTime'],
      );
    });
  });

  describe('overload: twice the load that the slots can serve', () => {
    /** Serves a day of arrivals; returns how many were answered within their target. */
    function play(admit: 'queue' | 'naive'): number {
      const naive: Named[] = [];
      const ends: { atMs: number; one: Named }[] = [];
      let onTime = 0;
      let busy = 0;
      const start = (one: Named, nowMs: number) => {
        ends.push({ atMs: nowMs + WORK_MS, one });
      };
      for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
        for (const end of ends.filter(({ atMs }) => atMs <= nowMs)) {
          ends.splice(ends.indexOf(end), 1);
          if (end.atMs <= end.one.targetAtMs) onTime += 1;
          if (admit === 'queue') {
            for (const next of queue.release(end.one, nowMs).started) start(next, nowMs);
          } else {
            busy -= 1;
            const next = naive.shift();
            if (next !== undefined) {
              busy += 1;
              start(next, nowMs);
            }
          }
        }
        const one = entrant(`${nowMs}`, nowMs);
        if (admit === 'queue') {
          if (queue.offer(one, nowMs).type === 'run') start(one, nowMs);
        } else if (busy < 2) {
          busy += 1;
          start(one, nowMs);
        } else naive.push(one);
      }
      return onTime;
    }

    it('answers nearly as many in time as the slots allow, where first come first served collapses', () => {
      const capacity = (20_000 / WORK_MS) * 2;
      assert.ok(play('queue') >= capacity * 0.9);
      assert.ok(play('naive') < capacity * 0.1);
    });
  });
});
