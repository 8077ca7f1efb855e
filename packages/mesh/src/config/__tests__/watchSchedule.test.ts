import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as watchSchedule from '../watchSchedule.js';

const INTERVAL_MS = 1_000;

describe('WatchSchedule', () => {
  it('lets two watches end in turn', () => {
    const schedule = new watchSchedule.WatchSchedule(INTERVAL_MS);
    assert.equal(schedule.begin('a', 0), INTERVAL_MS);
    assert.equal(schedule.begin('b', 10), 2 * INTERVAL_MS - 10);
    assert.equal(schedule.begin('a', INTERVAL_MS), 2 * INTERVAL_MS);
    assert.equal(schedule.begin('b', 2 * INTERVAL_MS + 5), 2 * INTERVAL_MS - 5);
  });

  it('lets the only watch end after one interval', () => {
    const schedule = new watchSchedule.WatchSchedule(INTERVAL_MS);
    assert.equal(schedule.begin('a', 0), INTERVAL_MS);
    assert.equal(schedule.begin('a', INTERVAL_MS), INTERVAL_MS);
    schedule.begin('b', INTERVAL_MS);
    schedule.end('a');
    assert.ok(schedule.begin('b', INTERVAL_MS + 100) <= INTERVAL_MS);
  });

  // A watch begins anew at any moment, as changes end it.
  it('has an end within each interval, whenever watches begin anew', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(INTERVAL_MS)), { maxLength: 40 }),
        (begins) => {
          const schedule = new watchSchedule.WatchSchedule(INTERVAL_MS);
          const endsMs = new Map<string, number>();
          let now = 0;
          const begin = (subject: string) => {
            endsMs.set(subject, now + schedule.begin(subject, now));
          };
          for (const subject of ['a', 'b', 'c']) begin(subject);
          for (const [subject, afterMs] of begins) {
            const untilMs = now + afterMs;
            for (;;) {
              const [next, endMs] = [...endsMs].sort((x, y) => x[1] - y[1])[0]!;
              assert.ok(endMs - now <= INTERVAL_MS, `no end until ${endMs - now} ms`);
              if (endMs > untilMs) break;
              now = endMs;
              begin(next);
            }
            now = untilMs;
            begin(subject);
          }
        },
      ),
      { seed: 44, numRuns: 500 },
    );
  });
});
