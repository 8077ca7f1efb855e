/** Helpers for the order in which the event loop polls sockets, and for its delays. */

/**
 * Resolves after the sockets have been polled once more. After a pause of the process, a request and the
 * end of its connection may both be pending, and the end is only read in the poll after the request.
 */
export function nextPoll(): Promise<void> {
  return new Promise((resolve) => {
    // The first callback may run before the next poll phase.
    setImmediate(() => setImmediate(resolve));
  });
}

/** Highest delay of a periodic timer over its due time, within the last one to two windows. */
export class LagMeter {
  private static readonly WINDOW_MS = 1_000;

  /** When the timer should fire next; `Infinity` until it has fired once. */
  private dueAtMs = Infinity;

  private windowEndsMs = 0;

  private highestInWindowMs = 0;

  private highestInLastWindowMs = 0;

  private sumMs = 0;

  constructor(
    private readonly periodMs: number,
    private readonly nowMs: () => number,
  ) {}

  /** To be called each time the timer fires. */
  tick(): void {
    const now = this.nowMs();
    const lagMs = this.overdueMs(now);
    if (now >= this.windowEndsMs) {
      this.highestInLastWindowMs = this.highestInWindowMs;
      this.highestInWindowMs = 0;
      this.windowEndsMs = now + LagMeter.WINDOW_MS;
    }
    this.highestInWindowMs = Math.max(this.highestInWindowMs, lagMs);
    this.sumMs += lagMs;
    this.dueAtMs = now + this.periodMs;
  }

  /** Includes the delay of a timer that is overdue now. */
  get highestMs(): number {
    const overdueMs = this.overdueMs(this.nowMs());
    return Math.max(this.highestInLastWindowMs, this.highestInWindowMs, overdueMs);
  }

  /** Sum of all delays so far, including that of a timer that is overdue now. */
  get totalMs(): number {
    return this.sumMs + this.overdueMs(this.nowMs());
  }

  private overdueMs(now: number): number {
    return Math.max(0, now - this.dueAtMs);
  }
}
