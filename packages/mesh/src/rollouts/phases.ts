/** Phases of moving a service to a new version. They only advance, so states merge by the later. */

import type { ids } from '@godwittrack/core';

export const PHASES = ['held', 'canary', 'pulse', 'full', 'completed', 'rolledBack'] as const;
export type Phase = (typeof PHASES)[number];

/** What of a rollout is recorded in the store. */
export type RecordedPhase = 'running' | 'completed' | 'rolledBack';

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  service: ids.ServiceName;
  target: ids.VersionName;
  /** Time from the order in which the move is to be done. */
  durationMs: number;
}

/** What the store holds: the order and the last recorded phase. */
export interface RolloutRecord extends RolloutOrder {
  /** Null while nothing was recorded for this target. */
  recorded: RecordedPhase | null;
  /** Revision for the next conditional update. */
  revision: number;
}

export interface RolloutState extends RolloutOrder {
  phase: Phase;
  /** Why a version was taken back. */
  reason: string | null;
}

/** Identifies a rollout. */
export function keyOf(service: string, target: string): string {
  return `${service}\u0000${target}`;
}

export function isFinal(phase: Phase | RecordedPhase | null): boolean {
  return phase === 'completed' || phase === 'rolledBack';
}

/** The later phase. A version that was taken back stays so; a completed one may still be. */
export function laterPhase(a: Phase, b: Phase): Phase {
  return PHASES.indexOf(a) >= PHASES.indexOf(b) ? a : b;
}

/** Share of a service's requests that the target version gets in a phase. */
export const TARGET_SHARE: Record<Phase, number> = {
  held: 0,
  canary: 0.04,
  pulse: 0.3,
  full: 1,
  completed: 1,
  rolledBack: 0,
};
