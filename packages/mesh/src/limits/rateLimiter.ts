/**
 * Limits the rate at which requests start, to what the upstream has stated that it takes. A token bucket
 * with an allowance for short bursts; the caller passes the time.
 */

/** Allowance for bursts after a pause: the requests that the rate admits in this time. */
const BURST_MS = 250;
/**
 * Lowest enforced rate. An upstream states its limit in its answers, so one that gets no requests could not
 * raise it again.
 */
const MIN_RATE_PER_SECOND = 0.5;

export class RateLimiter {
  private ratePerMs = Infinity;

  /** Requests that may start now; less than 1 until the next one is due. */
  private tokens = 0;

  private refilledAtMs = 0;

  /**
   * Sets the rate; null lifts the limit. A new limit starts without an allowance, since the upstream has just
   * received more than it admits.
   */
  setRate(perSecond: number | null, nowMs: number): void {
    this.refill(nowMs);
    const wasLimited = this.isLimited;
    this.ratePerMs =
      perSecond === null ? Infinity : Math.max(MIN_RATE_PER_SECOND, perSecond) / 1_000;
    if (!wasLimited) this.tokens = 0;
    this.tokens = Math.min(this.tokens, this.burst);
  }

  get isLimited(): boolean {
    return this.ratePerMs !== Infinity;
  }

  /** Counts a request that starts now. @returns false if it must not start yet */
  tryTake(nowMs: number): boolean {
    if (this.waitMs(0, nowMs) > 0) return false;
    if (this.isLimited) this.tokens -= 1;
    return true;
  }

  /** Time until a request may start that has `ahead` others before it; 0 if it may start now. */
  waitMs(ahead: number, nowMs: number): number {
    if (!this.isLimited) return 0;
    this.refill(nowMs);
    return Math.max(0, (ahead + 1 - this.tokens) / this.ratePerMs);
  }

  private get burst(): number {
    return Math.max(1, this.ratePerMs * BURST_MS);
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.refilledAtMs = nowMs;
    if (this.isLimited)
      this.tokens = Math.min(this.burst, this.tokens + elapsedMs * this.ratePerMs);
  }
}
