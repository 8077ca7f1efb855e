/**
 * Advances rollouts while this node holds the controller lease. Every write is a transition of the
 * `Rollout` aggregate, which checks the epoch, and is conditional on the object's version; two
 * controllers that run at once therefore cannot corrupt a rollout.
 */

import { backoff, failures, ids, rollout as rollouts } from '@godwittrack/core';
import type { clock, configuration } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import type * as evidenceMerge from './evidenceMerge.js';
import type * as leases from './lease.js';
import * as sequentialTest from './sequentialTest.js';
import * as stepPlanner from './stepPlanner.js';

export interface UpstreamMember {
  server: string;
  service: string;
  version: string;
  /** Healthy, announced and not draining. */
  ready: boolean;
  coldStart: boolean;
  slots: number;
}

/** What the controller reads; the root relay has all of it locally. */
export interface RolloutInputs {
  /** True while this node is the root relay; a region relay that lost the root is not. */
  isEligible(): boolean;
  configuration(): Pick<configuration.Configuration, 'plans' | 'routes'>;
  evidence(rollout: string): evidenceMerge.RolloutTotals;
  vetoes(rollout: string): readonly distribution.Veto[];
  members(): readonly UpstreamMember[];
  /** Slots that the service's total load currently uses. */
  load(service: string): number;
}

export interface AuditEntry {
  atMs: number;
  actor: string;
  action: string;
  ticket: number;
  resources: string[];
  outcome: string;
  detail: string;
}

export interface AuditSink {
  record(entry: AuditEntry): void;
}

export interface Logger {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
}

export interface RolloutControllerOptions {
  node: string;
  store: objectStore.ObjectStore;
  lease: leases.ControllerLease;
  clock: clock.Clock;
  inputs: RolloutInputs;
  audit: AuditSink;
  logger: Logger;
  /** Receives each newly written or read document for distribution. */
  onDocument: (document: rollouts.Rollout) => void;
  /** Receives the controller's own veto after a bad verdict; it spreads without the platform. */
  onVeto: (veto: distribution.Veto) => void;
  /** Default: `BettingTest`. */
  createTest?: (document: rollouts.Rollout) => sequentialTest.SequentialTest;
  /** Default: `stepPlanner.planStep`. */
  planStep?: (inputs: stepPlanner.StepInputs) => stepPlanner.StepPlan;
  /** Time between two rounds. Default 250 ms. */
  intervalMs?: number;
}

export interface RolloutStatus {
  rollout: string;
  service: string;
  phase: rollouts.Phase;
  sharePct: number;
  deadlineMs: number;
  expectedEndMs: number | null;
  /** One line for operators. */
  summary: string;
}

export const CONTROL_INTERVAL_MS = 250;
/** Rollouts per service kept in the platform as a history for operators. */
const MAX_ROLLOUTS_PER_SERVICE = 5;
/** Interval at which a running rollout's evidence summary is stored if nothing else changes. */
const SUMMARY_INTERVAL_MS = 30_000;

/** A stored rollout together with the controller's test and its latest verdict. */
interface TrackedRollout {
  document: rollouts.Rollout;
  objectVersion: number;
  test: sequentialTest.SequentialTest;
  verdict: sequentialTest.Verdict | null;
  requestsAtStep: number;
  /** Reason of the latest decision, shown in the status and stored with the next write. */
  note: string;
  writtenMs: number;
  /** State of the last write, whose answer may have been lost. */
  unconfirmed: rollouts.Rollout | null;
}

export class RolloutController {
  private readonly options: RolloutControllerOptions;

  private readonly trackedById = new Map<string, TrackedRollout>();

  /** Lease epoch for which the stored rollouts were loaded. */
  private loadedEpoch = 0;

  private platformReachable = true;

  private mustReload = false;

  constructor(options: RolloutControllerOptions) {
    this.options = options;
  }

  /** Runs until `signal` aborts, then releases the lease. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.tick();
      } catch (err) {
        const failure = failures.describe(failures.fromError(err));
        this.options.logger.warn({ failure }, 'Rollout controller round failed.');
      }
      await backoff.sleep(this.options.intervalMs ?? CONTROL_INTERVAL_MS, signal);
    }
    await this.options.lease.release();
  }

  /** Runs one round. A platform failure ends the round and shows up in the status. */
  async tick(): Promise<void> {
    const { lease, inputs } = this.options;
    if (!inputs.isEligible()) {
      if (lease.isHeld) await lease.release();
      this.loadedEpoch = 0;
      return;
    }
    try {
      if (!(await lease.acquireOrRenew())) {
        this.trackedById.clear();
        return;
      }
      if (this.loadedEpoch !== lease.epoch || this.mustReload) await this.load();
      this.platformReachable = true;
      this.evaluateEvidence();
      await this.reconcile();
    } catch (err) {
      if (!isPlatformFailure(err)) throw err;
      // Evidence is evaluated during an outage too: a veto reaches the nodes without the platform.
      if (!this.platformReachable) this.evaluateEvidence();
      this.platformReachable = false;
      // The answer of a write was lost; loading again shows whether it was stored.
      if (failures.is(err, 'platformOutcomeUnknown')) this.mustReload = true;
    }
  }

  get isActive(): boolean {
    return this.options.lease.isHeld && this.loadedEpoch === this.options.lease.epoch;
  }

  statuses(): RolloutStatus[] {
    return [...this.trackedById.values()].map(({ document, note }) => {
      const unreachable = !this.platformReachable && !document.isFinal;
      return describeStatus(document, unreachable ? 'the platform is unreachable' : note);
    });
  }

  private async load(): Promise<void> {
    const { store, lease, clock: time, logger } = this.options;
    const { epoch } = lease;
    // Another controller may have changed shares since then; tests begun under the earlier lease
    // would mix evidence from different shares.
    if (this.loadedEpoch !== epoch) this.trackedById.clear();
    const { items } = await store.list('rollout');
    for (const item of items) {
      try {
        this.track(rollouts.Rollout.parse(item.value), item.version);
      } catch (err) {
        const failure = failures.describe(failures.fromError(err));
        logger.warn(
          { rollout: item.name, failure },
          'Stored rollout could not be parsed; it is skipped.',
        );
      }
    }
    this.loadedEpoch = epoch;
    this.mustReload = false;
    logger.info(
      { epoch, rollouts: items.length, atMs: time.nowMs() },
      'Stored rollouts loaded under the controller lease.',
    );
  }

  private track(document: rollouts.Rollout, objectVersion: number): void {
    const { createTest, onDocument } = this.options;
    const known = this.trackedById.get(document.id);
    if (known !== undefined && known.objectVersion >= objectVersion) return;
    const test =
      known?.test ?? createTest?.(document) ?? new sequentialTest.BettingTest(document.data);
    const { reason, evidence: summary } = document.data;
    const requestsAtStep = known?.requestsAtStep ?? summary.targetRequests;
    const writtenMs = this.options.clock.nowMs();
    this.trackedById.set(document.id, {
      document,
      objectVersion,
      test,
      verdict: known?.verdict ?? null,
      requestsAtStep,
      note: reason,
      writtenMs,
      unconfirmed: null,
    });
    onDocument(document);
    // A write whose answer was lost is found here on loading; its audit entry is recorded now.
    const { unconfirmed } = known ?? {};
    if (
      unconfirmed?.data.phase !== known?.document.data.phase &&
      isSameRevision(unconfirmed, document)
    ) {
      this.audit(document, document.data.phase);
    }
  }

  private evaluateEvidence(): void {
    const { inputs, onVeto, node, clock: time } = this.options;
    for (const tracked of this.running()) {
      const state = tracked;
      const { id, target, sharePct } = tracked.document.data;
      const wasBad = tracked.verdict?.decision === 'bad';
      if (wasBad) continue;
      const verdict = tracked.test.observe(inputs.evidence(id), sharePct);
      state.verdict = verdict;
      if (verdict.decision !== 'bad') continue;
      const { route, reason } = verdict;
      onVeto({ rollout: id, version: target, route, node, reason, atMs: time.nowMs() });
    }
  }

  private async reconcile(): Promise<void> {
    const { plans } = this.options.inputs.configuration();
    // Verdicts and vetoes first: a new plan does not continue a rollout that was rolled back.
    for (const tracked of this.running()) await this.rollBackIfBad(tracked);
    for (const tracked of this.running()) {
      const plan = plans.get(ids.serviceName(tracked.document.data.service));
      if (plan !== undefined && plan.ticket > tracked.document.data.ticket) {
        await this.supersede(tracked, plan);
      } else if (plan === undefined) {
        await this.supersede(tracked, null);
      }
    }
    for (const plan of plans.values()) if (plan.target !== undefined) await this.createFor(plan);
    for (const tracked of this.running()) await this.advance(tracked);
    await this.deleteOldRollouts();
  }

  private running(): TrackedRollout[] {
    return [...this.trackedById.values()].filter(({ document }) => !document.isFinal);
  }

  private async rollBackIfBad(tracked: TrackedRollout): Promise<void> {
    if (tracked.verdict?.decision === 'bad') {
      await this.rollBack(tracked, tracked.verdict.reason, tracked.verdict.summary);
      return;
    }
    const [veto] = tracked.document.vetoingRolloutIds.flatMap((id) =>
      this.options.inputs.vetoes(id),
    );
    if (veto === undefined) return;
    await this.rollBack(tracked, `${veto.node} stopped using ${veto.version}: ${veto.reason}`);
  }

  /** Ends the rollout in phase `takenBack`: all traffic returns to the stable version. */
  private async rollBack(
    tracked: TrackedRollout,
    reason: string,
    summary?: rollouts.EvidenceSummary,
  ) {
    const transition = {
      phase: 'takenBack' as const,
      reason,
      evidence: summary,
      expectedEndMs: null,
    };
    await this.write(tracked, transition);
  }

  private async supersede(
    tracked: TrackedRollout,
    plan: configuration.VersionPlan | null,
  ): Promise<void> {
    const cancelled = plan?.target === undefined;
    const reason = cancelled ? rollouts.CANCELLED_REASON : `replaced by ticket ${plan.ticket}`;
    const transition = { phase: 'superseded' as const, reason, expectedEndMs: null };
    await this.write(
      tracked,
      plan === null ? transition : { ...transition, supersededBy: plan.ticket },
    );
  }

  private async createFor(plan: configuration.VersionPlan): Promise<void> {
    const { store, lease, clock: time } = this.options;
    const id = ids.rolloutId(plan.service, plan.ticket);
    if (this.trackedById.has(id) || !lease.isHeld) return;
    const previous = [...this.trackedById.values()]
      .map(({ document }) => document)
      .filter(({ data }) => data.service === plan.service && data.ticket < plan.ticket)
      .sort((a, b) => b.data.ticket - a.data.ticket)[0];
    const nowMs = time.nowMs();
    const vetoed = previous?.vetoingRolloutIds.some(
      (one) => this.options.inputs.vetoes(one).length > 0,
    );
    const document =
      previous === undefined || vetoed === true
        ? rollouts.Rollout.create(plan, lease.epoch, nowMs)
        : rollouts.Rollout.continue(plan, previous, lease.epoch, nowMs);
    try {
      const version = await store.put('rollout', id, document.data, { type: 'absent' });
      this.track(document, version);
      this.audit(document, 'rollout created');
    } catch (err) {
      if (!failures.is(err, 'objectConflict')) throw err;
      await this.reload(id);
    }
  }

  private async advance(tracked: TrackedRollout): Promise<void> {
    const { inputs, clock: time, planStep = stepPlanner.planStep } = this.options;
    const state = tracked;
    const { document } = tracked;
    const { service, target } = document.data;
    const { verdict } = tracked;
    if (verdict === null || verdict.decision === 'bad') return;
    const routes = inputs.configuration().routes.filter((route) => route.service === service);
    const capacity = this.capacityOf(service, target);
    // Totals start again from zero with a new controller, or when all nodes restart together.
    const requestsAtStep = Math.min(tracked.requestsAtStep, verdict.summary.targetRequests);
    state.requestsAtStep = requestsAtStep;
    const nowMs = time.nowMs();
    const step = { nowMs, rollout: document, verdict, requestsAtStep, routes, capacity };
    const { transition, reason } = planStep(step);
    state.note = reason;
    const { summary } = verdict;
    if (transition !== null) {
      const written = await this.write(tracked, { ...transition, evidence: summary });
      const current = this.trackedById.get(document.id);
      if (written && current !== undefined) current.requestsAtStep = summary.targetRequests;
    } else if (nowMs - tracked.writtenMs >= SUMMARY_INTERVAL_MS) {
      await this.write(tracked, { phase: document.data.phase, reason, evidence: summary });
    }
  }

  private capacityOf(service: string, version: string): stepPlanner.Capacity {
    const { inputs } = this.options;
    const ready = inputs
      .members()
      .filter((one) => one.service === service && one.version === version)
      .filter((one) => one.ready && !one.coldStart);
    const slots = ready.reduce((total, one) => total + one.slots, 0);
    return { readyServers: ready.length, slots, load: inputs.load(service) };
  }

  /** Returns true if the transition was stored. */
  private write(
    tracked: TrackedRollout,
    transition: Omit<rollouts.Transition, 'epoch'>,
  ): Promise<boolean> {
    const nowMs = this.options.clock.nowMs();
    return this.storeChange(tracked, (document, epoch) =>
      document.transition({ ...transition, epoch }, nowMs),
    );
  }

  private async storeChange(
    tracked: TrackedRollout,
    change: (document: rollouts.Rollout, epoch: number) => rollouts.Rollout,
  ): Promise<boolean> {
    const { store, lease } = this.options;
    if (!lease.isHeld) return false;
    const state = tracked;
    const { document, objectVersion } = tracked;
    try {
      const next = change(document, lease.epoch);
      const precondition = { type: 'version' as const, version: objectVersion };
      state.unconfirmed = next;
      const version = await store.put('rollout', document.id, next.data, precondition);
      this.track(next, version);
      return true;
    } catch (err) {
      if (failures.is(err, 'rolloutFenced')) lease.invalidate(err.failure.heldEpoch);
      else if (failures.is(err, 'objectConflict')) await this.reload(document.id);
      else throw err;
      return false;
    }
  }

  private async reload(id: string): Promise<void> {
    const found = await this.options.store.get('rollout', id);
    if (found === null) this.trackedById.delete(id);
    else this.track(rollouts.Rollout.parse(found.value), found.version);
  }

  private audit(document: rollouts.Rollout, outcome: string): void {
    const { audit, clock: time, logger, node } = this.options;
    const { service, ticket, reason, sharePct } = document.data;
    const resources = [`versionPlan/${service}`];
    const actor = `controller ${node}`;
    const action = 'rollout';
    audit.record({ atMs: time.nowMs(), actor, action, ticket, resources, outcome, detail: reason });
    logger.info({ rollout: document.id, outcome, sharePct, reason }, 'Rollout changed.');
  }

  /** Deletes the objects of finished rollouts beyond the newest ones of each service. */
  private async deleteOldRollouts(): Promise<void> {
    const byService = new Map<string, TrackedRollout[]>();
    for (const tracked of this.trackedById.values()) {
      const { service } = tracked.document.data;
      byService.set(service, [...(byService.get(service) ?? []), tracked]);
    }
    for (const all of byService.values()) {
      const sorted = all.sort((a, b) => b.document.data.ticket - a.document.data.ticket);
      for (const { document, objectVersion } of sorted.slice(MAX_ROLLOUTS_PER_SERVICE)) {
        if (!document.isFinal) continue;
        const precondition = { type: 'version' as const, version: objectVersion };
        this.trackedById.delete(document.id);
        try {
          await this.options.store.delete('rollout', document.id, precondition);
        } catch (err) {
          if (!failures.is(err, 'objectNotFound') && !failures.is(err, 'objectConflict')) throw err;
        }
      }
    }
  }
}

/** Describes a document for operators; needs no controller state, so any node can use it. */
export function describeStatus(document: rollouts.Rollout, note?: string): RolloutStatus {
  const { data } = document;
  return {
    rollout: document.id,
    service: data.service,
    phase: data.phase,
    sharePct: data.sharePct,
    deadlineMs: data.deadlineMs,
    expectedEndMs: data.expectedEndMs,
    summary: summarize(data, note ?? data.reason),
  };
}

function summarize(data: rollouts.RolloutData, note: string): string {
  if (data.phase === 'done') return `done: ${data.target} serves all traffic`;
  if (data.phase === 'takenBack') return `taken back to ${data.stable}: ${note}`;
  if (data.phase === 'superseded') return `ended: ${note}`;
  if (note.startsWith('held at')) return note;
  if (note === 'the platform is unreachable') {
    return `held at ${data.sharePct} % because ${note}`;
  }
  return `${data.phase} at ${data.sharePct} %: ${note}`;
}

/** Epoch and revision identify a write: a controller writes each revision once in its epoch. */
function isSameRevision(
  written: rollouts.Rollout | null | undefined,
  found: rollouts.Rollout,
): boolean {
  const { epoch, revision } = found.data;
  return written?.data.revision === revision && written.data.epoch === epoch;
}

function isPlatformFailure(err: unknown): boolean {
  return (
    failures.is(err, 'platformUnavailable') ||
    failures.is(err, 'platformOverloaded') ||
    failures.is(err, 'platformOutcomeUnknown')
  );
}
