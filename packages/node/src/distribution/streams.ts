/** Helpers for the two sides of a `Sync` stream. */

import { once } from 'node:events';
import type { EventEmitter } from 'node:events';
import { failures } from '@godwittrack/core';

interface WritableStream<T> extends EventEmitter {
  write(message: T): boolean;
  readonly writable: boolean;
}

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

/** Resolves with the next message of a stream, or fails after `timeoutMs`. */
export async function nextMessage<T>(
  messages: AsyncIterator<T>,
  timeoutMs: number,
  operation: string,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(failures.raise({ type: 'timeout', operation, timeoutMs })),
      timeoutMs,
    );
  });
  try {
    const result = await Promise.race([messages.next(), expired]);
    if (result.done) {
      throw failures.raise({ type: 'peerUnavailable', peer: operation, detail: 'stream ended' });
    }
    return result.value;
  } finally {
    clearTimeout(timer);
  }
}
