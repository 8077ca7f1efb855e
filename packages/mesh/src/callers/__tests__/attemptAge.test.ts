import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as attemptAge from '../attemptAge.js';

const ROUTE = ids.routeName('view');

describe('AttemptAge', () => {
  let ages: attemptAge.AttemptAge;
  let now: number;

  beforeEach(() => {
    now = 0;
    ages = new attemptAge.AttemptAge(() => now);
  });

  /** Records first attempts with deadlines from 680 to 800 ms. */
  function recordFirstAttempts(count = 64): void {
    for (let i = 0; i < count; i += 1) ages.recordFirstAttempt(ROUTE, 680 + ((i * 37) % 120));
  }

  it('estimates no age before there are enough samples', () => {
    recordFirstAttempts(8);
    assert.equal(ages.estimateAge(ROUTE, 200), 0);
  });

  it('estimates no age for a deadline that is usual for first attempts', () => {
    recordFirstAttempts();
    for (const deadlineMs of [700, 740, 800]) assert.equal(ages.estimateAge(ROUTE, deadlineMs), 0);
  });

  // Guards against late answers to retries, which were queued as long as first attempts.
  it('estimates the time that a caller has spent on earlier attempts', () => {
    recordFirstAttempts();
    const ageMs = ages.estimateAge(ROUTE, 500);
    assert.ok(Math.abs(ageMs - 240) <= 60, `${ageMs}`);
  });

  it('tolerates a few retries among the recorded first attempts', () => {
    recordFirstAttempts(60);
    for (let i = 0; i < 4; i += 1) ages.recordFirstAttempt(ROUTE, 150);
    assert.ok(ages.estimateAge(ROUTE, 500) > 150);
  });

  it('estimates each route by its own samples', () => {
    recordFirstAttempts();
    assert.equal(ages.estimateAge(ids.routeName('other'), 100), 0);
  });

  // Guards against callers that open a connection per request: they never had a recorded first
  // attempt, so that their retries were not recognized.
  it('reports no recent failure after the timeout of the route has passed without one', () => {
    assert.equal(ages.hasNoRecentFailure(ROUTE, 800), false);
    now = 801;
    assert.equal(ages.hasNoRecentFailure(ROUTE, 800), true);
    ages.recordFailure(ROUTE);
    now = 1_601;
    assert.equal(ages.hasNoRecentFailure(ROUTE, 800), false);
    now = 1_602;
    assert.equal(ages.hasNoRecentFailure(ROUTE, 800), true);
  });

  it('removes routes that are no longer configured', () => {
    recordFirstAttempts();
    ages.retain(() => false);
    assert.equal(ages.estimateAge(ROUTE, 100), 0);
  });
});
