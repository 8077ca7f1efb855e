/** Fixtures for the tests of the mesh. */

import { ids } from '@godwittrack/core';
import * as pino from 'pino';
import type * as configuration from '../config/configuration.js';
import type * as storePosition from '../config/storePosition.js';
import * as customerDirectory from '../customers/customerDirectory.js';
import * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as localUpstream from '../membership/localUpstream.js';
import type * as members from '../membership/members.js';
import * as decisionLog from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as uplinkScheduler from '../peers/uplinkScheduler.js';
import * as quarantine from '../quarantine/quarantine.js';
import type * as balancer from '../routing/balancer.js';
import type * as rolloutTable from '../rollouts/rolloutTable.js';
import * as exchange from '../routing/exchange.js';
import * as versionChooser from '../routing/versionChooser.js';
import * as headerCodec from '../upstream/headerCodec.js';

export const UPSTREAM_ADDRESS = '127.0.0.1:9000';

export function route(
  name: string,
  overrides: Partial<configuration.Route> = {},
): configuration.Route {
  return {
    name: ids.routeName(name),
    host: 'host.example',
    pathPrefix: `/${name}/`,
    semantics: 'repeatable',
    timeoutMs: 1_000,
    targetLatencyMs: 300,
    maxUpstreams: 2,
    priority: 2,
    destinations: [{ service: ids.serviceName('shop'), weight: 1 }],
    homeRegions: [],
    isPublic: false,
    ...overrides,
  };
}

export function configurationOf(
  version: number,
  routes: configuration.Route[],
): configuration.Configuration {
  const shop = ids.serviceName('shop');
  return {
    version: ids.configVersion(version),
    routes: Object.fromEntries(routes.map((each) => [each.name, each])),
    services: {
      shop: { name: shop, healthPath: '/health', maxConnections: 100, coldStart: null },
    },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    customers: null,
  };
}

/** A customer with the given keys. */
export function customer(
  name: string,
  keys: readonly string[] = [`key-of-${name}`],
  overrides: Partial<configuration.Customer> = {},
): configuration.Customer {
  return {
    name: ids.customerName(name),
    keyDigests: keys.map((key) => customerDirectory.digestOf(key)),
    priority: 0,
    quota: null,
    homeRegions: [],
    ...overrides,
  };
}

export function candidate(
  node: string,
  overrides: Partial<balancer.Candidate> = {},
): balancer.Candidate {
  const defaults = {
    distance: 'domain',
    slots: 10,
    limitPerSecond: null,
    isCold: false,
    load: 0,
    reportedLoad: 0,
    reportWeight: 1,
    serviceMs: 100,
    transferWaitMs: 0,
    failureShare: 0,
    hasOpenLink: true,
  } as const;
  return { node: ids.nodeId(node), ...defaults, ...overrides };
}

export function member(
  node: string,
  upstream: Partial<members.UpstreamState> | null = {},
  domain = 'd1',
  region = 'r1',
): members.Member {
  return {
    node: ids.nodeId(node),
    address: '127.0.0.1:7000',
    domain: ids.domainName(domain),
    region: ids.regionName(region),
    sequence: 1,
    upstream:
      upstream === null
        ? null
        : {
            instance: ids.instanceId(`i-${node}`),
            service: ids.serviceName('shop'),
            version: ids.versionName('v1'),
            slots: 10,
            bornMs: 1_000,
            limitPerSecond: null,
            leaving: false,
            accepting: true,
            ...upstream,
          },
  };
}

export function announcement(
  overrides: Partial<localUpstream.Announcement> = {},
): localUpstream.Announcement {
  return {
    instance: ids.instanceId('i-1'),
    service: ids.serviceName('shop'),
    address: UPSTREAM_ADDRESS,
    version: ids.versionName('v1'),
    slots: 10,
    leaving: false,
    sequence: 1,
    bornMs: 1_000,
    coldRemainingMs: 0,
    ...overrides,
  };
}

/** Chooses the target of a rollout for a request if its share is above one half. */
export function versionChooserOf(
  rollouts: rolloutTable.RolloutTable,
): versionChooser.VersionChooser {
  return new versionChooser.VersionChooser({
    rollouts,
    maxExposureShare: 0.1,
    exposureSlack: 0,
    nodeCount: () => 1,
    random: () => 0.5,
  });
}

export function silentLog(): decisionLog.DecisionLog {
  const logger = pino.pino({ level: 'silent' });
  return new decisionLog.DecisionLog(logger, () => performance.now(), meters.createMetrics());
}

/** A position in the store. */
export function positionOf(revision: number, era = 1): storePosition.StorePosition {
  return { era: ids.storeEra(era), revision };
}

/** A table of a deployment that uses evacuations. */
export function evacuations(): evacuationTable.EvacuationTable {
  const nowMs = () => performance.now();
  return new evacuationTable.EvacuationTable({ isEnabled: true, log: silentLog(), nowMs });
}

export function suspects(): quarantine.Quarantine {
  return new quarantine.Quarantine({ log: silentLog(), nowMs: () => performance.now() });
}

export interface LogLine {
  msg: string;
  [field: string]: unknown;
}

/** A log that keeps its lines. */
export function recordingLog(): { log: decisionLog.DecisionLog; lines: LogLine[] } {
  const lines: LogLine[] = [];
  const logger = pino.pino({}, { write: (text) => lines.push(JSON.parse(text) as LogLine) });
  const nowMs = () => performance.now();
  return { log: new decisionLog.DecisionLog(logger, nowMs, meters.createMetrics()), lines };
}

/** Headers of requests and answers: `X-Id` is the id of the request. */
export class TestHeaders extends headerCodec.HeaderCodec {
  readCaller(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): headerCodec.CallerHeaders {
    const id = headers['x-id'];
    const requestId = typeof id === 'string' ? ids.requestId(id) : null;
    const key = headers['x-key'];
    return { requestId, deadlineMs: null, key: typeof key === 'string' ? key : null };
  }

  forwardable(raw: readonly string[]): exchange.FlatHeaders {
    return [...raw];
  }

  forUpstream(): exchange.FlatHeaders {
    return [];
  }

  readAnswer(headers: exchange.FlatHeaders): headerCodec.AnswerHeaders {
    const id = headerCodec.headerValue(headers, 'x-id');
    const requestId = id === null ? null : ids.requestId(id);
    const coldMs = headerCodec.headerValue(headers, 'x-cold-ms');
    return {
      requestId,
      signed: true,
      notExecuted: false,
      leaving: false,
      limit: { type: 'none' },
      coldRemainingMs: coldMs === null ? null : Number(coldMs),
      instance: null,
    };
  }

  returnable(raw: readonly string[]): exchange.FlatHeaders {
    return [...raw];
  }
}

export function uplink(): uplinkScheduler.UplinkScheduler {
  return new uplinkScheduler.UplinkScheduler(() => performance.now());
}

export function forwardedRequest(
  overrides: Partial<exchange.ForwardedRequest> = {},
): exchange.ForwardedRequest {
  return {
    requestId: ids.requestId('q'),
    method: 'GET',
    target: '/a/?b=c',
    headers: [],
    body: Buffer.alloc(0),
    route: ids.routeName('r'),
    semantics: 'once',
    priority: 1,
    customer: null,
    customerPriority: 0,
    callerService: ids.serviceName('s'),
    instance: ids.instanceId('i'),
    targetLeftMs: 100,
    deadlineLeftMs: 400,
    estimateMs: 30,
    maxWaitMs: Infinity,
    crashReport: null,
    fromOtherHost: true,
    isConfined: false,
    ...overrides,
  };
}

/** Destination that leaves requests pending until `release`, and records which were cancelled. */
export class HeldDestination extends exchange.Destination {
  readonly received: exchange.ForwardedRequest[] = [];

  readonly cancelled: ids.RequestId[] = [];

  private readonly pending: ((outcome: exchange.Outcome) => void)[] = [];

  send(req: exchange.ForwardedRequest, signal: AbortSignal): Promise<exchange.Delivery> {
    this.received.push(req);
    signal.addEventListener('abort', () => this.cancelled.push(req.requestId));
    return new Promise((resolve) => {
      this.pending.push((outcome) => resolve({ outcome, report: null }));
    });
  }

  release(outcome: exchange.Outcome = exchange.lost('released')): void {
    for (const settle of this.pending.splice(0)) settle(outcome);
  }

  releaseFirst(outcome: exchange.Outcome): void {
    this.pending.shift()?.(outcome);
  }
}
