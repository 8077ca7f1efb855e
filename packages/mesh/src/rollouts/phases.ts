/**
 * Phases of rolling a service out to a new version. A rollout never returns to an earlier phase, so of
 * two states of the same order the one in the later phase wins.
 */

import type { ids } from '@godwittrack/core';
import type * as storePosition from '../config/storePosition.js';

export const PHASES = ['held', 'canary', 'pulse', 'full', 'completed', 'rolledBack'] as const;
export type Phase = (typeof PHASES)[number];

/** Rollout states that are persisted in the store. */
export type RecordedPhase = 'running' | 'completed' | 'rolledBack';

/** An operator's request to roll a service out to a version. */
export interface RolloutOrder {
  service: ids.ServiceName;
  target: ids.VersionName;
  /** Time after the order within which the rollout should complete. */
  durationMs: number;
}

/** Rollout as persisted in the store: the order and its last recorded phase. */
export interface RolloutRecord extends RolloutOrder {
  /** Null until a phase has been recorded for this target. */
  recorded: RecordedPhase | null;
  /** Position of the last change of the stored object; the next update is conditional on it. */
  position: storePosition.StorePosition;
  /** Position of the order, if it was recorded with the phase; see `RolloutState`. */
  orderedAt?: storePosition.StorePosition;
  /** Revision at which the stored object was created, in the era of `position`. */
  createdRevision?: number;
  /** As in `RolloutState`, if recorded with the phase. */
  unproved?: readonly ids.VersionName[];
  /** Earlier order of another version, of which the store still holds the phase. */
  replaced?: ReplacedOrder;
}

export interface ReplacedOrder {
  target: ids.VersionName;
  phase: RecordedPhase;
  unproved: readonly ids.VersionName[];
  /** The order itself, if it was recorded with the phase. */
  order?: { orderedAt: storePosition.StorePosition; durationMs: number };
}

export interface RolloutState extends RolloutOrder {
  phase: Phase;
  /**
   * Position at which the order was given. Identifies it among the orders of the same version, of which the
   * later one begins anew.
   */
  orderedAt: storePosition.StorePosition;
  /**
   * The latest known position of the stored order. Each service has one stored order, so of two rollouts of a
   * service the newer one has the later position.
   */
  orderPosition: storePosition.StorePosition;
  /**
   * Versions that were ordered since the last one was completed, but not completed themselves. They get no
   * requests.
   */
  unproved: readonly ids.VersionName[];
  /** Whether another version had upstreams that may serve, so that the target was not in use before. */
  onTrial: boolean;
  /** Why the version was rolled back; null in all other phases. */
  reason: string | null;
  /** Time since the order in ms, as far as known to the node that reports the state. */
  ageMs: number;
}

/** Map key of a rollout. */
export function rolloutKey(service: string, target: string): string {
  return `${service}\u0000${target}`;
}

export function isFinal(phase: Phase | RecordedPhase | null): boolean {
  return phase === 'completed' || phase === 'rolledBack';
}

/** Whether the target of an open order is not proved, as far as is known; else it may have been in use before. */
export function isTrial({ phase, onTrial }: RolloutState): boolean {
  return phase !== 'completed' && (onTrial || phase !== 'held');
}

/** The later of two phases. `rolledBack` is last, so it also overrides `completed`. */
export function laterPhase(a: Phase, b: Phase): Phase {
  return PHASES.indexOf(a) >= PHASES.indexOf(b) ? a : b;
}

/** Share of a service's requests that are sent to the target version in each phase. */
export const TARGET_SHARE: Record<Phase, number> = {
  held: 0,
  canary: 0.03,
  pulse: 0.1,
  full: 1,
  completed: 1,
  rolledBack: 0,
};
