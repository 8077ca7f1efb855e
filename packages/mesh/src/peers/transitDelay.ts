/**
 * Estimates how long messages of one connection were held up on their way, from the sender's clock.
 * The clocks of two hosts have no common start, so only the excess over the fastest recent message is
 * known. A request that lay in a full link or with a frozen process has that much less time left.
 */

/** Time for which the fastest message counts; clocks that drift by 100 ppm are 2 ms apart after it. */
const WINDOW_MS = 20_000;

export class TransitDelay {
  private minOffsetMs = Infinity;

  private previousMinOffsetMs = Infinity;

  private windowStartMs = -Infinity;

  /** @returns milliseconds beyond the usual way, 0 for the first message */
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
