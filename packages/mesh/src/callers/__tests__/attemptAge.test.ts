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

  /** First attempts of callers that wait between 680 and 800 ms. */
  function learn(count = 64): void {
    for (let i = 0; i < count; i += 1) ages.noteFirst(ROUTE, 680 + ((i * 37) % 120));
  }

  it('takes nothing as repeated before it knows usual deadlines', () => {
    learn(8);
    assert.equal(ages.ageOf(ROUTE, 200), 0);
  });

  it('takes a usual deadline as that of a first attempt', () => {
    learn();
    for (const deadlineMs of [700, 740, 800]) assert.equal(ages.ageOf(ROUTE, deadlineMs), 0);
  });

  // Callers that were refused and came back waited as long as new ones and were answered too late.
  it('estimates the time that a returning caller has spent', () => {
    learn();
    const ageMs = ages.ageOf(ROUTE, 500);
    assert.ok(Math.abs(ageMs - 240) <= 60, `${ageMs}`);
  });

  it('is not misled by a few repeated attempts among the first ones', () => {
    learn(60);
    for (let i = 0; i < 4; i += 1) ages.noteFirst(ROUTE, 150);
    assert.ok(ages.ageOf(ROUTE, 500) > 150);
  });

  it('judges each route by its own callers', () => {
    learn();
    assert.equal(ages.ageOf(ids.routeName('other'), 100), 0);
  });

  // Callers that open a connection for each request were never taken as returning.
  it('takes attempts as first ones while none has failed for as long as a request may take', () => {
    assert.equal(ages.isCalm(ROUTE, 800), false);
    now = 801;
    assert.equal(ages.isCalm(ROUTE, 800), true);
    ages.noteFailed(ROUTE);
    now = 1_601;
    assert.equal(ages.isCalm(ROUTE, 800), false);
    now = 1_602;
    assert.equal(ages.isCalm(ROUTE, 800), true);
  });

  it('forgets routes that are gone', () => {
    learn();
    ages.retain(() => false);
    assert.equal(ages.ageOf(ROUTE, 100), 0);
  });
});
