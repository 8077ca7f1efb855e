/** Splits a byte stream into frames. */

import { byteCollector, failures } from '@godwittrack/core';
import * as frames from './frames.js';

export class FrameSplitter {
  /** Begin of a frame whose end has not been received. */
  private readonly incomplete = new byteCollector.ByteCollector();

  /** Number of bytes that must be buffered before the next frame can be decoded. */
  private neededBytes = frames.LENGTH_BYTES;

  constructor(private readonly peer: string) {}

  /** @throws protocolViolation */
  push(chunk: Buffer): frames.Frame[] {
    let buffered = chunk;
    if (this.incomplete.length > 0) {
      this.incomplete.append(chunk);
      if (this.incomplete.length < this.neededBytes) return [];
      buffered = this.incomplete.take();
    }
    const split: frames.Frame[] = [];
    this.neededBytes = frames.LENGTH_BYTES;
    while (buffered.length >= frames.LENGTH_BYTES) {
      const length = buffered.readUInt32BE(0);
      if (length > frames.MAX_FRAME_BYTES) {
        const detail = `a frame of ${length} bytes`;
        throw failures.toError({ type: 'protocolViolation', peer: this.peer, detail });
      }
      this.neededBytes = frames.LENGTH_BYTES + length;
      if (buffered.length < this.neededBytes) break;
      split.push(
        frames.decode(buffered.subarray(frames.LENGTH_BYTES, this.neededBytes), this.peer),
      );
      buffered = buffered.subarray(this.neededBytes);
      this.neededBytes = frames.LENGTH_BYTES;
    }
    this.incomplete.append(buffered);
    return split;
  }
}
