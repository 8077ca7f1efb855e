/** A node's request path in one process: caller server, dispatcher, admission control, upstream. */

import * as http from 'node:http';
import * as net from 'node:net';
import { once } from 'node:events';
import { clock, metrics, resources } from '@godwittrack/core';
import type { configuration, failures, ids } from '@godwittrack/core';
import type { distribution, requests } from '@godwittrack/protocol';
import type * as configStore from '../../config/configStore.js';
import type * as logging from '../../logging.js';
import * as localMember from '../../membership/localMember.js';
import * as memberTable from '../../membership/memberTable.js';
import type * as settings from '../../settings.js';
import * as signals from '../../signals.js';
import * as admission from '../admission.js';
import * as balancer from '../balancer.js';
import * as callerServer from '../callerServer.js';
import * as dispatcher from '../dispatcher.js';
import type * as exchange from '../exchange.js';
import * as localDestination from '../localDestination.js';
import * as onceGuard from '../onceGuard.js';
import * as retryBudget from '../retryBudget.js';
import * as upstreamClient from '../upstreamClient.js';
import * as upstreamHealth from '../upstreamHealth.js';
import * as versionChooser from '../versionChooser.js';

export const SERVICE = 'back';

export const HEAD: requests.RequestHead = {
  requestId: 'r1',
  method: 'POST',
  path: '/x',
  headers: [],
  service: SERVICE,
  version: '',
  route: 'x',
  timeoutMs: 5_000,
  hops: 1,
  priority: 5,
  callingService: '',
  configVersion: 1,
};

/** The fixture has no version plans. */
export class AnyVersion extends versionChooser.VersionChooser {
  override choose(): null {
    return null;
  }

  override recordAttempt(): void {
    // No rollout runs.
  }
}

const noop = () => undefined;

class UnrecordedClaim extends onceGuard.OnceClaim {
  override beginDispatch(): boolean {
    return true;
  }

  override async complete(): Promise<void> {
    // Nothing is recorded.
  }

  override release(): failures.Failure {
    return { type: 'notRun', detail: 'The request was not dispatched.', retryAfterMs: 1_000 };
  }
}

/**
 * Grants every key without a record: a request is still dispatched at most once for each time that
 * the caller sends it, but a repeat by the caller is not recognised.
 */
export class UnrecordedOnceGuard extends onceGuard.OnceGuard {
  override async claim(): Promise<onceGuard.OnceOutcome> {
    return { type: 'granted', claim: new UnrecordedClaim() };
  }
}

export const SILENT_LOGGER = {
  info: noop,
  debug: noop,
  warn: noop,
  error: noop,
} as unknown as logging.Logger;

export function route(name: string, spec: Record<string, unknown> = {}): configuration.Route {
  const match = { pathPrefix: `/${name}` };
  const base = { service: SERVICE, match, semantics: 'safe', ...spec };
  return { ...resources.routeSpec.parse(base), name } as unknown as configuration.Route;
}

export const ROUTES = [
  route('safe', { timeout: '400ms' }),
  route('once', { semantics: 'once', timeout: '400ms' }),
];

export function createConfig(
  routes: configuration.Route[],
  spec: Record<string, unknown> = {},
): configStore.ConfigStore {
  const service = { ...resources.serviceSpec.parse(spec), name: SERVICE };
  const services = new Map([[SERVICE, service]]);
  const current = { version: 1, services, routes, plans: new Map() };
  return { current, version: 1, changed: new signals.ChangeSignal() } as never;
}

export function createSettings(node: string, caller: string): settings.ResolvedSettings {
  return {
    node: node as ids.NodeId,
    region: 'r',
    failureDomain: 'd',
    listen: { caller, peer: '127.0.0.1:1', admin: '127.0.0.1:1' },
    advertise: { peer: '127.0.0.1:1', externalPeer: '', admin: '' },
    limits: { maxBodyBytes: 256 * 1024, maxHeaderBytes: 16 * 1024 },
  } as unknown as settings.ResolvedSettings;
}

/** Member that is ready and has an upstream of two slots. */
export function member(node: string, region = 'r', failureDomain = 'd'): distribution.Member {
  const upstream = { service: SERVICE, version: 'v1', slots: 2, healthy: true, draining: false };
  const address = { peerAddress: `${node}:1`, externalPeerAddress: `${node}:2` };
  const base = { node, region, failureDomain, incarnation: 1, ready: true, draining: false };
  return { ...base, ...address, upstream: { ...upstream, coldStart: false } } as never;
}

/** Member table with `near` in region `r` and `far` in region `s`. */
export function createTable(
  near: () => distribution.Member[],
  far: () => distribution.Member[] = () => [],
): memberTable.MemberTable {
  return {
    changed: new signals.ChangeSignal(),
    get all() {
      return near();
    },
    get regions() {
      return [{ region: 's', versions: [{ entries: far() }] }];
    },
  } as unknown as memberTable.MemberTable;
}

export async function freePort(): Promise<number> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

export interface Stack {
  port: number;
  admissionControl: admission.Admission;
  local: localMember.LocalMember;
  callers: callerServer.CallerServer;
  loadBalancer: balancer.Balancer;
  upstream: http.Server;
}

const closeFunctions = new Set<() => void>();

/** Closes every stack, so that a failed test does not keep its process alive. */
export function closeAll(): void {
  closeFunctions.forEach((close) => close());
  closeFunctions.clear();
}

/** Node `n1` with one upstream that is implemented by `handler`. */
export async function createStack(
  handler: http.RequestListener,
  options: {
    slots?: number;
    spec?: Record<string, unknown>;
    wrap?: (local: exchange.Destination) => exchange.Destination;
  } = {},
): Promise<Stack> {
  const upstream = http.createServer(handler).listen(0, '127.0.0.1');
  await once(upstream, 'listening');
  const address = `127.0.0.1:${(upstream.address() as net.AddressInfo).port}`;
  const port = await freePort();
  const nodeSettings = createSettings('n1', `127.0.0.1:${port}`);
  const time = new clock.SystemClock();
  const table = new memberTable.MemberTable(nodeSettings.region, time);
  const local = new localMember.LocalMember(nodeSettings, table, time, SILENT_LOGGER);
  local.setReady(true);
  const { slots = 2, spec = {} } = options;
  const announcement = { service: SERVICE, version: 'v1', address, slots };
  local.announce(localMember.parseAnnouncement(announcement));
  const config = createConfig(ROUTES, spec);
  const meters = new metrics.Metrics();
  const admissionControl = new admission.Admission(() => SERVICE, time);
  const client = new upstreamClient.NodeHttpUpstreamClient();
  const health = new upstreamHealth.UpstreamHealth(local);
  const localTarget = new localDestination.LocalDestination(
    local,
    config,
    admissionControl,
    client,
    health,
    meters,
  );
  const destination = options.wrap?.(localTarget) ?? localTarget;
  const loadBalancer = new balancer.Balancer(nodeSettings, table, time);
  const requestDispatcher = new dispatcher.Dispatcher(
    nodeSettings,
    config,
    loadBalancer,
    new AnyVersion(),
    () => destination,
    new UnrecordedOnceGuard(),
    new retryBudget.RetryBudget(time),
    meters,
  );
  const callers = new callerServer.CallerServer(
    nodeSettings,
    config,
    local,
    requestDispatcher,
    meters,
    SILENT_LOGGER,
  );
  await callers.listen();
  const close = () => {
    callers.stopAccepting();
    callers.close();
    client.close();
    upstream.close();
    upstream.closeAllConnections();
  };
  closeFunctions.add(close);
  return { port, admissionControl, local, callers, loadBalancer, upstream };
}

export interface Reply {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
}

export async function call(
  port: number,
  path: string,
  options: http.RequestOptions & { body?: Uint8Array } = {},
): Promise<Reply> {
  const { body, ...rest } = options;
  return new Promise((resolve, reject) => {
    const req = http.request({ host: '127.0.0.1', port, path, agent: false, ...rest }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        const { statusCode: status = 0, headers } = res;
        resolve({ status, headers, body: Buffer.concat(chunks) });
      });
    });
    req.on('error', reject);
    req.end(body);
  });
}

/** Sends the text unchanged and returns everything received until the connection closes. */
export async function sendRaw(port: number, text: string, waitMs = 5_000): Promise<string> {
  const socket = net.connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', noop);
  socket.setTimeout(waitMs, () => socket.destroy());
  socket.write(text, 'latin1');
  await once(socket, 'close');
  return received;
}
