/**
 * Admits the large frames of a host to its network link, in pieces. What has been written cannot be
 * overtaken, so the bytes under way bound the delay of all other frames, on every connection of the host.
 * Only the acknowledgements of the receivers show what has left: a completed socket write may still wait in
 * a buffer of the kernel.
 */

import { failures } from '@godwittrack/core';
import * as frames from './frames.js';

/** Largest number of unacknowledged bytes of the whole host; bounds the delay of small frames. */
export const MAX_HOST_BYTES = 64 * 1024;
/** The same for one connection, so that one slow receiver leaves room for the others. */
export const MAX_CONNECTION_BYTES = 32 * 1024;
/** Time without an acknowledgement after which a connection is left out of the bound of the host. */
export const STALLED_AFTER_MS = 300;
/** Busy time over which the rate of the link is averaged. */
const RATE_WINDOW_MS = 2_000;
/** Longest busy time counted at once; a longer one is a pause of this process. */
const MAX_BUSY_STEP_MS = 200;
/** Time without a measurement after which the rate counts as unknown. */
export const RATE_MAX_AGE_MS = 5_000;

/** Writes a frame at once; `onFlushed` is called when the kernel has it. */
type WriteFrame = (frame: TransferFrame, onFlushed?: () => void) => void;

type TransferFrame = Extract<frames.Frame, { type: 'piece' | 'dropTransfer' }>;

export interface TransferOptions {
  /** Whether the frame must not overtake earlier ordered frames of its connection. */
  isOrdered?: boolean;
  /** Called when the last piece has been handed to the kernel. */
  onFlushed?: () => void;
}

/** A large frame that is sent in pieces. */
export class Transfer {
  /** Number of bytes that have been written. */
  writtenBytes = 0;

  /** Assigned with the first piece, so that the receiver sees consecutive ids. */
  id = 0;

  constructor(
    readonly channel: UplinkChannel,
    /** Encoded frame without its length. */
    readonly message: Buffer,
    readonly options: TransferOptions,
  ) {}

  /** Whether the frame has been written completely, so that the receiver may act on it. */
  get isSent(): boolean {
    return this.writtenBytes === this.message.length;
  }

  get unwrittenBytes(): number {
    return this.message.length - this.writtenBytes;
  }

  /** Drops the frame. @returns false if it has been written completely */
  cancel(): boolean {
    return this.channel.cancel(this);
  }
}

/** The large frames of one connection. */
export class UplinkChannel {
  /** Transfers that are not complete, in the order in which they were queued. */
  readonly transfers = new Set<Transfer>();

  queuedBytes = 0;

  /** Bytes that were written but not acknowledged. */
  outstandingBytes = 0;

  /** Total size of the frames of which a part has been written, since the receiver must hold them. */
  startedBytes = 0;

  /** Time of the last acknowledgement, or of the first unacknowledged piece. */
  progressAtMs = 0;

  isStalled = false;

  isClosed = false;

  private lastTransferId = 0;

  constructor(
    private readonly scheduler: UplinkScheduler,
    private readonly write: WriteFrame,
  ) {}

  get hasOrdered(): boolean {
    return this.firstOrdered !== null;
  }

  /** Queues an encoded frame, given without its length. */
  enqueue(message: Buffer, options: TransferOptions = {}): Transfer {
    const transfer = new Transfer(this, message, options);
    if (!this.isClosed) this.scheduler.enqueue(transfer);
    return transfer;
  }

  /** @throws protocolViolation if so many bytes are not outstanding */
  acknowledge(bytes: number, peer: string): void {
    if (this.isClosed) return;
    if (bytes > this.outstandingBytes) {
      const detail = `acknowledged ${bytes} of ${this.outstandingBytes} bytes`;
      throw failures.toError({ type: 'protocolViolation', peer, detail });
    }
    this.scheduler.acknowledge(this, bytes);
  }

  cancel(transfer: Transfer): boolean {
    if (transfer.isSent) return false;
    if (!this.transfers.has(transfer)) return true;
    if (transfer.id > 0) this.write({ type: 'dropTransfer', transfer: transfer.id });
    this.scheduler.drop(transfer);
    return true;
  }

  /** Drops all transfers and gives back what is outstanding. */
  close(): void {
    if (!this.isClosed) this.scheduler.close(this);
  }

  /** Whether the next piece of the transfer may be written, apart from the bound of the host. */
  admits(transfer: Transfer): boolean {
    if (this.isStalled) return false;
    if (this.outstandingBytes + nextPieceBytes(transfer) > MAX_CONNECTION_BYTES) return false;
    if (transfer.options.isOrdered && transfer !== this.firstOrdered) return false;
    const isStarted = transfer.id > 0 || this.startedBytes === 0;
    return isStarted || this.startedBytes + transfer.message.length <= frames.MAX_FRAME_BYTES;
  }

  /** @returns the size of the piece */
  writePiece(transfer: Transfer): number {
    if (transfer.id === 0) {
      this.lastTransferId += 1;
      transfer.id = this.lastTransferId;
      this.startedBytes += transfer.message.length;
    }
    const start = transfer.writtenBytes;
    const bytes = transfer.message.subarray(start, start + frames.MAX_WHOLE_FRAME_BYTES);
    transfer.writtenBytes += bytes.length;
    const onFlushed = transfer.isSent ? transfer.options.onFlushed : undefined;
    this.write({ type: 'piece', transfer: transfer.id, last: transfer.isSent, bytes }, onFlushed);
    return bytes.length;
  }

  private get firstOrdered(): Transfer | null {
    for (const transfer of this.transfers) if (transfer.options.isOrdered) return transfer;
    return null;
  }
}

export class UplinkScheduler {
  /** Incomplete transfers of all connections; the next piece is taken from the first that may be sent. */
  private ring: Transfer[] = [];

  /** Connections with unacknowledged bytes. */
  private readonly awaiting = new Set<UplinkChannel>();

  private queued = 0;

  /** Unacknowledged bytes of the connections that are not stalled. */
  private countedBytes = 0;

  /** Whether a piece waits only because of the bound of the host, so that the link sets the pace. */
  private isSaturated = false;

  /** Bytes acknowledged during `busyMs`, the time for which the link was saturated. */
  private busyBytes = 0;

  private busyMs = 0;

  private measuredAtMs = 0;

  /** Time at which the link was last saturated. */
  private saturatedAtMs = -Infinity;

  constructor(private readonly nowMs: () => number) {}

  /** Registers a connection; `write` must write the frame at once. */
  openChannel(write: WriteFrame): UplinkChannel {
    return new UplinkChannel(this, write);
  }

  get queuedBytes(): number {
    return this.queued;
  }

  get outstandingBytes(): number {
    let bytes = 0;
    for (const { outstandingBytes } of this.awaiting) bytes += outstandingBytes;
    return bytes;
  }

  get stalledConnections(): number {
    let count = 0;
    for (const { isStalled } of this.awaiting) count += Number(isStalled);
    return count;
  }

  /** Whether any large frame is queued or not acknowledged. */
  get hasPending(): boolean {
    return this.queued > 0 || this.awaiting.size > 0;
  }

  /** Estimated time until what is queued, and `moreBytes`, will have left this host; 0 if none need wait. */
  backlogMs(moreBytes = 0): number {
    this.measure();
    let ready = this.queued + moreBytes;
    for (const { isStalled, queuedBytes } of this.awaiting) if (isStalled) ready -= queuedBytes;
    if (ready <= 0 || this.busyBytes === 0) return 0;
    return ((ready + this.countedBytes) * this.busyMs) / this.busyBytes;
  }

  /** Leaves connections that make no progress out of the bound of the host. Called several times a second. */
  markStalled(): void {
    const now = this.nowMs();
    for (const channel of this.awaiting) {
      if (!channel.isStalled && now - channel.progressAtMs > STALLED_AFTER_MS) {
        channel.isStalled = true;
        this.countedBytes -= channel.outstandingBytes;
      }
    }
    this.pump();
  }

  enqueue(transfer: Transfer): void {
    const { channel, unwrittenBytes } = transfer;
    channel.transfers.add(transfer);
    channel.queuedBytes += unwrittenBytes;
    this.queued += unwrittenBytes;
    this.ring.push(transfer);
    this.pump();
  }

  acknowledge(channel: UplinkChannel, bytes: number): void {
    this.measure();
    if (this.isSaturated) this.busyBytes += bytes;
    this.decayMeasurement();
    if (!channel.isStalled) this.countedBytes -= bytes;
    channel.outstandingBytes -= bytes;
    channel.progressAtMs = this.nowMs();
    if (channel.isStalled) {
      channel.isStalled = false;
      this.countedBytes += channel.outstandingBytes;
    }
    if (channel.outstandingBytes === 0) this.awaiting.delete(channel);
    this.pump();
  }

  drop(transfer: Transfer): void {
    this.remove(transfer);
    this.pump();
  }

  close(channel: UplinkChannel): void {
    this.measure();
    this.queued -= channel.queuedBytes;
    if (!channel.isStalled) this.countedBytes -= channel.outstandingBytes;
    this.awaiting.delete(channel);
    if (channel.transfers.size > 0) {
      this.ring = this.ring.filter((transfer) => transfer.channel !== channel);
      channel.transfers.clear();
    }
    channel.queuedBytes = 0;
    channel.outstandingBytes = 0;
    channel.isStalled = false;
    channel.isClosed = true;
    this.pump();
  }

  /** Writes pieces, one of each transfer in turn, until a bound is reached. */
  private pump(): void {
    this.measure();
    this.isSaturated = false;
    for (;;) {
      const transfer = this.ring.find((each) => each.channel.admits(each));
      if (transfer === undefined) return;
      if (this.countedBytes + nextPieceBytes(transfer) > MAX_HOST_BYTES) {
        this.isSaturated = true;
        return;
      }
      this.sendPiece(transfer);
    }
  }

  private sendPiece(transfer: Transfer): void {
    const { channel } = transfer;
    if (channel.outstandingBytes === 0) {
      channel.progressAtMs = this.nowMs();
      this.awaiting.add(channel);
    }
    const bytes = channel.writePiece(transfer);
    channel.outstandingBytes += bytes;
    channel.queuedBytes -= bytes;
    this.countedBytes += bytes;
    this.queued -= bytes;
    if (transfer.isSent) {
      this.remove(transfer);
    } else {
      this.ring.splice(this.ring.indexOf(transfer), 1);
      this.ring.push(transfer);
    }
  }

  /** Removes a transfer that is complete or dropped. */
  private remove(transfer: Transfer): void {
    const { channel, unwrittenBytes } = transfer;
    this.queued -= unwrittenBytes;
    channel.queuedBytes -= unwrittenBytes;
    if (transfer.id > 0) channel.startedBytes -= transfer.message.length;
    channel.transfers.delete(transfer);
    this.ring.splice(this.ring.indexOf(transfer), 1);
  }

  /** Adds the time since the last call to the busy time if the link was saturated. */
  private measure(): void {
    const now = this.nowMs();
    if (this.isSaturated) {
      this.busyMs += Math.min(MAX_BUSY_STEP_MS, now - this.measuredAtMs);
      this.saturatedAtMs = now;
    } else if (now - this.saturatedAtMs > RATE_MAX_AGE_MS) {
      this.busyMs = 0;
      this.busyBytes = 0;
    }
    this.measuredAtMs = now;
  }

  private decayMeasurement(): void {
    if (this.busyMs <= RATE_WINDOW_MS) return;
    this.busyMs /= 2;
    this.busyBytes /= 2;
  }
}

function nextPieceBytes({ unwrittenBytes }: Transfer): number {
  return Math.min(unwrittenBytes, frames.MAX_WHOLE_FRAME_BYTES);
}
