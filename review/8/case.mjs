/** All processes are killed after a server's end was acknowledged; then one of its earlier heartbeats arrives. */

import * as path from 'node:path';
import * as url from 'node:url';
import * as lab from '../common-2/lab.mjs';

const DRAIN_PERIOD_MS = lab.BOUNDS.drain_period_ms;
const STABLE_WINDOW_MS = lab.BOUNDS.stable_window_ms;
/** Time for which the heartbeat is on its way. */
const LATE_MS = 3_000;
const DOWN_MS = 500;
/** Time for which the server serves after the acknowledgement. */
const SERVES_MS = 12_000;

await lab.run(path.dirname(url.fileURLToPath(import.meta.url)), {}, async (deployment, trouble) => {
  const { recorder, machines } = deployment;
  for (const name of ['m1', 'm2', 'm3']) await deployment.add({ name });
  const { server } = machines[1];
  await deployment.start(lab.configuration(['shop']));
  const load = deployment.load('/shop/item', 15, lab.now() + 18_000);
  await lab.sleep(3_000);
  // Sent now, and delayed on its way.
  const late = server.announcement();
  const arrival = lab.sleep(LATE_MS).then(async () => {
    const answer = await lab.send(machines[1].control, 'PUT', `/-/instances/${server.id}`, late);
    recorder.note(`late heartbeat ${late.state} ${late.sequence} -> ${answer}`);
  });
  const status = await server.leave();
  if (status !== 200) throw new Error(`the end of the server got ${status}`);
  const acknowledgedMs = lab.now();
  if (trouble) {
    await lab.sleep(200);
    await Promise.all(machines.map((machine) => machine.killAndRestart(DOWN_MS)));
  }
  await arrival;
  await lab.sleep(SERVES_MS - LATE_MS);
  const arrivals = server.arrivals.filter(({ atMs }) => atMs > acknowledgedMs + DRAIN_PERIOD_MS);
  server.stop();
  await load;
  const inTouchMs = Math.max(...machines.map(({ startedMs }) => startedMs)) + STABLE_WINDOW_MS;
  const sent = new Map(deployment.sent.map(({ id, atMs }) => [id, atMs]));
  const counted = arrivals.filter(({ id }) => sent.get(id) > inTouchMs);
  recorder.note(
    `requests after the drain period: ${arrivals.length}, of these from machines in touch: ${counted.length}`,
  );
  if (counted.length === 0) return [];
  return [
    `DRAIN: ${counted.length} requests from machines in touch reached ${server.id} later than ${DRAIN_PERIOD_MS} ms after its end was acknowledged`,
  ];
});
