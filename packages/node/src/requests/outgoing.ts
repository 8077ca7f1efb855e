/** Writes to HTTP messages without waiting for a peer that has disconnected. */

import type * as http from 'node:http';

/**
 * Writes a chunk. Resolves when more can be written, the message is closed or the signal is
 * aborted; never rejects.
 */
export async function write(
  to: http.OutgoingMessage,
  chunk: Uint8Array,
  signal: AbortSignal,
): Promise<void> {
  if (to.destroyed || signal.aborted || to.write(chunk)) return;
  await event(to, 'drain', signal);
}

/**
 * Resolves when the complete response was handed to the operating system, or its connection has
 * closed. A pipelined response that waits behind others gets no `close` event; `disconnected`
 * covers it.
 */
export async function flushed(
  res: http.ServerResponse,
  left: AbortSignal | null = null,
): Promise<void> {
  if (res.writableFinished || res.destroyed || res.closed || left?.aborted) return;
  await event(res, 'finish', left);
}

async function event(
  of: http.OutgoingMessage,
  name: 'drain' | 'finish',
  signal: AbortSignal | null,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const settle = () => {
      of.off(name, settle);
      of.off('close', settle);
      signal?.removeEventListener('abort', settle);
      resolve();
    };
    of.on(name, settle);
    of.on('close', settle);
    signal?.addEventListener('abort', settle);
  });
}

/** Result of a read if it arrives within this turn of the event loop; null otherwise. */
export async function nextAtHand(
  following: Promise<IteratorResult<Uint8Array>>,
): Promise<IteratorResult<Uint8Array> | null> {
  // Avoids an unhandled rejection; the caller gets the failure when it awaits the read itself.
  following.catch(() => undefined);
  return Promise.race([following, tick()]);
}

async function tick(): Promise<null> {
  return new Promise((resolve) => {
    setImmediate(() => resolve(null));
  });
}
