/** HTTP towards callers: one task for each request. */

import * as crypto from 'node:crypto';
import * as http from 'node:http';
import { once } from 'node:events';
import { failures } from '@godwittrack/core';
import type { configuration } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as configStore from '../config/configStore.js';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import type * as localMember from '../membership/localMember.js';
import type * as metrics from '../metrics/metrics.js';
import * as settings from '../settings.js';
import type * as dispatcher from './dispatcher.js';
import * as exchange from './exchange.js';
import * as httpFailures from './httpFailures.js';
import * as replayBody from './replayBody.js';
import * as router from './router.js';

const KEEP_ALIVE_MS = 60_000;

export class CallerServer {
  private readonly server: http.Server;

  private routes: router.Router;

  private active = 0;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly config: configStore.ConfigStore,
    private readonly local: localMember.LocalMember,
    private readonly dispatch: dispatcher.Dispatcher,
    private readonly meters: metrics.Metrics,
    private readonly log: logging.Logger,
  ) {
    this.routes = new router.Router(config.current);
    config.changed.subscribe(() => {
      this.routes = new router.Router(this.config.current);
    });
    this.server = http.createServer(
      { maxHeaderSize: cfg.limits.maxHeaderBytes, keepAliveTimeout: KEEP_ALIVE_MS },
      (req, res) => {
        void this.serve(req, res);
      },
    );
  }

  get inFlight(): number {
    return this.active;
  }

  async listen(): Promise<void> {
    const { host, port } = settings.splitAddress(this.cfg.listen.caller);
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Takes no new connections; connections in use end after their request. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  close(): void {
    this.server.closeAllConnections();
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const startMs = performance.now();
    const gone = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) gone.abort();
    });
    const requestId = headerOf(req, 'x-request-id') || crypto.randomUUID();
    this.active += 1;
    let outcome = 'answered';
    try {
      await this.answer(req, res, requestId, gone);
    } catch (err) {
      const failure = failures.of(err);
      outcome = failure.type;
      if (failure.type === 'internal') this.log.error({ err, requestId }, 'Request failed.');
      else this.log.debug({ failure, requestId }, 'Request failed.');
      httpFailures.send(res, failure, requestId);
    } finally {
      this.active -= 1;
      const ms = performance.now() - startMs;
      this.meters.observeMs('godwittrack_request_seconds', ms);
      this.meters.increment('godwittrack_requests_total', { outcome });
    }
  }

  private async answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    requestId: string,
    gone: AbortController,
  ): Promise<void> {
    const route = this.routeOf(req);
    const head = this.headOf(req, route, requestId);
    const timer = setTimeout(() => gone.abort(), head.timeoutMs);
    try {
      const body = new replayBody.ReplayBody(req, this.cfg.limits.maxBodyBytes);
      const answer = await this.dispatch.dispatch(
        { route, head, body: () => body.open() },
        gone.signal,
      );
      res.writeHead(answer.head.status, exchange.flattenHeaders(answerHeaders(answer, requestId)));
      for await (const chunk of answer.body) {
        if (!res.write(chunk)) await Promise.race([once(res, 'drain'), once(res, 'close')]);
      }
      res.end();
    } catch (err) {
      const late = gone.signal.aborted && !res.destroyed;
      if (!late) throw err;
      const { timeoutMs } = head;
      throw failures.raise({ type: 'deadlineExceeded', timeoutMs, retryAfterMs: 0 }, err);
    } finally {
      clearTimeout(timer);
    }
  }

  /** @throws notReady, draining, noRoute */
  private routeOf(req: http.IncomingMessage): configuration.Route {
    const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
    if (!this.local.isReady) {
      const detail = 'the node does not hold the current configuration yet';
      throw failures.raise({ type: 'notReady', detail, retryAfterMs });
    }
    const { method = 'GET', url: path = '/' } = req;
    const route = this.routes.match({ method, path, host: req.headers.host ?? '' });
    if (route === null) throw failures.raise({ type: 'noRoute', method, path });
    return route;
  }

  private headOf(
    req: http.IncomingMessage,
    route: configuration.Route,
    requestId: string,
  ): requests.RequestHead {
    const hops = Number(headerOf(req, 'x-godwittrack-hops')) || 0;
    if (hops >= constants.MAX_HOPS) {
      throw failures.raise({ type: 'tooManyHops', hops, limit: constants.MAX_HOPS });
    }
    const service = this.config.current.services.get(route.service);
    const limitMs = route.timeout ?? service?.requestTimeout ?? 0;
    const askedMs = Number(headerOf(req, 'x-request-timeout-ms'));
    const timeoutMs = askedMs > 0 ? Math.min(limitMs, askedMs) : limitMs;
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

function answerHeaders(answer: exchange.Answer, requestId: string): requests.Header[] {
  const rest = answer.head.headers.filter(({ name }) => name.toLowerCase() !== 'x-request-id');
  return [...rest, { name: 'X-Request-Id', value: requestId }];
}
