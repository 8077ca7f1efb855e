/** Collects the parts of a message; its memory follows the number of bytes, however small the parts are. */

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Larger parts are kept as views; the receive buffers that they keep alive are hardly larger. */
const MAX_COPIED_BYTES = 32 * 1024;
/** A call to copy costs more than a few assignments. */
const MAX_ASSIGNED_BYTES = 16;

export class ByteCollector {
  private blocks: Buffer[] = [];

  /** Block that small parts are copied to. */
  private open = Buffer.alloc(0);

  private usedInOpen = 0;

  private collectedBytes = 0;

  get length(): number {
    return this.collectedBytes;
  }

  /** Adds the bytes of `source` from `start` up to `end`; a large part must not be modified afterwards. */
  append(source: Buffer, start = 0, end = source.length): void {
    const bytes = end - start;
    if (bytes > MAX_COPIED_BYTES) {
      this.seal();
      this.blocks.push(source.subarray(start, end));
      this.collectedBytes += bytes;
      return;
    }
    let position = start;
    while (position < end) {
      if (this.usedInOpen === this.open.length) this.openBlock(end - position);
      const copied = Math.min(end - position, this.open.length - this.usedInOpen);
      this.copy(source, position, copied);
      position += copied;
    }
  }

  /** Returns all bytes in their order, and starts anew. */
  take(): Buffer {
    this.seal();
    const { blocks } = this;
    this.clear();
    return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
  }

  clear(): void {
    this.blocks = [];
    this.open = Buffer.alloc(0);
    this.usedInOpen = 0;
    this.collectedBytes = 0;
  }

  private copy(source: Buffer, start: number, bytes: number): void {
    const { open, usedInOpen } = this;
    if (bytes > MAX_ASSIGNED_BYTES) source.copy(open, usedInOpen, start, start + bytes);
    else for (let i = 0; i < bytes; i++) open[usedInOpen + i] = source[start + i]!;
    this.usedInOpen += bytes;
    this.collectedBytes += bytes;
  }

  private openBlock(neededBytes: number): void {
    this.seal();
    const wanted = Math.max(MIN_BLOCK_BYTES, neededBytes, this.collectedBytes);
    this.open = Buffer.allocUnsafeSlow(Math.min(wanted, MAX_BLOCK_BYTES));
  }

  /** Ends the current part of the open block; what is left of the block is used for further parts. */
  private seal(): void {
    if (this.usedInOpen === 0) return;
    this.blocks.push(this.open.subarray(0, this.usedInOpen));
    this.open = this.open.subarray(this.usedInOpen);
    this.usedInOpen = 0;
  }
}
