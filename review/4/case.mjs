/** Open connections to the store go silent; a configuration follows. See claim.txt. */
/* global performance */

import * as http from 'node:http';
import * as harness from '../common/harness.mjs';
import { Proxy } from '../common/proxy.mjs';
import { Server } from '../common/server.mjs';
import { Store } from '../common/store.mjs';

const OLD = 'sponsor-desk';
const NEW = 'upkeep-hub';
const STABLE_WINDOW_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
/** Time from one configuration to the next, as in `config_storm`. */
const SILENT_AFTER_MS = 300;
const CHANGE_AFTER_MS = 400;
const OBSERVED_MS = 9_000;
const INTERVAL_MS = 40;

const run = new harness.Run(import.meta.dirname);
const store = new Store();
run.parts.push(store);
const proxy = new Proxy(await store.start('127.0.0.1'));
const storeAddress = await proxy.start('127.0.0.1');
run.parts.push(proxy);

/** The idle route stands for what an operator changes elsewhere in the configuration. */
function write(version, service) {
  store.write(
    'config',
    'main',
    harness.configuration(
      version,
      {
        'r-view': harness.route('/view/', service, { timeout_ms: 1_500 }),
        'r-idle': harness.route('/idle/', OLD, { timeout_ms: 1_000 + version }),
      },
      [OLD, NEW],
    ),
  );
  run.note(`configuration ${version} was acknowledged: /view/ goes to ${service}`);
  return performance.now();
}

write(3, OLD);
const places = [
  { zone: 'guayas-a', region: 'guayas', service: OLD },
  { zone: 'guayas-a', region: 'guayas', service: NEW },
  { zone: 'pichincha-a', region: 'pichincha', service: OLD },
  { zone: 'pichincha-a', region: 'pichincha', service: NEW },
];
for (const [i, place] of places.entries()) {
  const server = new Server({ service: place.service, instance: `i-${i}` });
  server.zone = place.zone;
  const appAddress = await server.start(harness.hostOf(i));
  run.parts.push(server);
  const node = await run.startNode(i, { ...place, storeAddress, appAddress });
  node.server = server;
}
await run.waitUntilReady();
await Promise.all(run.nodes.map((node) => node.server.report(node.control)));
await harness.sleep(4_500);

let isSending = true;
let sent = 0;
const answers = [];
async function sendUntilEnd(node) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  run.agents.push(agent);
  while (isSending) {
    sent += 1;
    const options = { id: `q${sent}`, path: '/view/a', deadlineMs: 1_500 };
    answers.push({ node: node.name, ...(await harness.call(node.outbound, agent, options)) });
    await harness.sleep(INTERVAL_MS);
  }
}
const callers = run.nodes.map((node) => sendUntilEnd(node));
await harness.sleep(1_000);
write(5, OLD);
await harness.sleep(SILENT_AFTER_MS);
const silentMs = performance.now();
if (harness.HAS_TROUBLE)
  run.note(`${proxy.silenceOpen()} open connections to the store go silent; new ones work`);
await harness.sleep(CHANGE_AFTER_MS);
const changedMs = write(8, NEW);
await harness.sleep(OBSERVED_MS);
isSending = false;
await Promise.all(callers);

const byOld = new Set(
  run.nodes.flatMap(({ server }) =>
    server.service === OLD ? server.runs.map(({ id }) => id) : [],
  ),
);
const boundMs = Math.max(
  changedMs + CONFIG_APPLY_MS,
  harness.HAS_TROUBLE ? silentMs + STABLE_WINDOW_MS : 0,
);
const counts = {};
let late = 0;
let lastLateMs = 0;
for (const { id, node, status, sentMs } of answers) {
  counts[status] = (counts[status] ?? 0) + 1;
  if (sentMs > boundMs && byOld.has(id)) {
    late += 1;
    lastLateMs = Math.max(lastLateMs, sentMs - changedMs);
    run.note(
      `CONFIG: ${id}, sent at ${node} ${Math.round(sentMs - changedMs)} ms after the acknowledgement ` +
        `and ${Math.round(sentMs - silentMs)} ms after the connections went silent, ran at ${OLD}`,
    );
  }
}
run.note(
  `sent ${sent}, by status ${JSON.stringify(counts)}; run by the old service too late: ${late}`,
);
const last = Math.round(lastLateMs);
if ((counts[200] ?? 0) < sent / 2) run.end(2, 'too few requests were served');
else if (late > 0)
  run.end(
    1,
    `CONFIG: ${late} requests by machines in touch, the last sent ${last} ms after the change`,
  );
else run.end(0, `the rule held for ${sent} requests`);
