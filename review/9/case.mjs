/** The process beside a server that states a limit is killed and started again, right after a heartbeat was due. */

import * as path from 'node:path';
import * as url from 'node:url';
import * as lab from '../common-2/lab.mjs';

/** Requests a second that the server says it takes. */
const LIMIT = 0.5;
const WINDOW_MS = 4_000;
const STABLE_WINDOW_MS = lab.BOUNDS.stable_window_ms;
/** The platform starts the process again after this time. */
const DOWN_MS = 600;
/** Time from a heartbeat until the kill: the one that follows finds no process, the next comes 1.5 s after the start. */
const KILL_AFTER_MS = 880;
const ROUNDS = 4;
const ROUND_MS = 9_000;

await lab.run(path.dirname(url.fileURLToPath(import.meta.url)), {}, async (deployment, trouble) => {
  const { recorder, machines } = deployment;
  await deployment.add({ name: 'm1', slots: 4, workMs: 150 });
  await deployment.add({ name: 'm2', slots: 12, workMs: 200, clients: false });
  await deployment.add({ name: 'm3', slots: 4, workMs: 150 });
  const { server } = machines[1];
  await deployment.start(lab.configuration(['shop']));
  const load = deployment.load('/shop/item', 3, lab.now() + 90_000);
  await lab.sleep(2_000);
  server.limit = LIMIT;
  recorder.note(`${server.id} states Server-Limit ${LIMIT}`);
  const statedMs = lab.now();
  await lab.sleep(STABLE_WINDOW_MS + 1_000);
  for (let i = 0; i < ROUNDS; i += 1) {
    await server.nextHeartbeat();
    if (trouble) {
      await lab.sleep(KILL_AFTER_MS);
      await machines[1].killAndRestart(DOWN_MS);
    }
    await lab.sleep(ROUND_MS);
  }
  deployment.isOver = true;
  await load;
  const began = new Map(deployment.sent.map(({ id, machine }) => [id, machine]));
  /** When each machine had passed on an answer that states the limit, half a second later. */
  const informedMs = (name) =>
    Math.min(
      ...deployment.sent
        .filter(({ machine, limit }) => machine === name && limit !== undefined)
        .map(({ answeredMs }) => answeredMs + 500),
    );
  const informed = new Map(machines.map(({ name }) => [name, informedMs(name)]));
  // Requests that began at the machine whose process was killed are excused; none do.
  const counted = server.arrivals
    .filter(({ id, atMs }) => began.get(id) !== 'm2' && atMs > informed.get(began.get(id)))
    .filter(({ atMs }) => atMs > statedMs + STABLE_WINDOW_MS)
    .map(({ atMs }) => atMs);
  const allowed = 1.5 * LIMIT * (WINDOW_MS / 1_000) + 5;
  const inWindow = counted.map(
    (from) => counted.filter((atMs) => atMs >= from && atMs < from + WINDOW_MS).length,
  );
  const most = Math.max(0, ...inWindow);
  recorder.note(`most requests in ${WINDOW_MS} ms: ${most}, allowed ${allowed}`);
  if (most <= allowed) return [];
  return [
    `LIMIT: ${server.id} got ${most} requests in ${WINDOW_MS} ms at a Server-Limit of ${LIMIT}, allowed are ${allowed}`,
  ];
});
