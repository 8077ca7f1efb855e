/**
 * Estimates how long messages of one connection were held up on their way, from the sender's clock.
 * The clocks of two hosts have no common start, so only the excess over the fastest recent message is
 * known. A request that lay in a full link or with a frozen process has that much less time left.
 */

/** Time for which the fastest message counts; clocks that drift by 100 ppm are 2 ms apart after it. */
const WINDOW_MS = 20_000;

export class TransitDelay {
  private fastest = Infinity;

  private fastestBefore = Infinity;

  private windowStartMs = -Infinity;

  /** @returns milliseconds beyond the usual way, 0 for the first message */
  note(sentMs: number, receivedMs: number): number {
    if (receivedMs - this.windowStartMs > WINDOW_MS) {
      this.fastestBefore = this.fastest;
      this.fastest = Infinity;
      this.windowStartMs = receivedMs;
    }
    const apart = receivedMs - sentMs;
    this.fastest = Math.min(this.fastest, apart);
    return apart - Math.min(this.fastest, this.fastestBefore);
  }
}
