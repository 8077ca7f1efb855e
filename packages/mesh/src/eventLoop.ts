/** Helpers for the order in which the event loop polls sockets. */

/**
 * Resolves after the sockets have been polled once more. After a pause of the process, a request and the
 * end of its connection may both be pending, and the end is only read in the poll after the request.
 */
export function nextPoll(): Promise<void> {
  return new Promise((resolve) => {
    // The first callback may run before the next poll phase.
    setImmediate(() => setImmediate(resolve));
  });
}
