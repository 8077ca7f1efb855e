/** Counts an upstream's responses by route, on the node that runs on the same host. */

import type { ids } from '@godwittrack/core';
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
  /** Counts since the rollout started on this node. */
  routes: Record<string, RouteEvidence>;
  /** Requests running or waiting at the upstream; nodes of earlier releases do not tell it. */
  load?: number;
}

/** Ticks of the node's timer between two reports. */
const REPORT_EVERY_TICKS = 3;

/** In `full`, the last requests of the old version must be seen in time. */
export function isReportDue(phase: phases.Phase, ticks: number): boolean {
  return phase === 'full' || ticks % REPORT_EVERY_TICKS === 0;
}

export class EvidenceRecorder {
  private routes: Record<string, RouteEvidence> = {};

  private target: ids.VersionName | null = null;

  /** Begins anew with each rollout of the upstream's service. */
  follow(target: ids.VersionName): void {
    if (this.target !== target) this.reset();
    this.target = target;
  }

  /** Discards all counts, when a rollout starts or the upstream is replaced. */
  reset(): void {
    this.routes = {};
  }

  record(route: string, failed: boolean, ms: number): void {
    const counts = this.routes[route] ?? { requests: 0, failures: 0, totalMs: 0 };
    this.routes[route] = counts;
    counts.requests += 1;
    if (failed) counts.failures += 1;
    else counts.totalMs += ms;
  }

  /** A copy, which further responses do not change. */
  countsByRoute(): Record<string, RouteEvidence> {
    return structuredClone(this.routes);
  }
}
