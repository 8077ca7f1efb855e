/** The local upstream as a destination: admission control, then one HTTP request. */

import { failures } from '@godwittrack/core';
import type { metrics } from '@godwittrack/core';
import type { requests } from '@godwittrack/protocol';
import type * as configStore from '../config/configStore.js';
import * as constants from '../constants.js';
import type * as localMember from '../membership/localMember.js';
import type * as admission from './admission.js';
import * as exchange from './exchange.js';
import * as upstreamClient from './upstreamClient.js';
import type * as upstreamHealth from './upstreamHealth.js';

const DEFAULT_QUEUE_LENGTH = 24;
const DEFAULT_QUEUE_TIMEOUT_MS = 500;
const SHED_STATUS = 503;

export class LocalDestination extends exchange.Destination {
  /** Address and version of the upstream to which the state of admission control applies. */
  private knownUpstream = '';

  constructor(
    private readonly local: localMember.LocalMember,
    private readonly config: configStore.ConfigStore,
    private readonly admissionControl: admission.Admission,
    private readonly client: upstreamClient.UpstreamClient,
    private readonly health: upstreamHealth.UpstreamHealth,
    private readonly meters: metrics.Metrics,
  ) {
    super();
    this.updateLimits();
    config.changed.subscribe(() => this.updateLimits());
    local.upstreamChanged.subscribe(() => this.onUpstreamChanged());
  }

  override async forward(
    head: requests.RequestHead,
    body: exchange.RequestBody,
    signal: AbortSignal,
  ): Promise<exchange.Response> {
    const startMs = performance.now();
    this.targetFor(head);
    const release = await this.admissionControl.acquire(head, signal);
    try {
      // The upstream may have been withdrawn or replaced while the request was queued.
      const target = this.targetFor(head);
      const waitedMs = performance.now() - startMs;
      const timeoutMs = Math.max(1, Math.floor(head.timeoutMs - waitedMs));
      const headWithContext = withContextHeaders({ ...head, timeoutMs });
      const response = await this.send(target, headWithContext, body, signal, release);
      this.meters.observeMs('godwittrack_upstream_seconds', response.head.upstreamMs);
      if (response.head.status === SHED_STATUS) this.admissionControl.recordShed();
      return response;
    } catch (err) {
      release();
      throw err;
    }
  }

  private async send(
    target: upstreamClient.UpstreamTarget,
    head: requests.RequestHead,
    body: exchange.RequestBody,
    signal: AbortSignal,
    release: () => void,
  ): Promise<exchange.Response> {
    try {
      return await this.client.send(target, head, body, signal, release);
    } catch (err) {
      const refused = failures.is(err, 'upstreamFailed') && !err.failure.started && !signal.aborted;
      if (refused) this.health.recordRefusedConnection(target.address);
      throw err;
    }
  }

  /** @throws noUpstream, draining when the upstream cannot take the request; it was not started */
  private targetFor(head: requests.RequestHead): upstreamClient.UpstreamTarget {
    const { upstream } = this.local;
    const { service, version } = head;
    const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
    const refuse = (detail: string) =>
      failures.toError({ type: 'noUpstream', service, detail, retryAfterMs });
    if (upstream === null || upstream.service !== service) {
      throw refuse('the upstream of this service is not here');
    }
    if (version !== '' && upstream.version !== version) {
      throw refuse(`the upstream here runs ${upstream.version}, not ${version}`);
    }
    if (upstream.state === 'draining') {
      throw failures.toError({ type: 'draining', node: this.local.node, retryAfterMs });
    }
    if (!upstream.healthy) throw refuse('the upstream here accepts no connections');
    return { service, address: upstream.address, connections: upstream.connections };
  }

  private onUpstreamChanged(): void {
    const { upstream } = this.local;
    this.updateLimits();
    if (upstream === null || upstream.state === 'draining') {
      const retryAfterMs = constants.SHORT_RETRY_AFTER_MS;
      this.admissionControl.refuseAll({ type: 'draining', node: this.local.node, retryAfterMs });
      return;
    }
    const currentUpstream = `${upstream.address} ${upstream.version}`;
    if (currentUpstream !== this.knownUpstream) this.admissionControl.reset();
    this.knownUpstream = currentUpstream;
  }

  private updateLimits(): void {
    const { upstream } = this.local;
    const service =
      upstream === null
        ? undefined
        : [...this.config.current.services.values()].find(({ name }) => name === upstream.service);
    const connections = Math.floor(
      (upstream?.connections ?? 0) / upstreamClient.CONNECTION_DIVISOR,
    );
    this.admissionControl.setLimits({
      // More requests than connections would queue a second time, in the connection pool.
      slots: upstream === null ? 0 : Math.max(1, Math.min(upstream.slots, connections)),
      queueLength: service?.queueLength ?? DEFAULT_QUEUE_LENGTH,
      queueTimeoutMs: service?.queueTimeout ?? DEFAULT_QUEUE_TIMEOUT_MS,
    });
  }
}

const CONTEXT_HEADERS: ReadonlySet<string> = new Set([
  'x-request-id',
  'x-request-timeout-ms',
  'x-godwittrack-hops',
]);

/** Adds the headers that tell the upstream the request's ID, time left and hop count. */
function withContextHeaders(head: requests.RequestHead): requests.RequestHead {
  const headers = head.headers.filter(({ name }) => !CONTEXT_HEADERS.has(name.toLowerCase()));
  headers.push(
    { name: 'X-Request-Id', value: head.requestId },
    { name: 'X-Request-Timeout-Ms', value: String(head.timeoutMs) },
    { name: 'X-Godwittrack-Hops', value: String(head.hops) },
  );
  return { ...head, headers };
}
