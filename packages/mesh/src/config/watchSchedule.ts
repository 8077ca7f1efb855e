/**
 * Spreads the ends of the watches of one node evenly over time. A connection that has gone silent shows only
 * when the watch on it does not end, and others go silent with it, so the spread shortens the time until then
 * without further calls to the store.
 */
export class WatchSchedule {
  /** Time at which the watch of each subject ends. */
  private readonly endsMs = new Map<string, number>();

  /** @param intervalMs longest time between the ends of two watches */
  constructor(private readonly intervalMs: number) {}

  /** @returns how long the watch of `subject` that begins now may wait */
  begin(subject: string, nowMs: number): number {
    this.endsMs.delete(subject);
    const others = [...this.endsMs.values()].filter((endMs) => endMs > nowMs);
    let previousMs = nowMs;
    for (const endMs of others.sort((a, b) => a - b)) {
      if (endMs - previousMs > this.intervalMs) break;
      previousMs = endMs;
    }
    const endMs = previousMs + this.intervalMs;
    this.endsMs.set(subject, endMs);
    return endMs - nowMs;
  }

  end(subject: string): void {
    this.endsMs.delete(subject);
  }
}
