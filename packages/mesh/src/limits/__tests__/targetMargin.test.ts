import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as admissionQueue from '../admissionQueue.js';
import * as targetMargin from '../targetMargin.js';

const SLOTS = 12;
const MEAN_MS = 95;
const TARGET_MS = 300;
const DEADLINE_MS = 800;
const DURATION_MS = 30_000;

interface Work extends admissionQueue.AdmissionRequest {
  trueTargetMs: number;
  workMs: number;
}

/**
 * Simulates an upstream with exponential service times at twice its capacity; returns the share of
 * answers within their target latency.
 */
function onTimeShare(marginOf: (estimateMs: number, targetLeftMs: number) => number): number {
  const rng = random.xoroshiro128plus(7);
  const exponential = (meanMs: number) => -meanMs * Math.log(1 - uniform.uniformFloat64(rng));
  const queue = new admissionQueue.AdmissionQueue<Work>();
  queue.setSlots(SLOTS);
  const running: { atMs: number; work: Work }[] = [];
  let inTarget = 0;
  let answered = 0;
  const start = (work: Work, now: number) => {
    running.push({ atMs: now + work.workMs, work });
    running.sort((a, b) => a.atMs - b.atMs);
  };
  let arrivesAt = 0;
  while (arrivesAt < DURATION_MS) {
    while (running.length > 0 && running[0]!.atMs <= arrivesAt) {
      const { atMs, work } = running.shift()!;
      answered += 1;
      if (atMs <= work.trueTargetMs) inTarget += 1;
      for (const next of queue.release(work, atMs).started) start(next, atMs);
    }
    const trueTargetMs = arrivesAt + TARGET_MS;
    const work: Work = {
      priority: 1,
      trueTargetMs,
      targetAtMs: trueTargetMs - marginOf(MEAN_MS, TARGET_MS),
      deadlineAtMs: arrivesAt + DEADLINE_MS,
      estimateMs: MEAN_MS,
      maxWaitMs: Infinity,
      workMs: exponential(MEAN_MS),
    };
    if (queue.offer(work, arrivesAt).type === 'run') start(work, arrivesAt);
    arrivesAt += exponential(MEAN_MS / SLOTS / 2);
  }
  return inTarget / answered;
}

describe('targetMargin', () => {
  it('leaves part of the spare time for waiting', () => {
    assert.equal(targetMargin.targetMargin(100, 500, 200), 60);
  });

  it('is 0 if the target cannot be met', () => {
    assert.equal(targetMargin.targetMargin(100, 50, 80), 0);
  });

  // Guards against late answers under overload: without a margin, a third of the answers were late
  // at twice the capacity.
  it('raises the share of answers within the target at twice the capacity', () => {
    const deviationMs = MEAN_MS * 0.74;
    const withoutMargin = onTimeShare(() => 0);
    const withMargin = onTimeShare((estimateMs, leftMs) =>
      targetMargin.targetMargin(estimateMs, deviationMs, leftMs),
    );
    assert.ok(
      withMargin > withoutMargin + 0.05,
      `${withMargin} with a margin, ${withoutMargin} without`,
    );
  });
});
