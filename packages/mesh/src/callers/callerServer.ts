/** Serves callers over HTTP/1.1: reads whole requests, dispatches them and writes whole answers. */

import * as http from 'node:http';
import type * as net from 'node:net';
import { callerConnections, ids, type metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as dispatcher from '../routing/dispatcher.js';
import * as exchange from '../routing/exchange.js';
import type * as headerCodec from '../upstream/headerCodec.js';
import * as eventLoop from '../eventLoop.js';
import * as networkAddress from '../networkAddress.js';
import * as attemptAge from './attemptAge.js';

/** Callers may reuse a connection up to the configured idle time; the server waits a little longer. */
const IDLE_SLACK_MS = 2_000;
const DEFAULT_IDLE_MS = 20_000;
/** Accepted by the parser; the configured limit is checked afterwards. */
const MAX_HEADER_BYTES = 256 * 1024;
/** New connections that wait to be accepted; callers may open one for each request. */
const LISTEN_BACKLOG = 1_024;
/** Wait that is named while no configuration is known. */
const NO_CONFIG_RETRY_MS = 250;
/** Wait that is named while the process is about to end. */
const STOPPING_RETRY_MS = 50;

export interface CallerServerOptions {
  config: configHolder.ConfigHolder;
  dispatcher: dispatcher.Dispatcher;
  codec: headerCodec.HeaderCodec;
  /** False until the node knows what is in force beside the configuration. */
  isKnown: () => boolean;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
}

/** An answer that no upstream gave. */
interface OwnAnswer {
  type: 'own';
  status: number;
  message: string;
  retryAfterMs?: number;
}

export class CallerServer {
  private readonly server: http.Server;

  private draining = false;

  private refusing = false;

  private inFlight = 0;

  private nextId = 1;

  private readonly attemptAge: attemptAge.AttemptAge;

  private readonly connections = new callerConnections.CallerConnections();

  /** Connections on which a request was answered. */
  private readonly answered = new WeakSet<net.Socket>();

  constructor(private readonly options: CallerServerOptions) {
    this.attemptAge = new attemptAge.AttemptAge(options.nowMs);
    this.server = http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      noDelay: true,
    });
    this.server.keepAliveTimeout = DEFAULT_IDLE_MS;
    this.server.on('request', (req, res) => {
      void this.serve(req, res);
    });
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.options.log.warn('callers', 'a connection was ended', { code: err.code });
      if (socket.writable && err.code === 'HPE_HEADER_OVERFLOW') {
        socket.end(
          'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
        );
      } else if (socket.writable && err.code !== 'ECONNRESET') {
        socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      } else {
        socket.destroy();
      }
    });
    options.config.onChange(({ cfg }) => {
      this.server.keepAliveTimeout = cfg.limits.idleTimeoutMs + IDLE_SLACK_MS;
      this.server.headersTimeout = cfg.limits.headerTimeoutMs + IDLE_SLACK_MS;
      this.attemptAge.retain((route) => cfg.routes[route] !== undefined);
    });
  }

  listen(address: string): Promise<void> {
    return networkAddress.listen(this.server, address, { backlog: LISTEN_BACKLOG });
  }

  get inFlightCount(): number {
    return this.inFlight;
  }

  /** From now on each answer closes its connection. */
  drain(): void {
    this.draining = true;
  }

  /** Refuses further requests; those under way go on. */
  refuseNew(): void {
    this.refusing = true;
  }

  /** Takes no new connections and ends idle ones. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.inFlight += 1;
    const arrivedMs = this.options.nowMs();
    const controller = new AbortController();
    let leftMs: number | null = null;
    const visit = this.connections.enter(req.socket, () => {
      leftMs = this.options.nowMs();
      controller.abort();
    });
    try {
      const outcome = await this.answer(req, arrivedMs, controller.signal);
      // A connection with large answers before their turn is not read, so its close would not be seen.
      await visit.turn;
      if (!controller.signal.aborted) this.write(req, res, outcome);
    } catch (err) {
      this.options.log.warn('callers', 'a request failed unexpectedly', { err: String(err) });
      if (!res.headersSent) this.writeOwn(req, res, ownAnswer(502, 'internal failure'));
    } finally {
      this.inFlight -= 1;
      visit.end();
      if (leftMs !== null) this.recordLeft(req, visit.ahead, arrivedMs, leftMs);
    }
  }

  /** A caller that had closed before its request was read shows by a small age of the request. */
  private recordLeft(
    req: http.IncomingMessage,
    ahead: number,
    arrivedMs: number,
    leftMs: number,
  ): void {
    const { codec, log, meters: counted, nowMs } = this.options;
    const ageMs = leftMs - arrivedMs;
    const workedOnMs = nowMs() - leftMs;
    const labels = { position: ahead === 0 ? 'first' : 'behind' };
    counted.observeMs(meters.LEFT_AGE_SECONDS, ageMs, labels);
    counted.observeMs(meters.LEFT_WORK_SECONDS, workedOnMs, labels);
    const requestId = codec.readCaller(req.headers).requestId ?? 'none';
    log.decision('callers', requestId, 'the caller left', {
      ahead,
      ageMs: Math.round(ageMs),
      workedOnMs: Math.round(workedOnMs),
    });
  }

  private async answer(
    req: http.IncomingMessage,
    arrivedMs: number,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | OwnAnswer> {
    if (this.refusing) {
      req.resume();
      return ownAnswer(503, 'this node stops', STOPPING_RETRY_MS);
    }
    const held = this.options.isKnown() ? this.options.config.current : null;
    if (held === null) {
      req.resume();
      return ownAnswer(503, 'no configuration yet', NO_CONFIG_RETRY_MS);
    }
    const { limits } = held.cfg;
    if (headerBytes(req) > limits.maxHeaderBytes) return ownAnswer(431, 'headers too large');
    const body = await readBody(req, limits.maxBodyBytes);
    if (body === null) return ownAnswer(413, 'body too large');
    if (!req.complete) return exchange.lost('the request ended early');
    await eventLoop.nextPoll();
    if (signal.aborted) return exchange.cancelled();
    const route = held.routes.find(req.headers.host ?? '', req.url ?? '/');
    if (route === null) return ownAnswer(404, 'no route');
    const caller = this.options.codec.readCaller(req.headers);
    const limitMs = Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity);
    const ageMs = this.ageOf(req.socket, route, caller.deadlineMs);
    this.nextId += 1;
    const callerRequest: dispatcher.CallerRequest = {
      requestId: caller.requestId ?? ids.requestId(`none-${this.nextId}`),
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      headers: this.options.codec.forwardable(req.rawHeaders),
      body,
      route,
      arrivedMs,
      targetAtMs: arrivedMs + route.targetLatencyMs - ageMs,
      deadlineAtMs: arrivedMs + limitMs,
    };
    return this.withinTime(callerRequest, limitMs, signal);
  }

  /** Time that the caller has spent on earlier attempts; it comes back on a new connection. */
  private ageOf(
    socket: net.Socket,
    { name: route, timeoutMs }: configuration.Route,
    deadlineMs: number | null,
  ): number {
    if (deadlineMs === null) return 0;
    if (this.answered.has(socket) || this.attemptAge.isCalm(route, timeoutMs)) {
      this.attemptAge.noteFirst(route, deadlineMs);
      return 0;
    }
    const ageMs = this.attemptAge.ageOf(route, deadlineMs);
    if (ageMs > 0) this.options.meters.increment(meters.RETURNING, { route });
    return ageMs;
  }

  /** Answers at the end of the route's timeout whatever becomes of the request. */
  private async withinTime(
    req: dispatcher.CallerRequest,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | OwnAnswer> {
    const attempt = new AbortController();
    const stop = () => attempt.abort();
    signal.addEventListener('abort', stop, { once: true });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<OwnAnswer>((resolve) => {
      timer = setTimeout(() => resolve(ownAnswer(504, 'timeout')), limitMs);
    });
    const outcome = await Promise.race([
      this.options.dispatcher.dispatch(req, attempt.signal),
      timeout,
    ]);
    clearTimeout(timer);
    if (outcome.type === 'own') {
      attempt.abort();
      this.options.log.decision('callers', req.requestId, 'a request ran into its timeout', {
        route: req.route.name,
        limitMs,
      });
    }
    this.count(req, outcome);
    return outcome;
  }

  private count(req: dispatcher.CallerRequest, outcome: exchange.Outcome | OwnAnswer): void {
    const { meters: counted, nowMs } = this.options;
    const route = req.route.name;
    const ended = endOf(outcome);
    counted.increment(meters.REQUESTS, { route, outcome: ended });
    if (ended !== 'answer') this.attemptAge.noteFailed(route);
    counted.observeMs(meters.REQUEST_SECONDS, nowMs() - req.arrivedMs, { route });
    if (outcome.type === 'refused') {
      counted.increment(meters.REFUSALS, { reason: outcome.reason });
    }
  }

  private write(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    outcome: exchange.Outcome | OwnAnswer,
  ): void {
    if (outcome.type === 'own') {
      this.writeOwn(req, res, outcome);
    } else if (outcome.type === 'answer') {
      const { status, headers, body } = outcome;
      this.prepare(req, res);
      res.sendDate = false;
      res.writeHead(status, [...headers, 'Content-Length', String(body.length), ...this.closing()]);
      res.end(body);
    } else if (outcome.type === 'refused') {
      const { reason, retryAfterMs } = outcome;
      this.writeOwn(req, res, ownAnswer(503, `not run: ${reason}`, retryAfterMs));
    } else {
      this.writeOwn(req, res, ownAnswer(502, outcome.detail));
    }
  }

  private writeOwn(req: http.IncomingMessage, res: http.ServerResponse, own: OwnAnswer): void {
    const { status, message, retryAfterMs } = own;
    this.prepare(req, res);
    const headers = [
      'Content-Type',
      'text/plain',
      'Content-Length',
      String(Buffer.byteLength(message)),
    ];
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(3));
    res.writeHead(status, [...headers, ...this.closing()]);
    res.end(message);
  }

  private prepare(req: http.IncomingMessage, res: http.ServerResponse): void {
    // The rest of a body that was not read would be taken for the next request.
    if (!req.complete) res.shouldKeepAlive = false;
    this.answered.add(req.socket);
  }

  private closing(): string[] {
    return this.draining ? ['Connection', 'close'] : [];
  }
}

function ownAnswer(status: number, message: string, retryAfterMs?: number): OwnAnswer {
  return { type: 'own', status, message, retryAfterMs };
}

/** How a request ended, as metrics name it. */
function endOf(outcome: exchange.Outcome | OwnAnswer): string {
  if (outcome.type === 'own') return 'timeout';
  return outcome.type === 'answer' && outcome.status >= 500 ? 'failedAnswer' : outcome.type;
}

function headerBytes(req: http.IncomingMessage): number {
  let bytes = (req.url ?? '').length;
  for (const part of req.rawHeaders) bytes += part.length + 2;
  return bytes;
}

/** @returns null if the body is larger than `limitBytes` */
async function readBody(req: http.IncomingMessage, limitBytes: number): Promise<Buffer | null> {
  if (Number(req.headers['content-length'] ?? 0) > limitBytes) return null;
  if (
    req.headers['content-length'] === undefined &&
    req.headers['transfer-encoding'] === undefined
  ) {
    return Buffer.alloc(0);
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > limitBytes) resolve(null);
    });
    req.on('end', () => resolve(Buffer.concat(chunks)));
    req.on('close', () => resolve(Buffer.concat(chunks)));
    req.on('error', () => resolve(Buffer.concat(chunks)));
  });
}
