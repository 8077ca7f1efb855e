/** One direction of the link: a rate shared by all connections, then a delay. */

interface Item {
  bytes: number;
  deliverAtMs: number;
  deliver: () => void;
}

const MIN_WINDOW_BYTES = 64 * 1024;

export class Shaper {
  private queue: Item[] = [];

  /** Time at which the link has sent everything accepted so far. */
  private sentAtMs = 0;

  private timer: NodeJS.Timeout | undefined;

  private held = false;

  /** Bytes that entered this direction. */
  bytes = 0;

  constructor(
    private delayMs: number,
    private bitsPerSecond: number,
  ) {}

  get queuedBytes(): number {
    return this.queue.reduce((sum, item) => sum + item.bytes, 0);
  }

  get frozen(): boolean {
    return this.held;
  }

  /**
   * Bytes that one connection may have under way. Twice the bandwidth-delay product lets a single
   * connection use the whole rate; a larger window would only lengthen the queue for the others.
   */
  get windowBytes(): number {
    const perDelay = (this.bitsPerSecond / 8) * (this.delayMs / 1_000);
    return Math.max(MIN_WINDOW_BYTES, 2 * perDelay);
  }

  setDelayMs(delayMs: number): void {
    this.delayMs = delayMs;
  }

  setBitsPerSecond(bitsPerSecond: number): void {
    this.bitsPerSecond = bitsPerSecond;
  }

  /** Calls `deliver` when `bytes` have crossed, in the order of the calls. */
  send(bytes: number, deliver: () => void): void {
    this.bytes += bytes;
    const item = { bytes, deliverAtMs: 0, deliver };
    this.schedule(item);
    this.queue.push(item);
    this.run();
  }

  freeze(): void {
    this.held = true;
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Held bytes cross at the link's rate from now on, not in one burst. */
  thaw(): void {
    if (!this.held) return;
    this.held = false;
    this.sentAtMs = 0;
    this.queue.forEach((item) => this.schedule(item));
    this.run();
  }

  close(): void {
    clearTimeout(this.timer);
    this.queue = [];
  }

  private schedule(item: Item): void {
    const startMs = Math.max(this.sentAtMs, performance.now());
    this.sentAtMs = startMs + (item.bytes * 8 * 1_000) / this.bitsPerSecond;

    item.deliverAtMs = this.sentAtMs + this.delayMs;
  }

  private run(): void {
    const next = this.queue[0];
    if (this.held || this.timer !== undefined || next === undefined) return;
    const waitMs = Math.max(0, Math.ceil(next.deliverAtMs - performance.now()));
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.deliverDue();
      this.run();
    }, waitMs);
  }

  private deliverDue(): void {
    const nowMs = performance.now();
    const after = this.queue.findIndex((item) => item.deliverAtMs > nowMs);
    const due = this.queue.splice(0, after === -1 ? this.queue.length : after);
    due.forEach((item) => item.deliver());
  }
}
