import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { clock as clocks, failures, placement as placements } from '@godwittrack/core';
import { memoryObjectStore } from '@godwittrack/platform';
import * as placementController from '../placementController.js';
import * as testing from './recordFixtures.js';

describe('placement controller', () => {
  const clock = new clocks.ManualClock(1);
  const live = testing.members([0, 1, 2]);

  it('finds the epoch that it wrote when the reply was lost, instead of writing a second one', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    store.faults = (operation) => (operation === 'put' ? 'answerLost' : null);
    const controller = new placementController.PlacementController(store, clock);
    assert.equal((await controller.reconcile(testing.SERVICE, live))?.epoch, 1);
    assert.equal((await controller.reconcile(testing.SERVICE, live))?.epoch, 1);
  });

  it('adopts the placement of a concurrent controller, so that an epoch is unique', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    const create = () => new placementController.PlacementController(store, clock);
    const all = testing.members([0, 1, 2, 3]);
    const [left, right] = await Promise.all([
      create().reconcile(testing.SERVICE, live),
      create().reconcile(testing.SERVICE, all),
    ]);
    assert.deepEqual(left, right);
    clock.advance(placements.MIN_EPOCH_INTERVAL_MS);
    const next = await create().reconcile(testing.SERVICE, testing.members([1, 2, 3]));
    assert.equal(next?.epoch, 2);
  });

  it('fails without a change while the platform is unavailable', async () => {
    const store = new memoryObjectStore.MemoryObjectStore();
    store.faults = () => 'unavailable';
    const controller = new placementController.PlacementController(store, clock);
    await assert.rejects(controller.reconcile(testing.SERVICE, live), (err) =>
      failures.is(err, 'platformUnavailable'),
    );
  });
});
