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

const MAX_ATTEMPTS = 4;
const SERVER_ERROR = 500;

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
        tried.add(chosen.node);
        if (signal.aborted || !this.mayRetry(route, last.failure)) throw last;
        this.meters.increment('godwittrack_retries_total', { service: route.service });
      }
    }
    throw last ?? this.noUpstream(route);
  }

  private choose(
    route: configuration.Route,
    tried: ReadonlySet<string>,
  ): balancer.Candidate | null {
    const version = this.versions.choose(route);
    if (version !== null) return this.servers.pick(route.service, version, tried);
    // Without a plan every version that is present may serve.
    const present = [...this.servers.versions(route.service)];
    const any = present[Math.floor(Math.random() * present.length)];
    return any === undefined ? null : this.servers.pick(route.service, any, tried);
  }

  private async attempt(
    request: CallerRequest,
    chosen: balancer.Candidate,
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
    const finish = (failed: boolean) => {
      if (outlier !== undefined) this.servers.end(chosen, route.service, failed, outlier);
    };
    this.servers.begin(chosen.node);
    try {
      const answer = await destination.forward(head, body, signal);
      const failed = answer.head.status >= SERVER_ERROR;
      return { head: answer.head, body: finishAfter(answer.body, failed, finish) };
    } catch (err) {
      finish(speaksAgainstServer(failures.of(err), signal));
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

async function* finishAfter(
  body: exchange.Body,
  failed: boolean,
  finish: (failed: boolean) => void,
): exchange.Body {
  let broken = true;
  try {
    yield* body;
    broken = false;
  } catch (err) {
    finish(true);
    throw err;
  } finally {
    if (!broken) finish(failed);
  }
}
