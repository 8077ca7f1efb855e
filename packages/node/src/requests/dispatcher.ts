/**
 * The entry node's part of a request: version, server, attempts. A request is tried again only
 * where nothing can have run, or where it may run twice.
 */

import { configuration, failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as configStore from '../config/configStore.js';
import * as constants from '../constants.js';
import type * as peerChannels from '../distribution/peerChannels.js';
import type * as metrics from '../metrics/metrics.js';
import type * as settings from '../settings.js';
import type * as balancer from './balancer.js';
import type * as exchange from './exchange.js';
import * as peerDestination from './peerDestination.js';
import * as refusals from './refusals.js';
import type * as retryBudget from './retryBudget.js';
import type * as versionChooser from './versionChooser.js';

/** One request of a caller, as the caller server read it. */
export interface CallerRequest {
  route: configuration.Route;
  head: requests.RequestHead;
  /** Gives the body from its start; null when it can be read only once and has been. */
  body: () => exchange.Body | null;
}

/** Server of one attempt, and the rollout to which its evidence belongs. */
interface Chosen {
  server: balancer.Candidate;
  rollout: string;
}

const MAX_ATTEMPTS = 4;
const SERVER_ERROR = 500;
const SHED = 503;

export class Dispatcher {
  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly config: configStore.ConfigStore,
    private readonly servers: balancer.Balancer,
    private readonly versions: versionChooser.VersionChooser,
    private readonly local: exchange.Destination,
    private readonly channels: peerChannels.PeerChannels,
    private readonly budget: retryBudget.RetryBudget,
    private readonly meters: metrics.Metrics,
  ) {}

  /** @throws the failure of the last attempt */
  async dispatch(request: CallerRequest, signal: AbortSignal): Promise<exchange.Answer> {
    const { route } = request;
    const startMs = performance.now();
    const tried = new Set<string>();
    this.budget.request(route.service);
    let last: failures.FailureError | null = null;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const remainingMs = request.head.timeoutMs - (performance.now() - startMs);
      const chosen = this.choose(route, tried);
      const body = request.body();
      if (chosen === null || body === null || remainingMs <= 0) break;
      try {
        return await this.attempt(request, chosen, body, Math.ceil(remainingMs), signal);
      } catch (err) {
        last = err instanceof failures.FailureError ? err : failures.raise(failures.of(err), err);
        tried.add(chosen.server.node);
        if (signal.aborted || !this.mayRetry(route, last.failure)) throw last;
        this.meters.increment('godwittrack_retries_total', { service: route.service });
      }
    }
    throw last ?? this.noUpstream(route);
  }

  private choose(route: configuration.Route, tried: ReadonlySet<string>): Chosen | null {
    const isReady = (version: string) => this.servers.count(route.service, version) > 0;
    const choice = this.versions.choose(route, isReady);
    if (choice !== null) {
      const server = this.servers.pick(route.service, choice.version, tried);
      return server === null ? null : { server, rollout: choice.rollout };
    }
    // Without a plan every version that is present may serve.
    const present = [...this.servers.versions(route.service)];
    const any = present[Math.floor(Math.random() * present.length)];
    const server = any === undefined ? null : this.servers.pick(route.service, any, tried);
    return server === null ? null : { server, rollout: '' };
  }

  private async attempt(
    request: CallerRequest,
    { server: chosen, rollout }: Chosen,
    body: exchange.Body,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<exchange.Answer> {
    const { route } = request;
    const head = { ...request.head, version: chosen.version, timeoutMs };
    const destination =
      chosen.node === this.cfg.node
        ? this.local
        : new peerDestination.PeerDestination(
            chosen.node,
            this.channels.get(chosen.address).requests,
          );
    const outlier = this.config.current.services.get(route.service)?.outlier;
    const startMs = performance.now();
    const finish = (failed: boolean, outcome: versionChooser.AttemptOutcome | null, ms: number) => {
      if (outlier !== undefined) this.servers.end(chosen, route.service, failed, outlier);
      if (outcome === null || rollout === '') return;
      const { node: server, version, coldStart } = chosen;
      const attempt = { rollout, version, route: route.name, server, outcome, coldStart };
      this.versions.finished({ ...attempt, latencyMs: ms });
    };
    this.servers.begin(chosen.node);
    try {
      const answer = await destination.forward(head, body, signal);
      const { status, upstreamMs } = answer.head;
      const failed = status >= SERVER_ERROR;
      const outcome = outcomeOfStatus(status);
      const end = (broken: boolean) =>
        finish(broken || failed, broken ? 'error' : outcome, upstreamMs);
      return { head: answer.head, body: finishAfter(answer.body, end) };
    } catch (err) {
      const failure = failures.of(err);
      const ms = performance.now() - startMs;
      finish(speaksAgainstServer(failure, signal), outcomeOfFailure(failure, signal), ms);
      throw err;
    }
  }

  private mayRetry(route: configuration.Route, failure: failures.Failure): boolean {
    const repeatable = route.semantics !== 'once' && failure.type !== 'cancelled';
    if (!refusals.provesNotStarted(failure) && !repeatable) return false;
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

/** A refusal under load and a caller that went away say nothing against the server. */
function speaksAgainstServer(failure: failures.Failure, signal: AbortSignal): boolean {
  if (signal.aborted) return false;
  return failure.type !== 'queueFull' && failure.type !== 'draining' && failure.type !== 'notRun';
}

/** An upstream that sheds load answers 503; that says nothing about its version. */
function outcomeOfStatus(status: number): versionChooser.AttemptOutcome {
  if (status === SHED) return 'refused';
  return status >= SERVER_ERROR ? 'error' : 'ok';
}

/** Null when the caller went away, which tells nothing. */
function outcomeOfFailure(
  failure: failures.Failure,
  signal: AbortSignal,
): versionChooser.AttemptOutcome | null {
  if (signal.aborted && failure.type === 'cancelled') return null;
  return refusals.provesNotStarted(failure) ? 'refused' : 'error';
}

async function* finishAfter(body: exchange.Body, end: (broken: boolean) => void): exchange.Body {
  let broken = true;
  try {
    yield* body;
    broken = false;
  } finally {
    end(broken);
  }
}
