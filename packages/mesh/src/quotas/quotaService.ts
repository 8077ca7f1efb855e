/**
 * Connects the quotas of a node to the network, the configuration and the clock. Without a customer that has a
 * quota there are no timers and no messages.
 */

import type { ids, metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as configHolder from '../config/configHolder.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as peerNetwork from '../peers/peerNetwork.js';
import type * as quotaClient from './quotaClient.js';
import type * as quotaMessages from './quotaMessages.js';
import * as quotaNode from './quotaNode.js';
import * as quotaOwners from './quotaOwners.js';
import type * as quotaTolerance from './quotaTolerance.js';

/** Time for which asks are collected before they are sent together. */
const FLUSH_DELAY_MS = 3;
/** Time until asks are sent again that could not be handed to their link. */
const RESEND_DELAY_MS = 10;
/** Time without refusals after which the next one of a customer is logged. */
const REFUSAL_EPISODE_MS = 10_000;
/** Customers named in one log line. */
const MAX_LOGGED_CUSTOMERS = 10;

export interface QuotaServiceOptions {
  table: members.MemberTable;
  config: configHolder.ConfigHolder;
  network: Pick<peerNetwork.PeerNetwork, 'sendFrame' | 'isReachableMember'>;
  tolerance: quotaTolerance.QuotaTolerance;
  /** False until the list of nodes has been received. */
  areMembersKnown: () => boolean;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  nowMs: () => number;
}

export class QuotaService {
  private readonly node: quotaNode.QuotaNode;

  private quotas: ReadonlyMap<ids.CustomerName, configuration.Quota> = new Map();

  private ticker: NodeJS.Timeout | null = null;

  private flushTimer: NodeJS.Timeout | null = null;

  private expiry: { timer: NodeJS.Timeout; atMs: number } | null = null;

  private isStopped = false;

  private readonly refusedMs = new Map<ids.CustomerName, number>();

  constructor(private readonly options: QuotaServiceOptions) {
    const { table, config, network, nowMs } = options;
    this.node = new quotaNode.QuotaNode({
      self: table.self.node,
      run: Date.now(),
      startedMs: nowMs(),
      tolerance: options.tolerance,
      quotas: () => this.quotas,
      members: () => table.all(),
      membersKey: () => table.version,
      areMembersKnown: options.areMembersKnown,
      isReachable: (node) => network.isReachableMember(node),
      send: (to, message) => this.send(to, message),
      onEvent: (event) => this.record(event),
    });
    config.onChange(({ cfg }, previous) => {
      if (cfg.customers !== previous?.customers) this.apply(cfg);
    });
  }

  /** Customers of which this node owns the quota or a part of it. */
  get owned(): number {
    return this.node.owned;
  }

  /** Decides on a request of a customer with a quota, at once if it need not wait. */
  admit(
    customer: ids.CustomerName,
    requestId: ids.RequestId,
  ): quotaClient.Decision | Promise<quotaClient.Decision> {
    const arrivedMs = this.options.nowMs();
    let settle: (decision: quotaClient.Decision) => void = () => {};
    const settled = new Promise<quotaClient.Decision>((resolve) => {
      settle = (decision) => {
        const waitedMs = this.options.nowMs() - arrivedMs;
        this.options.meters.observeMs(meters.QUOTA_WAIT_SECONDS, waitedMs, {});
        this.recordDecision(customer, requestId, decision);
        resolve(decision);
      };
    });
    const decision = this.node.admit(customer, arrivedMs, settle);
    this.scheduleFlush(FLUSH_DELAY_MS);
    this.scheduleExpiry();
    if (decision === null) return settled;
    this.recordDecision(customer, requestId, decision);
    return decision;
  }

  /** The permit of a request that was refused for another reason: it has not run and will not run. */
  release(customer: ids.CustomerName, permit: quotaClient.UsedPermit): void {
    this.node.release(customer, permit, this.options.nowMs());
  }

  receive(
    from: ids.NodeId,
    message: quotaMessages.QuotaMessage,
    reply: (response: quotaMessages.QuotaMessage) => void,
  ): void {
    const countedReply = (response: quotaMessages.QuotaMessage) => {
      this.options.meters.increment(meters.QUOTA_FRAMES, { type: response.type });
      reply(response);
    };
    this.node.receive(from, message, countedReply, this.options.nowMs());
    this.scheduleFlush(FLUSH_DELAY_MS);
    this.scheduleExpiry();
  }

  /** Hands the customers of this node over, before it stops. */
  leave(): void {
    if (this.ticker !== null) this.node.leave(this.options.nowMs());
  }

  stop(): void {
    this.isStopped = true;
    this.deactivate();
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    if (this.expiry !== null) clearTimeout(this.expiry.timer);
  }

  private apply({ customers }: configuration.Configuration): void {
    const quotas = new Map<ids.CustomerName, configuration.Quota>();
    for (const { name, quota } of Object.values(customers ?? {})) {
      if (quota !== null) quotas.set(name, quota);
    }
    this.quotas = quotas;
    for (const customer of this.refusedMs.keys()) {
      if (!quotas.has(customer)) this.refusedMs.delete(customer);
    }
    if (quotas.size === 0) this.deactivate();
    else if (this.ticker === null && !this.isStopped) this.activate();
  }

  private activate(): void {
    const { nowMs } = this.options;
    this.ticker = setInterval(() => {
      this.node.tick(nowMs());
      this.scheduleFlush(FLUSH_DELAY_MS);
    }, quotaOwners.VOTE_INTERVAL_MS).unref();
    this.node.activate(nowMs());
  }

  private deactivate(): void {
    if (this.ticker !== null) clearInterval(this.ticker);
    this.ticker = null;
  }

  private send(to: ids.NodeId, message: quotaMessages.QuotaMessage): boolean {
    const isSent = this.options.network.sendFrame(to, message);
    if (isSent) this.options.meters.increment(meters.QUOTA_FRAMES, { type: message.type });
    return isSent;
  }

  private scheduleFlush(delayMs: number): void {
    if (!this.node.hasRequests || this.flushTimer !== null || this.isStopped) return;
    this.flushTimer = setTimeout(() => {
      this.flushTimer = null;
      this.node.flush(this.options.nowMs());
      // What could not be sent, since its link is not open yet.
      this.scheduleFlush(RESEND_DELAY_MS);
    }, delayMs);
  }

  /** Wakes up when the first waiting request is due. */
  private scheduleExpiry(): void {
    const atMs = this.node.nextDeadlineMs;
    if (atMs === null || this.isStopped) return;
    if (this.expiry !== null) {
      if (this.expiry.atMs <= atMs) return;
      clearTimeout(this.expiry.timer);
    }
    const wake = () => {
      this.expiry = null;
      this.node.expire(this.options.nowMs());
      this.scheduleFlush(0);
      this.scheduleExpiry();
    };
    const delayMs = Math.max(1, Math.ceil(atMs - this.options.nowMs()));
    this.expiry = { timer: setTimeout(wake, delayMs), atMs };
  }

  private recordDecision(
    customer: ids.CustomerName,
    requestId: ids.RequestId,
    decision: quotaClient.Decision,
  ): void {
    const { log, meters: registry, nowMs } = this.options;
    const outcome = decision.type === 'admitted' ? decision.source : decision.reason;
    registry.increment(meters.QUOTA_DECISIONS, { outcome });
    if (decision.type === 'admitted') return;
    registry.increment(meters.QUOTA_REFUSALS, { customer });
    const now = nowMs();
    const isFirst = now - (this.refusedMs.get(customer) ?? -Infinity) > REFUSAL_EPISODE_MS;
    this.refusedMs.set(customer, now);
    if (!isFirst) return;
    const { reason, retryAfterMs } = decision;
    log.decision('quotas', requestId, 'requests of a customer are refused', {
      customer,
      reason,
      retryAfterMs: Math.ceil(retryAfterMs),
      quota: this.quotas.get(customer) ?? null,
    });
  }

  private record(event: quotaNode.QuotaEvent): void {
    const { log, meters: registry } = this.options;
    registry.increment(meters.QUOTA_EVENTS, { type: event.type });
    switch (event.type) {
      case 'takeover':
        log.info('quotas', 'became the owner of quotas', {
          count: event.customers.length,
          customers: event.customers.slice(0, MAX_LOGGED_CUSTOMERS),
          seats: event.seats,
        });
        break;
      case 'majorityLost':
        log.warn('quotas', 'lost the majority of the votes', { seats: event.seats });
        break;
      case 'majorityRegained':
        log.info('quotas', 'has the majority of the votes', { seats: event.seats });
        break;
      case 'ownerSilent':
        log.info('quotas', 'an owner has not replied', { owner: event.owner });
        break;
      default:
      // Late grants are counted only.
    }
  }
}
