/** Takes one request from its route to an answer: chooses upstreams, and repeats where it may. */

import type { ids, metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import * as admissionQueue from '../limits/admissionQueue.js';
import type * as retryBudget from '../limits/retryBudget.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import type * as rolloutBoard from '../rollouts/rolloutBoard.js';
import type * as balancer from './balancer.js';
import * as candidateOrder from './candidateOrder.js';
import * as exchange from './exchange.js';
import type * as observations from './observations.js';
import type * as splitChooser from './splitChooser.js';

/** Offers of a request before it is refused; those that are refused cost little. */
const MAX_OFFERS = 5;
/** Shortest wait for a slot that is accepted before others are asked: about the time to ask them. */
const MIN_ACCEPTED_WAIT_MS = 8;
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
  /** Whether a request to the node needs no link to be opened. */
  isOpen: (node: ids.NodeId) => boolean;
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

/** The version on trial, and whether the request goes to it or to the others. */
interface VersionChoice {
  version: ids.VersionName;
  use: boolean;
}

interface Progress {
  /** Nodes that are not asked again. */
  tried: Set<ids.NodeId>;
  /** Nodes that have said how long a request waits there; they may be asked once more. */
  probed: Set<ids.NodeId>;
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

  private readonly order: candidateOrder.CandidateOrder;

  constructor(private readonly options: DispatcherOptions) {
    this.order = new candidateOrder.CandidateOrder(options.table);
  }

  async dispatch(req: CallerRequest, signal: AbortSignal): Promise<exchange.Outcome> {
    const { service } = this.options.split.choose(req.route);
    this.options.budget.earn(service);
    const target = this.chooseVersion(service);
    const progress: Progress = {
      tried: new Set(),
      probed: new Set(),
      started: 0,
      sends: 0,
      offers: 0,
      retryAfterMs: DEFAULT_RETRY_MS,
      reason: 'noUpstream',
      failure: null,
    };
    while (progress.offers < MAX_OFFERS && !signal.aborted) {
      const choice = this.choose(req, service, target, progress);
      if (choice === null) break;
      const outcome = await this.offer(req, choice, progress, signal);
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

  private chooseVersion(service: ids.ServiceName): VersionChoice | null {
    const { target, share } = this.options.rollouts.split(service);
    if (target === null) return null;
    return { version: target, use: share >= 1 || this.options.random() < share };
  }

  private choose(
    req: CallerRequest,
    service: ids.ServiceName,
    target: VersionChoice | null,
    progress: Progress,
  ): balancer.Choice | null {
    const now = this.options.nowMs();
    const { observations: seen } = this.options;
    const demand = {
      answerBytes: seen.answerBytes(req.route.name),
      targetLeftMs: req.targetAtMs - now,
      deadlineLeftMs: req.deadlineAtMs - now,
    };
    const found = this.candidates(req.route, service, target, demand.targetLeftMs, progress);
    const choice = this.options.balancer.choose(found, demand);
    if (choice === null && found.length > 0 && progress.offers === 0) {
      progress.reason = 'noRoomInTime';
    }
    return choice;
  }

  /** Where the old version has no upstream left, or the new one none yet, the other serves. */
  private candidates(
    route: configuration.Route,
    service: ids.ServiceName,
    target: VersionChoice | null,
    targetLeftMs: number,
    progress: Progress,
  ): balancer.Candidate[] {
    const mayUse = (member: members.Member) => this.mayUse(member, service, progress.tried);
    const collect = (isEligible: (member: members.Member) => boolean) =>
      this.collect(route, service, targetLeftMs, isEligible, progress);
    if (target === null) return collect(mayUse).candidates;
    const wanted = collect(
      (member) => (member.upstream!.version === target.version) === target.use && mayUse(member),
    );
    if (wanted.candidates.length > 0 || wanted.full > 0 || progress.offers > 0) {
      return wanted.candidates;
    }
    return collect(mayUse).candidates;
  }

  /** Leaves out nodes that had no room a moment ago: asking them again only delays the refusal. */
  private collect(
    route: configuration.Route,
    service: ids.ServiceName,
    targetLeftMs: number,
    isEligible: (member: members.Member) => boolean,
    progress: Progress,
  ): { candidates: balancer.Candidate[]; full: number } {
    const { observations: seen } = this.options;
    const usualMs = seen.serviceMs(route.name, route.targetLatencyMs);
    const candidates: balancer.Candidate[] = [];
    let full = 0;
    let shortestMs = Infinity;
    const hasRoom = (member: members.Member) => {
      if (!isEligible(member)) return false;
      const fullMs = seen.fullForMs(member.node, route.name, targetLeftMs);
      if (fullMs === 0) return true;
      full += 1;
      shortestMs = Math.min(shortestMs, fullMs);
      return false;
    };
    this.order.consider(service, hasRoom, (member, distance) => {
      candidates.push(this.candidate(member, distance, route.name, usualMs));
    });
    if (candidates.length === 0 && full > 0) {
      progress.reason = 'noRoomInTime';
      progress.retryAfterMs = Math.max(admissionQueue.MIN_RETRY_AFTER_MS, shortestMs);
    }
    return { candidates, full };
  }

  private mayUse(
    { node, upstream }: members.Member,
    service: ids.ServiceName,
    tried: ReadonlySet<ids.NodeId>,
  ): boolean {
    const { table, destinationOf, rollouts } = this.options;
    return (
      !tried.has(node) &&
      rollouts.mayServe(service, upstream!.version) &&
      (node === table.self.node || destinationOf(node) !== null)
    );
  }

  private candidate(
    { node, upstream }: members.Member,
    distance: members.Distance,
    route: ids.RouteName,
    usualMs: number,
  ): balancer.Candidate {
    const { observations: seen, table, isOpen } = this.options;
    return {
      node,
      distance,
      slots: upstream!.slots,
      load: (this.outstanding.get(node) ?? 0) + seen.loadOfOthers(node),
      workMs: seen.workMs(node, route, usualMs),
      failureShare: seen.failureShare(node),
      isOpen: node === table.self.node || isOpen(node),
    };
  }

  /** How long the request may wait there before others are asked. */
  private maxWait({ candidate, maxWaitMs }: balancer.Choice, progress: Progress): number {
    const isLast = progress.offers >= MAX_OFFERS || progress.probed.has(candidate.node);
    return isLast ? Infinity : Math.max(MIN_ACCEPTED_WAIT_MS, maxWaitMs);
  }

  /** @returns the result, or null if the request may be offered elsewhere */
  private async offer(
    req: CallerRequest,
    choice: balancer.Choice,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | null> {
    const { node, distance } = choice.candidate;
    const { table, local, destinationOf, observations: seen } = this.options;
    progress.offers += 1;
    const destination = node === table.self.node ? local : destinationOf(node);
    const member = table.get(node);
    if (destination === null || member?.upstream == null) {
      progress.tried.add(node);
      return null;
    }
    const mine = (this.outstanding.get(node) ?? 0) + 1;
    this.outstanding.set(node, mine);
    const forwarded = this.forward(req, member.upstream, this.maxWait(choice, progress));
    const { outcome, report } = await destination.send(forwarded, signal);
    const left = this.outstanding.get(node)! - 1;
    this.outstanding.set(node, left);
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
      if (outcome.reason === admissionQueue.WAIT_TOO_LONG) progress.probed.add(node);
      else progress.tried.add(node);
      if (outcome.reason === admissionQueue.QUEUE_TOO_LONG) {
        seen.recordFull(node, req.route.name, targetLeftMs, outcome.retryAfterMs);
      }
      if (outcome.reachedUpstream) {
        progress.sends += 1;
        seen.recordFailure(node);
      }
      return null;
    }
    progress.tried.add(node);
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

  private forward(
    req: CallerRequest,
    upstream: members.UpstreamState,
    maxWaitMs: number,
  ): exchange.ForwardedRequest {
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
      maxWaitMs,
    };
  }
}
