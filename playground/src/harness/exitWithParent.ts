/**
 * Preloaded into every process of a harness: ends the process when its parent has ended. A test
 * runner that gives up on a test kills it with SIGKILL, and no exit handler runs then.
 */

const CHECK_INTERVAL_MS = 500;

// Given by the parent, which may end before this line runs.
const parent = Number(process.env.HARNESS_PARENT_PID);

setInterval(() => {
  if (process.ppid !== parent) process.kill(process.pid, 'SIGKILL');
}, CHECK_INTERVAL_MS).unref();
