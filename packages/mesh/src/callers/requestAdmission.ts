/** Admits callers' requests: reads them, finds route, customer, quota and deadlines, and has them dispatched. */

import type * as http from 'node:http';
import type * as net from 'node:net';
import { ids, type metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as customerDirectory from '../customers/customerDirectory.js';
import * as eventLoop from '../eventLoop.js';
import * as meters from '../observability/meters.js';
import type * as quotaClient from '../quotas/quotaClient.js';
import type * as quotaService from '../quotas/quotaService.js';
import type * as dispatcher from '../routing/dispatcher.js';
import * as exchange from '../routing/exchange.js';
import type * as headerCodec from '../upstream/headerCodec.js';
import type * as attemptAge from './attemptAge.js';
import type * as bodyReader from './bodyReader.js';
import * as localReply from './localReply.js';
import type * as timedDispatcher from './timedDispatcher.js';

/** Retry delay stated while there is no configuration. */
const NO_CONFIG_RETRY_MS = 250;

export interface RequestAdmissionOptions {
  config: configHolder.ConfigHolder;
  codec: headerCodec.HeaderCodec;
  /** False until the rollouts and the evacuations are known, which decide what upstreams may serve. */
  isStateKnown: () => boolean;
  quotas: Pick<quotaService.QuotaService, 'admit' | 'release'>;
  bodies: bodyReader.BodyReader;
  attemptAge: attemptAge.AttemptAge;
  dispatcher: timedDispatcher.TimedDispatcher;
  /** Whether a request was answered on the connection. */
  hasAnswered: (socket: net.Socket) => boolean;
  meters: metrics.Metrics;
  nowMs: () => number;
}

export class RequestAdmission {
  private refusesRequests = false;

  private requestSequence = 1;

  constructor(private readonly options: RequestAdmissionOptions) {}

  /** Refuses new requests; those in flight continue. */
  refuseNew(): void {
    this.refusesRequests = true;
  }

  async answer(
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
    if (headerBytes(req) > limits.maxHeaderBytes) {
      return localReply.createReply(431, 'headers too large');
    }
    const body = await this.options.bodies.read(req, limits.maxBodyBytes);
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
      // Both may have changed during the wait.
      if (signal.aborted || this.refusesRequests) {
        this.options.quotas.release(quotaCustomer, permit);
        return signal.aborted ? exchange.cancelled() : localReply.createStoppingReply();
      }
    }
    const { dispatcher: timed } = this.options;
    const limitMs = Math.min(
      route.timeoutMs,
      caller.deadlineMs ?? Infinity,
      Math.max(0, timed.answerByMs - arrivedMs),
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
        ? await timed.dispatch(callerRequest, timeLeftMs, signal)
        : await timed.dispatchCall(callerRequest, timeLeftMs, signal);
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
    this.options.attemptAge.recordFailure(route);
    return localReply.createReply(429, `not run: ${reason}`, retryAfterMs);
  }

  /** Estimated time that the caller spent on earlier attempts; it retries on new connections. */
  private earlierAttemptsMs(
    socket: net.Socket,
    { name: route, timeoutMs }: configuration.Route,
    deadlineMs: number | null,
  ): number {
    if (deadlineMs === null) return 0;
    const { attemptAge: ages, hasAnswered } = this.options;
    if (hasAnswered(socket) || ages.hasNoRecentFailure(route, timeoutMs)) {
      ages.recordFirstAttempt(route, deadlineMs);
      return 0;
    }
    const ageMs = ages.estimateAge(route, deadlineMs);
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
