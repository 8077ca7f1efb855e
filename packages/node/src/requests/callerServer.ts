/** HTTP server for callers: reads each request, dispatches it and sends the response. */

import * as crypto from 'node:crypto';
import * as http from 'node:http';
import { once } from 'node:events';
import { callerConnections, failures, outgoing } from '@godwittrack/core';
import type { configuration, metrics } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as configStore from '../config/configStore.js';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import type * as localMember from '../membership/localMember.js';
import * as settings from '../settings.js';
import type * as dispatcher from './dispatcher.js';
import * as exchange from './exchange.js';
import * as httpFailures from './httpFailures.js';
import * as refusals from './refusals.js';
import * as requestPath from './requestPath.js';
import * as replayBody from './replayBody.js';
import * as router from './router.js';

const KEEP_ALIVE_MS = 60_000;

export class CallerServer {
  private readonly server: http.Server;

  private routes: router.Router;

  private active = 0;

  private readonly connections = new callerConnections.CallerConnections();

  constructor(
    private readonly nodeSettings: settings.ResolvedSettings,
    private readonly config: configStore.ConfigStore,
    private readonly local: localMember.LocalMember,
    private readonly requestDispatcher: dispatcher.Dispatcher,
    private readonly meters: metrics.Metrics,
    private readonly log: logging.Logger,
  ) {
    this.routes = new router.Router(config.current);
    config.changed.subscribe(() => {
      this.routes = new router.Router(this.config.current);
    });
    this.server = http.createServer(
      { maxHeaderSize: nodeSettings.limits.maxHeaderBytes, keepAliveTimeout: KEEP_ALIVE_MS },
      (req, res) => {
        void this.serve(req, res);
      },
    );
  }

  get inFlight(): number {
    return this.active;
  }

  async listen(): Promise<void> {
    const { host, port } = settings.splitAddress(this.nodeSettings.listen.caller);
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Accepts no new connections and closes idle ones; those in use close after their request. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  close(): void {
    this.server.closeAllConnections();
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const startMs = performance.now();
    const cancellation = new AbortController();
    const disconnected = new AbortController();
    const registration = this.connections.track(req.socket, () => {
      disconnected.abort();
      cancellation.abort(failures.toError({ type: 'cancelled', detail: 'the caller left' }));
    });
    const suppliedId = headerOf(req, 'x-request-id');
    const requestId = suppliedId === '' ? crypto.randomUUID() : suppliedId;
    const state: RequestState = { request: null };
    this.active += 1;
    let outcome = 'answered';
    try {
      await this.respond(req, res, requestId, cancellation, state);
    } catch (err) {
      const failure = failures.fromError(err);
      outcome = failure.type;
      if (failure.type === 'internal') this.log.error({ err, requestId }, 'Request failed.');
      else this.log.debug({ failure, requestId }, 'Request failed.');
      this.closeConnectionIfDraining(res);
      httpFailures.send(res, failure, requestId, mayHaveRun(state, req, failure));
    } finally {
      // The request counts as in flight until the response is handed to the operating system: what
      // the process still holds when it exits is lost.
      await outgoing.waitUntilFlushed(res, disconnected.signal);
      registration.end();
      this.active -= 1;
      const ms = performance.now() - startMs;
      this.meters.observeMs('godwittrack_request_seconds', ms);
      this.meters.increment('godwittrack_requests_total', { outcome });
    }
  }

  /**
   * Closes the connection after this response when the node drains. A connection kept alive would
   * be closed when the listener stops, possibly while its next request is on the way. Called when
   * the response is ready, since the drain may have begun while the request ran.
   */
  private closeConnectionIfDraining(res: http.ServerResponse): void {
    if (this.local.isDraining) res.shouldKeepAlive = false;
  }

  private async respond(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    requestId: string,
    cancellation: AbortController,
    state: RequestState,
  ): Promise<void> {
    const startMs = performance.now();
    const route = this.findRoute(req);
    const head = this.createHead(req, route, requestId);
    const { timeoutMs } = head;
    const expire = () => {
      const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
      cancellation.abort(failures.toError({ type: 'deadlineExceeded', timeoutMs, retryAfterMs }));
    };
    const timer = setTimeout(expire, timeoutMs);
    try {
      const body = new replayBody.ReplayBody(req, this.nodeSettings.limits.maxBodyBytes);
      if (!body.isReady) await raceAbort(body.prefetch(), cancellation.signal);
      const idempotencyKey = headerOf(req, 'idempotency-key');
      const remainingMs = timeoutMs - (performance.now() - startMs);
      state.request = {
        route,
        head: { ...head, timeoutMs: Math.max(1, Math.ceil(remainingMs)) },
        body: () => body.open(),
        bufferedBody: body.buffered,
        idempotencyKey,
        mayHaveRun: route.semantics === 'once' && idempotencyKey !== '',
      };
      const response = await this.requestDispatcher.dispatch(state.request, cancellation.signal);
      try {
        this.closeConnectionIfDraining(res);
        await sendResponse(res, response, requestId, cancellation.signal);
      } finally {
        await exchange.discard(response.body);
      }
    } catch (err) {
      // A failure that proves that the request did not start is reported even after the deadline.
      if (!refusals.provesNotStarted(failures.fromError(err)))
        exchange.throwAbortFailure(cancellation.signal);
      throw err;
    } finally {
      clearTimeout(timer);
    }
  }

  /** @throws notReady, invalidRequest, noRoute */
  private findRoute(req: http.IncomingMessage): configuration.Route {
    const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
    if (!this.local.isReady) {
      const detail = 'the node does not hold the current configuration yet';
      throw failures.toError({ type: 'notReady', detail, retryAfterMs });
    }
    const { method = 'GET', url: path = '/' } = req;
    const problem = requestPath.problemOf(path) ?? hostProblem(req);
    if (problem !== null) throw failures.toError({ type: 'invalidRequest', problems: [problem] });
    const route = this.routes.match({ method, path, host: req.headers.host ?? '' });
    if (route === null) throw failures.toError({ type: 'noRoute', method, path });
    return route;
  }

  private createHead(
    req: http.IncomingMessage,
    route: configuration.Route,
    requestId: string,
  ): requests.RequestHead {
    const hops = parseHops(headerOf(req, 'x-godwittrack-hops'));
    if (hops >= constants.MAX_HOPS) {
      throw failures.toError({ type: 'tooManyHops', hops, limit: constants.MAX_HOPS });
    }
    const service = this.config.current.services.get(route.service);
    const limitMs = route.timeout ?? service?.requestTimeout ?? 0;
    const requestedMs = Number(headerOf(req, 'x-request-timeout-ms'));
    const timeoutMs = requestedMs > 0 ? Math.min(limitMs, requestedMs) : limitMs;
    return {
      requestId,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: exchange.endToEndHeaders(req.rawHeaders),
      service: route.service,
      version: '',
      route: route.name,
      timeoutMs: Math.ceil(timeoutMs),
      hops: hops + 1,
      priority: route.priority,
      callingService: headerOf(req, 'x-calling-service'),
      configVersion: this.config.version,
    };
  }
}

function headerOf(req: http.IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/** State of a request that its failure response depends on; `request` is null before dispatch. */
interface RequestState {
  request: dispatcher.CallerRequest | null;
}

/**
 * Before dispatch the idempotency key has not been looked up, so an earlier request with the same
 * key may have run.
 */
function mayHaveRun(
  { request }: RequestState,
  req: http.IncomingMessage,
  failure: failures.Failure,
): boolean {
  if (request !== null) return request.mayHaveRun;
  return headerOf(req, 'idempotency-key') !== '' && failure.type !== 'keyRequired';
}

async function sendResponse(
  res: http.ServerResponse,
  response: dispatcher.DispatchedResponse,
  requestId: string,
  signal: AbortSignal,
): Promise<void> {
  const { status } = response.head;
  const chunks = response.body[Symbol.asyncIterator]();
  let next = await chunks.next();
  res.writeHead(status, exchange.flattenHeaders(responseHeaders(response, requestId)));
  while (!next.done) {
    const chunk = next.value;
    const pending = chunks.next();
    const ready = await outgoing.nextIfReady(pending);
    if (ready?.done === true) {
      // Head, body and end of a small response go out in one write.
      res.end(chunk);
      return;
    }
    await outgoing.write(res, chunk, signal);
    exchange.throwAbortFailure(signal);
    next = ready ?? (await pending);
  }
  res.end();
}

function responseHeaders(
  response: dispatcher.DispatchedResponse,
  requestId: string,
): requests.Header[] {
  const headers = response.head.headers.filter(({ name }) => name.toLowerCase() !== 'x-request-id');
  headers.push({ name: 'X-Request-Id', value: requestId });
  if (response.replayed) headers.push({ name: 'X-Godwittrack-Outcome', value: 'replayed' });
  return headers;
}

/** An invalid count is treated as the limit, since it could otherwise hide a routing loop. */
function parseHops(text: string): number {
  if (text === '') return 0;
  return /^\d{1,3}$/.test(text) ? Number(text) : constants.MAX_HOPS;
}

/** Rejects several Host headers: the router could use one and the upstream another. */
function hostProblem(req: http.IncomingMessage): failures.Problem | null {
  const hosts = req.rawHeaders.filter((name, i) => i % 2 === 0 && name.toLowerCase() === 'host');
  return hosts.length > 1 ? { path: 'Host', message: 'is given more than once' } : null;
}

async function raceAbort(work: Promise<void>, signal: AbortSignal): Promise<void> {
  let onAbort = () => {};
  const aborted = new Promise<void>((resolve) => {
    onAbort = resolve;
    signal.addEventListener('abort', onAbort);
  });
  await Promise.race([work, aborted]);
  signal.removeEventListener('abort', onAbort);
  work.catch(() => undefined);
  exchange.throwAbortFailure(signal);
}
