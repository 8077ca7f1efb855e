/** A server for callers in front of one upstream, and callers that use raw sockets. */

import * as net from 'node:net';
import { ids, type metrics } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import type * as configuration from '../../config/configuration.js';
import * as configHolder from '../../config/configHolder.js';
import * as calleePressure from '../../limits/calleePressure.js';
import * as retryBudget from '../../limits/retryBudget.js';
import * as members from '../../membership/members.js';
import * as networkAddress from '../../networkAddress.js';
import * as meters from '../../observability/meters.js';
import * as rolloutTable from '../../rollouts/rolloutTable.js';
import type * as quotaClient from '../../quotas/quotaClient.js';
import * as balancer from '../../routing/balancer.js';
import * as dispatcher from '../../routing/dispatcher.js';
import type * as exchange from '../../routing/exchange.js';
import * as trafficSplitter from '../../routing/trafficSplitter.js';
import * as upstreamStats from '../../routing/upstreamStats.js';
import * as callerServer from '../callerServer.js';

/** More than the kernel buffers of both ends of a loopback connection hold. */
export const LARGE_BYTES = 16 * 1024 * 1024;

/** What the kernel buffers of a loopback connection hold, but not the one of the receiver alone. */
export const BUFFERED_BYTES = 512 * 1024;

export interface CallerServerFixture {
  server: callerServer.CallerServer;
  /** Holds the requests that are passed on. */
  upstream: fixtures.HeldDestination;
  metrics: metrics.Metrics;
  lines: fixtures.LogLine[];
  /** Decides on requests of customers with a quota; admits them by default. */
  quotas: {
    decision: quotaClient.Decision | Promise<quotaClient.Decision>;
    released: quotaClient.UsedPermit[];
  };
  address: string;
}

/**
 * @param listenAddress a free one is chosen by default
 * @param customers requests need no key by default
 */
export async function startCallerServer(
  listenAddress?: string,
  customers: configuration.Configuration['customers'] = null,
): Promise<CallerServerFixture> {
  const nowMs = () => performance.now();
  const { log, lines } = fixtures.recordingLog();
  const metricsRegistry = meters.createMetrics();
  const upstream = new fixtures.HeldDestination();
  const config = new configHolder.ConfigHolder(nowMs);
  const rollouts = new rolloutTable.RolloutTable(log, nowMs);
  const dispatch = new dispatcher.Dispatcher({
    table: new members.MemberTable(fixtures.member('a', { slots: 100 })),
    local: upstream,
    destinationOf: () => null,
    hasOpenLink: () => false,
    rollouts,
    evacuations: fixtures.evacuations(),
    quarantine: fixtures.suspects(),
    balancer: new balancer.Balancer(() => 0),
    trafficSplitter: new trafficSplitter.TrafficSplitter(() => 0),
    versionChooser: fixtures.versionChooserOf(rollouts),
    upstreamStats: new upstreamStats.UpstreamStats(nowMs),
    retryBudget: new retryBudget.RetryBudget({ ratio: 0.2, extra: 64 }, () => 1),
    log,
    meters: metricsRegistry,
    hasCustomers: () => false,
    callerService: () => ids.serviceName('shop'),
    nowMs,
  });
  const quotas: CallerServerFixture['quotas'] = {
    decision: { type: 'admitted', source: 'held', permit: { requestId: 1, expiresMs: Infinity } },
    released: [],
  };
  const server = new callerServer.CallerServer({
    calleePressure: new calleePressure.CalleePressure(),
    config,
    dispatcher: dispatch,
    codec: new fixtures.TestHeaders(),
    isStateKnown: () => true,
    quotas: {
      admit: () => quotas.decision,
      release: (_customer, permit) => quotas.released.push(permit),
    },
    log,
    meters: metricsRegistry,
    nowMs,
  });
  const route = fixtures.route('r', { timeoutMs: 30_000, targetLatencyMs: 30_000 });
  const cfg = { ...fixtures.configurationOf(1, [route]), customers };
  config.offer(cfg, { origin: 'store', name: 'store' });
  const address = listenAddress ?? (await loopback.freeAddress());
  await server.listen(address);
  return { server, upstream, metrics: metricsRegistry, lines, quotas, address };
}

export function request(id: string, key?: string): string {
  const keyHeader = key === undefined ? '' : `X-Key: ${key}\r\n`;
  return `GET /r/${id} HTTP/1.1\r\nHost: host.example\r\nX-Id: ${id}\r\n${keyHeader}\r\n`;
}

export function answer(id: string, body: Buffer): exchange.Answer {
  return { type: 'answer', status: 200, headers: ['X-Id', id], body, serviceMs: 1 };
}

export interface ReceivedAnswer {
  status: number;
  id: string | null;
  closesConnection: boolean;
  bodyBytes: number;
}

export class Caller {
  readonly socket: net.Socket;

  /** Whether the connection has ended, in whichever way. */
  isClosed = false;

  private readonly chunks: Buffer[] = [];

  constructor(address: string) {
    this.socket = net.connect({ ...networkAddress.parse(address), allowHalfOpen: true });
    this.socket.on('data', (chunk) => this.chunks.push(chunk));
    for (const event of ['end', 'error', 'close']) {
      this.socket.on(event, () => {
        this.isClosed = true;
      });
    }
  }

  send(...ids_: readonly string[]): void {
    this.socket.write(ids_.map((id) => request(id)).join(''));
  }

  /** Stops reading, so that most of a large answer stays unwritten; `socket.resume` reads on. */
  pauseAtFirstData(): void {
    this.socket.once('data', () => this.socket.pause());
  }

  received(): string {
    return Buffer.concat(this.chunks).toString('latin1');
  }

  /** Answers that have arrived completely. @throws Error if other bytes have arrived between them */
  answers(): ReceivedAnswer[] {
    const answers: ReceivedAnswer[] = [];
    let rest = Buffer.concat(this.chunks);
    for (;;) {
      const headEnd = rest.indexOf('\r\n\r\n');
      if (headEnd < 0) return answers;
      const head = rest.subarray(0, headEnd).toString('latin1');
      const status = /^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1];
      if (status === undefined) throw new Error(`not an answer: ${head.slice(0, 80)}`);
      const bodyBytes = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
      const end = headEnd + 4 + bodyBytes;
      if (rest.length < end) return answers;
      answers.push({
        status: Number(status),
        id: /^x-id: (.*)$/im.exec(head)?.[1] ?? null,
        closesConnection: /^connection: close$/im.test(head),
        bodyBytes,
      });
      rest = rest.subarray(end);
    }
  }
}
