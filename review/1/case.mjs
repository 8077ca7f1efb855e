/** A server sends additional bytes after complete answers; see claim.txt. */
/* global Buffer, performance, process */

import * as http from 'node:http';
import * as harness from '../common/harness.mjs';
import { answerBytes, Server } from '../common/server.mjs';
import { Store } from '../common/store.mjs';

const SERVICE = 'sponsor-desk';
/** Share of the answers that the faulty server spoils; `garble` goes up to 0.05 in the site file. */
const GARBLED_SHARE = 0.03;
/** One request in so many fails, as where a call that the server needs fails. */
const FAILS_EVERY = 5;
/** One in so many is rejected, as where the queue of the server is full. */
const REJECTS_EVERY = 7;
const LOAD_MS = 25_000;
const CALLERS = 6;

const run = new harness.Run(import.meta.dirname);
const store = new Store();
run.parts.push(store);
const storeAddress = await store.start('127.0.0.1');
store.write(
  'config',
  'main',
  harness.configuration(
    1,
    { 'r-pledge': harness.route('/pledge/', SERVICE, { kind: 'unsafe', max_attempts: 2 }) },
    [SERVICE],
  ),
);

let seed = process.pid;
function random() {
  seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
  return seed / 2_147_483_648;
}

/** Runs of a request, by its id. */
const runsOf = new Map();
const counted = { garbled: 0 };
const servers = [];
for (let i = 0; i < 2; i += 1) {
  const server = new Server({ service: SERVICE, instance: `i-${i}` });
  let answered = 0;
  server.handler = async (req, socket) => {
    await harness.sleep(5 + random() * 10);
    answered += 1;
    if (answered % REJECTS_EVERY !== 0) runsOf.set(req.id, (runsOf.get(req.id) ?? 0) + 1);
    let status = answered % FAILS_EVERY === 0 ? 500 : 200;
    if (answered % REJECTS_EVERY === 0) status = 503;
    const bytes = answerBytes(status, req.id, `order ${req.id} ${status}`);
    const isGarbled = harness.HAS_TROUBLE && i === 0 && random() < GARBLED_SHARE;
    // The begin of a second copy of the answer, broken off behind a line.
    const lines = bytes
      .toString('latin1')
      .split('\r\n')
      .slice(0, status === 503 ? 2 : 1);
    const extra = Buffer.from(isGarbled ? `${lines.join('\r\n')}\r\n` : '', 'latin1');
    if (isGarbled) {
      counted.garbled += 1;
      run.note(
        `i-${i} answers ${req.id} with ${status} and sends ${JSON.stringify(extra.toString())} behind it`,
      );
    }
    socket.write(Buffer.concat([bytes, extra]));
  };
  const appAddress = await server.start(harness.hostOf(i));
  run.parts.push(server);
  servers.push(server);
  const zone = i === 0 ? 'z-a' : 'z-b';
  const node = await run.startNode(i, { service: SERVICE, zone, storeAddress, appAddress });
  node.server = server;
}
await run.waitUntilReady();
await Promise.all(run.nodes.map((node) => node.server.report(node.control)));
await harness.sleep(3_500);

const endMs = performance.now() + LOAD_MS;
let sent = 0;
const answers = [];
async function orderUntilEnd(node) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  run.agents.push(agent);
  while (performance.now() < endMs) {
    sent += 1;
    const id = `q${sent}`;
    const options = {
      id,
      path: '/pledge/a',
      method: 'POST',
      body: `order ${id}`,
      deadlineMs: 2_000,
    };
    answers.push(await harness.call(node.outbound, agent, options));
  }
}
await Promise.all(
  Array.from({ length: CALLERS }, (_, i) => orderUntilEnd(run.nodes[i % run.nodes.length])),
);

let served = 0;
let mixed = 0;
let refused = 0;
let twice = 0;
const counts = {};
for (const { id, status, signature } of answers) {
  counts[status] = (counts[status] ?? 0) + 1;
  if (status === 200) served += 1;
  if ((runsOf.get(id) ?? 0) > 1) {
    twice += 1;
    run.note(`TWICE: ${id} ran ${runsOf.get(id)} times and was answered ${status}`);
  }
  if (status === 503 && runsOf.has(id)) {
    refused += 1;
    run.note(`REFUSED: ${id} was answered 503 and has run`);
  }
  if (signature !== null && signature !== `sig.${id}.${status}`) {
    mixed += 1;
    run.note(`MIXED: ${id} was answered ${status} with the signature ${signature} of the server`);
  }
}
run.note(
  `sent ${sent}, by status ${JSON.stringify(counts)}, spoilt answers ${counted.garbled}, mixed ${mixed}, refused though run ${refused}, twice ${twice}`,
);
if (served < sent / 2 || (harness.HAS_TROUBLE && counted.garbled === 0))
  run.end(2, 'too few requests were served');
else if (twice + refused + mixed > 0)
  run.end(
    1,
    `TWICE: ${twice} of ${sent} orders ran twice; REFUSED: ${refused} ran and got 503; MIXED: ${mixed}`,
  );
else run.end(0, `the rule held for ${sent} requests`);
