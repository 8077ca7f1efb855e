/** HTTP/1.1 server for callers: reads whole requests, dispatches them, writes whole answers. */

import * as http from 'node:http';
import type * as net from 'node:net';
import { callerConnections, ids, outgoing, type metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as customerDirectory from '../customers/customerDirectory.js';
import type * as calleePressure from '../limits/calleePressure.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as quotaClient from '../quotas/quotaClient.js';
import type * as quotaService from '../quotas/quotaService.js';
import type * as dispatcher from '../routing/dispatcher.js';
import * as exchange from '../routing/exchange.js';
import type * as headerCodec from '../upstream/headerCodec.js';
import * as eventLoop from '../eventLoop.js';
import * as networkAddress from '../networkAddress.js';
import * as answerWriter from './answerWriter.js';
import * as attemptAge from './attemptAge.js';
import * as bodyReader from './bodyReader.js';
import * as connectionCloser from './connectionCloser.js';
import * as localReply from './localReply.js';
import * as openAnswers from './openAnswers.js';
import * as timedDispatcher from './timedDispatcher.js';

/** Added to the configured timeouts, so that callers may reuse a connection until their end. */
const TIMEOUT_SLACK_MS = 2_000;
const DEFAULT_IDLE_MS = 20_000;
/** Limit of the HTTP parser; the configured limit, which may be lower, is checked afterwards. */
const MAX_HEADER_BYTES = 256 * 1024;
/** Backlog of connections to accept; large, since callers may open one per request. */
const LISTEN_BACKLOG = 1_024;
/** Retry delay stated while there is no configuration. */
const NO_CONFIG_RETRY_MS = 250;

/** Status lines of answers to requests that cannot be parsed. */
const MALFORMED = {
  headersTooLarge: '431 Request Header Fields Too Large',
  other: '400 Bad Request',
} as const;

export interface CallerServerOptions {
  config: configHolder.ConfigHolder;
  dispatcher: dispatcher.Dispatcher;
  codec: headerCodec.HeaderCodec;
  /** False until the rollouts and the evacuations are known, which decide what upstreams may serve. */
  isStateKnown: () => boolean;
  /** Learns of requests without a customer, where there are customers: the upstream may have made them. */
  calleePressure: calleePressure.CalleePressure;
  quotas: Pick<quotaService.QuotaService, 'admit' | 'release'>;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
}

export class CallerServer {
  private readonly server: http.Server;

  private refusesRequests = false;

  private readonly dispatcher: timedDispatcher.TimedDispatcher;

  private readonly openAnswers: openAnswers.OpenAnswers;

  private requestSequence = 1;

  private readonly attemptAge: attemptAge.AttemptAge;

  private readonly connections = new callerConnections.CallerConnections();

  private readonly closer: connectionCloser.ConnectionCloser =
    new connectionCloser.ConnectionCloser(
      (socket) => this.writer.hasAnswered(socket) && !this.connections.isInUse(socket),
    );

  private readonly bodies = new bodyReader.BodyReader();

  private readonly writer = new answerWriter.AnswerWriter(this.closer);

  constructor(private readonly options: CallerServerOptions) {
    this.attemptAge = new attemptAge.AttemptAge(options.nowMs);
    this.dispatcher = new timedDispatcher.TimedDispatcher({
      dispatcher: options.dispatcher,
      calleePressure: options.calleePressure,
      attemptAge: this.attemptAge,
      log: options.log,
      meters: options.meters,
      nowMs: options.nowMs,
    });
    this.openAnswers = new openAnswers.OpenAnswers(options);
    this.server = http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      noDelay: true,
    });
    this.server.keepAliveTimeout = DEFAULT_IDLE_MS;
    // Node's own method, which `close` calls too, would destroy connections that are ending.
    this.server.closeIdleConnections = () => this.closer.destroyIdle();
    this.server.on('connection', (socket) => this.closer.add(socket));
    this.server.on('request', (req, res) => {
      void this.serve(req, res);
    });
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.handleClientError(err, socket as net.Socket);
    });
    options.config.onChange(({ cfg }) => {
      this.server.keepAliveTimeout = cfg.limits.idleTimeoutMs + TIMEOUT_SLACK_MS;
      this.server.headersTimeout = cfg.limits.headerTimeoutMs + TIMEOUT_SLACK_MS;
      this.attemptAge.retain((route) => cfg.routes[route] !== undefined);
    });
  }

  listen(address: string): Promise<void> {
    return networkAddress.listen(this.server, address, { backlog: LISTEN_BACKLOG });
  }

  /** Requests whose answers have not been handed to the kernel completely. */
  get inFlightCount(): number {
    return this.openAnswers.size;
  }

  /** Whether connections that this node has closed wait for their callers to close them too. */
  get hasEndingConnections(): boolean {
    return this.closer.hasEnding;
  }

  /** Answers requests that are still open at the given monotonic time, with 504, and later ones in time. */
  answerBy(atMs: number): void {
    this.dispatcher.answerBy(atMs);
  }

  /** From now on, each answer closes its connection. */
  drain(): void {
    this.writer.drain();
  }

  /** Refuses new requests; those in flight continue. */
  refuseNew(): void {
    this.refusesRequests = true;
  }

  /**
   * Accepts no new connections and closes idle ones. A connection that was accepted without a request stays
   * open; its first request is refused.
   */
  closeIdle(): void {
    this.writer.drain();
    this.refusesRequests = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    // The caller sends a request behind the last answer again on another connection.
    if (this.closer.isClosing(req.socket)) {
      // Node stops reading when a request follows an unsent answer, and would miss that the caller closes.
      setImmediate(() => req.socket.emit('drain'));
      return;
    }
    const arrivedMs = this.options.nowMs();
    const controller = new AbortController();
    let disconnectedMs: number | null = null;
    const openAnswer = { arrivedMs, ahead: 0, res, isInterrupted: false };
    const pipelineEntry = this.connections.track(req.socket, (closedBy) => {
      disconnectedMs = this.options.nowMs();
      this.openAnswers.recordInterrupted(openAnswer, closedBy);
      controller.abort();
      this.bodies.end(req.socket);
    });
    openAnswer.ahead = pipelineEntry.ahead;
    this.openAnswers.add(openAnswer);
    try {
      const outcome = await this.answer(req, arrivedMs, controller.signal);
      // Answers are written in the order of their requests. Node stops reading a connection while
      // large answers wait to be written, and would then not notice that the caller closes it.
      await pipelineEntry.turn;
      if (!controller.signal.aborted) this.writer.write(req, res, outcome, pipelineEntry);
    } catch (err) {
      this.options.log.warn('callers', 'a request failed unexpectedly', { err: String(err) });
      if (!res.headersSent) {
        const reply = localReply.createReply(502, 'internal failure');
        this.writer.writeLocalReply(req, res, reply, pipelineEntry);
      }
    } finally {
      if (disconnectedMs !== null) this.openAnswers.recordDisconnect(openAnswer, disconnectedMs);
      await outgoing.waitUntilFlushed(res, controller.signal);
      pipelineEntry.end();
      this.openAnswers.delete(openAnswer);
      if (this.closer.isClosing(req.socket) && pipelineEntry.isLast) this.closer.end(req.socket);
    }
  }

  /** Handles malformed requests, slow headers and broken connections. */
  private handleClientError({ code }: NodeJS.ErrnoException, socket: net.Socket): void {
    if (this.closer.isClosing(socket)) return;
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    this.options.log.warn('callers', 'a connection sent a malformed request', { code });
    if (this.connections.isInUse(socket)) {
      // Anything written now would be taken for the answer to an earlier request.
      this.closer.markClosing(socket);
      this.bodies.end(socket);
      return;
    }
    const status = code === 'HPE_HEADER_OVERFLOW' ? MALFORMED.headersTooLarge : MALFORMED.other;
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  /** Records the requests that get no complete answer because the process exits. */
  recordUnanswered(): void {
    this.openAnswers.recordUnanswered();
  }

  private async answer(
    req: http.IncomingMessage,
    arrivedMs: number,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | localReply.LocalReply> {
    if (this.refusesRequests) {
      req.resume();
      return localReply.createStoppingReply();
    }
    const current = this.options.isStateKnown() ? this.options.config.current : null;
    if (current === null) {
      req.resume();
      return localReply.createReply(503, 'no configuration yet', NO_CONFIG_RETRY_MS);
    }
    const { limits } = current.cfg;
    if (headerBytes(req) > limits.maxHeaderBytes)
      return localReply.createReply(431, 'headers too large');
    const body = await this.bodies.read(req, limits.maxBodyBytes);
    if (body === null) return localReply.createReply(413, 'body too large');
    if (!req.complete) return localReply.createReply(400, 'the request ended early');
    await eventLoop.nextPoll();
    if (signal.aborted) return exchange.cancelled();
    // The body may have taken long.
    if (this.refusesRequests) return localReply.createStoppingReply();
    const route = current.routes.find(req.headers.host ?? '', req.url ?? '/');
    if (route === null) return localReply.createReply(404, 'no route');
    const caller = this.options.codec.readCaller(req.headers);
    const customer = identify(current, route, caller.key);
    if (customer.type === 'unknownKey') {
      this.options.meters.increment(meters.UNKNOWN_KEYS, { route: route.name });
      return localReply.createReply(401, 'unknown key');
    }
    this.requestSequence += 1;
    const requestId = caller.requestId ?? ids.requestId(`none-${this.requestSequence}`);
    let permit: quotaClient.UsedPermit = null;
    let waitedMs = 0;
    const quotaCustomer = customer.customer?.quota == null ? null : customer.customer.name;
    if (quotaCustomer !== null) {
      const identifiedMs = this.options.nowMs();
      const decision = await this.options.quotas.admit(quotaCustomer, requestId);
      if (decision.type === 'refused') return this.refuseByQuota(route, arrivedMs, decision);
      permit = decision.permit;
      waitedMs = this.options.nowMs() - identifiedMs;
    }
    const limitMs = Math.min(
      route.timeoutMs,
      caller.deadlineMs ?? Infinity,
      Math.max(0, this.dispatcher.answerByMs - arrivedMs),
    );
    const ageMs = this.earlierAttemptsMs(req.socket, route, caller.deadlineMs);
    const callerRequest: dispatcher.CallerRequest = {
      requestId,
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      headers: this.options.codec.forwardable(req.rawHeaders, current.customers !== null),
      body,
      route,
      customer: customer.customer,
      customerPriority: customer.customerPriority,
      arrivedMs,
      targetAtMs: arrivedMs + route.targetLatencyMs - ageMs,
      deadlineAtMs: arrivedMs + limitMs,
    };
    const timeLeftMs = limitMs - waitedMs;
    const outcome =
      current.customers === null || customer.customer !== null
        ? await this.dispatcher.dispatch(callerRequest, timeLeftMs, signal)
        : await this.dispatcher.dispatchCall(callerRequest, timeLeftMs, signal);
    if (quotaCustomer !== null && outcome.type === 'refused') {
      this.options.quotas.release(quotaCustomer, permit);
    }
    return outcome;
  }

  private refuseByQuota(
    { name: route }: configuration.Route,
    arrivedMs: number,
    { reason, retryAfterMs }: quotaClient.Refused,
  ): localReply.LocalReply {
    const { meters: registry, nowMs } = this.options;
    registry.increment(meters.REQUESTS, { route, outcome: 'refused' });
    registry.increment(meters.REFUSALS, { reason });
    registry.observeMs(meters.REQUEST_SECONDS, nowMs() - arrivedMs, { route });
    this.attemptAge.recordFailure(route);
    return localReply.createReply(429, `not run: ${reason}`, retryAfterMs);
  }

  /** Estimated time that the caller spent on earlier attempts; it retries on new connections. */
  private earlierAttemptsMs(
    socket: net.Socket,
    { name: route, timeoutMs }: configuration.Route,
    deadlineMs: number | null,
  ): number {
    if (deadlineMs === null) return 0;
    if (this.writer.hasAnswered(socket) || this.attemptAge.hasNoRecentFailure(route, timeoutMs)) {
      this.attemptAge.recordFirstAttempt(route, deadlineMs);
      return 0;
    }
    const ageMs = this.attemptAge.estimateAge(route, deadlineMs);
    if (ageMs > 0) this.options.meters.increment(meters.RETURNING_REQUESTS, { route });
    return ageMs;
  }
}

function identify(
  { customers }: configHolder.ActiveConfiguration,
  route: configuration.Route,
  key: string | null,
): customerDirectory.Identification {
  if (customers !== null) return customers.identify(route, key);
  return { type: 'identified', customer: null, customerPriority: 0 };
}

function headerBytes(req: http.IncomingMessage): number {
  let bytes = (req.url ?? '').length;
  for (const part of req.rawHeaders) bytes += part.length + 2;
  return bytes;
}
