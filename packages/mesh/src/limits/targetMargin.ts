/**
 * Time kept back from a request's target latency, so that work that takes longer than usual still ends
 * within it. Without it a full queue lets each request wait until the usual work just fits, and every
 * second answer comes late.
 */

/** Deviations beyond the usual time; about the 85th percentile where times are exponential. */
const DEVIATIONS = 1.4;
/** Deviation that is assumed before any was seen, as a share of the usual time. */
const ASSUMED_DEVIATION_SHARE = 0.5;
/** Largest part of the spare time that is kept back, so that some of it can be spent waiting. */
const MAX_SPARE_SHARE = 0.6;

/**
 * @param estimateMs usual time at the upstream
 * @param deviationMs mean deviation from it; null before any was seen
 * @param targetLeftMs time left until the target latency
 */
export function targetMargin(
  estimateMs: number,
  deviationMs: number | null,
  targetLeftMs: number,
): number {
  const spareMs = Math.max(0, targetLeftMs - estimateMs);
  const wantedMs = DEVIATIONS * (deviationMs ?? estimateMs * ASSUMED_DEVIATION_SHARE);
  return Math.min(wantedMs, spareMs * MAX_SPARE_SHARE);
}
