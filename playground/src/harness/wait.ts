/** Waiting for a condition. */

import * as timers from 'node:timers/promises';

const POLL_MS = 20;

/** Calls `check` until it is true. @throws Error that names `what` after `timeoutMs` */
export async function waitFor(
  what: string,
  check: () => boolean | Promise<boolean>,
  timeoutMs = 10_000,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > endMs) throw new Error(`gave up after ${timeoutMs} ms: ${what}`);
    await timers.setTimeout(POLL_MS);
  }
}
