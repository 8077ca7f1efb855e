/**
 * Time that one attempt of a repeatable request gets before it is tried elsewhere, by the latency
 * observed: a frozen server is left long before the caller's deadline, a slow service is not cut.
 */

const MIN_ATTEMPT_MS = 500;
/** Weights and factor of the retransmission timer of RFC 6298; wider, as a retry costs a run. */
const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
const DEVIATIONS = 8;

interface Estimate {
  meanMs: number;
  deviationMs: number;
}

export class AttemptTimes {
  private readonly estimates = new Map<string, Estimate>();

  /** Notes the time from dispatch to the head of the answer, or to the end of a slow attempt. */
  observe(route: string, ms: number): void {
    const held = this.estimates.get(route);
    if (held === undefined) {
      this.estimates.set(route, { meanMs: ms, deviationMs: ms / 2 });
      return;
    }
    held.deviationMs += (Math.abs(ms - held.meanMs) - held.deviationMs) * DEVIATION_WEIGHT;
    held.meanMs += (ms - held.meanMs) * MEAN_WEIGHT;
  }

  /** Time after which the attempt is moved to another server; it may pass the deadline. */
  limitMs(route: string, remainingMs: number): number {
    const held = this.estimates.get(route);
    const half = remainingMs / 2;
    const expected = held === undefined ? half : held.meanMs + DEVIATIONS * held.deviationMs;
    return Math.max(MIN_ATTEMPT_MS, Math.min(half, expected));
  }
}
