/**
 * Moves rollouts through their phases. The reachable node that ranks first for a service acts; two at
 * once do no harm, since phases only advance and the store takes one final record.
 */

import { failures, type ids, rendezvous } from '@godwittrack/core';
import type * as fleetStore from '../config/fleetStore.js';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import * as phases from './phases.js';
import type * as rolloutBoard from './rolloutBoard.js';
import type * as versionJudge from './versionJudge.js';

/** Parts of the ordered duration at which phases end, if the evidence allows. */
const CANARY_UNTIL = 0.36;
const PULSE_UNTIL = 0.47;
/** Latest start of the full phase while upstreams of the target are still missing. */
const WAIT_FOR_UPSTREAMS_UNTIL = 0.65;
/** Time without traffic to the old version before it may be stopped. */
const FULL_HOLD_MS = 2_500;
/** Answers of the target without which no share is raised before `WAIT_FOR_UPSTREAMS_UNTIL`. */
const MIN_CANARY_ANSWERS = 20;
const RECORD_RETRY_MS = 400;
/** Longest time that one attempt to record may read from the store. */
const RECORD_TIMEOUT_MS = 2_000;

export interface RolloutControllerOptions {
  table: members.MemberTable;
  /** Nodes in reach; the same array until one comes or goes. */
  reachable: () => readonly members.Member[];
  board: rolloutBoard.RolloutBoard;
  judge: versionJudge.VersionJudge;
  store: fleetStore.FleetStore;
  log: observability.DecisionLog;
  nowMs: () => number;
}

interface Progress {
  phase: phases.Phase;
  sinceMs: number;
  recording: boolean;
  recorded: phases.RecordedPhase | null;
  nextRecordMs: number;
}

export class RolloutController {
  private readonly progress = new Map<string, Progress>();

  /** Leader of each service among the nodes that were in reach when it was looked for. */
  private readonly leaders = new Map<
    string,
    { among: readonly members.Member[]; node: ids.NodeId }
  >();

  constructor(private readonly options: RolloutControllerOptions) {}

  /** Node that acts for a service and receives the evidence. */
  leader(service: string): ids.NodeId {
    const among = this.options.reachable();
    const known = this.leaders.get(service);
    if (known?.among === among) return known.node;
    const ranked = rendezvous.rank(service, among, ({ node }) => node);
    const node = ranked[0]?.node ?? this.options.table.self.node;
    this.leaders.set(service, { among, node });
    return node;
  }

  /** Called several times a second. */
  tick(): void {
    const services = new Set(this.options.board.states().map(({ service }) => service));
    for (const service of services) {
      if (this.leader(service) === this.options.table.self.node) this.lead(service);
    }
  }

  private lead(service: ids.ServiceName): void {
    const newest = this.options.board.newest(service)!;
    const { state } = newest;
    const progress = this.progressOf(state);
    if (!phases.isFinal(state.phase)) {
      const next = this.nextPhase(state, newest.sinceMs, progress.sinceMs);
      if (next !== null) {
        const { phase, reason } = next;
        if (phase === 'completed') this.record(state, 'completed', progress);
        else this.options.board.advance(service, state.target, phase, reason);
      } else {
        this.record(state, 'running', progress);
      }
    } else if (state.phase === 'rolledBack') {
      this.record(state, 'rolledBack', progress);
    }
  }

  private nextPhase(
    state: phases.RolloutState,
    orderedMs: number,
    phaseSinceMs: number,
  ): { phase: phases.Phase; reason: string | null } | null {
    const now = this.options.nowMs();
    const spent = (now - orderedMs) / state.durationMs;
    const verdict = this.options.judge.judge(state.service, state.target);
    if (!verdict.good) return { phase: 'rolledBack', reason: verdict.reason };
    const counts = this.countUpstreams(state);
    const go = (phase: phases.Phase) => ({ phase, reason: null });
    switch (state.phase) {
      case 'held':
        return counts.target > 0 ? go('canary') : null;
      case 'canary': {
        const proved = verdict.requests >= MIN_CANARY_ANSWERS || spent > WAIT_FOR_UPSTREAMS_UNTIL;
        return spent > CANARY_UNTIL && proved ? go('pulse') : null;
      }
      case 'pulse': {
        const enough = counts.target >= counts.stable || spent > WAIT_FOR_UPSTREAMS_UNTIL;
        return spent > PULSE_UNTIL && enough ? go('full') : null;
      }
      case 'full':
        return now - phaseSinceMs > FULL_HOLD_MS ? go('completed') : null;
      default:
        return null;
    }
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
    const key = phases.keyOf(state.service, state.target);
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

  private record(
    state: phases.RolloutState,
    outcome: phases.RecordedPhase,
    progress: Progress,
  ): void {
    const now = this.options.nowMs();
    if (progress.recorded === outcome || progress.recording || now < progress.nextRecordMs) return;
    progress.recording = true;
    progress.nextRecordMs = now + RECORD_RETRY_MS;
    this.write(state, outcome)
      .then((recorded) => {
        if (recorded) progress.recorded = outcome;
      })
      .catch((err: unknown) => {
        this.options.log.belief('rollouts', 'a rollout could not be recorded', {
          service: state.service,
          target: state.target,
          outcome,
          failure: failures.of(err),
        });
      })
      .finally(() => {
        progress.recording = false;
      });
  }

  /** Reads first, so that a final record or a newer order is never overwritten. */
  private async write(state: phases.RolloutState, outcome: phases.RecordedPhase): Promise<boolean> {
    const { store, board, log } = this.options;
    const { value } = await store.rollouts.read(AbortSignal.timeout(RECORD_TIMEOUT_MS));
    const record = value?.find(
      ({ service, target }) => service === state.service && target === state.target,
    );
    if (record === undefined) return true;
    board.learn(record);
    if (phases.isFinal(record.recorded) || record.recorded === outcome) return true;
    const taken = await store.recordRollout(record, outcome);
    log.belief('rollouts', taken ? 'a rollout was recorded' : 'another node recorded first', {
      service: state.service,
      target: state.target,
      outcome,
      reason: state.reason,
    });
    if (taken && outcome === 'completed')
      board.advance(state.service, state.target, 'completed', null);
    return taken;
  }
}
