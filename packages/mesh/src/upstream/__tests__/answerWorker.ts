/** Sends a request to the upstream at `workerData`, and posts the outcome. */

import * as worker from 'node:worker_threads';
import * as fixtures from '../../__tests__/fixtures.js';
import * as byteBudget from '../../limits/byteBudget.js';
import * as networkAddress from '../../networkAddress.js';
import * as upstreamConnection from '../upstreamConnection.js';

const BODY_BUDGET_BYTES = 80 * 1024 * 1024;

const { host, port } = networkAddress.parse(worker.workerData as string);
const connection = new upstreamConnection.UpstreamConnection(
  host,
  port,
  new fixtures.TestHeaders(),
  () => undefined,
  new byteBudget.ByteBudget(BODY_BUDGET_BYTES),
);
const raw = await connection.send('1', Buffer.from('GET / HTTP/1.1\r\n\r\n'));
worker.parentPort?.postMessage(raw.type === 'answer' ? raw.answer.body.length : raw.type);
