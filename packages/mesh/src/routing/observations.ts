/** What a node has seen of upstreams: times and sizes by route, load and failures by node. */

import type { ids } from '@godwittrack/core';
import type * as exchange from './exchange.js';

/** Weight of the newest sample in a moving average. */
const SAMPLE_WEIGHT = 0.08;
/** Expected time at an upstream before the first sample, as a share of the target latency. */
const FIRST_GUESS_SHARE = 0.25;
/** Time in which half of what was seen of a failing upstream is forgotten. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Time in which half of a difference from the usual time is forgotten, so that slow ones are tried again. */
const TYPICAL_HALF_LIFE_MS = 3_000;
/** Part of the wait that a full node stated for which it is not asked again. */
const FULL_PART = 0.5;
/** Longest time for which a full node is not asked again; room can come up at any moment. */
const MAX_FULL_MS = 100;
/** Time in which half of a reported load is taken as done. */
const LOAD_HALF_LIFE_MS = 250;

export class MovingAverage {
  private held: number | null = null;

  private heldDeviation: number | null = null;

  add(sample: number): void {
    if (this.held === null) {
      this.held = sample;
      return;
    }
    const apart = Math.abs(sample - this.held);
    this.held += SAMPLE_WEIGHT * (sample - this.held);
    this.heldDeviation =
      this.heldDeviation === null
        ? apart
        : this.heldDeviation + SAMPLE_WEIGHT * (apart - this.heldDeviation);
  }

  get value(): number | null {
    return this.held;
  }

  /** Mean distance of samples from the average; null before the second sample. */
  get deviation(): number | null {
    return this.heldDeviation;
  }
}

/** A moving average for each route. */
export class RouteAverages {
  private readonly averages = new Map<ids.RouteName, MovingAverage>();

  add(route: ids.RouteName, sample: number): void {
    let average = this.averages.get(route);
    if (average === undefined) {
      average = new MovingAverage();
      this.averages.set(route, average);
    }
    average.add(sample);
  }

  /** Undefined before the first sample. */
  get(route: ids.RouteName): MovingAverage | undefined {
    return this.averages.get(route);
  }

  clear(): void {
    this.averages.clear();
  }
}

interface Reported {
  value: number;
  atMs: number;
}

/** A node had no room for a request. */
interface Full {
  untilMs: number;
  /** Time that the request had until its target latency; one with more may still find room. */
  targetLeftMs: number;
}

interface NodeObservations {
  failures: number;
  successes: number;
  decayedAtMs: number;
  /** Requests under way there that others sent. */
  loadOfOthers: Reported;
  /** Usual time at the upstream by route. */
  typicalMs: Map<ids.RouteName, Reported>;
  full: Map<ids.RouteName, Full>;
}

export class Observations {
  private readonly serviceTimes = new RouteAverages();

  private readonly answerSizes = new RouteAverages();

  private readonly nodes = new Map<ids.NodeId, NodeObservations>();

  constructor(private readonly nowMs: () => number) {}

  /** Usual time at an upstream, over the fleet. */
  serviceMs(route: ids.RouteName, targetLatencyMs: number): number {
    return this.serviceTimes.get(route)?.value ?? targetLatencyMs * FIRST_GUESS_SHARE;
  }

  answerBytes(route: ids.RouteName): number {
    return this.answerSizes.get(route)?.value ?? 0;
  }

  /** Usual time at one upstream; tends to the fleet's usual time while nothing is heard of it. */
  workMs(node: ids.NodeId, route: ids.RouteName, usualMs: number): number {
    const typical = this.nodes.get(node)?.typicalMs.get(route);
    if (typical === undefined) return usualMs;
    const kept = 0.5 ** ((this.nowMs() - typical.atMs) / TYPICAL_HALF_LIFE_MS);
    return usualMs + (typical.value - usualMs) * kept;
  }

  loadOfOthers(node: ids.NodeId): number {
    const load = this.nodes.get(node)?.loadOfOthers;
    if (load === undefined) return 0;
    return load.value * 0.5 ** ((this.nowMs() - load.atMs) / LOAD_HALF_LIFE_MS);
  }

  /** @returns time after which a node that was full is asked again; 0 where it may be asked now */
  fullForMs(node: ids.NodeId, route: ids.RouteName, targetLeftMs: number): number {
    const full = this.nodes.get(node)?.full.get(route);
    if (full === undefined || targetLeftMs > full.targetLeftMs) return 0;
    return Math.max(0, full.untilMs - this.nowMs());
  }

  /** A node had no room for a request and stated a wait. */
  recordFull(node: ids.NodeId, route: ids.RouteName, targetLeftMs: number, waitMs: number): void {
    const untilMs = this.nowMs() + Math.min(MAX_FULL_MS, waitMs * FULL_PART);
    this.node(node).full.set(route, { untilMs, targetLeftMs });
  }

  failureShare(node: ids.NodeId): number {
    if (!this.nodes.has(node)) return 0;
    const { failures, successes } = this.outcome(node);
    // One assumed success keeps a single failure from condemning an upstream.
    return failures / (failures + successes + 1);
  }

  recordAnswer(node: ids.NodeId, route: ids.RouteName, ms: number, bytes: number): void {
    this.serviceTimes.add(route, ms);
    this.answerSizes.add(route, bytes);
    this.outcome(node).successes += 1;
  }

  recordFailure(node: ids.NodeId): void {
    this.outcome(node).failures += 1;
  }

  /** @param mine requests from this node that are still under way there */
  recordReport(
    node: ids.NodeId,
    route: ids.RouteName,
    report: exchange.LoadReport,
    mine: number,
  ): void {
    const seen = this.node(node);
    const atMs = this.nowMs();
    seen.loadOfOthers = { value: Math.max(0, report.load - mine), atMs };
    if (report.typicalMs !== null) seen.typicalMs.set(route, { value: report.typicalMs, atMs });
  }

  private outcome(node: ids.NodeId): NodeObservations {
    const seen = this.node(node);
    const now = this.nowMs();
    const kept = 0.5 ** ((now - seen.decayedAtMs) / FAILURE_HALF_LIFE_MS);
    seen.failures *= kept;
    seen.successes *= kept;
    seen.decayedAtMs = now;
    return seen;
  }

  private node(node: ids.NodeId): NodeObservations {
    let seen = this.nodes.get(node);
    if (seen === undefined) {
      const atMs = this.nowMs();
      const loadOfOthers = { value: 0, atMs };
      seen = {
        failures: 0,
        successes: 0,
        decayedAtMs: atMs,
        loadOfOthers,
        typicalMs: new Map(),
        full: new Map(),
      };
      this.nodes.set(node, seen);
    }
    return seen;
  }
}
