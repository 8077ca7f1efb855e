/** A node is stopped while its clients go on sending requests; see claim.txt. */
/* global performance */

import * as http from 'node:http';
import * as harness from '../common/harness.mjs';
import { answerBytes, Server } from '../common/server.mjs';
import { Store } from '../common/store.mjs';

const SERVICE = 'fontworks';
/** Work on `archive-fetch` as in the site file: mean, spread, share and length of the tail, most. */
const WORK = { meanMs: 490, spread: 0.8, tail: 0.01, tailX: 5, mostMs: 3_600 };
const DEADLINE_MS = 4_000;
const CALLERS = 26;
/** Machines that are stopped, one after the other. */
const STOPPED = [0, 1, 2, 0, 1, 2, 0];
const GRACE_MS = 6_000;
/** Time of the load on each machine without the disruption. */
const CALM_MS = 3_000;
/** Work that must be left, so that an answer on its way is not taken for one that was broken off. */
const CERTAIN_MS = 50;
/** Requests that were sent up to then are excused if they last into the last sixth of the grace time. */
const EXCUSED_UNTIL_MS = 3_000;

const run = new harness.Run(import.meta.dirname);
const store = new Store();
run.parts.push(store);
const storeAddress = await store.start('127.0.0.1');
store.write(
  'config',
  'main',
  harness.configuration(
    1,
    { 'r-archive': harness.route('/archive/', SERVICE, { timeout_ms: DEADLINE_MS }) },
    [SERVICE],
  ),
);
function drawWorkMs() {
  const normal =
    Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random());
  const { meanMs, spread, tail, tailX, mostMs } = WORK;
  const drawnMs = meanMs * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.round(Math.min(mostMs, drawnMs * (Math.random() < tail ? tailX : 1)));
}

/** Begin and duration of the work on each request, by its id. */
const works = new Map();
for (let i = 0; i < 3; i += 1) {
  const server = new Server({ service: SERVICE, instance: `i-${i}`, slots: 12 });
  server.handler = async (req, socket) => {
    const workMs = drawWorkMs();
    works.set(req.id, { fromMs: performance.now(), workMs });
    await harness.sleep(workMs);
    socket.write(answerBytes(200, req.id, `${server.instance} ${req.target}`));
  };
  const appAddress = await server.start(harness.hostOf(i));
  run.parts.push(server);
  const zone = ['lm-burnaby', 'lm-richmond', 'ok-vernon'][i];
  const region = i === 2 ? 'okanagan' : 'lower-mainland';
  const node = await run.startNode(i, {
    service: SERVICE,
    zone,
    region,
    storeAddress,
    appAddress,
  });
  node.server = server;
  node.restarts = true;
}
await run.waitUntilReady();
await Promise.all(run.nodes.map((node) => node.server.report(node.control)));
// The machines are in touch after the stable window.
await harness.sleep(3_500);

let sent = 0;
let lost = 0;
const counts = {};

/** Stops one machine while its clients go on; no other machine of its zone is in. */
async function stopOne(node) {
  let isSending = true;
  const answers = [];
  const sendUntilEnd = async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    run.agents.push(agent);
    while (isSending) {
      sent += 1;
      const options = { id: `q${sent}`, path: '/archive/a', deadlineMs: DEADLINE_MS };
      const answer = await harness.call(node.outbound, agent, options);
      answers.push(answer);
      // A connection that was refused: the process is gone.
      if (answer.status === 0 && /ECONNREFUSED/.test(answer.error)) return;
      if (answer.status !== 200) await harness.sleep(50);
    }
  };
  const callers = Array.from({ length: CALLERS }, () => sendUntilEnd());
  await harness.sleep(1_500);
  const termMs = performance.now();
  const exits = node.exits.length;
  const observedMs = harness.HAS_TROUBLE ? GRACE_MS : CALM_MS;
  const isGone = () => node.exits.length > exits;
  if (harness.HAS_TROUBLE) node.signal('SIGTERM');
  while (!isGone() && performance.now() - termMs < observedMs) await harness.sleep(20);
  if (harness.HAS_TROUBLE && !isGone()) node.signal('SIGKILL');
  isSending = false;
  await Promise.all(callers);
  for (const { id, status, error, sentMs, endedMs } of answers) {
    counts[status] = (counts[status] ?? 0) + 1;
    const work = works.get(id);
    const isAtWork = work !== undefined && endedMs + CERTAIN_MS < work.fromMs + work.workMs;
    const isExcused = sentMs - termMs <= EXCUSED_UNTIL_MS || endedMs - sentMs >= DEADLINE_MS - 50;
    if (status !== 200 && isAtWork && !isExcused) {
      lost += 1;
      run.note(
        `LOST: ${id}, sent ${Math.round(sentMs - termMs)} ms after SIGTERM, got ${status || error} ` +
          `${Math.round(endedMs - sentMs)} ms later, while its server was at work (${work.workMs} ms); ` +
          `it had ${Math.round(DEADLINE_MS - endedMs + sentMs)} ms left`,
      );
    }
  }
}

for (const i of STOPPED) {
  const node = run.nodes[i];
  await stopOne(node);
  await harness.sleep(600);
  await run.waitUntilReady();
  // The machines are in touch again after the stable window.
  await harness.sleep(3_500);
}
run.note(`sent ${sent}, by status ${JSON.stringify(counts)}`);
if ((counts[200] ?? 0) < 500) run.end(2, 'too few requests were served');
else if (lost > 0)
  run.end(1, `LOST: ${lost} requests were broken off while their servers were at work`);
else run.end(0, `the rule held for ${sent} requests`);
