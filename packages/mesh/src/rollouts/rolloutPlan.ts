/**
 * Times of the phases of a rollout, planned backwards from its deadline: few requests reach an unproved
 * version for most of the time, and all of them only shortly before the deadline.
 */

/** Part of the allowed exposure that all requests from the last step to the deadline may use. */
const LAST_STEP_PART = 0.7;
/** The same for the duration of the step before it. */
const PULSE_PART = 0.3;
/** Least time for the last step: the other versions must have finished their requests by its end. */
const MIN_LAST_STEP_MS = 1_150;
/** Time before the deadline at which the end is recorded: operators see it some time after the write. */
const RECORD_LEAD_MS = 600;

/** Times since the order, in ms. */
export interface RolloutPlan {
  pulseAtMs: number;
  fullAtMs: number;
  recordAtMs: number;
}

/** @param maxExposureShare share of requests that the version may get up to the deadline if it is bad */
export function createPlan(durationMs: number, maxExposureShare: number): RolloutPlan {
  const lastStepMs = Math.max(MIN_LAST_STEP_MS, LAST_STEP_PART * maxExposureShare * durationMs);
  const fullAtMs = Math.max(0, durationMs - lastStepMs);
  return {
    pulseAtMs: Math.max(0, fullAtMs - PULSE_PART * maxExposureShare * durationMs),
    fullAtMs,
    recordAtMs: Math.max(0, durationMs - RECORD_LEAD_MS),
  };
}
