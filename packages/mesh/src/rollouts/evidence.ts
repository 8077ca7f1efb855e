/** Answers of an upstream by version and route, counted by the node beside it. */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';
import type * as phases from './phases.js';

export interface RouteEvidence {
  requests: number;
  failures: number;
  /** Sum of the times at the upstream of requests that did not fail. */
  totalMs: number;
}

export interface EvidenceReport {
  node: ids.NodeId;
  service: ids.ServiceName;
  version: ids.VersionName;
  instance: ids.InstanceId;
  /** Counted since the service's rollout began at this node, or since its pulse. */
  routes: Record<string, RouteEvidence>;
}

/** Failures among the last answers at which a node stops using a new version by itself. */
const LOCAL_VETO_FAILURES = 5;
const LOCAL_VETO_WINDOW = 12;

type VetoListener = (state: members.UpstreamState, reason: string) => void;

export class EvidenceRecorder {
  private routes: Record<string, RouteEvidence> = {};

  private recent: boolean[] = [];

  private readonly listeners: VetoListener[] = [];

  /** @param isOnTrial whether a version is new and not yet proved */
  constructor(private readonly isOnTrial: (service: string, version: string) => boolean) {}

  onVeto(listener: VetoListener): void {
    this.listeners.push(listener);
  }

  /** A rollout has a new phase. Good answers from before the pulse would hide faults under load. */
  enterPhase(phase: phases.Phase): void {
    if (phase === 'held') this.reset();
    else if (phase === 'pulse') this.routes = {};
  }

  /** Starts anew, at the start of a rollout or for another upstream. */
  reset(): void {
    this.routes = {};
    this.recent = [];
  }

  record(state: members.UpstreamState, route: string, failed: boolean, ms: number): void {
    const seen = this.routes[route] ?? { requests: 0, failures: 0, totalMs: 0 };
    this.routes[route] = seen;
    seen.requests += 1;
    if (failed) seen.failures += 1;
    else seen.totalMs += ms;
    if (!this.isOnTrial(state.service, state.version)) return;
    this.recent.push(failed);
    if (this.recent.length > LOCAL_VETO_WINDOW) this.recent.shift();
    const failures = this.recent.filter(Boolean).length;
    if (failures < LOCAL_VETO_FAILURES) return;
    const reason = `${failures} of the last ${this.recent.length} answers failed`;
    for (const listener of this.listeners) listener(state, reason);
  }

  snapshot(): Record<string, RouteEvidence> {
    return this.routes;
  }
}
