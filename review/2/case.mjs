/** A server sends a body in chunks of one byte, without end; see claim.txt. */
/* global Buffer, performance */

import * as http from 'node:http';
import * as harness from '../common/harness.mjs';
import { answerBytes, Server } from '../common/server.mjs';
import { Store } from '../common/store.mjs';

/** Service of the server in trouble, and that of the sound servers on the other machines. */
const FAULTY = 'upkeep-hub';
const SOUND = 'sponsor-desk';
/** The faulty server spoils one answer in so many; `garble` goes up to 5 in 100. */
const GARBLED_EVERY = 33;
const SOUND_WORK_MS = 78;
const FAULTY_WORK_MS = 150;
const SOUND_CALLERS = 12;
const FAULTY_CALLERS = 6;
const LOAD_MS = 30_000;
/** The rule allows three. */
const ALLOWED = 3;
/** Most that the faulty server sends behind one answer, so that the script is bounded. */
const MAX_BYTES = 256 * 1024 * 1024;

const run = new harness.Run(import.meta.dirname);
const store = new Store();
run.parts.push(store);
const storeAddress = await store.start('127.0.0.1');
store.write(
  'config',
  'main',
  harness.configuration(
    1,
    {
      'r-roster': harness.route('/roster/', FAULTY, { timeout_ms: 3_000, priority: 2 }),
      'r-pledge': harness.route('/pledge/', SOUND, {
        kind: 'unsafe',
        timeout_ms: 2_000,
        max_attempts: 1,
      }),
    },
    [FAULTY, SOUND],
  ),
);

const chunks = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/** Sends one-byte chunks as fast as the node reads them, until it closes the connection. */
function sendWithoutEnd(req, socket) {
  socket.write(
    [
      'HTTP/1.1 200 OK',
      `Attempt-Id: ${req.id}`,
      `Response-Signature: sig.${req.id}`,
      'Transfer-Encoding: chunked',
      '\r\n',
    ].join('\r\n'),
  );
  let bytes = 0;
  const send = () => {
    while (!socket.destroyed && bytes < MAX_BYTES) {
      bytes += chunks.length;
      if (!socket.write(chunks)) {
        socket.once('drain', send);
        return;
      }
    }
  };
  socket.on('close', () => run.note(`the node closed after ${bytes} bytes of ${req.id}`));
  send();
}

const counted = { answered: 0, garbled: 0 };
const services = [FAULTY, SOUND, SOUND];
const zones = ['z-a', 'z-a', 'z-b'];
for (let i = 0; i < services.length; i += 1) {
  const server = new Server({ service: services[i], instance: `i-${i}` });
  server.handler = async (req, socket) => {
    await harness.sleep(i === 0 ? FAULTY_WORK_MS : SOUND_WORK_MS);
    if (i === 0) counted.answered += 1;
    if (harness.HAS_TROUBLE && i === 0 && counted.answered % GARBLED_EVERY === 0) {
      counted.garbled += 1;
      run.note(`i-0 sends a body without end for ${req.id}`);
      sendWithoutEnd(req, socket);
    } else {
      socket.write(answerBytes(200, req.id, `${server.instance} ${req.target}`));
    }
  };
  const appAddress = await server.start(harness.hostOf(i));
  run.parts.push(server);
  const options = { service: services[i], zone: zones[i], storeAddress, appAddress };
  const node = await run.startNode(i, options);
  node.server = server;
  node.restarts = true;
}
await run.waitUntilReady();
await Promise.all(run.nodes.map((node) => node.server.report(node.control)));
await harness.sleep(3_500);

const [first] = run.nodes;
const endMs = performance.now() + LOAD_MS;
let sent = 0;
const answers = [];
async function sendUntilEnd(path, deadlineMs, method = 'GET') {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  run.agents.push(agent);
  while (performance.now() < endMs) {
    sent += 1;
    const options = { id: `q${sent}`, path, method, deadlineMs };
    const answer = await harness.call(first.outbound, agent, options);
    answers.push(answer);
    if (answer.status !== 200) await harness.sleep(200);
  }
}
await Promise.all([
  ...Array.from({ length: SOUND_CALLERS }, () => sendUntilEnd('/pledge/a', 2_000, 'POST')),
  ...Array.from({ length: FAULTY_CALLERS }, () => sendUntilEnd('/roster/a', 3_000)),
]);

const ran = new Set(run.nodes.slice(1).flatMap(({ server }) => server.runs.map(({ id }) => id)));
const counts = {};
let lost = 0;
for (const { id, target, status, error, reused } of answers) {
  const key = `${target} ${status}`;
  counts[key] = (counts[key] ?? 0) + 1;
  // On a kept connection, passed on to a sound server, and closed without an answer.
  if (status === 0 && reused && target === '/pledge/a' && ran.has(id) && error !== 'deadline') {
    lost += 1;
    run.note(`LOST: ${id} was passed on to a sound server; its kept connection ended: ${error}`);
  }
}
const exits = run.nodes.map((node) => `${node.name} ${node.exits.length}`).join(', ');
run.note(`sent ${sent}, answers ${JSON.stringify(counts)}, bodies without end ${counted.garbled}`);
run.note(`processes that ended by themselves: ${exits}; lost ${lost}`);
if ((counts['/pledge/a 200'] ?? 0) < 500) run.end(2, 'too few requests were served');
else if (lost > ALLOWED) run.end(1, `LOST: ${lost} requests, ends of processes: ${exits}`);
else run.end(0, `the rule held for ${sent} requests; ends of processes: ${exits}`);
