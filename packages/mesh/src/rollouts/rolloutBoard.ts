/**
 * What a node knows of rollouts, and which versions of a service it may use. Phases only advance, so
 * states from the store and from other nodes merge in any order.
 */

import type { ids } from '@godwittrack/core';
import type * as news from '../config/news.js';
import type * as observability from '../observability/decisionLog.js';
import * as phases from './phases.js';

type Listener = (state: phases.RolloutState, origin: news.Origin) => void;

interface Held {
  state: phases.RolloutState;
  /** Monotonic time at which this node learned of the order. */
  sinceMs: number;
  /** Rises with each order for the service, so that the newest one counts. */
  place: number;
}

export interface VersionSplit {
  /** Version on trial; null while no rollout runs. */
  target: ids.VersionName | null;
  /** Share of requests for the target. */
  share: number;
}

export class RolloutBoard {
  private readonly rollouts = new Map<string, Held>();

  private readonly listeners: Listener[] = [];

  private places = 0;

  private known = false;

  constructor(
    private readonly log: observability.DecisionLog,
    private readonly nowMs: () => number,
  ) {}

  /** Whether the store or another node has said which rollouts there are. */
  get isKnown(): boolean {
    return this.known;
  }

  /** Marks that all rollouts of the moment have been learned. */
  setKnown(): void {
    this.known = true;
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  states(): phases.RolloutState[] {
    return [...this.rollouts.values()].map(({ state }) => state);
  }

  /** The newest order for a service. */
  newest(service: string): Held | null {
    let newest: Held | null = null;
    for (const held of this.rollouts.values()) {
      if (held.state.service === service && (newest === null || held.place > newest.place)) {
        newest = held;
      }
    }
    return newest;
  }

  /** An order, or its recorded phase, as the store has it. */
  learn(record: phases.RolloutRecord): void {
    const phase =
      record.recorded === null || record.recorded === 'running' ? 'held' : record.recorded;
    const { service, target, durationMs } = record;
    this.take({ service, target, durationMs, phase, reason: null }, 'store');
  }

  merge(states: readonly phases.RolloutState[], origin: news.Origin): void {
    for (const state of states) this.take(state, origin);
  }

  /** Moves a rollout on; going back is without effect. */
  advance(
    service: ids.ServiceName,
    target: ids.VersionName,
    phase: phases.Phase,
    reason: string | null,
  ): void {
    const held = this.rollouts.get(phases.keyOf(service, target));
    if (held !== undefined) this.take({ ...held.state, phase, reason }, 'self');
  }

  /** False for versions that were taken back. */
  mayServe(service: string, version: string): boolean {
    return this.rollouts.get(phases.keyOf(service, version))?.state.phase !== 'rolledBack';
  }

  /** Whether a version is new and not yet proved. */
  isOnTrial(service: string, version: string): boolean {
    const held = this.rollouts.get(phases.keyOf(service, version));
    return held !== undefined && !phases.isFinal(held.state.phase);
  }

  split(service: string): VersionSplit {
    const newest = this.newest(service);
    if (newest === null || newest.state.phase === 'rolledBack') return { target: null, share: 0 };
    return { target: newest.state.target, share: phases.TARGET_SHARE[newest.state.phase] };
  }

  private take(next: phases.RolloutState, origin: news.Origin): void {
    const fromStore = origin === 'store';
    const key = phases.keyOf(next.service, next.target);
    const held = this.rollouts.get(key);
    if (held === undefined) {
      this.places += 1;
      this.rollouts.set(key, { state: next, sinceMs: this.nowMs(), place: this.places });
    } else {
      if (fromStore && held.place < (this.newest(next.service)?.place ?? 0)) {
        this.places += 1;
        held.place = this.places;
      }
      const phase = mergePhases(held.state.phase, next.phase, fromStore);
      if (phase === held.state.phase) return;
      held.state = { ...held.state, phase, reason: next.reason };
    }
    const { state } = this.rollouts.get(key)!;
    this.log.belief('rollouts', 'a rollout has a new phase', { ...state, origin });
    for (const listener of this.listeners) listener(state, origin);
  }
}

/** A final phase stays, but what the store recorded as final counts before what nodes believe. */
function mergePhases(held: phases.Phase, next: phases.Phase, fromStore: boolean): phases.Phase {
  if (phases.isFinal(held)) return fromStore && phases.isFinal(next) ? next : held;
  return phases.laterPhase(held, next);
}
