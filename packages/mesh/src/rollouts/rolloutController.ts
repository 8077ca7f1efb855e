/**
 * Moves rollouts through their phases. For each service the first reachable node in rendezvous order acts
 * as leader. Two leaders at once do no harm, since phases only advance and the store accepts only one
 * final record.
 */

import { failures, type ids, rendezvous } from '@godwittrack/core';
import type * as fleetStore from '../config/fleetStore.js';
import * as storePosition from '../config/storePosition.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import * as phases from './phases.js';
import type * as rolloutTable from './rolloutTable.js';
import type * as versionComparison from './versionComparison.js';

/** Fractions of the ordered duration after which phases may end, if the evidence allows. */
const CANARY_END_FRACTION = 0.36;
const PULSE_END_FRACTION = 0.47;
/**
 * Fraction of the ordered duration after which the rollout no longer waits for `MIN_CANARY_ANSWERS`, nor
 * for as many upstreams of the target as of other versions.
 */
const WAIT_END_FRACTION = 0.65;
/** Duration of the `full` phase: time without traffic to the old version before it may be stopped. */
const FULL_PHASE_MS = 2_500;
/** Responses of the target that the `canary` phase waits for. */
const MIN_CANARY_ANSWERS = 20;
const RECORD_RETRY_MS = 400;
/** Timeout of the read that precedes each write to the store. */
const RECORD_TIMEOUT_MS = 2_000;

export interface RolloutControllerOptions {
  table: members.MemberTable;
  /** Reachable nodes; returns the same array until the set changes. */
  reachable: () => readonly members.Member[];
  rollouts: rolloutTable.RolloutTable;
  comparison: versionComparison.VersionComparison;
  store: fleetStore.FleetStore;
  log: observability.DecisionLog;
  nowMs: () => number;
}

/** A phase that the store holds, or that it need not hold since it has no such order. */
interface Recorded {
  phase: phases.RecordedPhase;
  /** An order with a later position may have been given again without the phase. */
  position: storePosition.StorePosition;
}

interface Progress {
  phase: phases.Phase;
  /** Time since which the rollout is the newest of its service and in this phase. */
  sinceMs: number;
  recording: boolean;
  recorded: Recorded | null;
  nextRecordMs: number;
}

export class RolloutController {
  private readonly progress = new Map<string, Progress>();

  /** Target of the newest rollout of each service that this node leads. */
  private readonly targets = new Map<ids.ServiceName, ids.VersionName>();

  /** Leader of each service, cached with the array of reachable nodes that it was chosen from. */
  private readonly leaders = new Map<
    string,
    { nodes: readonly members.Member[]; node: ids.NodeId }
  >();

  constructor(private readonly options: RolloutControllerOptions) {}

  /** Node that controls the rollouts of a service and receives its evidence. */
  leader(service: string): ids.NodeId {
    const nodes = this.options.reachable();
    const known = this.leaders.get(service);
    if (known?.nodes === nodes) return known.node;
    const ranked = rendezvous.rank(service, nodes, ({ node }) => node);
    const node = ranked[0]?.node ?? this.options.table.self.node;
    this.leaders.set(service, { nodes, node });
    return node;
  }

  /** Advances the rollouts that this node leads. Called several times a second. */
  tick(): void {
    const services = new Set(this.options.rollouts.states().map(({ service }) => service));
    for (const service of services) {
      if (this.leader(service) === this.options.table.self.node) this.advanceRollout(service);
    }
  }

  private advanceRollout(service: ids.ServiceName): void {
    const newest = this.options.rollouts.newest(service)!;
    const { state } = newest;
    const progress = this.progressOf(state);
    if (this.targets.get(service) !== state.target) {
      this.targets.set(service, state.target);
      progress.sinceMs = this.options.nowMs();
    }
    if (!phases.isFinal(state.phase)) {
      const next = this.nextPhase(state, newest.learnedAtMs, progress.sinceMs);
      if (next !== null) {
        const { phase, reason } = next;
        if (phase !== 'completed' || !progress.recording) {
          this.logDecision(state, phase, newest.learnedAtMs);
        }
        if (phase === 'completed') this.tryRecord(state, 'completed', progress);
        else this.options.rollouts.advance(service, state.target, phase, reason);
      } else {
        this.tryRecord(state, 'running', progress);
      }
    } else if (state.phase === 'rolledBack') {
      this.tryRecord(state, 'rolledBack', progress);
    } else if (this.hasServedAlone(state, progress.sinceMs)) {
      this.tryRecord(state, 'completed', progress);
    }
  }

  private nextPhase(
    state: phases.RolloutState,
    learnedAtMs: number,
    phaseSinceMs: number,
  ): { phase: phases.Phase; reason: string | null } | null {
    const now = this.options.nowMs();
    const elapsedFraction = (now - learnedAtMs) / state.durationMs;
    const { comparison } = this.options;
    const { service, target } = state;
    const result = comparison.evaluate(service, target, phases.TARGET_SHARE[state.phase]);
    if (!result.passed) return { phase: 'rolledBack', reason: result.reason };
    const counts = this.countUpstreams(state);
    const advanceTo = (phase: phases.Phase) => ({ phase, reason: null });
    switch (state.phase) {
      case 'held':
        return counts.target > 0 ? advanceTo('canary') : null;
      case 'canary': {
        const hasEvidence =
          comparison.counts(service, target).target.requests >= MIN_CANARY_ANSWERS ||
          elapsedFraction > WAIT_END_FRACTION;
        return elapsedFraction > CANARY_END_FRACTION && hasEvidence ? advanceTo('pulse') : null;
      }
      case 'pulse': {
        const hasUpstreams = counts.target >= counts.stable || elapsedFraction > WAIT_END_FRACTION;
        return elapsedFraction > PULSE_END_FRACTION && hasUpstreams ? advanceTo('full') : null;
      }
      case 'full':
        return now - phaseSinceMs > FULL_PHASE_MS ? advanceTo('completed') : null;
      default:
        return null;
    }
  }

  private logDecision(state: phases.RolloutState, next: phases.Phase, learnedAtMs: number): void {
    const { service, target, phase, durationMs } = state;
    this.options.log.info('rollouts', 'rollout phase decided', {
      service,
      target,
      phase,
      next,
      elapsedMs: Math.round(this.options.nowMs() - learnedAtMs),
      durationMs,
      upstreams: this.countUpstreams(state),
      reached: this.options.reachable().length,
      evidence: this.options.comparison.counts(service, target),
    });
  }

  /** Whether other versions have had no traffic for long enough to be stopped. */
  private hasServedAlone(state: phases.RolloutState, sinceMs: number): boolean {
    if (this.options.nowMs() - sinceMs <= FULL_PHASE_MS) return false;
    return this.countUpstreams(state).target > 0;
  }

  private countUpstreams(state: phases.RolloutState): { target: number; stable: number } {
    const counts = { target: 0, stable: 0 };
    for (const { upstream } of this.options.table.all()) {
      if (upstream !== null && upstream.accepting && upstream.service === state.service) {
        counts[upstream.version === state.target ? 'target' : 'stable'] += 1;
      }
    }
    return counts;
  }

  private progressOf(state: phases.RolloutState): Progress {
    const key = phases.rolloutKey(state.service, state.target);
    let progress = this.progress.get(key);
    if (progress === undefined) {
      progress = {
        phase: state.phase,
        sinceMs: this.options.nowMs(),
        recording: false,
        recorded: null,
        nextRecordMs: 0,
      };
      this.progress.set(key, progress);
    } else if (progress.phase !== state.phase) {
      progress.phase = state.phase;
      progress.sinceMs = this.options.nowMs();
    }
    return progress;
  }

  private tryRecord(
    state: phases.RolloutState,
    outcome: phases.RecordedPhase,
    progress: Progress,
  ): void {
    const now = this.options.nowMs();
    if (progress.recording || now < progress.nextRecordMs) return;
    if (isRecorded(progress.recorded, outcome, state.orderPosition)) return;
    progress.recording = true;
    progress.nextRecordMs = now + RECORD_RETRY_MS;
    this.writeRecord(state, outcome)
      .then((position) => {
        if (position !== null) progress.recorded = { phase: outcome, position };
      })
      .catch((err: unknown) => {
        this.options.log.info('rollouts', 'failed to record a rollout phase', {
          service: state.service,
          target: state.target,
          outcome,
          failure: failures.fromError(err),
        });
      })
      .finally(() => {
        progress.recording = false;
      });
  }

  /**
   * Reads the stored rollout first, so that a final record or a newer order is never overwritten.
   * @returns position of the stored rollout with the phase; null if it was not recorded
   */
  private async writeRecord(
    state: phases.RolloutState,
    outcome: phases.RecordedPhase,
  ): Promise<storePosition.StorePosition | null> {
    const { store, rollouts, log } = this.options;
    const { value } = await store.rollouts.read(AbortSignal.timeout(RECORD_TIMEOUT_MS));
    const record = value?.find(
      ({ service, target }) => service === state.service && target === state.target,
    );
    if (record === undefined) return state.orderPosition;
    rollouts.applyRecord(record);
    if (phases.isFinal(record.recorded) || record.recorded === outcome) return record.position;
    const written = await store.recordRollout(record, outcome);
    log.info(
      'rollouts',
      written !== null
        ? 'recorded a rollout phase'
        : 'rollout phase not recorded: the stored rollout was changed, deleted or restored',
      {
        service: state.service,
        target: state.target,
        outcome,
        reason: state.reason,
      },
    );
    if (written !== null && outcome === 'completed')
      rollouts.advance(state.service, state.target, 'completed', null);
    return written;
  }
}

function isRecorded(
  recorded: Recorded | null,
  phase: phases.RecordedPhase,
  orderPosition: storePosition.StorePosition,
): boolean {
  if (recorded === null || recorded.phase !== phase) return false;
  return storePosition.compare(orderPosition, recorded.position) <= 0;
}
