/** Stand-in for an upstream: an HTTP server with limited slots, injected faults and run counts. */

import * as crypto from 'node:crypto';
import * as nodeHttp from 'node:http';
import type { Socket } from 'node:net';
import * as timers from 'node:timers/promises';
import * as addresses from '../common/address.js';
import * as http from '../common/http.js';
import * as logs from '../common/log.js';
import * as randoms from '../common/random.js';
import * as announcers from './announcer.js';
import * as behaviours from './behaviour.js';

export interface UpstreamOptions {
  service: string;
  version: string;
  /** Name of the server, echoed in answers. */
  server: string;
  /** Requests that run at once; more are shed with 503. */
  slots: number;
  /** Connections accepted at once. Default 130. */
  connections?: number;
  /** Default `127.0.0.1:0`. */
  listen?: string;
  /** Address of the control port. Default `127.0.0.1:0`. */
  control?: string;
  /** Administration API of the node on the same host; the upstream is not announced when absent. */
  adminUrl?: string;
  /** Median of the service time. Default 5 ms. */
  serviceTimeMs?: number;
  /** Default 0.3. */
  serviceTimeSigma?: number;
  /** Time after the start during which requests are slower. Default 0. */
  coldStartMs?: number;
  /** Factor on the service time at the start; it falls to 1 over the cold start. Default 5. */
  coldStartFactor?: number;
  /** Time to set up a new connection; connections are set up one at a time. Default 1 ms. */
  connectionCostMs?: number;
  /** A drain ends when nothing is in flight and nothing arrived for this time. Default 500 ms. */
  drainQuietMs?: number;
  /** A drain ends at the latest after this time. Default 10,000 ms. */
  drainLimitMs?: number;
  /** Default 1. */
  seed?: number;
}

/** Answer of `GET /control/runs`. A run is counted when it starts. */
export interface RunReport {
  total: number;
  byPath: Record<string, number>;
  /** Runs by idempotency key. */
  keys: Record<string, number>;
}

/** Answer of `GET /control/stats`. */
export interface UpstreamStats {
  inFlight: number;
  maxInFlight: number;
  started: number;
  finished: number;
  shed: number;
  /** Runs aborted because the caller disconnected. */
  cancelled: number;
  /** Runs aborted at their deadline. */
  expired: number;
  errorsInjected: number;
  truncated: number;
  connectionsOpened: number;
  draining: boolean;
  arrivedWhileDraining: number;
  /** Time from the start of the drain to the last request that arrived after it. */
  lastArrivalAfterDrainMs: number | null;
}

const MAX_BODY_BYTES = 64 * 1024 * 1024;
const CHUNK_BYTES = 16 * 1024;
const DRAIN_CHECK_MS = 20;
const RETRY_AFTER_SECONDS = 1;

interface Exchange {
  req: nodeHttp.IncomingMessage;
  res: nodeHttp.ServerResponse;
  url: URL;
  requestId: string;
}

export class Upstream {
  private readonly connections: number;

  private readonly random: randoms.Random;

  private readonly rules: behaviours.Rules;

  private readonly server: nodeHttp.Server;

  private readonly tracker: http.ConnectionTracker;

  private readonly log: logs.Logger;

  private behaviour: behaviours.BehaviourChange;

  private announcer: announcers.Announcer | undefined;

  private controlServer: http.ControlServer | undefined;

  private readonly startedAtMs = performance.now();

  private drainingSinceMs: number | undefined;

  private lastArrivalMs = 0;

  /** Time at which the last of the connections accepted so far is set up. */
  private lastSetUpAtMs = 0;

  private readonly setUpAtMs = new WeakMap<Socket, number>();

  private readonly runsByPath = new Map<string, number>();

  private readonly runsByKey = new Map<string, number>();

  private readonly counts = {
    inFlight: 0,
    maxInFlight: 0,
    started: 0,
    finished: 0,
    shed: 0,
    cancelled: 0,
    expired: 0,
    errorsInjected: 0,
    truncated: 0,
    connectionsOpened: 0,
    arrivedWhileDraining: 0,
  };

  address = '';

  controlAddress = '';

  constructor(private readonly options: UpstreamOptions) {
    const { serviceTimeMs = 5, serviceTimeSigma = 0.3, seed = 1 } = options;
    this.connections = options.connections ?? 130;
    this.behaviour = { serviceTimeMs, serviceTimeSigma };
    this.random = new randoms.Random(seed);
    this.rules = new behaviours.Rules(this.random);
    this.log = logs.createLogger(options.server);
    this.server = nodeHttp.createServer((req, res) => {
      void this.serve(req, res);
    });
    this.server.maxConnections = this.connections;
    // Callers' connection pools close idle connections; closing them here would race with reuse.
    this.server.keepAliveTimeout = 0;
    this.tracker = new http.ConnectionTracker(this.server);
    this.server.on('connection', (socket: Socket) => this.onConnection(socket));
  }

  async start(): Promise<void> {
    const { listen = '127.0.0.1:0', control = '127.0.0.1:0', adminUrl } = this.options;
    this.address = await addresses.listen(this.server, listen);
    this.controlServer = await http.createControlServer({
      address: control,
      schema: behaviours.changeSchema,
      apply: (change) => this.apply(change),
      views: { runs: (query) => this.runs(query), stats: () => this.stats() },
    });
    this.controlAddress = this.controlServer.address;
    this.log.info({ address: this.address, control: this.controlAddress }, 'upstream: listening');
    if (adminUrl === undefined) return;
    const { service, version, slots } = this.options;
    const { address, connections } = this;
    const announcement = { service, version, address, slots, connections };
    this.announcer = new announcers.Announcer(adminUrl, announcement, this.log);
    this.announcer.start();
  }

  /** Announces `draining`, finishes the requests in flight, withdraws and closes. */
  async drain(): Promise<void> {
    if (this.drainingSinceMs !== undefined) return;
    const { drainQuietMs = 500, drainLimitMs = 10_000 } = this.options;
    const startMs = performance.now();
    this.drainingSinceMs = startMs;
    await this.announcer?.drain();
    const isQuiet = () =>
      this.counts.inFlight === 0 &&
      performance.now() - Math.max(startMs, this.lastArrivalMs) >= drainQuietMs;
    while (!isQuiet() && performance.now() - startMs < drainLimitMs) {
      await timers.setTimeout(DRAIN_CHECK_MS);
    }
    await this.announcer?.withdraw();
    this.log.info(this.stats(), 'upstream: drained');
    this.close();
  }

  /** Stops at once and destroys all connections, including those with requests in flight. */
  close(): void {
    this.controlServer?.close();
    this.server.close();
    this.tracker.destroyAll();
  }

  private apply(change: behaviours.BehaviourChange): void {
    const { rules, ...rest } = change;
    this.behaviour = { ...this.behaviour, ...rest };
    if (rules !== undefined) this.rules.replace(rules);
  }

  private stats(): UpstreamStats {
    const since = this.drainingSinceMs;
    const arrived = since !== undefined && this.counts.arrivedWhileDraining > 0;
    return {
      ...this.counts,
      draining: since !== undefined,
      lastArrivalAfterDrainMs: arrived ? Math.round(this.lastArrivalMs - since) : null,
    };
  }

  private runs(query: URLSearchParams): RunReport {
    const key = query.get('key');
    const minCount = query.get('duplicates') === null ? 1 : 2;
    const keys = [...this.runsByKey].filter(
      ([name, count]) => count >= minCount && (key === null || key === name),
    );
    return {
      total: this.counts.started,
      byPath: Object.fromEntries(this.runsByPath),
      keys: Object.fromEntries(keys),
    };
  }

  private onConnection(socket: Socket): void {
    this.counts.connectionsOpened += 1;
    const setUpStartMs = Math.max(performance.now(), this.lastSetUpAtMs);
    this.lastSetUpAtMs = setUpStartMs + (this.options.connectionCostMs ?? 1);
    this.setUpAtMs.set(socket, this.lastSetUpAtMs);
  }

  private async serve(req: nodeHttp.IncomingMessage, res: nodeHttp.ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://upstream');
    const requestId = headerOf(req, 'x-request-id') ?? '';
    const exchange = { req, res, url, requestId };
    res.on('error', () => undefined);
    try {
      if (url.pathname === '/healthz') this.sendHealth(exchange);
      else if (url.pathname === '/load') this.sendLoad(exchange);
      else await this.admit(exchange);
    } catch (err) {
      // The caller disconnected before the whole body arrived.
      this.log.debug({ err }, 'upstream: request failed');
      res.destroy();
    }
  }

  private sendHealth(exchange: Exchange): void {
    const { health = 'truthful' } = this.behaviour;
    const healthy = health === 'truthful' ? !this.rules.hasRules : health === 'alwaysHealthy';
    this.sendJson(exchange, healthy ? 200 : 503, { healthy });
  }

  private sendLoad(exchange: Exchange): void {
    const load = this.behaviour.reportedLoad ?? this.counts.inFlight / this.options.slots;
    this.sendJson(exchange, 200, { load });
  }

  private async admit(exchange: Exchange): Promise<void> {
    const { req } = exchange;
    this.lastArrivalMs = performance.now();
    if (this.drainingSinceMs !== undefined) this.counts.arrivedWhileDraining += 1;
    if (this.counts.inFlight >= this.options.slots || this.behaviour.shedAll === true) {
      this.counts.shed += 1;
      req.resume();
      exchange.res.setHeader('retry-after', String(RETRY_AFTER_SECONDS));
      this.sendJson(exchange, 503, { error: 'overloaded' });
      return;
    }
    this.counts.inFlight += 1;
    this.counts.maxInFlight = Math.max(this.counts.maxInFlight, this.counts.inFlight);
    try {
      await this.run(exchange);
    } finally {
      this.counts.inFlight -= 1;
    }
  }

  private async run(exchange: Exchange): Promise<void> {
    const { req, res, url } = exchange;
    const deadline = deadlineOf(req);
    const disconnected = new AbortController();
    res.once('close', () => disconnected.abort());
    const connectMs = (this.setUpAtMs.get(req.socket) ?? 0) - performance.now();
    if (connectMs > 0) await timers.setTimeout(connectMs);
    const body = await http.readBody(req, MAX_BODY_BYTES);
    // No run is counted if the caller left or the deadline passed before the whole request arrived.
    if (disconnected.signal.aborted) return;
    if (deadline.aborted) {
      this.sendJson(exchange, 504, { error: 'deadlineExceeded', ran: false });
      return;
    }
    this.countRun(exchange);
    const { inFlight } = this.counts;
    const context = { method: req.method ?? 'GET', path: url.pathname, inFlight };
    const effects = this.rules.resolve(context);
    const workMs = this.serviceTimeMs() + effects.addedLatencyMs;
    const signal = AbortSignal.any([disconnected.signal, deadline]);
    await timers.setTimeout(workMs, undefined, { signal }).catch(() => undefined);
    if (disconnected.signal.aborted) {
      this.counts.cancelled += 1;
      return;
    }
    if (deadline.aborted) {
      this.counts.expired += 1;
      this.sendJson(exchange, 504, { error: 'deadlineExceeded', ran: true });
      return;
    }
    this.counts.finished += 1;
    if (effects.errorStatus !== null) {
      this.counts.errorsInjected += 1;
      this.sendJson(exchange, effects.errorStatus, { error: 'injected' });
      return;
    }
    if (effects.truncate) this.counts.truncated += 1;
    await this.sendBody(exchange, this.bodyOf(exchange, body), effects.truncate);
  }

  private countRun({ req, url }: Exchange): void {
    this.counts.started += 1;
    increment(this.runsByPath, url.pathname);
    const key = headerOf(req, 'idempotency-key');
    if (key !== undefined) increment(this.runsByKey, key);
  }

  private serviceTimeMs(): number {
    const { serviceTimeMs = 0, serviceTimeSigma = 0 } = this.behaviour;
    const { coldStartMs = 0, coldStartFactor = 5 } = this.options;
    const ageMs = performance.now() - this.startedAtMs;
    const coldShare = coldStartMs > 0 ? Math.max(0, 1 - ageMs / coldStartMs) : 0;
    const factor = 1 + (coldStartFactor - 1) * coldShare;
    return serviceTimeMs * factor * Math.exp(serviceTimeSigma * this.random.normal());
  }

  /** With `?bytes=N`, N bytes that repeat the request id, so that bodies of requests differ. */
  private bodyOf({ req, url, requestId }: Exchange, received: Buffer): Buffer {
    const bytes = url.searchParams.get('bytes');
    if (bytes !== null) {
      const length = Math.min(Math.max(0, Math.trunc(Number(bytes)) || 0), MAX_BODY_BYTES);
      return Buffer.alloc(length, `${requestId || crypto.randomUUID()}\n`);
    }
    const { service, version, server } = this.options;
    const receivedSha256 = checksum(received);
    const { method } = req;
    const path = url.pathname;
    return Buffer.from(
      JSON.stringify({ service, version, server, requestId, method, path, receivedSha256 }),
    );
  }

  private async sendBody(exchange: Exchange, body: Buffer, truncate: boolean): Promise<void> {
    const { res, url } = exchange;
    this.setHeaders(exchange);
    res.setHeader('x-checksum', checksum(body));
    const isJson = url.searchParams.get('bytes') === null;
    res.setHeader('content-type', isJson ? 'application/json' : 'application/octet-stream');
    // `?chunked` leaves the length out, so that only the transfer coding shows a truncation.
    if (url.searchParams.get('chunked') === null) res.setHeader('content-length', body.length);
    const length = truncate ? Math.floor(body.length / 2) : body.length;
    res.writeHead(200);
    for (let start = 0; start < length && !res.destroyed; start += CHUNK_BYTES) {
      const chunk = body.subarray(start, Math.min(start + CHUNK_BYTES, length));
      if (!res.write(chunk)) await waitForDrain(res);
    }
    if (!truncate) res.end();
    else res.socket?.end(() => res.destroy());
  }

  private sendJson(exchange: Exchange, status: number, value: unknown): void {
    const { res } = exchange;
    const body = Buffer.from(JSON.stringify(value));
    this.setHeaders(exchange);
    res.setHeader('x-checksum', checksum(body));
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length });
    res.end(body);
  }

  private setHeaders({ res, requestId }: Exchange): void {
    // Makes callers' connection pools close their connections before the drain ends.
    if (this.drainingSinceMs !== undefined) res.setHeader('connection', 'close');
    res.setHeader('x-request-id', requestId);
    res.setHeader('x-upstream-service', this.options.service);
    res.setHeader('x-upstream-version', this.options.version);
    res.setHeader('x-upstream-server', this.options.server);
  }
}

export async function createUpstream(options: UpstreamOptions): Promise<Upstream> {
  const upstream = new Upstream(options);
  await upstream.start();
  return upstream;
}

/** Hexadecimal SHA-256 of a body, as in the `X-Checksum` header. */
export function checksum(body: Buffer): string {
  return crypto.createHash('sha256').update(body).digest('hex');
}

function headerOf(req: nodeHttp.IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function deadlineOf(req: nodeHttp.IncomingMessage): AbortSignal {
  const timeoutMs = Number(headerOf(req, 'x-request-timeout-ms') ?? NaN);
  if (!Number.isFinite(timeoutMs) || timeoutMs < 0) return new AbortController().signal;
  return AbortSignal.timeout(Math.ceil(timeoutMs));
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

async function waitForDrain(res: nodeHttp.ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    const finish = () => {
      res.off('drain', finish);
      res.off('close', finish);
      resolve();
    };
    res.once('drain', finish);
    res.once('close', finish);
  });
}
