/**
 * Safety margin that is subtracted from a request's target latency, so that requests that take
 * longer than the average are still answered within it. Without a margin, a full queue lets each
 * request wait until the average service time just fits, and about every second answer is late.
 */

/** Margin in mean deviations; covers about the 78th percentile of exponential service times. */
const MARGIN_DEVIATIONS = 0.7;
/** Mean deviation that is assumed before it is known, as a share of the average service time. */
const ASSUMED_DEVIATION_SHARE = 0.5;
/** Upper bound of the margin as a share of the spare time; the rest can be spent waiting. */
const MAX_MARGIN_SHARE = 0.6;

/**
 * @param estimateMs average service time
 * @param deviationMs mean deviation from it; null if not known yet
 * @param targetLeftMs time left until the target latency
 */
export function targetMargin(
  estimateMs: number,
  deviationMs: number | null,
  targetLeftMs: number,
): number {
  const spareMs = Math.max(0, targetLeftMs - estimateMs);
  const wantedMs = MARGIN_DEVIATIONS * (deviationMs ?? estimateMs * ASSUMED_DEVIATION_SHARE);
  return Math.min(wantedMs, spareMs * MAX_MARGIN_SHARE);
}
