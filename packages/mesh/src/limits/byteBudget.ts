/** Bounds the total memory of message bodies that are held at the same time. */

export class ByteBudget {
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  get used(): number {
    return this.usedBytes;
  }

  /** @returns false, without reserving anything, if the limit would be exceeded */
  reserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
