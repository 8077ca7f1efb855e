/** Splits a byte stream into frames. */

import { failures } from '@godwittrack/core';
import * as frames from './frames.js';

export class FrameSplitter {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  /** Number of bytes that must be buffered before the next frame can be decoded. */
  private neededBytes = frames.LENGTH_BYTES;

  constructor(private readonly peer: string) {}

  /** @throws protocolViolation */
  push(chunk: Buffer): frames.Frame[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return [];
    let buffered = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
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
    this.chunks = buffered.length === 0 ? [] : [buffered];
    this.bufferedBytes = buffered.length;
    return split;
  }
}
