/**
 * Frames over one socket. Small frames are written at once; larger ones are sent in pieces, so that small
 * frames do not wait behind them.
 */

import type * as stream from 'node:stream';
import * as frameSplitter from './frameSplitter.js';
import * as frames from './frames.js';
import * as reassembler from './reassembler.js';
import type * as uplinkScheduler from './uplinkScheduler.js';

/** A delta needs its base, so it must not overtake the configuration that it is based on. */
const ORDERED_TYPES: ReadonlySet<frames.Frame['type']> = new Set(['configFull', 'configDelta']);

export class FramedConnection {
  private readonly splitter: frameSplitter.FrameSplitter;

  private readonly pieces: reassembler.Reassembler;

  private readonly channel: uplinkScheduler.UplinkChannel;

  constructor(
    private readonly socket: stream.Duplex,
    private readonly peer: string,
    uplink: uplinkScheduler.UplinkScheduler,
  ) {
    this.splitter = new frameSplitter.FrameSplitter(peer);
    this.pieces = new reassembler.Reassembler(peer);
    this.channel = uplink.openChannel((frame, onFlushed) => {
      this.write(frames.encode(frame), onFlushed);
    });
  }

  /** Whether frames are being sent in pieces and the receiver acknowledges them. */
  get isTransferring(): boolean {
    const { queuedBytes, outstandingBytes, isStalled } = this.channel;
    return queuedBytes + outstandingBytes > 0 && !isStalled;
  }

  get isWritable(): boolean {
    return this.socket.writable;
  }

  /**
   * Sends a frame; `onFlushed` is called when it has been handed to the kernel completely.
   * @returns the transfer if the frame is sent in pieces
   */
  send(frame: frames.Frame, onFlushed?: () => void): uplinkScheduler.Transfer | null {
    if (!this.isWritable) return null;
    return this.sendEncoded(frames.encode(frame), frame.type, onFlushed);
  }

  sendEncoded(
    bytes: Buffer,
    type: frames.Frame['type'],
    onFlushed?: () => void,
  ): uplinkScheduler.Transfer | null {
    const isOrdered = ORDERED_TYPES.has(type);
    if (bytes.length > frames.MAX_WHOLE_FRAME_BYTES || (isOrdered && this.channel.hasOrdered)) {
      return this.channel.enqueue(frames.withoutLength(bytes), { isOrdered, onFlushed });
    }
    this.write(bytes, onFlushed);
    return null;
  }

  /**
   * Splits received bytes into frames, and acknowledges the pieces among them.
   * @throws protocolViolation
   */
  receive(chunk: Buffer): frames.Frame[] {
    const received: frames.Frame[] = [];
    let pieceBytes = 0;
    for (const frame of this.splitter.push(chunk)) {
      if (frame.type === 'piece') {
        pieceBytes += frame.bytes.length;
        const whole = this.pieces.add(frame);
        if (whole !== null) received.push(whole);
      } else if (frame.type === 'pieceAck') {
        this.channel.acknowledge(frame.bytes, this.peer);
      } else if (frame.type === 'dropTransfer') {
        this.pieces.drop(frame.transfer);
      } else {
        received.push(frame);
      }
    }
    // Before the frames are handled, which may take long.
    if (pieceBytes > 0) this.write(frames.encode({ type: 'pieceAck', bytes: pieceBytes }));
    return received;
  }

  /** Closes the connection after what has been written; frames that are queued in pieces are dropped. */
  end(): void {
    this.channel.close();
    this.socket.end();
  }

  destroy(): void {
    this.channel.close();
    this.socket.destroy();
  }

  private write(bytes: Buffer, onFlushed?: () => void): void {
    if (this.isWritable) this.socket.write(bytes, onFlushed);
  }
}
