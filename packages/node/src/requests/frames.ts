/**
 * Frames between nodes: protobuf messages, each preceded by its length as a 32-bit big-endian
 * integer.
 */

import { failures } from '@godwittrack/core';
import { requests } from '@godwittrack/protocol';

/** Largest frame; a head has at most 16 KiB of headers and a chunk at most 64 KiB by default. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const LENGTH_BYTES = 4;
const NO_BYTES = Buffer.alloc(0);

export const FORWARD_PATH = '/godwittrack.v1/forward';

export function encodeRequest(frame: Partial<requests.RequestFrame>): Buffer {
  const { head, chunk = NO_BYTES, end = false } = frame;
  return withLengthPrefix(requests.RequestFrame.encode({ head, chunk, end }).finish());
}

export function encodeResponse(frame: Partial<requests.ResponseFrame>): Buffer {
  const { head, chunk = NO_BYTES, end = false, refusal } = frame;
  return withLengthPrefix(requests.ResponseFrame.encode({ head, chunk, end, refusal }).finish());
}

function withLengthPrefix(message: Uint8Array): Buffer {
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + message.length);
  framed.writeUInt32BE(message.length, 0);
  framed.set(message, LENGTH_BYTES);
  return framed;
}

/** Reads frames from the byte stream of one HTTP message. */
export class FrameReader<T> {
  private buffered: Buffer = NO_BYTES;

  constructor(
    private readonly source: AsyncIterator<Uint8Array>,
    private readonly decode: (message: Uint8Array) => T,
    private readonly peer: string,
  ) {}

  /** Next frame; null at the end. @throws protocolViolation, and what the source throws */
  async next(): Promise<T | null> {
    while (true) {
      const frame = this.takeFrame();
      if (frame !== null) return frame;
      const result = await this.source.next();
      if (result.done) {
        if (this.buffered.length === 0) return null;
        throw this.violation('the message ended within a frame');
      }
      const chunk = result.value as Buffer;
      this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    }
  }

  private takeFrame(): T | null {
    if (this.buffered.length < LENGTH_BYTES) return null;
    const length = this.buffered.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES) throw this.violation(`a frame of ${length} bytes`);
    const end = LENGTH_BYTES + length;
    if (this.buffered.length < end) return null;
    const message = this.buffered.subarray(LENGTH_BYTES, end);
    this.buffered = this.buffered.subarray(end);
    try {
      return this.decode(message);
    } catch (err) {
      throw this.violation(`a frame that cannot be decoded: ${String(err)}`);
    }
  }

  private violation(detail: string): failures.FailureError {
    return failures.toError({ type: 'protocolViolation', peer: this.peer, detail });
  }
}
