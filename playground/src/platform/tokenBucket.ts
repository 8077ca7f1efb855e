/** Token bucket rate limiter that allows bursts of up to one second's worth of calls. */

export class TokenBucket {
  private tokens: number;

  private lastMs: number;

  /** @param ratePerSecond tokens added each second; also the capacity */
  constructor(
    private ratePerSecond: number,
    private readonly nowMs: () => number = () => performance.now(),
  ) {
    this.tokens = ratePerSecond;
    this.lastMs = nowMs();
  }

  setRate(ratePerSecond: number): void {
    this.ratePerSecond = ratePerSecond;
    this.tokens = Math.min(this.tokens, ratePerSecond);
  }

  take(): boolean {
    const nowMs = this.nowMs();
    const added = ((nowMs - this.lastMs) / 1_000) * this.ratePerSecond;
    this.tokens = Math.min(this.ratePerSecond, this.tokens + added);
    this.lastMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
