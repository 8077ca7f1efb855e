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
import * as rolloutPlan from './rolloutPlan.js';
import type * as rolloutTable from './rolloutTable.js';
import type * as versionComparison from './versionComparison.js';
import * as versionUpstreams from './versionUpstreams.js';

/** Least duration of the `full` phase, the only one that shows faults under full load. */
const MIN_FULL_PHASE_MS = 450;
/** Duration after which the `full` phase ends although other versions still have requests under way. */
const MAX_FULL_PHASE_MS = 2_500;
/** Time without a report of requests at other versions after which they are idle. */
const IDLE_MS = 250;
/** Responses of the target that each step waits for, unless the service has too few requests. */
const MIN_ANSWERS = 20;
/** Part of the expected responses that suffices then; their number varies by chance. */
const MIN_EXPECTED_PART = 0.1;
/** Time for which no other version must be seen: after a start, members are not known at once. */
const RETURN_AFTER_MS = 1_000;
/** Age up to which a report shows that its upstream is heard of. */
const REPORT_TTL_MS = 2_000;
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
  /** Share of a service's requests that an unproved version may get between its order and the deadline. */
  maxExposureShare: number;
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
  /** Number of the order; see `RolloutEntry`. */
  order: number;
  phase: phases.Phase;
  /** Time since which the rollout is the newest of its service and in this phase. */
  sinceMs: number;
  /** Time since which only the target may serve, besides versions that are not proved; null otherwise. */
  returningSinceMs: number | null;
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

  private readonly upstreams: versionUpstreams.VersionUpstreams;

  constructor(private readonly options: RolloutControllerOptions) {
    const { table, rollouts, comparison } = options;
    this.upstreams = new versionUpstreams.VersionUpstreams(table, rollouts);
    // What is known of a version that is ordered again may no longer hold.
    rollouts.onOrder((service) => comparison.restart(service));
  }

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
    const progress = this.progressOf(newest);
    if (this.targets.get(service) !== state.target) {
      this.targets.set(service, state.target);
      progress.sinceMs = this.options.nowMs();
    }
    const isReturn = !phases.isFinal(state.phase) && this.isReturn(state);
    progress.returningSinceMs = isReturn
      ? (progress.returningSinceMs ?? this.options.nowMs())
      : null;
    if (progress.returningSinceMs !== null) {
      this.tryReturn(state, progress.returningSinceMs);
    } else if (!phases.isFinal(state.phase)) {
      const next = this.nextPhase(state, newest.orderedAtMs, progress.sinceMs);
      if (next !== null) {
        const { phase, reason } = next;
        const begins = phase !== 'completed' || this.tryRecord(newest, 'completed', progress);
        if (begins) this.logDecision(state, phase, newest.orderedAtMs);
        if (phase !== 'completed') {
          this.options.rollouts.advance(service, state.target, phase, reason);
          Object.assign(progress, { phase, sinceMs: this.options.nowMs() });
        }
      } else if (phases.isTrial(state)) {
        this.tryRecord(newest, 'running', progress);
      }
    } else if (state.phase === 'rolledBack') {
      this.tryRecord(newest, 'rolledBack', progress);
    } else if (this.hasServedAlone(state, progress.sinceMs)) {
      this.tryRecord(newest, 'completed', progress);
    }
  }

  /**
   * Whether only the target may serve, besides versions that are not proved. Either the order goes back to the
   * version that was in use before those, or one of them was in use when it was ordered.
   */
  private isReturn(state: phases.RolloutState): boolean {
    if (state.unproved.length === 0) return false;
    const { target, stable } = this.upstreams.count(state);
    return target > 0 && stable === 0;
  }

  private tryReturn({ service, target, unproved }: phases.RolloutState, sinceMs: number): void {
    const { log, rollouts, nowMs } = this.options;
    if (nowMs() - sinceMs < RETURN_AFTER_MS) return;
    const others = unproved.filter((each) => !rollouts.isRolledBack(service, each));
    const version = this.upstreams.oldestVersion(service, [target, ...others]);
    log.info('rollouts', 'version found in use', { service, target, version, unproved });
    rollouts.keepInUse(service, version);
  }

  private nextPhase(
    state: phases.RolloutState,
    orderedAtMs: number,
    phaseSinceMs: number,
  ): { phase: phases.Phase; reason: string | null } | null {
    const { comparison, maxExposureShare, nowMs } = this.options;
    const share = phases.TARGET_SHARE[state.phase];
    const result = comparison.evaluate(state.service, state.target, share);
    const plan = rolloutPlan.createPlan(state.durationMs, maxExposureShare);
    const elapsedMs = nowMs() - orderedAtMs;
    const mustDecide = elapsedMs >= plan.recordAtMs;
    if (result.type === 'bad' || (result.type === 'doubtful' && mustDecide)) {
      return { phase: 'rolledBack', reason: result.reason };
    }
    if (result.type === 'doubtful') return null;
    const advanceTo = (phase: phases.Phase) => ({ phase, reason: null });
    switch (state.phase) {
      case 'held': {
        const upstreams = this.upstreams.count(state);
        if (upstreams.target === 0) return null;
        if (upstreams.stable > 0) return advanceTo('canary');
        // The version has all requests already, and there is none to compare it with.
        return mustDecide && this.hasEvidence(state) ? advanceTo('completed') : null;
      }
      case 'canary':
        return elapsedMs >= plan.pulseAtMs && this.hasEvidence(state) ? advanceTo('pulse') : null;
      case 'pulse':
        return elapsedMs >= plan.fullAtMs && this.hasEvidence(state) ? advanceTo('full') : null;
      case 'full': {
        const fullMs = nowMs() - phaseSinceMs;
        if (fullMs < MIN_FULL_PHASE_MS || !this.hasEvidence(state)) return null;
        if (!mustDecide) return null;
        const isInTime = elapsedMs < state.durationMs;
        const mayEnd = isInTime || fullMs > MAX_FULL_PHASE_MS || this.areOthersIdle(state);
        return mayEnd ? advanceTo('completed') : null;
      }
      default:
        return null;
    }
  }

  /**
   * Whether this node hears of enough responses of the target to go on. A node that is cut off hears of
   * none, which is no evidence for the version.
   */
  private hasEvidence(state: phases.RolloutState): boolean {
    const { comparison, nowMs } = this.options;
    const { service, target } = state;
    const upstreams = this.upstreams.count(state).target;
    const heard = comparison.countHeard(service, target, nowMs() - REPORT_TTL_MS);
    if (upstreams === 0 || heard < upstreams / 2) return false;
    const { target: seen, others } = comparison.counts(service, target);
    const expected = phases.TARGET_SHARE.canary * (seen.requests + others.requests);
    return seen.requests >= Math.min(MIN_ANSWERS, Math.floor(expected * MIN_EXPECTED_PART));
  }

  private areOthersIdle({ service, target }: phases.RolloutState): boolean {
    const { comparison, nowMs } = this.options;
    return nowMs() - comparison.othersActiveAtMs(service, target) > IDLE_MS;
  }

  private logDecision(state: phases.RolloutState, next: phases.Phase, orderedAtMs: number): void {
    const { service, target, phase, durationMs } = state;
    this.options.log.info('rollouts', 'rollout phase decided', {
      service,
      target,
      phase,
      next,
      elapsedMs: Math.round(this.options.nowMs() - orderedAtMs),
      durationMs,
      upstreams: this.upstreams.count(state),
      reached: this.options.reachable().length,
      evidence: this.options.comparison.counts(service, target),
      slowdown: this.options.comparison.slowdown(service, target),
      byUpstream: this.options.comparison.summaries(service, target),
    });
  }

  /** Whether other versions have had no traffic for long enough to be stopped. */
  private hasServedAlone(state: phases.RolloutState, sinceMs: number): boolean {
    if (this.options.nowMs() - sinceMs <= MAX_FULL_PHASE_MS) return false;
    return this.upstreams.count(state).target > 0;
  }

  /** Takes in the evidence that has come while the stored rollout was read. */
  private mayComplete({ service, target, phase }: phases.RolloutState): boolean {
    const { comparison, rollouts } = this.options;
    if (!rollouts.mayServe(service, target)) return false;
    // Decided before, and recorded late or again.
    if (phase === 'completed') return true;
    const share = phases.TARGET_SHARE.full;
    return comparison.evaluate(service, target, share).type === 'passed';
  }

  private progressOf({ state, number }: rolloutTable.RolloutEntry): Progress {
    const key = phases.rolloutKey(state.service, state.target);
    let progress = this.progress.get(key);
    if (progress?.order !== number) {
      progress = {
        order: number,
        phase: state.phase,
        sinceMs: this.options.nowMs(),
        returningSinceMs: null,
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

  /** @returns whether a write was begun */
  private tryRecord(
    entry: rolloutTable.RolloutEntry,
    outcome: phases.RecordedPhase,
    progress: Progress,
  ): boolean {
    const { state } = entry;
    const now = this.options.nowMs();
    if (progress.recording || now < progress.nextRecordMs) return false;
    if (isRecorded(progress.recorded, outcome, state.orderPosition)) return false;
    progress.recording = true;
    progress.nextRecordMs = now + RECORD_RETRY_MS;
    this.writeRecord(entry, outcome)
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
    return true;
  }

  /**
   * Reads the stored rollout first, so that a final record or a newer order is never overwritten.
   * @returns position of the stored rollout with the phase; null if it was not recorded
   */
  private async writeRecord(
    { state, number }: rolloutTable.RolloutEntry,
    outcome: phases.RecordedPhase,
  ): Promise<storePosition.StorePosition | null> {
    const { store, rollouts, log } = this.options;
    const { value } = await store.rollouts.read(AbortSignal.timeout(RECORD_TIMEOUT_MS));
    const record = value?.find(
      ({ service, target }) => service === state.service && target === state.target,
    );
    if (record === undefined) return state.orderPosition;
    rollouts.applyRecord(record);
    const newest = rollouts.newest(state.service)!;
    // The version was ordered again.
    if (newest.number !== number) return null;
    if (phases.isFinal(record.recorded) || record.recorded === outcome) return record.position;
    if (outcome === 'completed' && !this.mayComplete(state)) return null;
    const { orderedAt, unproved } = newest.state;
    const written = await store.recordRollout({ ...record, orderedAt, unproved }, outcome);
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
