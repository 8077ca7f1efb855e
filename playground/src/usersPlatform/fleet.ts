/** Nodes of the mesh with their application servers, joined to a stand-in of the users' store. */

import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { meters, wiring } from '@godwittrack/mesh';
import {
  controlServer,
  headers,
  metricsServer,
  objectClient,
  objectFleetStore,
  settings,
} from '@godwittrack/users-platform';
import * as application from './application.js';

const POLL_MS = 20;
const WAIT_LIMIT_MS = 10_000;

export interface Host {
  name: string;
  app: application.ApplicationStandIn;
  mesh: wiring.Mesh;
  callerAddress: string;
  readyAddress: string;
  controlAddress: string;
  metricsAddress: string;
  stop(): Promise<void>;
}

export interface HostOptions {
  name: string;
  service: string;
  version?: string;
  zone?: string;
  slots?: number;
}

async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

export async function startHost(storeAddress: string, options: HostOptions): Promise<Host> {
  const { name, service, version = 'v1', zone = 'z-a', slots = 4 } = options;
  const app = new application.ApplicationStandIn(service, `i-${name}`, version, slots);
  const appAddress = await app.start();
  const [outbound, ready, control, peer, metrics] = await Promise.all([
    freePort(),
    freePort(),
    freePort(),
    freePort(),
    freePort(),
  ]);
  const resolved = settings.resolveSettings({
    node_name: name,
    ip: '127.0.0.1',
    zone,
    region: 'r-a',
    listen: {
      outbound: `127.0.0.1:${outbound}`,
      ready: `127.0.0.1:${ready}`,
      control: `127.0.0.1:${control}`,
    },
    internal_port_range: [peer, peer],
    bounds: ['grace_period_s=4', 'retry_budget_ratio=0.2', 'budget_extra_retries=64'],
    app_address: appAddress,
    service,
    platform: { address: storeAddress },
  });
  const counted = meters.createMeters();
  const log = wiring.createLog(name, counted);
  const client = new objectClient.ObjectClient(storeAddress, counted);
  const store = new objectFleetStore.ObjectFleetStore(client, log);
  const codec = new headers.PlatformHeaders();
  const mesh = wiring.createMesh(resolved.mesh, { store, codec }, log, counted);
  const listeners = new controlServer.ControlServer(mesh);
  const metricsListener = new metricsServer.MetricsServer(mesh);
  const metricsAddress = `127.0.0.1:${metrics}`;
  await Promise.all([
    mesh.agent.start(),
    listeners.listen(resolved.readyAddress, resolved.controlAddress),
    metricsListener.listen(metricsAddress),
  ]);
  await app.announce(resolved.controlAddress);
  return {
    name,
    app,
    mesh,
    callerAddress: resolved.mesh.callerAddress,
    readyAddress: resolved.readyAddress,
    controlAddress: resolved.controlAddress,
    metricsAddress,
    async stop() {
      await mesh.agent.stop();
      listeners.close();
      metricsListener.close();
      app.stop();
    },
  };
}

export interface CallerAnswer {
  status: number;
  body: string;
  signature: string | null;
  retryAfter: string | null;
}

let nextId = 0;

export async function call(
  host: Host,
  path: string,
  init: RequestInit = {},
): Promise<CallerAnswer> {
  nextId += 1;
  // fetch sets Host itself, so the request is written by hand.
  return rawCall(
    host.callerAddress,
    path,
    init.method ?? 'GET',
    String(init.body ?? ''),
    `q-${nextId}`,
  );
}

async function rawCall(
  address: string,
  path: string,
  method: string,
  body: string,
  id: string,
): Promise<CallerAnswer> {
  const [hostname, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = http.request(
      {
        host: hostname,
        port,
        path,
        method,
        headers: {
          Host: 'shop.example',
          'Attempt-Id': id,
          'Deadline-Milliseconds': '800',
          'Content-Length': Buffer.byteLength(body),
        },
      },
      (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('end', () => {
          resolve({
            status: res.statusCode ?? 0,
            body: Buffer.concat(chunks).toString('utf8'),
            signature: (res.headers['response-signature'] as string | undefined) ?? null,
            retryAfter: res.headers['retry-after'] ?? null,
          });
        });
      },
    );
    req.on('error', reject);
    req.end(body);
  });
}

/** Waits until `holds`; fails with `what` after the limit. */
export async function until(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
  const endMs = performance.now() + WAIT_LIMIT_MS;
  while (performance.now() < endMs) {
    if (await holds()) return;
    await timers.setTimeout(POLL_MS);
  }
  throw new Error(`not within ${WAIT_LIMIT_MS} ms: ${what}`);
}
