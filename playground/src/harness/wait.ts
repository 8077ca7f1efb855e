/** Waiting for a condition. */

import * as timers from 'node:timers/promises';

const POLL_MS = 20;

/** Polls `condition` until it is true. @throws Error with `description` after `timeoutMs` */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 10_000,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadlineMs)
      throw new Error(`timed out after ${timeoutMs} ms: ${description}`);
    await timers.setTimeout(POLL_MS);
  }
}
