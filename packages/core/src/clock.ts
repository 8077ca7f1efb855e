/** Time source, so that rules about time can be tested without waiting. */

export abstract class Clock {
  /** Wall-clock milliseconds since the epoch; may jump. */
  abstract nowMs(): number;

  /** Milliseconds from an arbitrary start; never goes back. */
  abstract monotonicMs(): number;
}

export class SystemClock extends Clock {
  nowMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }
}

/** Clock for tests; time advances only through `advance`. */
export class ManualClock extends Clock {
  private timeMs: number;

  constructor(startMs = 0) {
    super();
    this.timeMs = startMs;
  }

  nowMs(): number {
    return this.timeMs;
  }

  monotonicMs(): number {
    return this.timeMs;
  }

  advance(ms: number): void {
    this.timeMs += ms;
  }
}
