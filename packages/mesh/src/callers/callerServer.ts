/** HTTP/1.1 server for callers: reads whole requests, dispatches them, writes whole answers. */

import * as http from 'node:http';
import type * as net from 'node:net';
import { callerConnections, outgoing, type metrics } from '@godwittrack/core';
import type * as configHolder from '../config/configHolder.js';
import type * as calleePressure from '../limits/calleePressure.js';
import type * as observability from '../observability/decisionLog.js';
import type * as quotaService from '../quotas/quotaService.js';
import type * as dispatcher from '../routing/dispatcher.js';
import type * as headerCodec from '../upstream/headerCodec.js';
import * as networkAddress from '../networkAddress.js';
import * as answerWriter from './answerWriter.js';
import * as attemptAge from './attemptAge.js';
import * as bodyReader from './bodyReader.js';
import * as connectionCloser from './connectionCloser.js';
import * as localReply from './localReply.js';
import * as openAnswers from './openAnswers.js';
import * as requestAdmission from './requestAdmission.js';
import * as timedDispatcher from './timedDispatcher.js';

/** Added to the configured timeouts, so that callers may reuse a connection until their end. */
const TIMEOUT_SLACK_MS = 2_000;
const DEFAULT_IDLE_MS = 20_000;
/** Limit of the HTTP parser; the configured limit, which may be lower, is checked afterwards. */
const MAX_HEADER_BYTES = 256 * 1024;
/** Backlog of connections to accept; large, since callers may open one per request. */
const LISTEN_BACKLOG = 1_024;

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

  private readonly admission: requestAdmission.RequestAdmission;

  private readonly dispatcher: timedDispatcher.TimedDispatcher;

  private readonly openAnswers: openAnswers.OpenAnswers;

  private readonly connections = new callerConnections.CallerConnections();

  private readonly closer: connectionCloser.ConnectionCloser =
    new connectionCloser.ConnectionCloser(
      (socket) => this.writer.hasAnswered(socket) && !this.connections.isInUse(socket),
    );

  private readonly bodies = new bodyReader.BodyReader();

  private readonly writer = new answerWriter.AnswerWriter(this.closer);

  constructor(private readonly options: CallerServerOptions) {
    const ages = new attemptAge.AttemptAge(options.nowMs);
    this.dispatcher = new timedDispatcher.TimedDispatcher({
      dispatcher: options.dispatcher,
      calleePressure: options.calleePressure,
      attemptAge: ages,
      log: options.log,
      meters: options.meters,
      nowMs: options.nowMs,
    });
    this.admission = new requestAdmission.RequestAdmission({
      config: options.config,
      codec: options.codec,
      isStateKnown: options.isStateKnown,
      quotas: options.quotas,
      bodies: this.bodies,
      attemptAge: ages,
      dispatcher: this.dispatcher,
      hasAnswered: (socket) => this.writer.hasAnswered(socket),
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
      ages.retain((route) => cfg.routes[route] !== undefined);
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
    this.admission.refuseNew();
  }

  /**
   * Accepts no new connections and closes idle ones. A connection that was accepted without a request stays
   * open; its first request is refused.
   */
  closeIdle(): void {
    this.writer.drain();
    this.admission.refuseNew();
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
      const outcome = await this.admission.answer(req, arrivedMs, controller.signal);
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
}
