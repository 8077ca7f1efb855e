/** A server reports that it drains; later a heartbeat with its id and without `born` comes from another writer. */

import * as path from 'node:path';
import * as url from 'node:url';
import * as lab from '../common-2/lab.mjs';

const DRAIN_PERIOD_MS = lab.BOUNDS.drain_period_ms;
/** Time from the acknowledgement until the other writer's heartbeat, which follows the server's next one. */
const FORGED_AFTER_MS = 2_000;
/** Time for which the server serves after the acknowledgement. */
const SERVES_MS = 6_000;

await lab.run(path.dirname(url.fileURLToPath(import.meta.url)), {}, async (deployment, trouble) => {
  const { recorder } = deployment;
  for (const name of ['m1', 'm2', 'm3']) await deployment.add({ name });
  const machine = deployment.machines[1];
  const { server } = machine;
  await deployment.start(lab.configuration(['shop']));
  const load = deployment.load('/shop/item', 15, lab.now() + 12_000);
  await lab.sleep(4_000);
  server.state = 'draining';
  const status = await server.announce();
  if (status !== 200) throw new Error(`the draining heartbeat got ${status}`);
  const acknowledgedMs = lab.now();
  await lab.sleep(FORGED_AFTER_MS);
  await server.nextHeartbeat();
  if (trouble) {
    // Another writer: the field `born` is missing, so it names no server to use.
    const forged = server.announcement({ state: 'ready', born: undefined });
    const answer = await lab.send(machine.control, 'PUT', `/-/instances/${server.id}`, forged);
    recorder.note(`heartbeat of another writer, without born -> ${answer}`);
  }
  await lab.sleep(acknowledgedMs + SERVES_MS - lab.now());
  const late = server.arrivals.filter(({ atMs }) => atMs > acknowledgedMs + DRAIN_PERIOD_MS);
  server.stop();
  await load;
  const last = Math.max(...server.arrivals.map(({ atMs }) => atMs)) - acknowledgedMs;
  recorder.note(`last request ${last.toFixed(0)} ms after the acknowledgement of draining`);
  if (late.length === 0) return [];
  return [
    `DRAIN: ${late.length} requests reached ${server.id} later than ${DRAIN_PERIOD_MS} ms after its draining was acknowledged, the last after ${last.toFixed(0)} ms`,
  ];
});
