/** Rate of recent events, with exponentially decreasing weight. */

const DECAY_MS = 1_000;

export class DemandRate {
  private weight = 0;

  private updatedMs = 0;

  add(nowMs: number): void {
    this.weight = this.weightAt(nowMs) + 1;
    this.updatedMs = nowMs;
  }

  perSecond(nowMs: number): number {
    return (this.weightAt(nowMs) * 1_000) / DECAY_MS;
  }

  private weightAt(nowMs: number): number {
    return this.weight * Math.exp(-Math.max(0, nowMs - this.updatedMs) / DECAY_MS);
  }
}
