/** Statistics on upstreams: service times and answer sizes by route, load and failures by node. */

import type { ids } from '@godwittrack/core';
import * as admissionQueue from '../limits/admissionQueue.js';
import * as frames from '../peers/frames.js';
import type * as exchange from './exchange.js';
import * as fullBackoffs from './fullBackoffs.js';

/** Weight of the newest sample in a moving average. */
const SAMPLE_WEIGHT = 0.08;
/** Service time that is assumed before the first sample, as a share of the target latency. */
const INITIAL_ESTIMATE_SHARE = 0.25;
/** Half-life of the counts of failed and successful requests. */
const FAILURE_HALF_LIFE_MS = 3_000;
/**
 * Half-life of the difference between a measured service time and what is assumed without it. It makes sure
 * that slow upstreams, which get few requests, and routes that are refused for their service time are tried
 * again.
 */
const SERVICE_TIME_HALF_LIFE_MS = 3_000;
/** A full node is not asked again for this share of the wait that it stated. */
const FULL_BACKOFF_SHARE = 0.5;
/** Upper bound of that time for a wait for a slot, since one can become free at any moment. */
const MAX_SLOT_BACKOFF_MS = 100;
/**
 * Half-life of the weight of a reported load. Nodes send few requests to each upstream, so that with a shorter
 * one most reports would have hardly any weight.
 */
const LOAD_HALF_LIFE_MS = 600;
/** The end of a back-off is spread by this share of it in both directions, so that nodes return in turns. */
const BACKOFF_SPREAD = 0.5;

function decayTowards(assumedMs: number, measuredMs: number, ageMs: number): number {
  return assumedMs + (measuredMs - assumedMs) * 0.5 ** (ageMs / SERVICE_TIME_HALF_LIFE_MS);
}

export class MovingAverage {
  private average: number | null = null;

  /** Monotonic time of the newest sample. */
  private sampledAtMs = 0;

  private averageDeviation: number | null = null;

  add(sample: number, nowMs: number): void {
    this.sampledAtMs = nowMs;
    if (this.average === null) {
      this.average = sample;
      return;
    }
    const sampleDeviation = Math.abs(sample - this.average);
    this.average += SAMPLE_WEIGHT * (sample - this.average);
    this.averageDeviation =
      this.averageDeviation === null
        ? sampleDeviation
        : this.averageDeviation + SAMPLE_WEIGHT * (sampleDeviation - this.averageDeviation);
  }

  get value(): number | null {
    return this.average;
  }

  /** The average while samples come in; converges to `assumed` without them. */
  valueAt(nowMs: number, assumed: number): number {
    if (this.average === null) return assumed;
    return decayTowards(assumed, this.average, nowMs - this.sampledAtMs);
  }

  /** Moving average of the absolute deviation; null before the second sample. */
  get deviation(): number | null {
    return this.averageDeviation;
  }
}

/** A moving average for each route. */
export class RouteAverages {
  private readonly averages = new Map<ids.RouteName, MovingAverage>();

  add(route: ids.RouteName, sample: number, nowMs: number): void {
    let average = this.averages.get(route);
    if (average === undefined) {
      average = new MovingAverage();
      this.averages.set(route, average);
    }
    average.add(sample, nowMs);
  }

  /** Undefined before the first sample. */
  get(route: ids.RouteName): MovingAverage | undefined {
    return this.averages.get(route);
  }

  clear(): void {
    this.averages.clear();
  }
}

interface TimedValue {
  value: number;
  atMs: number;
}

interface NodeStats {
  failures: number;
  successes: number;
  decayedAtMs: number;
  /** In-flight requests that other nodes sent there; null before the first report. */
  loadFromOthers: TimedValue | null;
  /** Average service time at the upstream, by route. */
  averageServiceMs: Map<ids.RouteName, TimedValue>;
  /** Wait of a large answer for the uplink of the node's host. */
  transferWait: TimedValue;
  fullBackoffs: fullBackoffs.FullBackoffs;
}

export class UpstreamStats {
  private readonly serviceTimes = new RouteAverages();

  private readonly answerSizes = new RouteAverages();

  private readonly nodes = new Map<ids.NodeId, NodeStats>();

  /** @param random in [0, 1); with the default, back-offs are not spread */
  constructor(
    private readonly nowMs: () => number,
    private readonly random: () => number = () => 0.5,
  ) {}

  /** Average service time of a route over all upstreams. */
  averageServiceMs(route: ids.RouteName, targetLatencyMs: number): number {
    const assumedMs = targetLatencyMs * INITIAL_ESTIMATE_SHARE;
    return this.serviceTimes.get(route)?.valueAt(this.nowMs(), assumedMs) ?? assumedMs;
  }

  answerBytes(route: ids.RouteName): number {
    return this.answerSizes.get(route)?.value ?? 0;
  }

  /** Whether answers to the route wait for the uplink of a host. Unknown sizes count as large. */
  hasLargeAnswers(route: ids.RouteName): boolean {
    const bytes = this.answerSizes.get(route)?.value ?? Infinity;
    return bytes > frames.MAX_WHOLE_FRAME_BYTES;
  }

  /** Service time at one upstream; converges to `routeAverageMs` while no report of it comes in. */
  serviceMsAt(node: ids.NodeId, route: ids.RouteName, routeAverageMs: number): number {
    const atNode = this.nodes.get(node)?.averageServiceMs.get(route);
    if (atNode === undefined) return routeAverageMs;
    return decayTowards(routeAverageMs, atNode.value, this.nowMs() - atNode.atMs);
  }

  /** Reported load, in proportion to the weight of the report. */
  loadFromOthers(node: ids.NodeId): number {
    return this.reportedLoad(node) * this.reportWeight(node);
  }

  /** In-flight requests of other nodes, as last reported. */
  reportedLoad(node: ids.NodeId): number {
    return this.nodes.get(node)?.loadFromOthers?.value ?? 0;
  }

  /** Weight of the last reported load: 1 for a new report, 0 without any. */
  reportWeight(node: ids.NodeId): number {
    const load = this.nodes.get(node)?.loadFromOthers;
    if (load == null) return 0;
    return 0.5 ** ((this.nowMs() - load.atMs) / LOAD_HALF_LIFE_MS);
  }

  /** Wait of a large answer for the uplink of a node's host; 0 without a recent report. */
  transferWaitMs(node: ids.NodeId): number {
    const wait = this.nodes.get(node)?.transferWait;
    if (wait === undefined) return 0;
    return Math.max(0, wait.value - (this.nowMs() - wait.atMs));
  }

  /** @returns time until a node that was full may be asked again; 0 if it may be asked now */
  fullBackoffMs(node: ids.NodeId, req: fullBackoffs.BackoffRequest): number {
    return this.nodes.get(node)?.fullBackoffs.remainingMs(req, this.nowMs()) ?? 0;
  }

  /** @returns what is left of the wait that a full node has stated; 0 if it has stated none */
  statedWaitMs(node: ids.NodeId, req: fullBackoffs.BackoffRequest): number {
    return this.nodes.get(node)?.fullBackoffs.statedWaitMs(req, this.nowMs()) ?? 0;
  }

  /** Records that a node refused a request for lack of capacity, and stated a wait. */
  recordFull(
    node: ids.NodeId,
    req: fullBackoffs.BackoffRequest,
    { reason, retryAfterMs }: exchange.Refusal,
  ): void {
    const isOfSlots = reason === admissionQueue.QUEUE_TOO_LONG;
    const maxMs = isOfSlots ? MAX_SLOT_BACKOFF_MS : Infinity;
    const spread = 1 + BACKOFF_SPREAD * (2 * this.random() - 1);
    const untilMs = this.nowMs() + Math.min(maxMs, retryAfterMs * FULL_BACKOFF_SHARE) * spread;
    const isOwnShare = reason === admissionQueue.CUSTOMER_SHARE_REACHED;
    const times = { untilMs, statedUntilMs: this.nowMs() + retryAfterMs };
    this.statsOf(node).fullBackoffs.record(req, isOwnShare, times, this.nowMs());
  }

  failureShare(node: ids.NodeId): number {
    if (!this.nodes.has(node)) return 0;
    const { failures, successes } = this.decayedStats(node);
    // One assumed success, so that a single failure does not exclude an upstream.
    return failures / (failures + successes + 1);
  }

  recordAnswer(node: ids.NodeId, route: ids.RouteName, ms: number, bytes: number): void {
    this.serviceTimes.add(route, ms, this.nowMs());
    this.answerSizes.add(route, bytes, this.nowMs());
    this.decayedStats(node).successes += 1;
  }

  recordFailure(node: ids.NodeId): void {
    this.decayedStats(node).failures += 1;
  }

  /** @param ownRequests this node's own part of the reported load */
  recordReport(
    node: ids.NodeId,
    route: ids.RouteName,
    report: exchange.LoadReport,
    ownRequests: number,
  ): void {
    const stats = this.statsOf(node);
    const atMs = this.nowMs();
    stats.loadFromOthers = { value: Math.max(0, report.load - ownRequests), atMs };
    stats.transferWait = { value: report.transferWaitMs, atMs };
    if (report.averageServiceMs !== null)
      stats.averageServiceMs.set(route, { value: report.averageServiceMs, atMs });
  }

  private decayedStats(node: ids.NodeId): NodeStats {
    const stats = this.statsOf(node);
    const now = this.nowMs();
    const remainingShare = 0.5 ** ((now - stats.decayedAtMs) / FAILURE_HALF_LIFE_MS);
    stats.failures *= remainingShare;
    stats.successes *= remainingShare;
    stats.decayedAtMs = now;
    return stats;
  }

  private statsOf(node: ids.NodeId): NodeStats {
    let stats = this.nodes.get(node);
    if (stats === undefined) {
      const atMs = this.nowMs();
      stats = {
        failures: 0,
        successes: 0,
        decayedAtMs: atMs,
        loadFromOthers: null,
        averageServiceMs: new Map(),
        transferWait: { value: 0, atMs },
        fullBackoffs: new fullBackoffs.FullBackoffs(),
      };
      this.nodes.set(node, stats);
    }
    return stats;
  }
}
