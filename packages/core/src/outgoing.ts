/** Writes to HTTP messages without waiting for a peer that has disconnected. */

import type * as http from 'node:http';

/**
 * Writes a chunk. Resolves when more can be written, the message is closed or the signal is
 * aborted; never rejects.
 */
export async function write(
  message: http.OutgoingMessage,
  chunk: Uint8Array,
  signal: AbortSignal,
): Promise<void> {
  if (message.destroyed || signal.aborted || message.write(chunk)) return;
  await waitForEvent(message, 'drain', signal);
}

/**
 * Resolves when the complete response was handed to the operating system, or its connection has
 * closed. A pipelined response that waits behind others gets no `close` event; `disconnected`
 * covers it.
 */
export async function waitUntilFlushed(
  res: http.ServerResponse,
  disconnected: AbortSignal | null = null,
): Promise<void> {
  if (res.writableFinished || res.destroyed || res.closed || disconnected?.aborted) return;
  await waitForEvent(res, 'finish', disconnected);
}

async function waitForEvent(
  message: http.OutgoingMessage,
  name: 'drain' | 'finish',
  signal: AbortSignal | null,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const settle = () => {
      message.off(name, settle);
      message.off('close', settle);
      signal?.removeEventListener('abort', settle);
      resolve();
    };
    message.on(name, settle);
    message.on('close', settle);
    signal?.addEventListener('abort', settle);
  });
}

/** Result of a read if it arrives within this turn of the event loop; null otherwise. */
export async function nextIfReady(
  pending: Promise<IteratorResult<Uint8Array>>,
): Promise<IteratorResult<Uint8Array> | null> {
  // Avoids an unhandled rejection; the caller gets the failure when it awaits the read itself.
  pending.catch(() => undefined);
  return Promise.race([pending, eventLoopTurn()]);
}

async function eventLoopTurn(): Promise<null> {
  return new Promise((resolve) => {
    setImmediate(() => resolve(null));
  });
}
