/**
 * Estimates the transit delay of messages on one connection from the sender's timestamps. The monotonic
 * clocks of two hosts have no common origin, so only the excess over the fastest recent message is known.
 * The delay reduces the remaining time of requests that waited in a congested link or a frozen process.
 */

/** Window of the minimum offset; clocks that drift by 100 ppm diverge by 2 ms within it. */
const WINDOW_MS = 20_000;

export class TransitDelay {
  /** Smallest difference between receive and send time in the current window. */
  private minOffsetMs = Infinity;

  private previousMinOffsetMs = Infinity;

  private windowStartMs = -Infinity;

  /** @returns the excess over the fastest recent message in milliseconds; 0 for the first message */
  record(sentMs: number, receivedMs: number): number {
    if (receivedMs - this.windowStartMs > WINDOW_MS) {
      this.previousMinOffsetMs = this.minOffsetMs;
      this.minOffsetMs = Infinity;
      this.windowStartMs = receivedMs;
    }
    const offsetMs = receivedMs - sentMs;
    this.minOffsetMs = Math.min(this.minOffsetMs, offsetMs);
    return offsetMs - Math.min(this.minOffsetMs, this.previousMinOffsetMs);
  }
}
