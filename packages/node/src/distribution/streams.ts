/** Helpers for both sides of a `Sync` stream. */

import { once } from 'node:events';
import type { EventEmitter } from 'node:events';
import { failures } from '@godwittrack/core';
import * as signals from '../signals.js';
import * as fleetState from './fleetState.js';

interface WritableStream<T> extends EventEmitter {
  write(message: T): boolean;
  readonly writable: boolean;
}

/** Changes that are not urgent (see `fleetState`) are batched for this time within a region. */
const BATCH_DELAY_MS = 20;
/** Longer batching between regions, where each message is billed. */
const CROSS_REGION_BATCH_DELAY_MS = 200;

/** Writes one message and waits while the transport's buffer is full. */
export async function send<T>(
  stream: WritableStream<T>,
  message: T,
  signal: AbortSignal,
): Promise<void> {
  if (!stream.writable || signal.aborted) return;
  if (stream.write(message)) return;
  try {
    await once(stream, 'drain', { signal });
  } catch {
    // The stream ended while its buffer was full; the reading side reports the reason.
  }
}

/** Resolves with the next message of a stream; fails after `timeoutMs` or when `signal` aborts. */
export async function nextMessage<T>(
  messages: AsyncIterator<T>,
  timeoutMs: number,
  operation: string,
  signal?: AbortSignal,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  let stop = () => undefined as void;
  const interrupted = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(failures.toError({ type: 'timeout', operation, timeoutMs })),
      timeoutMs,
    );
    stop = () => reject(failures.toError({ type: 'cancelled', detail: operation }));
    if (signal?.aborted) stop();
    signal?.addEventListener('abort', stop, { once: true });
  });
  try {
    const result = await Promise.race([messages.next(), interrupted]);
    if (result.done) {
      throw failures.toError({ type: 'peerUnavailable', peer: operation, detail: 'stream ended' });
    }
    return result.value;
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener('abort', stop);
  }
}

/**
 * Paces one sending task: urgent changes wake it at once, other changes after a batching delay, so
 * that a burst of member or progress changes costs each stream one message.
 */
export class Pacer {
  private readonly wakeup = new signals.Wakeup();

  private timer: NodeJS.Timeout | undefined;

  /** Initially true, because the first round sends everything. */
  private batchDue = true;

  private readonly unsubscribers: (() => void)[];

  constructor(state: fleetState.FleetState, crossRegion: boolean) {
    const batchDelayMs = crossRegion ? CROSS_REGION_BATCH_DELAY_MS : BATCH_DELAY_MS;
    const scheduleBatch = () => {
      this.timer ??= setTimeout(() => {
        this.timer = undefined;
        this.batchDue = true;
        this.wakeup.notify();
      }, batchDelayMs);
    };
    const unsubscribeBatched = fleetState.subscribeBatched(state, scheduleBatch);
    const unsubscribeUrgent = fleetState.subscribeUrgent(state, () => this.wake());
    this.unsubscribers = [unsubscribeBatched, unsubscribeUrgent];
  }

  /** Whether batched changes are to be sent in this round; resets the flag. */
  takeBatchDue(): boolean {
    const { batchDue } = this;
    this.batchDue = false;
    return batchDue;
  }

  wake(): void {
    this.wakeup.notify();
  }

  wait(ms: number): Promise<void> {
    return this.wakeup.wait(Math.max(1, ms));
  }

  close(): void {
    clearTimeout(this.timer);
    this.unsubscribers.forEach((stop) => stop());
  }
}
