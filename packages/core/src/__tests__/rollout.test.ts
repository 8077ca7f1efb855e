import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import type * as configuration from '../configuration.js';
import * as failures from '../failures.js';
import * as ids from '../ids.js';
import * as rollouts from '../rollout.js';

function makePlan(
  ticket: number,
  change: Partial<configuration.VersionPlan> = {},
): configuration.VersionPlan {
  return {
    service: ids.serviceName('fontworks'),
    ticket: ids.ticketNumber(ticket),
    replaces: null,
    stable: 'v1',
    target: 'v2',
    deadline: '2026-01-01T00:00:00Z',
    soak: 1_000,
    balance: 'even',
    ...change,
  };
}

function advance(from: rollouts.Rollout, ...phases: [rollouts.Phase, number][]) {
  return phases.reduce(
    (held, [phase, sharePct]) => held.transition({ epoch: 1, phase, sharePct, reason: 'test' }, 1),
    from,
  );
}

const created = rollouts.Rollout.create(makePlan(3), 1, 0);

describe('rollout aggregate', () => {
  describe('move', () => {
    it('refuses an older epoch, so that a paused controller cannot write after it resumes', () => {
      const later = created.transition({ epoch: 4, phase: 'canary', sharePct: 1, reason: 'x' }, 0);
      assert.throws(
        () => later.transition({ epoch: 3, phase: 'canary', sharePct: 2, reason: 'x' }, 0),
        (err) => failures.is(err, 'rolloutFenced') && err.failure.heldEpoch === 4,
      );
    });

    it('refuses any change of a final state, so that a rollback cannot be undone', () => {
      const rolledBack = advance(created, ['canary', 5], ['takenBack', 5]);
      assert.equal(rolledBack.data.sharePct, 0);
      for (const phase of rollouts.PHASES) {
        assert.throws(
          () => rolledBack.transition({ epoch: 9, phase, reason: 'x' }, 0),
          (err) => failures.is(err, 'rolloutFinal'),
        );
      }
    });

    it('refuses more than 5 % in the canary phase, overall or on one route', () => {
      const invalid: Partial<rollouts.Transition>[] = [
        { sharePct: 6 },
        { sharePct: 2, routeShares: { order: 50 } },
        { sharePct: -1 },
      ];
      for (const shares of invalid) {
        assert.throws(
          () => created.transition({ epoch: 1, phase: 'canary', reason: 'x', ...shares }, 0),
          (err) => failures.is(err, 'rolloutTransition'),
        );
      }
    });

    it('refuses to skip the canary, the steps or the soak period', () => {
      for (const phase of ['stepping', 'soaking', 'done'] as const) {
        assert.throws(
          () => created.transition({ epoch: 1, phase, sharePct: 100, reason: 'x' }, 0),
          (err) => failures.is(err, 'rolloutTransition'),
        );
      }
    });

    it('keeps revisions rising, history bounded and the stored form readable for any transitions', () => {
      const step = fc.record({
        phase: fc.constantFrom(...rollouts.PHASES),
        sharePct: fc.integer({ min: 0, max: 100 }),
        epoch: fc.integer({ min: 0, max: 3 }),
      });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
          let held = created;
          for (const { phase, sharePct, epoch } of steps) {
            const before = held;
            try {
              held = held.transition({ phase, sharePct, epoch, reason: 'x' }, 5);
            } catch (err) {
              assert.ok(err instanceof failures.FailureError);
              continue;
            }
            assert.equal(before.isFinal, false);
            assert.equal(held.data.revision, before.data.revision + 1);
            assert.ok(held.data.epoch >= before.data.epoch);
            assert.ok(held.data.history.length <= rollouts.MAX_HISTORY);
            assert.deepEqual(rollouts.Rollout.parse(held.data).data, held.data);
          }
        }),
      );
    });
  });

  describe('continue', () => {
    const stepping = advance(created, ['canary', 5], ['stepping', 35]);
    const replaces = ids.ticketNumber(created.data.ticket);

    it('continues from the share reached when only the deadline changes', () => {
      const ended = stepping.transition(
        { epoch: 1, phase: 'superseded', reason: 'x', supersededBy: 4 },
        2,
      );
      const next = rollouts.Rollout.continue(makePlan(4, { replaces }), ended, 1, 3);
      assert.deepEqual([next.data.phase, next.data.sharePct], ['stepping', 35]);
      assert.equal(next.data.continues, created.id);
    });

    it('starts from zero after a rollback, a cancellation or a change of versions', () => {
      const rolledBack = advance(stepping, ['takenBack', 0]);
      const cancelled = stepping.transition(
        { epoch: 1, phase: 'superseded', reason: rollouts.CANCELLED_REASON, supersededBy: 4 },
        2,
      );
      const starts = [
        rollouts.Rollout.continue(makePlan(5, { replaces }), rolledBack, 1, 3),
        rollouts.Rollout.continue(makePlan(5, { replaces: ids.ticketNumber(4) }), cancelled, 1, 3),
        rollouts.Rollout.continue(makePlan(5, { replaces, target: 'v3' }), stepping, 1, 3),
      ];
      for (const { data } of starts) {
        assert.deepEqual([data.phase, data.sharePct, data.continues], ['planned', 0, null]);
      }
    });
  });

  it('refuses a stored value of another shape instead of acting on it', () => {
    assert.throws(
      () => rollouts.Rollout.parse({ ...created.data, sharePct: 400 }),
      (err) => failures.is(err, 'invalidRequest'),
    );
  });
});
