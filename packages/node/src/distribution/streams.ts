/** Helpers for the two sides of a `Sync` stream. */

import { once } from 'node:events';
import type { EventEmitter } from 'node:events';
import { failures } from '@godwittrack/core';
import * as signals from '../signals.js';
import * as fleetState from './fleetState.js';

interface WritableStream<T> extends EventEmitter {
  write(message: T): boolean;
  readonly writable: boolean;
}

/** Changes other than configuration and vetoes are gathered this long before they are sent. */
const GATHER_MS = 20;
/** The same across the link, where each message is billed. */
const GATHER_ACROSS_MS = 200;

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
    // The stream ended while it was full; its reader reports why.
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
  const expired = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(failures.toError({ type: 'timeout', operation, timeoutMs })),
      timeoutMs,
    );
    stop = () => reject(failures.toError({ type: 'cancelled', detail: operation }));
    if (signal?.aborted) stop();
    signal?.addEventListener('abort', stop, { once: true });
  });
  try {
    const result = await Promise.race([messages.next(), expired]);
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
 * Paces one writing task: urgent changes wake it at once, the others together after a short time,
 * so that a burst of member or progress changes costs each stream one message.
 */
export class Pacer {
  private readonly wakeup = new signals.Wakeup();

  private timer: NodeJS.Timeout | undefined;

  /** The first round sends everything. */
  private gathered = true;

  private readonly stops: (() => void)[];

  constructor(state: fleetState.FleetState, across: boolean) {
    const gatherMs = across ? GATHER_ACROSS_MS : GATHER_MS;
    const later = () => {
      this.timer ??= setTimeout(() => {
        this.timer = undefined;
        this.gathered = true;
        this.wakeup.notify();
      }, gatherMs);
    };
    const stopLater = fleetState.subscribeGathered(state, later);
    const stopUrgent = fleetState.subscribeUrgent(state, () => this.wake());
    this.stops = [stopLater, stopUrgent];
  }

  /** Whether gathered changes are to be sent in this round; true once for each gathering. */
  takeGathered(): boolean {
    const { gathered } = this;
    this.gathered = false;
    return gathered;
  }

  wake(): void {
    this.wakeup.notify();
  }

  wait(ms: number): Promise<void> {
    return this.wakeup.wait(Math.max(1, ms));
  }

  close(): void {
    clearTimeout(this.timer);
    this.stops.forEach((stop) => stop());
  }
}
