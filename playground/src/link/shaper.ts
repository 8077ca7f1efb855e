/** One direction of the link: a bandwidth limit shared by all connections, followed by a delay. */

interface QueuedDelivery {
  bytes: number;
  deliverAtMs: number;
  deliver: () => void;
}

const MIN_WINDOW_BYTES = 64 * 1024;

export class Shaper {
  private queue: QueuedDelivery[] = [];

  /** Time at which the link will have sent all bytes queued so far. */
  private sentAtMs = 0;

  private timer: NodeJS.Timeout | undefined;

  private isFrozen = false;

  /** Total bytes sent in this direction, including queued ones. */
  bytes = 0;

  constructor(
    private delayMs: number,
    private bitsPerSecond: number,
  ) {}

  get queuedBytes(): number {
    return this.queue.reduce((sum, item) => sum + item.bytes, 0);
  }

  get frozen(): boolean {
    return this.isFrozen;
  }

  /**
   * Bytes that one connection may have in flight. Twice the bandwidth-delay product lets a single
   * connection use the whole bandwidth; a larger window would only make others wait longer.
   */
  get windowBytes(): number {
    const bandwidthDelayBytes = (this.bitsPerSecond / 8) * (this.delayMs / 1_000);
    return Math.max(MIN_WINDOW_BYTES, 2 * bandwidthDelayBytes);
  }

  setDelayMs(delayMs: number): void {
    this.delayMs = delayMs;
  }

  setBitsPerSecond(bitsPerSecond: number): void {
    this.bitsPerSecond = bitsPerSecond;
  }

  /** Calls `deliver` once `bytes` have crossed the link; deliveries keep the order of the calls. */
  send(bytes: number, deliver: () => void): void {
    this.bytes += bytes;
    const item = { bytes, deliverAtMs: 0, deliver };
    this.schedule(item);
    this.queue.push(item);
    this.run();
  }

  freeze(): void {
    this.isFrozen = true;
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Sends the held bytes at the link's bandwidth, not in one burst. */
  thaw(): void {
    if (!this.isFrozen) return;
    this.isFrozen = false;
    this.sentAtMs = 0;
    this.queue.forEach((item) => this.schedule(item));
    this.run();
  }

  close(): void {
    clearTimeout(this.timer);
    this.queue = [];
  }

  private schedule(item: QueuedDelivery): void {
    const startMs = Math.max(this.sentAtMs, performance.now());
    this.sentAtMs = startMs + (item.bytes * 8 * 1_000) / this.bitsPerSecond;

    item.deliverAtMs = this.sentAtMs + this.delayMs;
  }

  private run(): void {
    const next = this.queue[0];
    if (this.isFrozen || this.timer !== undefined || next === undefined) return;
    const waitMs = Math.max(0, Math.ceil(next.deliverAtMs - performance.now()));
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.deliverDue();
      this.run();
    }, waitMs);
  }

  private deliverDue(): void {
    const nowMs = performance.now();
    const firstNotDue = this.queue.findIndex((item) => item.deliverAtMs > nowMs);
    const due = this.queue.splice(0, firstNotDue === -1 ? this.queue.length : firstNotDue);
    due.forEach((item) => item.deliver());
  }
}
