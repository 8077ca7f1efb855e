/** Starts mesh nodes with stand-ins for their application servers and the users' object store. */

import * as http from 'node:http';
import { meters, networkAddress, storeEra, wiring } from '@godwittrack/mesh';
import {
  controlServer,
  headers,
  metricsServer,
  objectClient,
  objectFleetStore,
  settings,
} from '@godwittrack/users-platform';
import * as ports from '../harness/ports.js';
import * as application from './application.js';

/** Listen addresses of the node on one host. */
const ADDRESSES_PER_HOST = 5;

export interface Host {
  name: string;
  app: application.ApplicationStandIn;
  mesh: wiring.MeshNode;
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
  region?: string;
  slots?: number;
  /** Bounds in addition to those that all hosts have. */
  bounds?: readonly string[];
}

export async function startHost(storeAddress: string, options: HostOptions): Promise<Host> {
  const { name, service, version = 'v1', zone = 'z-a', region = 'r-a', slots = 4 } = options;
  const app = new application.ApplicationStandIn(service, `i-${name}`, version, slots);
  const appAddress = await app.start();
  const [callerAddress, readyAddress, controlAddress, peerAddress, metricsAddress] =
    (await ports.allocateAddresses(ADDRESSES_PER_HOST)) as [string, string, string, string, string];
  const peerPort = networkAddress.parse(peerAddress).port;
  const resolved = settings.resolveSettings({
    node_name: name,
    ip: '127.0.0.1',
    zone,
    region,
    listen: { outbound: callerAddress, ready: readyAddress, control: controlAddress },
    internal_port_range: [peerPort, peerPort],
    bounds: [
      'grace_period_s=4',
      'retry_budget_ratio=0.2',
      'budget_extra_retries=64',
      ...(options.bounds ?? []),
    ],
    app_address: appAddress,
    service,
    platform: { address: storeAddress },
  });
  const metrics = meters.createMetrics();
  const log = wiring.createLog(name, metrics);
  const era = new storeEra.StoreEra(log);
  const client = new objectClient.ObjectClient(storeAddress, metrics, era);
  const store = new objectFleetStore.ObjectFleetStore(client, era, log, metrics);
  const codec = new headers.PlatformHeaderCodec();
  const mesh = wiring.createMeshNode(resolved.mesh, { store, codec }, log, metrics);
  const listeners = new controlServer.ControlServer(mesh);
  const metricsListener = new metricsServer.MetricsServer(mesh);
  await Promise.all([
    mesh.agent.start(),
    listeners.listen(readyAddress, controlAddress),
    metricsListener.listen(metricsAddress),
  ]);
  await app.announce(controlAddress);
  return {
    name,
    app,
    mesh,
    callerAddress,
    readyAddress,
    controlAddress,
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
  /** Id of the request. */
  id: string;
  status: number;
  body: string;
  signature: string | null;
  retryAfter: string | null;
}

let nextId = 0;

export async function call(
  host: Pick<Host, 'callerAddress'>,
  path: string,
  init: RequestInit = {},
): Promise<CallerAnswer> {
  nextId += 1;
  // Uses node:http, because fetch() does not let callers set the Host header.
  return sendRequest(
    host.callerAddress,
    path,
    init.method ?? 'GET',
    String(init.body ?? ''),
    `q-${nextId}`,
  );
}

async function sendRequest(
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
            id,
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
