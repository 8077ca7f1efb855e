/** The upstream beside this node as a destination: admission, then one HTTP exchange. */

import { failures } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as configStore from '../config/configStore.js';
import * as constants from '../constants.js';
import type * as localMember from '../membership/localMember.js';
import type * as metrics from '../metrics/metrics.js';
import type * as admission from './admission.js';
import * as exchange from './exchange.js';
import type * as upstreamClient from './upstreamClient.js';

const DEFAULT_QUEUE_LENGTH = 24;
const DEFAULT_QUEUE_TIMEOUT_MS = 500;

export class LocalDestination extends exchange.Destination {
  constructor(
    private readonly local: localMember.LocalMember,
    private readonly config: configStore.ConfigStore,
    private readonly gate: admission.Admission,
    private readonly client: upstreamClient.UpstreamClient,
    private readonly meters: metrics.Metrics,
  ) {
    super();
    this.updateLimits();
    config.changed.subscribe(() => this.updateLimits());
    local.upstreamChanged.subscribe(() => this.updateLimits());
  }

  override async forward(
    head: requests.RequestHead,
    body: exchange.Body,
    signal: AbortSignal,
  ): Promise<exchange.Answer> {
    const target = this.targetFor(head);
    const release = await this.gate.enter(head.priority, head.timeoutMs, signal);
    try {
      const answer = await this.client.send(target, withContext(head), body, signal);
      this.meters.observeMs('godwittrack_upstream_seconds', answer.head.upstreamMs);
      return { head: answer.head, body: releaseAfter(answer.body, release) };
    } catch (err) {
      release();
      throw err;
    }
  }

  /** @throws noUpstream, draining when the request cannot be taken here; nothing ran */
  private targetFor(head: requests.RequestHead): upstreamClient.UpstreamTarget {
    const { upstream } = this.local;
    const { service, version } = head;
    const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
    if (upstream === null || upstream.service !== service) {
      const detail = 'the upstream of this service is not here';
      throw failures.raise({ type: 'noUpstream', service, detail, retryAfterMs });
    }
    if (version !== '' && upstream.version !== version) {
      const detail = `the upstream here runs ${upstream.version}, not ${version}`;
      throw failures.raise({ type: 'noUpstream', service, detail, retryAfterMs });
    }
    if (upstream.state === 'draining') {
      throw failures.raise({ type: 'draining', node: this.local.node, retryAfterMs });
    }
    return { service, address: upstream.address, connections: upstream.connections };
  }

  private updateLimits(): void {
    const { upstream } = this.local;
    const service =
      upstream === null
        ? undefined
        : [...this.config.current.services.values()].find(({ name }) => name === upstream.service);
    this.gate.setLimits({
      slots: upstream?.slots ?? 0,
      queueLength: service?.queueLength ?? DEFAULT_QUEUE_LENGTH,
      queueTimeoutMs: service?.queueTimeout ?? DEFAULT_QUEUE_TIMEOUT_MS,
    });
  }
}

/** Headers by which the upstream learns the request's identifier, deadline and hops. */
function withContext(head: requests.RequestHead): requests.RequestHead {
  const own = new Set(['x-request-id', 'x-request-timeout-ms', 'x-godwittrack-hops']);
  const headers = head.headers.filter(({ name }) => !own.has(name.toLowerCase()));
  headers.push(
    { name: 'X-Request-Id', value: head.requestId },
    { name: 'X-Request-Timeout-Ms', value: String(head.timeoutMs) },
    { name: 'X-Godwittrack-Hops', value: String(head.hops) },
  );
  return { ...head, headers };
}

async function* releaseAfter(body: exchange.Body, release: () => void): exchange.Body {
  try {
    yield* body;
  } finally {
    release();
  }
}
