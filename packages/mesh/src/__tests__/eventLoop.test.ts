import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import * as eventLoop from '../eventLoop.js';

const PERIOD_MS = 100;

describe('LagMeter', () => {
  let now: number;
  let meter: eventLoop.LagMeter;

  beforeEach(() => {
    now = 5_000;
    meter = new eventLoop.LagMeter(PERIOD_MS, () => now);
  });

  function tickAfter(ms: number): void {
    now += ms;
    meter.tick();
  }

  it('is 0 while the timer fires in time', () => {
    assert.equal(meter.highestMs, 0);
    for (let i = 0; i < 30; i += 1) tickAfter(PERIOD_MS);
    assert.equal(meter.highestMs, 0);
  });

  it('keeps the highest delay for a second at least and for two at most', () => {
    tickAfter(0);
    tickAfter(PERIOD_MS + 40);
    tickAfter(PERIOD_MS + 250);
    tickAfter(PERIOD_MS + 10);
    for (let i = 0; i < 9; i += 1) tickAfter(PERIOD_MS);
    assert.equal(meter.highestMs, 250);
    for (let i = 0; i < 11; i += 1) tickAfter(PERIOD_MS);
    assert.equal(meter.highestMs, 0);
  });

  it('includes a timer that is overdue', () => {
    tickAfter(0);
    now += PERIOD_MS + 700;
    assert.equal(meter.highestMs, 700);
  });

  it('adds up all delays', () => {
    tickAfter(0);
    for (let i = 0; i < 30; i += 1) tickAfter(PERIOD_MS + 40);
    now += PERIOD_MS + 700;
    assert.equal(meter.totalMs, 30 * 40 + 700);
  });
});
