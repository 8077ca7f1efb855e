/** Order of what the event loop reads. */

/**
 * Resolves when the sockets have been polled once more. A process that stood still finds requests and
 * the end of their connections together, but reads the end in the next poll only.
 */
export function nextPoll(): Promise<void> {
  return new Promise((resolve) => {
    // The first callback may run before that poll.
    setImmediate(() => setImmediate(resolve));
  });
}
