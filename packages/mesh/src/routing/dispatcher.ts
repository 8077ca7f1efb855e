/** Dispatches a request: selects a version and a node, and retries where the route allows it. */

import type { ids, metrics } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import * as admissionQueue from '../limits/admissionQueue.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as retryBudget from '../limits/retryBudget.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import * as meters from '../observability/meters.js';
import * as quarantine from '../quarantine/quarantine.js';
import type * as requestFingerprint from '../quarantine/requestFingerprint.js';
import type * as rolloutTable from '../rollouts/rolloutTable.js';
import type * as balancer from './balancer.js';
import * as candidateSelector from './candidateSelector.js';
import * as crowdedOffers from './crowdedOffers.js';
import * as exchange from './exchange.js';
import * as placements from './placement.js';
import type * as upstreamStats from './upstreamStats.js';
import type * as trafficSplitter from './trafficSplitter.js';
import type * as versionChooser from './versionChooser.js';

/** Offers to nodes per request. An offer that is refused costs little, since nothing runs. */
const MAX_OFFERS = 5;
/** Waits for a slot up to this limit are accepted: asking another node takes about as long. */
const MIN_ACCEPTED_WAIT_MS = 8;
/** Retry delay returned to the caller where no node has stated one. */
const DEFAULT_RETRY_MS = 100;

/** Reasons of refusals after which the next offer to the same node is one that it accepts. */
const REFUSED_FOR_NOW: ReadonlySet<string> = new Set([
  admissionQueue.WAIT_TOO_LONG,
  quarantine.BESIDE_SUSPECT,
]);

/** Nobody was asked: every upstream was expected to answer too late, or had no room a moment ago. */
const NO_ROOM_IN_TIME = 'noRoomInTime';

/** Reasons of refusals for lack of room, with the time until there is some. */
const WAIT_REASONS: ReadonlySet<string> = new Set([
  ...admissionQueue.FULL_REASONS,
  admissionQueue.WAIT_TOO_LONG,
  NO_ROOM_IN_TIME,
]);

export interface CallerRequest {
  requestId: ids.RequestId;
  method: string;
  target: string;
  headers: exchange.FlatHeaders;
  body: Buffer;
  route: configuration.Route;
  /** Null for requests without a customer. */
  customer: configuration.Customer | null;
  /** Precedes the priority of the route; 0 where the configuration has no customers. */
  customerPriority: number;
  /** Monotonic arrival time. */
  arrivedMs: number;
  /** Monotonic time of the route's target latency, counted from the caller's first attempt. */
  targetAtMs: number;
  /** Monotonic time by which the caller must have its answer. */
  deadlineAtMs: number;
}

export interface DispatcherOptions {
  table: members.MemberTable;
  local: exchange.Destination;
  /** Null where the node cannot be reached at present. */
  destinationOf: (node: ids.NodeId) => exchange.Destination | null;
  /** Whether a link to the node is already open. */
  hasOpenLink: (node: ids.NodeId) => boolean;
  rollouts: rolloutTable.RolloutTable;
  evacuations: evacuationTable.EvacuationTable;
  quarantine: quarantine.Quarantine;
  balancer: balancer.Balancer;
  trafficSplitter: trafficSplitter.TrafficSplitter;
  versionChooser: versionChooser.VersionChooser;
  upstreamStats: upstreamStats.UpstreamStats;
  retryBudget: retryBudget.RetryBudget;
  log: observability.DecisionLog;
  meters: metrics.Metrics;
  callerService: () => ids.ServiceName;
  /** Requests per second that a cold upstream of the service takes; null if it needs no protection. */
  coldPerSecond?: (service: ids.ServiceName) => number | null;
  /** Whether requests are ordered by shares of customers. */
  hasCustomers: () => boolean;
  nowMs: () => number;
}

/** State of one request over its offers. */
interface Progress {
  /** What identifies the request, whichever attempt it is. */
  identity: requestFingerprint.IdentifiedRequest;
  /** Regions that may serve the request. */
  placement: placements.Placement;
  /** Nodes that get no further offer of this request. */
  tried: Set<ids.NodeId>;
  /** Nodes that refused for now; the next offer to them accepts any wait, also beside other suspects. */
  probed: Set<ids.NodeId>;
  /** Upstreams that may have started to run the request. */
  started: number;
  /** Upstreams that the request has reached, including those that refused it. */
  sends: number;
  /** Retries charged to the retry budget; one that has reached no upstream may be offered again. */
  paidRetries: number;
  offers: number;
  retryAfterMs: number;
  /** Shortest wait that a node at home has stated; Infinity if none has, or for requests without home regions. */
  shortestWaitMs: number;
  reason: string;
  /** Most recent answer with a status of 500 or more. */
  failure: exchange.Answer | null;
}

export class Dispatcher {
  /** In-flight requests from this node, by the node that serves them. */
  private readonly outstanding = new Map<ids.NodeId, number>();

  private readonly candidateSelector: candidateSelector.CandidateSelector;

  private readonly crowdedOffers: crowdedOffers.CrowdedOffers;

  constructor(private readonly options: DispatcherOptions) {
    this.crowdedOffers = new crowdedOffers.CrowdedOffers(options.meters);
    this.candidateSelector = new candidateSelector.CandidateSelector({
      ...options,
      isReachable: (node) => options.destinationOf(node) !== null,
      outstandingAt: (node) => this.outstanding.get(node) ?? 0,
    });
  }

  async dispatch(req: CallerRequest, signal: AbortSignal): Promise<exchange.Outcome> {
    const { service } = this.options.trafficSplitter.choose(req.route);
    this.options.retryBudget.deposit(service);
    const versionChoice = this.options.versionChooser.choose(service);
    const { method, target, headers, body } = req;
    const progress: Progress = {
      identity: { method, target, headers, body, callerService: this.options.callerService() },
      placement: placements.resolvePlacement(req.route, req.customer),
      tried: new Set(),
      probed: new Set(),
      started: 0,
      sends: 0,
      paidRetries: 0,
      offers: 0,
      retryAfterMs: DEFAULT_RETRY_MS,
      shortestWaitMs: Infinity,
      reason: candidateSelector.NO_UPSTREAM,
      failure: null,
    };
    while (progress.offers < MAX_OFFERS && !signal.aborted) {
      const verdict = this.verdictOf(progress);
      if (verdict.type === 'blocked') {
        progress.reason = quarantine.BLOCKED;
        progress.retryAfterMs = verdict.retryAfterMs;
        break;
      }
      const choice = this.chooseCandidate(req, service, versionChoice, verdict, progress);
      if (choice === null) break;
      const outcome = await this.offer(req, choice, versionChoice, verdict, progress, signal);
      if (outcome !== null) return outcome;
      // Which nodes have room differs between attempts, so two of them could run at the same time.
      const wasBlocked = verdict.type === 'suspect' && verdict.wasBlocked;
      if (wasBlocked && admissionQueue.FULL_REASONS.has(progress.reason)) break;
      if (!this.mayRetry(req, service, progress)) break;
    }
    return this.giveUp(req, progress);
  }

  /** Outcome of a request that is not offered again. */
  private giveUp(req: CallerRequest, progress: Progress): exchange.Outcome {
    const { started, failure, reason, offers, tried } = progress;
    if (failure !== null) return failure;
    const isFull = WAIT_REASONS.has(reason) && Number.isFinite(progress.shortestWaitMs);
    const retryAfterMs = isFull
      ? Math.max(admissionQueue.MIN_RETRY_AFTER_MS, progress.shortestWaitMs)
      : progress.retryAfterMs;
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

  private recordRolloutOffer(
    { version }: members.UpstreamState,
    choice: versionChooser.VersionChoice | null,
  ): void {
    if (choice === null) return;
    this.options.versionChooser.recordOffer(choice, version);
    this.options.meters.increment(meters.ROLLOUT_OFFERS, {
      version: version === choice.target ? 'target' : 'other',
      chosen: choice.isTarget ? 'target' : 'other',
    });
  }

  private chooseCandidate(
    req: CallerRequest,
    service: ids.ServiceName,
    versionChoice: versionChooser.VersionChoice | null,
    verdict: quarantine.Verdict,
    progress: Progress,
  ): balancer.Choice | null {
    const now = this.options.nowMs();
    const { upstreamStats: stats } = this.options;
    const profile = {
      transferBytes: req.body.length + stats.answerBytes(req.route.name),
      targetLeftMs: req.targetAtMs - now,
      deadlineLeftMs: req.deadlineAtMs - now,
    };
    const selection = {
      route: req.route,
      service,
      versionChoice,
      customer: req.customer?.name ?? null,
      customerPriority: req.customerPriority,
      placement: progress.placement,
      targetLeftMs: profile.targetLeftMs,
      tried: progress.tried,
      isFirstOffer: progress.offers === 0,
    };
    const candidates =
      verdict.type === 'suspect'
        ? this.candidateSelector.selectForSuspect(selection, verdict, progress.probed)
        : this.selectCandidates(selection, progress);
    if (candidates.length === 0 && progress.reason === candidateSelector.NO_UPSTREAM) {
      progress.reason = this.candidateSelector.absenceReason(selection);
      if (progress.reason === placements.EVACUATED) {
        progress.retryAfterMs = placements.EVACUATED_RETRY_MS;
      }
    }
    const choice = this.options.balancer.choose(candidates, profile);
    if (choice !== null || candidates.length === 0 || progress.offers > 0) return choice;
    progress.reason = NO_ROOM_IN_TIME;
    if (!this.options.hasCustomers()) return null;
    // Loads include waiting requests that this one may overtake; the nodes of the upstreams know its place.
    const idle = candidates.map((candidate) => ({ ...candidate, load: 0 }));
    const unlimited = this.options.balancer.choose(idle, profile);
    return unlimited === null ? null : { ...unlimited, maxWaitMs: Infinity };
  }

  private selectCandidates(
    req: candidateSelector.SelectionRequest,
    progress: Progress,
  ): balancer.Candidate[] {
    const selection = this.candidateSelector.select(req);
    const { candidates, shortestBackoffMs, shortestStatedMs } = selection;
    if (shortestStatedMs !== null) {
      progress.shortestWaitMs = Math.min(progress.shortestWaitMs, shortestStatedMs);
    }
    if (candidates.length === 0 && shortestBackoffMs !== null) {
      progress.reason = NO_ROOM_IN_TIME;
      progress.retryAfterMs = Math.max(admissionQueue.MIN_RETRY_AFTER_MS, shortestBackoffMs);
    }
    return candidates;
  }

  /** Longest wait for a slot and the uplink at the candidate; beyond it, the request is offered elsewhere. */
  private maxWait(
    req: CallerRequest,
    { candidate, maxWaitMs }: balancer.Choice,
    verdict: quarantine.Verdict,
    progress: Progress,
  ): number {
    const acceptsAnyWait = progress.offers >= MAX_OFFERS || progress.probed.has(candidate.node);
    if (acceptsAnyWait) return Infinity;
    // A suspect has one candidate at a time, and others after it.
    const limitMs = verdict.type === 'suspect' ? req.deadlineAtMs - req.arrivedMs : maxWaitMs;
    return Math.max(MIN_ACCEPTED_WAIT_MS, limitMs);
  }

  /** @returns the result, or null if the request may be offered elsewhere */
  private async offer(
    req: CallerRequest,
    choice: balancer.Choice,
    versionChoice: versionChooser.VersionChoice | null,
    verdict: quarantine.Verdict,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<exchange.Outcome | null> {
    const { node, distance } = choice.candidate;
    const { table, local, destinationOf, upstreamStats: stats } = this.options;
    progress.offers += 1;
    const destination = node === table.self.node ? local : destinationOf(node);
    const member = table.get(node);
    if (destination === null || member?.upstream == null) {
      progress.tried.add(node);
      return null;
    }
    this.recordRolloutOffer(member.upstream, versionChoice);
    const ownRequests = (this.outstanding.get(node) ?? 0) + 1;
    this.outstanding.set(node, ownRequests);
    const forwarded = this.toForwardedRequest(
      req,
      node,
      member.upstream,
      verdict,
      this.maxWait(req, choice, verdict, progress),
      progress.placement !== null,
    );
    const offeredMs = this.options.nowMs();
    const { outcome, report } = await destination.send(forwarded, signal);
    this.crowdedOffers.record(choice, outcome, this.options.nowMs() - offeredMs);
    const remaining = this.outstanding.get(node)! - 1;
    this.outstanding.set(node, remaining);
    this.options.meters.increment(meters.OFFERS, { distance, outcome: outcome.type });
    if (outcome.type === 'lost' && outcome.end !== undefined) {
      const isSameDomain = member.domain === table.self.domain;
      const origin = isSameDomain ? 'domain' : 'remote';
      this.options.quarantine.recordEnd(progress.identity, outcome.end, origin);
    }
    if (report !== null) stats.recordReport(node, req.route.name, report, remaining);
    if (outcome.type === 'refused') {
      this.candidateSelector.leaveOutPlace(member, outcome.reason, progress.tried);
    }
    return this.handleOutcome(req, node, outcome, progress, forwarded);
  }

  private handleOutcome(
    req: CallerRequest,
    node: ids.NodeId,
    outcome: exchange.Outcome,
    progress: Progress,
    forwarded: exchange.ForwardedRequest,
  ): exchange.Outcome | null {
    const { upstreamStats: stats } = this.options;
    if (outcome.type === 'refused') {
      progress.retryAfterMs = outcome.retryAfterMs;
      progress.reason = outcome.reason;
      if (progress.placement !== null && WAIT_REASONS.has(outcome.reason)) {
        progress.shortestWaitMs = Math.min(progress.shortestWaitMs, outcome.retryAfterMs);
      }
      if (REFUSED_FOR_NOW.has(outcome.reason)) progress.probed.add(node);
      else progress.tried.add(node);
      if (admissionQueue.FULL_REASONS.has(outcome.reason)) {
        stats.recordFull(node, forwarded, outcome);
      }
      if (outcome.reachedUpstream) {
        progress.sends += 1;
        stats.recordFailure(node);
      }
      return null;
    }
    progress.tried.add(node);
    progress.started += 1;
    progress.sends += 1;
    if (outcome.type === 'answer' && outcome.status < 500) {
      stats.recordAnswer(node, req.route.name, outcome.serviceMs, outcome.body.length);
      return outcome;
    }
    stats.recordFailure(node);
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

  private mayRetry(req: CallerRequest, service: ids.ServiceName, progress: Progress): boolean {
    if (quarantine.FINAL_REASONS.has(progress.reason)) return false;
    if (req.route.semantics === 'once' && progress.started > 0) return false;
    if (progress.sends >= req.route.maxUpstreams) return false;
    // Offers that reached no upstream are not charged to the retry budget.
    if (progress.paidRetries >= progress.sends) return true;
    if (!this.options.retryBudget.tryWithdraw(service)) return false;
    progress.paidRetries = progress.sends;
    return true;
  }

  private verdictOf({ identity }: Progress): quarantine.Verdict {
    const { quarantine: suspects } = this.options;
    return suspects.isEmpty ? quarantine.CLEAR : suspects.verdictOf(identity);
  }

  private toForwardedRequest(
    req: CallerRequest,
    node: ids.NodeId,
    upstream: members.UpstreamState,
    verdict: quarantine.Verdict,
    maxWaitMs: number,
    isConfined: boolean,
  ): exchange.ForwardedRequest {
    const now = this.options.nowMs();
    const { requestId, method, target, headers, body, route, customer, customerPriority } = req;
    return {
      requestId,
      method,
      target,
      headers,
      body,
      route: route.name,
      semantics: route.semantics,
      priority: route.priority,
      customer: customer?.name ?? null,
      customerPriority,
      callerService: this.options.callerService(),
      instance: upstream.instance,
      targetLeftMs: req.targetAtMs - now,
      deadlineLeftMs: req.deadlineAtMs - now,
      estimateMs: this.options.upstreamStats.averageServiceMs(route.name, route.targetLatencyMs),
      maxWaitMs,
      crashReport:
        verdict.type === 'suspect' ? this.options.quarantine.reportOn(verdict.fingerprint) : null,
      fromOtherHost: node !== this.options.table.self.node,
      isConfined,
    };
  }
}
