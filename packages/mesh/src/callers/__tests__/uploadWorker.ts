/** Serves callers at `address`, and posts the sizes of the bodies once `uploads` requests were passed on. */

import * as worker from 'node:worker_threads';
import * as loopback from '../../__tests__/loopback.js';
import * as callerFixtures from './callerFixtures.js';

const { address, uploads } = worker.workerData as { address: string; uploads: number };
const { upstream } = await callerFixtures.startCallerServer(address);
await loopback.until(() => upstream.received.length === uploads);
worker.parentPort?.postMessage(upstream.received.map(({ body }) => body.length));
