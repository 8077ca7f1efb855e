/** Joins the pieces of large frames that arrive on one connection. */

import { byteCollector, failures } from '@godwittrack/core';
import * as frames from './frames.js';

type Piece = Extract<frames.Frame, { type: 'piece' }>;

export class Reassembler {
  /** Pieces of the incomplete frames, by transfer. */
  private readonly incomplete = new Map<number, byteCollector.ByteCollector>();

  private heldBytes = 0;

  private lastTransferId = 0;

  constructor(
    private readonly peer: string,
    private readonly maxHeldBytes = frames.MAX_FRAME_BYTES,
  ) {}

  /**
   * Adds a piece.
   * @returns the frame if the piece completes it
   * @throws protocolViolation
   */
  add({ transfer, last, bytes }: Piece): frames.Frame | null {
    const received = this.incomplete.get(transfer) ?? this.start(transfer);
    this.heldBytes += bytes.length;
    if (bytes.length === 0 || bytes.length > frames.MAX_WHOLE_FRAME_BYTES)
      this.reject(`a piece of ${bytes.length} bytes`);
    if (this.heldBytes > this.maxHeldBytes) this.reject(`${this.heldBytes} bytes in pieces`);
    received.append(bytes);
    if (!last) return null;
    const message = received.take();
    this.incomplete.delete(transfer);
    this.heldBytes -= message.length;
    const frame = frames.decode(message, this.peer);
    if (frame.type === 'piece') this.reject('a piece within pieces');
    return frame;
  }

  /**
   * Discards the pieces of a frame that will not be completed.
   * @throws protocolViolation
   */
  drop(transfer: number): void {
    const received = this.incomplete.get(transfer);
    if (received === undefined) this.reject(`unknown transfer ${transfer}`);
    else this.heldBytes -= received.length;
    this.incomplete.delete(transfer);
  }

  private start(transfer: number): byteCollector.ByteCollector {
    if (transfer !== this.lastTransferId + 1) this.reject(`unknown transfer ${transfer}`);
    this.lastTransferId = transfer;
    const received = new byteCollector.ByteCollector();
    this.incomplete.set(transfer, received);
    return received;
  }

  private reject(detail: string): never {
    throw failures.toError({ type: 'protocolViolation', peer: this.peer, detail });
  }
}
