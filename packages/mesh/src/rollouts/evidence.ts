/** Counts an upstream's responses by route, on the node that runs on the same host. */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';
import type * as phases from './phases.js';

export interface RouteEvidence {
  requests: number;
  failures: number;
  /** Total response time of the requests that did not fail. */
  totalMs: number;
}

export interface EvidenceReport {
  node: ids.NodeId;
  service: ids.ServiceName;
  version: ids.VersionName;
  instance: ids.InstanceId;
  /** Counts since the rollout started on this node, or since its `pulse` phase started. */
  routes: Record<string, RouteEvidence>;
}

/**
 * Failures among the last `LOCAL_FAILURE_WINDOW` responses at which a node rolls a version back without
 * waiting for the rollout controller.
 */
const LOCAL_FAILURE_THRESHOLD = 5;
const LOCAL_FAILURE_WINDOW = 12;

type FailureThresholdListener = (state: members.UpstreamState, reason: string) => void;

export class EvidenceRecorder {
  private routes: Record<string, RouteEvidence> = {};

  /** Whether each of the last responses failed, oldest first. */
  private recent: boolean[] = [];

  private readonly listeners: FailureThresholdListener[] = [];

  /** @param isRollingOut whether a rollout to the version is still in progress */
  constructor(private readonly isRollingOut: (service: string, version: string) => boolean) {}

  onFailureThreshold(listener: FailureThresholdListener): void {
    this.listeners.push(listener);
  }

  /**
   * Resets the counts where a phase must be assessed by its own responses: successes from before the
   * `pulse` phase would outweigh failures that only occur under load.
   */
  enterPhase(phase: phases.Phase): void {
    if (phase === 'held') this.reset();
    else if (phase === 'pulse') this.routes = {};
  }

  /** Discards all counts, when a rollout starts or the upstream is replaced. */
  reset(): void {
    this.routes = {};
    this.recent = [];
  }

  record(state: members.UpstreamState, route: string, failed: boolean, ms: number): void {
    const counts = this.routes[route] ?? { requests: 0, failures: 0, totalMs: 0 };
    this.routes[route] = counts;
    counts.requests += 1;
    if (failed) counts.failures += 1;
    else counts.totalMs += ms;
    if (!this.isRollingOut(state.service, state.version)) return;
    this.recent.push(failed);
    if (this.recent.length > LOCAL_FAILURE_WINDOW) this.recent.shift();
    const failures = this.recent.filter(Boolean).length;
    if (failures < LOCAL_FAILURE_THRESHOLD) return;
    const reason = `${failures} of the last ${this.recent.length} answers failed`;
    for (const listener of this.listeners) listener(state, reason);
  }

  countsByRoute(): Record<string, RouteEvidence> {
    return this.routes;
  }
}
