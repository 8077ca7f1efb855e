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
const SEEDS = [7, 8, 9, 10, 11];

interface Work extends admissionQueue.AdmissionRequest {
  trueTargetMs: number;
  workMs: number;
}

type MarginOf = (estimateMs: number, targetLeftMs: number) => number;

interface Result {
  answered: number;
  /** Answers within their target latency. */
  inTarget: number;
}

/**
 * Simulates an upstream with exponential service times.
 * @param load arrivals as a share of the capacity
 */
function simulate(load: number, marginOf: MarginOf, seed = 7): Result {
  const rng = random.xoroshiro128plus(seed);
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
      customerPriority: 0,
      priority: 1,
      trueTargetMs,
      targetAtMs: trueTargetMs - marginOf(MEAN_MS, TARGET_MS),
      deadlineAtMs: arrivesAt + DEADLINE_MS,
      estimateMs: MEAN_MS,
      transferWaitMs: 0,
      maxWaitMs: Infinity,
      workMs: exponential(MEAN_MS),
    };
    if (queue.offer(work, arrivesAt).type === 'run') start(work, arrivesAt);
    arrivesAt += exponential(MEAN_MS / SLOTS / load);
  }
  return { answered, inTarget };
}

describe('targetMargin', () => {
  const marginOf: MarginOf = (estimateMs, leftMs) =>
    targetMargin.targetMargin(estimateMs, MEAN_MS * 0.74, leftMs);

  it('leaves part of the spare time for waiting', () => {
    assert.equal(targetMargin.targetMargin(100, 500, 200), 60);
  });

  it('is 0 if the target cannot be met', () => {
    assert.equal(targetMargin.targetMargin(100, 50, 80), 0);
  });

  // Guards against late answers under overload: without a margin, a third of the answers were late
  // at twice the capacity.
  it('raises the share of answers within the target at twice the capacity', () => {
    const onTimeShare = ({ answered, inTarget }: Result) => inTarget / answered;
    const withoutMargin = onTimeShare(simulate(2, () => 0));
    const withMargin = onTimeShare(simulate(2, marginOf));
    assert.ok(
      withMargin > withoutMargin + 0.05,
      `${withMargin} with a margin, ${withoutMargin} without`,
    );
  });

  // Guards against a margin that refuses requests which would have been answered in time.
  for (const load of [0.9, 1, 1.1]) {
    it(`loses no answers within the target at ${load} of the capacity`, () => {
      const total = (margin: MarginOf) =>
        SEEDS.reduce((sum, seed) => sum + simulate(load, margin, seed).inTarget, 0);
      const withoutMargin = total(() => 0);
      const withMargin = total(marginOf);
      assert.ok(
        withMargin >= withoutMargin,
        `${withMargin} with a margin, ${withoutMargin} without`,
      );
    });
  }
});
