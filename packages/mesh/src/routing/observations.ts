/** What a node has seen of upstreams: time at the upstream by route, pace and failures by node. */

import type { ids } from '@godwittrack/core';

/** Weight of the newest sample in a moving average. */
const SAMPLE_WEIGHT = 0.08;
/** Expected time at an upstream before the first sample, as a share of the target latency. */
const FIRST_GUESS_SHARE = 0.25;
/** Time in which half of what was seen of a failing upstream is forgotten. */
const FAILURE_HALF_LIFE_MS = 3_000;
const MIN_SLOWNESS = 0.3;
const MAX_SLOWNESS = 20;

export class MovingAverage {
  private held: number | null = null;

  add(sample: number): void {
    this.held = this.held === null ? sample : this.held + SAMPLE_WEIGHT * (sample - this.held);
  }

  get value(): number | null {
    return this.held;
  }
}

interface NodeObservations {
  slowness: MovingAverage;
  failures: number;
  successes: number;
  decayedAtMs: number;
  /** Requests under way there that others sent, as last reported. */
  loadOfOthers: number;
}

export class Observations {
  private readonly routes = new Map<string, MovingAverage>();

  private readonly nodes = new Map<ids.NodeId, NodeObservations>();

  constructor(private readonly nowMs: () => number) {}

  serviceMs(route: string, targetLatencyMs: number): number {
    return this.routes.get(route)?.value ?? targetLatencyMs * FIRST_GUESS_SHARE;
  }

  recordService(node: ids.NodeId, route: string, ms: number): void {
    let average = this.routes.get(route);
    if (average === undefined) {
      average = new MovingAverage();
      this.routes.set(route, average);
    }
    const usual = average.value;
    average.add(ms);
    if (usual !== null && usual > 0) this.node(node).slowness.add(clampSlowness(ms / usual));
    this.outcome(node).successes += 1;
  }

  recordFailure(node: ids.NodeId): void {
    this.outcome(node).failures += 1;
  }

  /** Notes how many requests the node reported under way, less those sent from here. */
  recordLoad(node: ids.NodeId, loadOfOthers: number): void {
    this.node(node).loadOfOthers = Math.max(0, loadOfOthers);
  }

  loadOfOthers(node: ids.NodeId): number {
    return this.nodes.get(node)?.loadOfOthers ?? 0;
  }

  slowness(node: ids.NodeId): number {
    return this.nodes.get(node)?.slowness.value ?? 1;
  }

  failureShare(node: ids.NodeId): number {
    const seen = this.nodes.get(node);
    if (seen === undefined) return 0;
    const { failures, successes } = this.outcome(node);
    // One assumed success keeps a single failure from condemning an upstream.
    return failures / (failures + successes + 1);
  }

  forget(node: ids.NodeId): void {
    this.nodes.delete(node);
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
      seen = {
        slowness: new MovingAverage(),
        failures: 0,
        successes: 0,
        decayedAtMs: this.nowMs(),
        loadOfOthers: 0,
      };
      this.nodes.set(node, seen);
    }
    return seen;
  }
}

function clampSlowness(slowness: number): number {
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
}
