/**
 * Timeout of one attempt of a repeatable request, from the observed latency of its route. A frozen
 * server is abandoned long before the caller's deadline, while requests to a service that is slow
 * on all servers are not cut off.
 */

const MIN_ATTEMPT_TIMEOUT_MS = 500;
/**
 * Weights of the retransmission timer of RFC 6298. Its factor for the deviation is 4; a larger one
 * is used here, because a retry runs the whole request a second time.
 */
const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
const DEVIATION_FACTOR = 8;

interface LatencyEstimate {
  meanMs: number;
  deviationMs: number;
}

export class AttemptTimeouts {
  private readonly estimates = new Map<string, LatencyEstimate>();

  /** Records the time from dispatch to the response head, or until a slow attempt timed out. */
  observe(route: string, latencyMs: number): void {
    const estimate = this.estimates.get(route);
    if (estimate === undefined) {
      this.estimates.set(route, { meanMs: latencyMs, deviationMs: latencyMs / 2 });
      return;
    }
    estimate.deviationMs +=
      (Math.abs(latencyMs - estimate.meanMs) - estimate.deviationMs) * DEVIATION_WEIGHT;
    estimate.meanMs += (latencyMs - estimate.meanMs) * MEAN_WEIGHT;
  }

  /**
   * Time after which the request is retried at another server; may be longer than the time left.
   */
  timeoutMs(route: string, remainingMs: number): number {
    const estimate = this.estimates.get(route);
    const halfMs = remainingMs / 2;
    const expectedMs =
      estimate === undefined ? halfMs : estimate.meanMs + DEVIATION_FACTOR * estimate.deviationMs;
    return Math.max(MIN_ATTEMPT_TIMEOUT_MS, Math.min(halfMs, expectedMs));
  }
}
