/** Writing to HTTP messages without waiting for a peer that has left. */

import type * as http from 'node:http';

/** Resolves when the message is flushed, closed, or the signal is aborted; never rejects. */
export async function write(
  to: http.OutgoingMessage,
  chunk: Uint8Array,
  signal: AbortSignal,
): Promise<void> {
  if (to.destroyed || signal.aborted || to.write(chunk)) return;
  await event(to, 'drain', signal);
}

/**
 * Resolves when the answer was handed to the system whole, or its connection has closed. An answer that
 * waits behind others on its connection hears of the close by `left` only.
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

/** What a body gives within the events that are at hand; null when it has to be waited for. */
export async function nextAtHand(
  following: Promise<IteratorResult<Uint8Array>>,
): Promise<IteratorResult<Uint8Array> | null> {
  // Its failure is met by whoever awaits it next.
  following.catch(() => undefined);
  return Promise.race([following, tick()]);
}

async function tick(): Promise<null> {
  return new Promise((resolve) => {
    setImmediate(() => resolve(null));
  });
}
