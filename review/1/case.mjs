/** A server sends additional bytes after complete answers; see claim.txt. */
/* global Buffer, performance, process */

import * as http from 'node:http';
import * as harness from '../common/harness.mjs';
import { answerBytes, Server } from '../common/server.mjs';
import { Store } from '../common/store.mjs';

const SERVICE = 'orders';
/** Share of the answers that the faulty server spoils; `garble` goes up to 0.05. */
const GARBLED_SHARE = 0.03;
/** One request in so many fails, as where a call that the server needs fails. */
const FAILS_EVERY = 5;
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
    { 'r-orders': harness.route('/orders/', SERVICE, { kind: 'unsafe', max_attempts: 1 }) },
    [SERVICE],
  ),
);

let seed = process.pid;
function random() {
  seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
  return seed / 2_147_483_648;
}

/** Status that a server gave, by the id of the request. */
const given = new Map();
const counted = { garbled: 0 };
const servers = [];
for (let i = 0; i < 2; i += 1) {
  const server = new Server({ service: SERVICE, instance: `i-${i}` });
  let answered = 0;
  server.handler = async (req, socket) => {
    await harness.sleep(5 + random() * 10);
    answered += 1;
    const status = answered % FAILS_EVERY === 0 ? 500 : 200;
    given.set(req.id, status);
    const bytes = answerBytes(status, req.id, `order ${req.id} ${status}`);
    const isGarbled = harness.HAS_TROUBLE && i === 0 && random() < GARBLED_SHARE;
    // A second copy of the answer, broken off in its first line.
    const extra = isGarbled ? bytes.subarray(0, 'HTTP/1.1 200 OK'.length) : Buffer.alloc(0);
    if (isGarbled) {
      counted.garbled += 1;
      run.note(`i-${i} answers ${req.id} with ${status} and sends "${extra}" behind it`);
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
      path: '/orders/a',
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
const counts = {};
for (const { id, status, signature } of answers) {
  counts[status] = (counts[status] ?? 0) + 1;
  if (status === 200) served += 1;
  if (signature !== null && given.get(id) !== status) {
    mixed += 1;
    run.note(
      `MIXED: ${id} was answered ${status} with the signature ${signature}, the server gave ${given.get(id)}`,
    );
  }
}
run.note(
  `sent ${sent}, by status ${JSON.stringify(counts)}, spoilt answers ${counted.garbled}, mixed ${mixed}`,
);
if (served < sent / 2 || (harness.HAS_TROUBLE && counted.garbled === 0))
  run.end(2, 'too few requests were served');
else if (mixed > 0)
  run.end(1, `MIXED: ${mixed} of ${sent} callers got another status than the server gave`);
else run.end(0, `the rule held for ${sent} requests`);
