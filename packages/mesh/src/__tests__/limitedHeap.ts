/** Runs code with a small heap, so that memory that grows with the number of parts ends it. */

import * as worker from 'node:worker_threads';

/**
 * Runs a module in a worker, and returns the first message that the worker posts.
 * @throws ERR_WORKER_OUT_OF_MEMORY if the heap does not suffice
 */
export function run(module: URL, workerData: unknown, heapMb: number): Promise<unknown> {
  const thread = new worker.Worker(module, {
    workerData,
    // Without the loaders of the test runner.
    execArgv: [],
    resourceLimits: { maxOldGenerationSizeMb: heapMb, maxYoungGenerationSizeMb: 4 },
  });
  return new Promise((resolve, reject) => {
    thread.once('message', (message) => {
      void thread.terminate().then(() => resolve(message));
    });
    thread.once('error', reject);
  });
}
