/**
 * The entry node's part of a request: chooses version and server, and retries. A request is retried
 * only when it cannot have run, or when its route allows it to run twice.
 */

import * as crypto from 'node:crypto';
import { failures } from '@godwittrack/core';
import type { configuration, metrics } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as configStore from '../config/configStore.js';
import * as constants from '../constants.js';
import type * as settings from '../settings.js';
import * as attemptTimeouts from './attemptTimeouts.js';
import type * as balancer from './balancer.js';
import * as exchange from './exchange.js';
import type * as onceGuard from './onceGuard.js';
import * as recordedBody from './recordedBody.js';
import * as refusals from './refusals.js';
import type * as retryBudget from './retryBudget.js';
import type * as versionChooser from './versionChooser.js';

/** A caller's request, as the caller server read it. */
export interface CallerRequest {
  route: configuration.Route;
  head: requests.RequestHead;
  /** Returns the body from its start; null when it can be read only once and was read already. */
  body: () => exchange.RequestBody | null;
  /** The complete body when it was small enough to be buffered before dispatch. */
  bufferedBody: Uint8Array | null;
  /** Empty when the caller sent none. */
  idempotencyKey: string;
  /**
   * False while it is certain that nothing ran, neither for this request nor for earlier ones with
   * the same idempotency key. The dispatcher keeps it up to date; a failure response to the caller
   * reports it.
   */
  mayHaveRun: boolean;
}

export interface DispatchedResponse extends exchange.Response {
  /** True for the recorded response of an earlier request with the same key. */
  replayed: boolean;
}

/** Returns the destination through which a server is reached. */
export type DestinationResolver = (candidate: balancer.Candidate) => exchange.Destination;

const MAX_ATTEMPTS = 4;
const SERVER_ERROR = 500;
const SHED_STATUS = 503;
/** What the result of an attempt says about the version; null when it says nothing. */
const OUTCOME_OF_RESULT: Readonly<
  Record<balancer.AttemptResult, versionChooser.AttemptOutcome | null>
> = {
  ok: 'ok',
  failed: 'error',
  busy: 'refused',
  unreachable: 'refused',
  neutral: null,
};
const NO_EJECTION = { consecutiveFailures: 1, ejectionTime: 0, maxEjectedPct: 0 };

/** Server of one attempt, and the rollout to which its evidence belongs; empty when none runs. */
type ChosenServer = balancer.Candidate & { rollout: string };

interface Attempt {
  request: CallerRequest;
  chosen: ChosenServer;
  body: exchange.RequestBody;
  remainingMs: number;
  signal: AbortSignal;
  /** Servers tried for the request, including this one. */
  tried: ReadonlySet<string>;
  isLast: boolean;
}

export class Dispatcher {
  private readonly attemptTimeouts = new attemptTimeouts.AttemptTimeouts();

  constructor(
    private readonly nodeSettings: settings.ResolvedSettings,
    private readonly config: configStore.ConfigStore,
    private readonly loadBalancer: balancer.Balancer,
    private readonly versions: versionChooser.VersionChooser,
    private readonly resolveDestination: DestinationResolver,
    private readonly guard: onceGuard.OnceGuard,
    private readonly budget: retryBudget.RetryBudget,
    private readonly meters: metrics.Metrics,
  ) {}

  /** @throws the failure of the last attempt, or of the last one that may have run */
  async dispatch(request: CallerRequest, signal: AbortSignal): Promise<DispatchedResponse> {
    const startMs = performance.now();
    this.budget.recordRequest(request.route.service);
    if (request.route.semantics === 'once') return this.dispatchOnce(request, startMs, signal);
    const response = await this.runAttempts(request, startMs, signal, () => true);
    return { ...response, replayed: false };
  }

  private async dispatchOnce(
    request: CallerRequest,
    startMs: number,
    signal: AbortSignal,
  ): Promise<DispatchedResponse> {
    const { route, head, idempotencyKey: key } = request;
    if (key === '') throw failures.toError({ type: 'keyRequired', route: route.name });
    const outcome = await this.guard.claim({
      service: route.service,
      key,
      fingerprint: fingerprintOf(request),
      timeoutMs: head.timeoutMs,
    });
    if (outcome.type === 'replayed') return { ...outcome.response, replayed: true };
    const { claim } = outcome;
    request.mayHaveRun = false;
    let dispatched = false;
    try {
      const response = await this.runAttempts(request, startMs, signal, () => {
        dispatched = claim.beginDispatch();
        return dispatched;
      });
      const body = new recordedBody.RecordedBody(response.head, response.body, claim);
      return { ...response, body, replayed: false };
    } catch (err) {
      if (request.mayHaveRun) throw err;
      const failure = claim.release(dispatched);
      if (failure.type === 'notRun') throw err;
      request.mayHaveRun = true;
      throw failures.toError(failure, err);
    }
  }

  private async runAttempts(
    request: CallerRequest,
    startMs: number,
    signal: AbortSignal,
    beginDispatch: () => boolean,
  ): Promise<exchange.Response> {
    const { route } = request;
    const tried = new Set<string>();
    let errorToReport: failures.FailureError | null = null;
    let previousFailure: failures.Failure | null = null;
    for (let attemptIndex = 0; attemptIndex < MAX_ATTEMPTS; attemptIndex++) {
      const remainingMs = request.head.timeoutMs - (performance.now() - startMs);
      const chosen = this.choose(route, tried) ?? this.chooseTriedServer(route, previousFailure);
      const body = request.body();
      if (chosen === null || body === null || remainingMs <= 0 || !beginDispatch()) break;
      tried.add(chosen.node);
      const isLast = attemptIndex === MAX_ATTEMPTS - 1;
      try {
        const attempt = { request, chosen, body, remainingMs, signal, tried, isLast };
        const response = await this.runAttempt(attempt);
        if (!this.shouldRetryShed(request, response, tried)) return response;
        await exchange.discard(response.body);
      } catch (err) {
        const error =
          err instanceof failures.FailureError ? err : failures.toError(failures.fromError(err));
        previousFailure = error.failure;
        // A later refusal must not hide that an earlier attempt may have run.
        const hidesPossibleRun = request.mayHaveRun && refusals.provesNotStarted(error.failure);
        if (errorToReport === null || !hidesPossibleRun) errorToReport = error;
        if (signal.aborted || !this.mayRetry(route, error.failure)) throw errorToReport;
      }
      this.meters.increment('godwittrack_retries_total', { service: route.service });
    }
    throw errorToReport ?? this.noUpstream(route);
  }

  private choose(route: configuration.Route, tried: ReadonlySet<string>): ChosenServer | null {
    const isReady = (version: string) => this.loadBalancer.serverCount(route.service, version) > 0;
    const choice = this.versions.choose(route, isReady);
    if (choice !== null) {
      const server = this.loadBalancer.pick(route.service, choice.version, tried);
      return server === null ? null : { ...server, rollout: choice.rollout };
    }
    // Without a version plan, any version that has a server may serve the request.
    const available = [...this.loadBalancer.versions(route.service)];
    const anyVersion = available[Math.floor(Math.random() * available.length)];
    const server =
      anyVersion === undefined ? null : this.loadBalancer.pick(route.service, anyVersion, tried);
    return server === null ? null : { ...server, rollout: '' };
  }

  /**
   * Chooses among the servers already tried when the connection of the previous attempt broke, for
   * example a stale one.
   */
  private chooseTriedServer(
    route: configuration.Route,
    previousFailure: failures.Failure | null,
  ): ChosenServer | null {
    const connectionBroke = previousFailure?.type === 'upstreamFailed' && previousFailure.started;
    return connectionBroke && route.semantics !== 'once' ? this.choose(route, new Set()) : null;
  }

  private async runAttempt(attempt: Attempt): Promise<exchange.Response> {
    const { request, chosen, body, signal } = attempt;
    const { route } = request;
    const isRepeatable = route.semantics !== 'once';
    const startMs = performance.now();
    const attemptTimeoutMs = isRepeatable
      ? this.attemptTimeouts.timeoutMs(route.name, attempt.remainingMs)
      : attempt.remainingMs;
    const head = {
      ...request.head,
      version: chosen.version,
      timeoutMs: Math.ceil(attempt.remainingMs),
    };
    const attemptAbort = new AbortController();
    const cancel = () => attemptAbort.abort(signal.reason);
    const expire = () => {
      this.attemptTimeouts.observe(route.name, attemptTimeoutMs);
      // When no other server can take the request, this attempt goes on until the deadline.
      const hasOtherServer =
        request.bufferedBody !== null && this.choose(route, attempt.tried) !== null;
      if (!hasOtherServer || attempt.isLast || !this.takeRetry(route)) return;
      const operation = `attempt at ${chosen.node}`;
      attemptAbort.abort(
        failures.toError({ type: 'timeout', operation, timeoutMs: Math.round(attemptTimeoutMs) }),
      );
    };
    signal.addEventListener('abort', cancel);
    if (signal.aborted) cancel();
    const timer = isRepeatable ? setTimeout(expire, attemptTimeoutMs) : undefined;
    const mayHaveRunBefore = request.mayHaveRun;
    request.mayHaveRun = true;
    this.loadBalancer.beginRequest(chosen);
    try {
      const response = await this.resolveDestination(chosen).forward(
        head,
        body,
        attemptAbort.signal,
      );
      this.attemptTimeouts.observe(route.name, performance.now() - startMs);
      const result = resultOfStatus(response.head.status);
      return {
        head: response.head,
        body: exchange.notifyOnEnd(response.body, (err) => {
          signal.removeEventListener('abort', cancel);
          const finalResult =
            err === null ? result : resultOfFailure(failures.fromError(err), signal);
          this.finish(attempt, finalResult, response.head.upstreamMs);
        }),
      };
    } catch (err) {
      signal.removeEventListener('abort', cancel);
      const failure = failures.fromError(err);
      if (refusals.provesNotStarted(failure)) request.mayHaveRun = mayHaveRunBefore;
      this.finish(attempt, resultOfFailure(failure, signal), performance.now() - startMs);
      throw err;
    } finally {
      clearTimeout(timer);
    }
  }

  private finish(
    { request, chosen }: Attempt,
    result: balancer.AttemptResult,
    latencyMs: number,
  ): void {
    const { service, name: route } = request.route;
    const outlier = this.config.current.services.get(service)?.outlier;
    this.loadBalancer.endRequest(chosen, service, result, outlier ?? NO_EJECTION);
    const outcome = OUTCOME_OF_RESULT[result];
    const { rollout, version, node: server, coldStart } = chosen;
    if (outcome === null || rollout === '') return;
    this.versions.recordAttempt({ rollout, version, route, server, outcome, latencyMs, coldStart });
  }

  /** Whether a request that the upstream itself shed is retried at another server. */
  private shouldRetryShed(
    { route, bufferedBody }: CallerRequest,
    response: exchange.Response,
    tried: ReadonlySet<string>,
  ): boolean {
    if (response.head.status !== SHED_STATUS || route.semantics === 'once') return false;
    if (this.choose(route, tried) === null || bufferedBody === null) return false;
    return this.takeRetry(route);
  }

  private mayRetry(route: configuration.Route, failure: failures.Failure): boolean {
    // Not taken from the retry budget: a planned stop is not a sign of overload, and each server
    // stops only once.
    if (failure.type === 'draining') return true;
    // The retry was taken from the budget when the attempt timed out.
    if (failure.type === 'timeout') return true;
    const isRepeatable =
      route.semantics !== 'once' &&
      failure.type !== 'cancelled' &&
      failure.type !== 'bodyTooLarge' &&
      failure.type !== 'deadlineExceeded';
    if (!refusals.provesNotStarted(failure) && !isRepeatable) return false;
    return this.takeRetry(route);
  }

  private takeRetry(route: configuration.Route): boolean {
    const service = this.config.current.services.get(route.service);
    return this.budget.takeRetry(route.service, service?.retryBudgetPct ?? 0);
  }

  private noUpstream(route: configuration.Route): failures.FailureError {
    return failures.toError({
      type: 'noUpstream',
      service: route.service,
      detail: 'no server is ready',
      retryAfterMs: constants.SHORT_RETRY_AFTER_MS,
    });
  }
}

/** A server that sheds load is busy, not faulty. */
function resultOfStatus(status: number): balancer.AttemptResult {
  if (status === SHED_STATUS) return 'busy';
  return status >= SERVER_ERROR ? 'failed' : 'ok';
}

/** A refusal under load or a caller that disconnected does not count against the server. */
function resultOfFailure(failure: failures.Failure, signal: AbortSignal): balancer.AttemptResult {
  if (signal.aborted && failure.type !== 'deadlineExceeded') return 'neutral';
  if (failure.type === 'cancelled' || failure.type === 'bodyTooLarge') return 'neutral';
  if (failure.type === 'upstreamFailed' && !failure.started) return 'unreachable';
  return refusals.provesNotStarted(failure) ? 'busy' : 'failed';
}

/** Hash of method, path and body; of a streamed body only the declared length is included. */
function fingerprintOf({ head, bufferedBody }: CallerRequest): string {
  const hash = crypto.createHash('sha256').update(`${head.method} ${head.path}\n`);
  if (bufferedBody !== null) hash.update(bufferedBody);
  else hash.update(exchange.headerValue(head.headers, 'content-length') ?? 'chunked');
  return hash.digest('hex');
}
