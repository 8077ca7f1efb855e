/**
 * Preloaded into every process of a harness: kills the process when its parent has exited. A test
 * runner kills a test that times out with SIGKILL, and the exit handlers of the test do not run.
 */

const CHECK_INTERVAL_MS = 500;

// Not read from process.ppid, because the parent may exit before this line runs.
const parent = Number(process.env.HARNESS_PARENT_PID);

setInterval(() => {
  if (process.ppid !== parent) process.kill(process.pid, 'SIGKILL');
}, CHECK_INTERVAL_MS).unref();
