/** Bounds the memory that bodies under way take, whatever their size and number. */

export class ByteBudget {
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  get used(): number {
    return this.usedBytes;
  }

  /** @returns false where the limit would be passed; nothing is reserved then */
  reserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
