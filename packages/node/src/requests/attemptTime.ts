/**
 * Timeout of one attempt of a repeatable request, from the observed latency of its route. A frozen
 * server is abandoned long before the caller's deadline, while requests to a service that is slow
 * on all servers are not cut off.
 */

const MIN_ATTEMPT_MS = 500;
/**
 * Weights of the retransmission timer of RFC 6298. Its factor for the deviation is 4; a larger one
 * is used here, because a retry runs the whole request a second time.
 */
const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
const DEVIATIONS = 8;

interface Estimate {
  meanMs: number;
  deviationMs: number;
}

export class AttemptTimes {
  private readonly estimates = new Map<string, Estimate>();

  /** Records the time from dispatch to the response head, or until a slow attempt timed out. */
  observe(route: string, ms: number): void {
    const held = this.estimates.get(route);
    if (held === undefined) {
      this.estimates.set(route, { meanMs: ms, deviationMs: ms / 2 });
      return;
    }
    held.deviationMs += (Math.abs(ms - held.meanMs) - held.deviationMs) * DEVIATION_WEIGHT;
    held.meanMs += (ms - held.meanMs) * MEAN_WEIGHT;
  }

  /**
   * Time after which the request is retried at another server; may be longer than the time left.
   */
  limitMs(route: string, remainingMs: number): number {
    const held = this.estimates.get(route);
    const half = remainingMs / 2;
    const expected = held === undefined ? half : held.meanMs + DEVIATIONS * held.deviationMs;
    return Math.max(MIN_ATTEMPT_MS, Math.min(half, expected));
  }
}
