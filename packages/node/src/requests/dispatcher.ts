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
import * as attemptTime from './attemptTime.js';
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
  wholeBody: Uint8Array | null;
  /** Empty when the caller sent none. */
  idempotencyKey: string;
  /**
   * False while it is certain that nothing ran, neither for this request nor for earlier ones with
   * the same idempotency key. The dispatcher keeps it up to date; a failure response to the caller
   * reports it.
   */
  mayHaveRun: boolean;
}

export interface DispatchedAnswer extends exchange.Answer {
  /** True for the recorded response of an earlier request with the same key. */
  replayed: boolean;
}

/** Returns the destination through which a server is reached. */
export type DestinationOf = (candidate: balancer.Candidate) => exchange.Destination;

const MAX_ATTEMPTS = 4;
const SERVER_ERROR = 500;
const SHED_STATUS = 503;
/** What the result of an attempt says about the version; null when it says nothing. */
const OUTCOMES: Readonly<Record<balancer.Ending, versionChooser.AttemptOutcome | null>> = {
  ok: 'ok',
  failed: 'error',
  busy: 'refused',
  unreachable: 'refused',
  neutral: null,
};
const NO_EJECTION = { consecutiveFailures: 1, ejectionTime: 0, maxEjectedPct: 0 };

/** Server of one attempt, and the rollout to which its evidence belongs; empty when none runs. */
type Chosen = balancer.Candidate & { rollout: string };

interface Attempt {
  request: CallerRequest;
  chosen: Chosen;
  body: exchange.RequestBody;
  remainingMs: number;
  signal: AbortSignal;
  /** Servers tried for the request, including this one. */
  tried: ReadonlySet<string>;
  isLast: boolean;
}

export class Dispatcher {
  private readonly times = new attemptTime.AttemptTimes();

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly config: configStore.ConfigStore,
    private readonly servers: balancer.Balancer,
    private readonly versions: versionChooser.VersionChooser,
    private readonly destinationOf: DestinationOf,
    private readonly guard: onceGuard.OnceGuard,
    private readonly budget: retryBudget.RetryBudget,
    private readonly meters: metrics.Metrics,
  ) {}

  /** @throws the failure of the last attempt, or of the last one that may have run */
  async dispatch(request: CallerRequest, signal: AbortSignal): Promise<DispatchedAnswer> {
    const startMs = performance.now();
    this.budget.request(request.route.service);
    if (request.route.semantics === 'once') return this.dispatchOnce(request, startMs, signal);
    const answer = await this.attempts(request, startMs, signal, () => true);
    return { ...answer, replayed: false };
  }

  private async dispatchOnce(
    request: CallerRequest,
    startMs: number,
    signal: AbortSignal,
  ): Promise<DispatchedAnswer> {
    const { route, head, idempotencyKey: key } = request;
    if (key === '') throw failures.raise({ type: 'keyRequired', route: route.name });
    const outcome = await this.guard.claim({
      service: route.service,
      key,
      fingerprint: fingerprintOf(request),
      timeoutMs: head.timeoutMs,
    });
    if (outcome.type === 'replayed') return { ...outcome.answer, replayed: true };
    const { claim } = outcome;
    request.mayHaveRun = false;
    let dispatched = false;
    try {
      const answer = await this.attempts(request, startMs, signal, () => {
        dispatched = claim.beginDispatch();
        return dispatched;
      });
      const body = new recordedBody.RecordedBody(answer.head, answer.body, claim);
      return { ...answer, body, replayed: false };
    } catch (err) {
      if (request.mayHaveRun) throw err;
      const given = claim.release(dispatched);
      if (given.type === 'notRun') throw err;
      request.mayHaveRun = true;
      throw failures.raise(given, err);
    }
  }

  private async attempts(
    request: CallerRequest,
    startMs: number,
    signal: AbortSignal,
    begin: () => boolean,
  ): Promise<exchange.Answer> {
    const { route } = request;
    const tried = new Set<string>();
    let last: failures.FailureError | null = null;
    let latest: failures.Failure | null = null;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const remainingMs = request.head.timeoutMs - (performance.now() - startMs);
      const chosen = this.choose(route, tried) ?? this.chooseAgain(route, latest);
      const body = request.body();
      if (chosen === null || body === null || remainingMs <= 0 || !begin()) break;
      tried.add(chosen.node);
      const isLast = attempt === MAX_ATTEMPTS - 1;
      try {
        const of = { request, chosen, body, remainingMs, signal, tried, isLast };
        const answer = await this.attempt(of);
        if (!this.isShedElsewhere(request, answer, tried)) return answer;
        await exchange.discard(answer.body);
      } catch (err) {
        const failed =
          err instanceof failures.FailureError ? err : failures.raise(failures.of(err));
        latest = failed.failure;
        // A later refusal must not hide that an earlier attempt may have run.
        const hides = request.mayHaveRun && refusals.provesNotStarted(failed.failure);
        if (last === null || !hides) last = failed;
        if (signal.aborted || !this.mayRetry(route, failed.failure)) throw last;
      }
      this.meters.increment('godwittrack_retries_total', { service: route.service });
    }
    throw last ?? this.noUpstream(route);
  }

  private choose(route: configuration.Route, tried: ReadonlySet<string>): Chosen | null {
    const isReady = (version: string) => this.servers.count(route.service, version) > 0;
    const choice = this.versions.choose(route, isReady);
    if (choice !== null) {
      const server = this.servers.pick(route.service, choice.version, tried);
      return server === null ? null : { ...server, rollout: choice.rollout };
    }
    // Without a version plan, any version that has a server may serve the request.
    const present = [...this.servers.versions(route.service)];
    const any = present[Math.floor(Math.random() * present.length)];
    const server = any === undefined ? null : this.servers.pick(route.service, any, tried);
    return server === null ? null : { ...server, rollout: '' };
  }

  /**
   * Chooses among the servers already tried when the connection of the previous attempt broke, for
   * example a stale one.
   */
  private chooseAgain(route: configuration.Route, latest: failures.Failure | null): Chosen | null {
    const broke = latest?.type === 'upstreamFailed' && latest.started;
    return broke && route.semantics !== 'once' ? this.choose(route, new Set()) : null;
  }

  private async attempt(of: Attempt): Promise<exchange.Answer> {
    const { request, chosen, body, signal } = of;
    const { route } = request;
    const repeatable = route.semantics !== 'once';
    const startMs = performance.now();
    const attemptMs = repeatable ? this.times.limitMs(route.name, of.remainingMs) : of.remainingMs;
    const head = { ...request.head, version: chosen.version, timeoutMs: Math.ceil(of.remainingMs) };
    const own = new AbortController();
    const cancel = () => own.abort(signal.reason);
    const expire = () => {
      this.times.observe(route.name, attemptMs);
      // When no other server can take the request, this attempt goes on until the deadline.
      const elsewhere = request.wholeBody !== null && this.choose(route, of.tried) !== null;
      if (!elsewhere || of.isLast || !this.takeRetry(route)) return;
      const operation = `attempt at ${chosen.node}`;
      own.abort(failures.raise({ type: 'timeout', operation, timeoutMs: Math.round(attemptMs) }));
    };
    signal.addEventListener('abort', cancel);
    if (signal.aborted) cancel();
    const timer = repeatable ? setTimeout(expire, attemptMs) : undefined;
    const before = request.mayHaveRun;
    request.mayHaveRun = true;
    this.servers.begin(chosen);
    try {
      const answer = await this.destinationOf(chosen).forward(head, body, own.signal);
      this.times.observe(route.name, performance.now() - startMs);
      const ending = endingOf(answer.head.status);
      return {
        head: answer.head,
        body: exchange.settleAfter(answer.body, (err) => {
          signal.removeEventListener('abort', cancel);
          const ended = err === null ? ending : endingOfFailure(failures.of(err), signal);
          this.finish(of, ended, answer.head.upstreamMs);
        }),
      };
    } catch (err) {
      signal.removeEventListener('abort', cancel);
      const failure = failures.of(err);
      if (refusals.provesNotStarted(failure)) request.mayHaveRun = before;
      this.finish(of, endingOfFailure(failure, signal), performance.now() - startMs);
      throw err;
    } finally {
      clearTimeout(timer);
    }
  }

  private finish({ request, chosen }: Attempt, ending: balancer.Ending, latencyMs: number): void {
    const { service, name: route } = request.route;
    const outlier = this.config.current.services.get(service)?.outlier;
    this.servers.end(chosen, service, ending, outlier ?? NO_EJECTION);
    const outcome = OUTCOMES[ending];
    const { rollout, version, node: server, coldStart } = chosen;
    if (outcome === null || rollout === '') return;
    this.versions.finished({ rollout, version, route, server, outcome, latencyMs, coldStart });
  }

  /** Whether a request that the upstream itself shed is retried at another server. */
  private isShedElsewhere(
    { route, wholeBody }: CallerRequest,
    answer: exchange.Answer,
    tried: ReadonlySet<string>,
  ): boolean {
    if (answer.head.status !== SHED_STATUS || route.semantics === 'once') return false;
    if (this.choose(route, tried) === null || wholeBody === null) return false;
    return this.takeRetry(route);
  }

  private mayRetry(route: configuration.Route, failure: failures.Failure): boolean {
    // Not taken from the retry budget: a planned stop is not a sign of overload, and each server
    // stops only once.
    if (failure.type === 'draining') return true;
    // The retry was taken from the budget when the attempt timed out.
    if (failure.type === 'timeout') return true;
    const repeatable =
      route.semantics !== 'once' &&
      failure.type !== 'cancelled' &&
      failure.type !== 'bodyTooLarge' &&
      failure.type !== 'deadlineExceeded';
    if (!refusals.provesNotStarted(failure) && !repeatable) return false;
    return this.takeRetry(route);
  }

  private takeRetry(route: configuration.Route): boolean {
    const service = this.config.current.services.get(route.service);
    return this.budget.takeRetry(route.service, service?.retryBudgetPct ?? 0);
  }

  private noUpstream(route: configuration.Route): failures.FailureError {
    return failures.raise({
      type: 'noUpstream',
      service: route.service,
      detail: 'no server is ready',
      retryAfterMs: constants.SHORT_RETRY_AFTER_MS,
    });
  }
}

/** A server that sheds load is busy, not faulty. */
function endingOf(status: number): balancer.Ending {
  if (status === SHED_STATUS) return 'busy';
  return status >= SERVER_ERROR ? 'failed' : 'ok';
}

/** A refusal under load or a caller that disconnected does not count against the server. */
function endingOfFailure(failure: failures.Failure, signal: AbortSignal): balancer.Ending {
  if (signal.aborted && failure.type !== 'deadlineExceeded') return 'neutral';
  if (failure.type === 'cancelled' || failure.type === 'bodyTooLarge') return 'neutral';
  if (failure.type === 'upstreamFailed' && !failure.started) return 'unreachable';
  return refusals.provesNotStarted(failure) ? 'busy' : 'failed';
}

/** Hash of method, path and body; of a streamed body only the declared length is included. */
function fingerprintOf({ head, wholeBody }: CallerRequest): string {
  const hash = crypto.createHash('sha256').update(`${head.method} ${head.path}\n`);
  if (wholeBody !== null) hash.update(wholeBody);
  else hash.update(exchange.headerValue(head.headers, 'content-length') ?? 'chunked');
  return hash.digest('hex');
}
