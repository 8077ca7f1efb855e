/** Takes one request from its route to an answer: chooses upstreams, and repeats where it may. */

import type { ids, metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import * as admissionQueue from '../limits/admissionQueue.js';
import type * as retryBudget from '../limits/retryBudget.js';
import * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as rolloutBoard from '../rollouts/rolloutBoard.js';
import type * as balancer from './balancer.js';
import * as exchange from './exchange.js';
import type * as observations from './observations.js';
import type * as splitChooser from './splitChooser.js';

/** Upstreams that are offered a request before it is refused; offers that are refused cost little. */
const MAX_OFFERS = 4;
/** Wait that is named where nothing better is known. */
const DEFAULT_RETRY_MS = 100;

export interface CallerRequest {
  requestId: ids.RequestId;
  method: string;
  target: string;
  headers: exchange.FlatHeaders;
  body: Buffer;
  route: configuration.Route;
  /** Monotonic time at which it came in. */
  arrivedMs: number;
  /** Monotonic time until which its answer is worth most, counted from the caller's first attempt. */
  targetAtMs: number;
  /** Monotonic time by which it must be answered. */
  deadlineAtMs: number;
}

export interface DispatcherOptions {
  table: members.MemberTable;
  local: exchange.Destination;
  /** Null where a node cannot be asked now. */
  destinationOf: (node: ids.NodeId) => exchange.Destination | null;
  rollouts: rolloutBoard.RolloutBoard;
  balancer: balancer.Balancer;
  split: splitChooser.SplitChooser;
  observations: observations.Observations;
  budget: retryBudget.RetryBudget;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  callerService: () => ids.ServiceName;
  /** In [0, 1). */
  random: () => number;
  nowMs: () => number;
}

interface Progress {
  tried: Set<ids.NodeId>;
  /** Upstreams that may have begun to run the request. */
  started: number;
  /** Times that the request has reached an upstream, also one that refused it. */
  sends: number;
  offers: number;
  retryAfterMs: number;
  reason: string;
  /** Last answer of an upstream that was a failure. */
  failure: exchange.Answer | null;
}

export class Dispatcher {
  /** Requests from this node under way at each node. */
  private readonly outstanding = new Map<ids.NodeId, number>();

  constructor(private readonly options: DispatcherOptions) {}

  async dispatch(req: CallerRequest, signal: AbortSignal): Promise<exchange.Outcome> {
    const { service } = this.options.split.choose(req.route);
    this.options.budget.earn(service);
    const target = this.chooseVersion(service);
    const progress: Progress = {
      tried: new Set(),
      started: 0,
      sends: 0,
      offers: 0,
      retryAfterMs: DEFAULT_RETRY_MS,
      reason: 'noUpstream',
      failure: null,
    };
    while (progress.offers < MAX_OFFERS && !signal.aborted) {
      const member = this.chooseMember(req, service, target, progress);
      if (member === null) break;
      const outcome = await this.offer(req, member, progress, signal);
      if (outcome !== null) return outcome;
      if (!this.mayGoOn(req, service, progress)) break;
    }
    return this.giveUp(req, progress);
  }

  /** Result for a request that gets no further send. */
  private giveUp(req: CallerRequest, progress: Progress): exchange.Outcome {
    const { started, failure, reason, retryAfterMs, offers, tried } = progress;
    if (failure !== null) return failure;
    this.options.log.decision('dispatch', req.requestId, 'a request was given up', {
      route: req.route.name,
      reason,
      offers,
      started,
      tried: [...tried],
      retryAfterMs: Math.round(retryAfterMs),
      targetLeftMs: Math.round(req.targetAtMs - this.options.nowMs()),
      ageMs: Math.round(this.options.nowMs() - req.arrivedMs),
    });
    return started > 0 ? exchange.lost(reason) : exchange.refused(reason, retryAfterMs);
  }

  private chooseVersion(
    service: ids.ServiceName,
  ): { version: ids.VersionName; use: boolean } | null {
    const { target, share } = this.options.rollouts.split(service);
    if (target === null) return null;
    return { version: target, use: share >= 1 || this.options.random() < share };
  }

  private chooseMember(
    req: CallerRequest,
    service: ids.ServiceName,
    target: { version: ids.VersionName; use: boolean } | null,
    progress: Progress,
  ): members.Member | null {
    const usable = this.usableMembers(service, progress.tried);
    const wanted =
      target === null
        ? usable
        : usable.filter(({ upstream }) => (upstream!.version === target.version) === target.use);
    // Where the old version has no upstream left, or the new one none yet, the other serves.
    const eligible = wanted.length > 0 || progress.offers > 0 ? wanted : usable;
    if (eligible.length === 0) return null;
    const now = this.options.nowMs();
    const { observations: seen } = this.options;
    const demand = {
      serviceMs: seen.serviceMs(req.route.name, req.route.targetLatencyMs),
      answerBytes: seen.answerBytes(req.route.name),
      targetLeftMs: req.targetAtMs - now,
      deadlineLeftMs: req.deadlineAtMs - now,
    };
    const open = this.withoutFull(eligible, req.route.name, demand.targetLeftMs, progress);
    const choice = this.options.balancer.choose(
      open.map((member) => this.candidate(member, req.route.name, demand.serviceMs)),
      demand,
    );
    if (choice === null) {
      if (progress.offers === 0) progress.reason = 'noRoomInTime';
      return null;
    }
    return this.options.table.get(choice.candidate.node)!;
  }

  /** Leaves out nodes that had no room a moment ago: asking them again only delays the refusal. */
  private withoutFull(
    eligible: members.Member[],
    route: ids.RouteName,
    targetLeftMs: number,
    progress: Progress,
  ): members.Member[] {
    let shortestMs = Infinity;
    const open = eligible.filter(({ node }) => {
      const fullMs = this.options.observations.fullForMs(node, route, targetLeftMs);
      if (fullMs > 0) shortestMs = Math.min(shortestMs, fullMs);
      return fullMs === 0;
    });
    if (open.length === 0) {
      progress.retryAfterMs = Math.max(admissionQueue.MIN_RETRY_AFTER_MS, shortestMs);
    }
    return open;
  }

  private usableMembers(
    service: ids.ServiceName,
    tried: ReadonlySet<ids.NodeId>,
  ): members.Member[] {
    const { table, destinationOf, rollouts } = this.options;
    const usable: members.Member[] = [];
    for (const member of table.all()) {
      const { upstream, node } = member;
      if (
        upstream !== null &&
        upstream.accepting &&
        upstream.service === service &&
        !tried.has(node) &&
        rollouts.mayServe(service, upstream.version) &&
        (node === table.self.node || destinationOf(node) !== null)
      ) {
        usable.push(member);
      }
    }
    return usable;
  }

  private candidate(
    member: members.Member,
    route: ids.RouteName,
    usualMs: number,
  ): balancer.Candidate {
    const { observations: seen, table } = this.options;
    const { node } = member;
    return {
      node,
      distance: members.distanceBetween(table.self, member),
      slots: member.upstream!.slots,
      load: (this.outstanding.get(node) ?? 0) + seen.loadOfOthers(node),
      workMs: seen.workMs(node, route, usualMs),
      failureShare: seen.failureShare(node),
    };
  }

  /** @returns the result, or null if the request may be offered elsewhere */
  private async offer(
    req: CallerRequest,
    member: members.Member,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | null> {
    const { node } = member;
    const { table, local, destinationOf, observations: seen } = this.options;
    progress.tried.add(node);
    progress.offers += 1;
    const destination = node === table.self.node ? local : destinationOf(node);
    if (destination === null) return null;
    const mine = (this.outstanding.get(node) ?? 0) + 1;
    this.outstanding.set(node, mine);
    const forwarded = this.forward(req, member.upstream!);
    const { outcome, report } = await destination.send(forwarded, signal);
    const left = this.outstanding.get(node)! - 1;
    this.outstanding.set(node, left);
    const distance = members.distanceBetween(table.self, member);
    this.options.meters.increment(meters.OFFERS, { distance, outcome: outcome.type });
    if (report !== null) seen.recordReport(node, req.route.name, report, left);
    return this.judge(req, node, outcome, progress, forwarded.targetLeftMs);
  }

  private judge(
    req: CallerRequest,
    node: ids.NodeId,
    outcome: exchange.Outcome,
    progress: Progress,
    targetLeftMs: number,
  ): exchange.Outcome | null {
    const { observations: seen } = this.options;
    if (outcome.type === 'refused') {
      progress.retryAfterMs = outcome.retryAfterMs;
      progress.reason = outcome.reason;
      if (outcome.reason === admissionQueue.QUEUE_TOO_LONG) {
        seen.recordFull(node, req.route.name, targetLeftMs, outcome.retryAfterMs);
      }
      if (outcome.reachedUpstream) {
        progress.sends += 1;
        seen.recordFailure(node);
      }
      return null;
    }
    progress.started += 1;
    progress.sends += 1;
    if (outcome.type === 'answer' && outcome.status < 500) {
      seen.recordAnswer(node, req.route.name, outcome.serviceMs, outcome.body.length);
      return outcome;
    }
    seen.recordFailure(node);
    if (outcome.type === 'answer') {
      progress.failure = outcome;
      progress.reason = `upstream${outcome.status}`;
    } else {
      progress.failure = null;
      progress.reason = outcome.detail;
    }
    if (req.route.semantics === 'once') {
      return outcome.type === 'answer' ? outcome : this.giveUp(req, progress);
    }
    return null;
  }

  private mayGoOn(req: CallerRequest, service: ids.ServiceName, progress: Progress): boolean {
    if (req.route.semantics === 'once' && progress.started > 0) return false;
    if (progress.sends >= req.route.maxUpstreams) return false;
    // An offer that never reached an upstream costs no part of the budget.
    return progress.sends === 0 || this.options.budget.spend(service);
  }

  private forward(req: CallerRequest, upstream: members.UpstreamState): exchange.ForwardedRequest {
    const now = this.options.nowMs();
    const { requestId, method, target, headers, body, route } = req;
    return {
      requestId,
      method,
      target,
      headers,
      body,
      route: route.name,
      semantics: route.semantics,
      priority: route.priority,
      callerService: this.options.callerService(),
      instance: upstream.instance,
      targetLeftMs: req.targetAtMs - now,
      deadlineLeftMs: req.deadlineAtMs - now,
      estimateMs: this.options.observations.serviceMs(route.name, route.targetLatencyMs),
    };
  }
}
