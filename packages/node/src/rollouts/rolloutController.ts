/**
 * Moves rollouts forward while this node holds the controller's lease. Every write is conditional
 * on the object's version and goes through the aggregate, so two controllers at once do no harm.
 */

import { backoff, failures, ids, rollout as rollouts } from '@godwittrack/core';
import type { clock, configuration } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import type * as evidence from './evidenceMerge.js';
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

/** What the controller reads; all of it is at hand in the root relay. */
export interface RolloutInputs {
  /** True while this node is the root relay; a region relay that lost the root is not. */
  isEligible(): boolean;
  configuration(): Pick<configuration.Configuration, 'plans' | 'routes'>;
  evidence(rollout: string): evidence.RolloutTotals;
  vetoes(rollout: string): readonly distribution.Veto[];
  members(): readonly UpstreamMember[];
  /** Slots that the service's whole load uses now. */
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
  /** Receives each document that was written or read newly, to be distributed. */
  onDocument: (document: rollouts.Rollout) => void;
  /** Receives the controller's own veto after a bad verdict; it needs no platform. */
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
  /** One line in plain words. */
  summary: string;
}

export const CONTROL_INTERVAL_MS = 250;
/** Rollouts of one service kept in the platform, for operators to look back at. */
const KEPT_PER_SERVICE = 5;
/** A running rollout's evidence summary is stored at most this often when nothing else changes. */
const SUMMARY_INTERVAL_MS = 30_000;

interface Held {
  document: rollouts.Rollout;
  objectVersion: number;
  test: sequentialTest.SequentialTest;
  verdict: sequentialTest.Verdict | null;
  requestsAtStep: number;
  /** Latest reason, stored with the next write. */
  note: string;
  writtenMs: number;
  /** State whose write has no answer yet; its answer may be lost. */
  unconfirmed: rollouts.Rollout | null;
}

export class RolloutController {
  private readonly options: RolloutControllerOptions;

  private readonly held = new Map<string, Held>();

  /** Epoch for which the stored rollouts were loaded. */
  private loadedEpoch = 0;

  private platformReachable = true;

  private mustReload = false;

  constructor(options: RolloutControllerOptions) {
    this.options = options;
  }

  /** Runs until `signal` aborts, then gives the lease up. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.tick();
      } catch (err) {
        const failure = failures.describe(failures.fromError(err));
        this.options.logger.warn({ failure }, 'Round failed.');
      }
      await backoff.sleep(this.options.intervalMs ?? CONTROL_INTERVAL_MS, signal);
    }
    await this.options.lease.release();
  }

  /** One round; failures of the platform are kept for the status and end the round. */
  async tick(): Promise<void> {
    const { lease, inputs } = this.options;
    if (!inputs.isEligible()) {
      if (lease.isHeld) await lease.release();
      this.loadedEpoch = 0;
      return;
    }
    try {
      if (!(await lease.ensure())) {
        this.held.clear();
        return;
      }
      if (this.loadedEpoch !== lease.epoch || this.mustReload) await this.load();
      this.platformReachable = true;
      this.judge();
      await this.reconcile();
    } catch (err) {
      if (!isPlatformFailure(err)) throw err;
      // Evidence is judged during an outage too; a veto reaches the nodes without the platform.
      if (!this.platformReachable) this.judge();
      this.platformReachable = false;
      // A write with a lost answer is found by loading again.
      if (failures.is(err, 'platformOutcomeUnknown')) this.mustReload = true;
    }
  }

  get isActive(): boolean {
    return this.options.lease.isHeld && this.loadedEpoch === this.options.lease.epoch;
  }

  statuses(): RolloutStatus[] {
    return [...this.held.values()].map(({ document, note }) => {
      const unreachable = !this.platformReachable && !document.isFinal;
      return describeStatus(document, unreachable ? 'the platform is unreachable' : note);
    });
  }

  private async load(): Promise<void> {
    const { store, lease, clock: time, logger } = this.options;
    const { epoch } = lease;
    // Another controller may have changed shares since; tests of that time would mix them.
    if (this.loadedEpoch !== epoch) this.held.clear();
    const { items } = await store.list('rollout');
    for (const item of items) {
      try {
        this.adopt(rollouts.Rollout.parse(item.value), item.version);
      } catch (err) {
        const failure = failures.describe(failures.fromError(err));
        logger.warn({ rollout: item.name, failure }, 'Stored rollout is unreadable.');
      }
    }
    this.loadedEpoch = epoch;
    this.mustReload = false;
    logger.info({ epoch, rollouts: items.length, atMs: time.nowMs() }, 'Controller lease held.');
  }

  private adopt(document: rollouts.Rollout, objectVersion: number): void {
    const { createTest, onDocument } = this.options;
    const known = this.held.get(document.id);
    if (known !== undefined && known.objectVersion >= objectVersion) return;
    const test =
      known?.test ?? createTest?.(document) ?? new sequentialTest.BettingTest(document.data);
    const { reason, evidence: summary } = document.data;
    const requestsAtStep = known?.requestsAtStep ?? summary.targetRequests;
    const writtenMs = this.options.clock.nowMs();
    this.held.set(document.id, {
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
    // A write with a lost answer is found again here; its audit entry must not be lost with it.
    const { unconfirmed } = known ?? {};
    if (unconfirmed?.data.phase !== known?.document.data.phase && isSame(unconfirmed, document)) {
      this.audit(document, document.data.phase);
    }
  }

  private judge(): void {
    const { inputs, onVeto, node, clock: time } = this.options;
    for (const held of this.running()) {
      const state = held;
      const { id, target, sharePct } = held.document.data;
      const wasBad = held.verdict?.decision === 'bad';
      if (wasBad) continue;
      const verdict = held.test.observe(inputs.evidence(id), sharePct);
      state.verdict = verdict;
      if (verdict.decision !== 'bad') continue;
      const { route, reason } = verdict;
      onVeto({ rollout: id, version: target, route, node, reason, atMs: time.nowMs() });
    }
  }

  private async reconcile(): Promise<void> {
    const { plans } = this.options.inputs.configuration();
    // Verdicts and vetoes first: a rollout that is taken back is not continued by a new plan.
    for (const held of this.running()) await this.takeBackWhenBad(held);
    for (const held of this.running()) {
      const plan = plans.get(ids.serviceName(held.document.data.service));
      if (plan !== undefined && plan.ticket > held.document.data.ticket) {
        await this.supersede(held, plan);
      } else if (plan === undefined) {
        await this.supersede(held, null);
      }
    }
    for (const plan of plans.values()) if (plan.target !== undefined) await this.createFor(plan);
    for (const held of this.running()) await this.advance(held);
    await this.forgetOld();
  }

  private running(): Held[] {
    return [...this.held.values()].filter(({ document }) => !document.isFinal);
  }

  private async takeBackWhenBad(held: Held): Promise<void> {
    if (held.verdict?.decision === 'bad') {
      await this.takeBack(held, held.verdict.reason, held.verdict.summary);
      return;
    }
    const [veto] = held.document.vetoingRolloutIds.flatMap((id) => this.options.inputs.vetoes(id));
    if (veto === undefined) return;
    await this.takeBack(held, `${veto.node} stopped using ${veto.version}: ${veto.reason}`);
  }

  private async takeBack(held: Held, reason: string, summary?: rollouts.EvidenceSummary) {
    const move = { phase: 'takenBack' as const, reason, evidence: summary, expectedEndMs: null };
    await this.write(held, move);
  }

  private async supersede(held: Held, plan: configuration.VersionPlan | null): Promise<void> {
    const cancelled = plan?.target === undefined;
    const reason = cancelled ? rollouts.CANCELLED_REASON : `replaced by ticket ${plan.ticket}`;
    const move = { phase: 'superseded' as const, reason, expectedEndMs: null };
    await this.write(held, plan === null ? move : { ...move, supersededBy: plan.ticket });
  }

  private async createFor(plan: configuration.VersionPlan): Promise<void> {
    const { store, lease, clock: time } = this.options;
    const id = ids.rolloutId(plan.service, plan.ticket);
    if (this.held.has(id) || !lease.isHeld) return;
    const earlier = [...this.held.values()]
      .map(({ document }) => document)
      .filter(({ data }) => data.service === plan.service && data.ticket < plan.ticket)
      .sort((a, b) => b.data.ticket - a.data.ticket)[0];
    const nowMs = time.nowMs();
    const vetoed = earlier?.vetoingRolloutIds.some(
      (one) => this.options.inputs.vetoes(one).length > 0,
    );
    const document =
      earlier === undefined || vetoed === true
        ? rollouts.Rollout.create(plan, lease.epoch, nowMs)
        : rollouts.Rollout.continue(plan, earlier, lease.epoch, nowMs);
    try {
      const version = await store.put('rollout', id, document.data, { type: 'absent' });
      this.adopt(document, version);
      this.audit(document, 'rollout created');
    } catch (err) {
      if (!failures.is(err, 'objectConflict')) throw err;
      await this.reload(id);
    }
  }

  private async advance(held: Held): Promise<void> {
    const { inputs, clock: time, planStep = stepPlanner.planStep } = this.options;
    const state = held;
    const { document } = held;
    const { service, target } = document.data;
    const { verdict } = held;
    if (verdict === null || verdict.decision === 'bad') return;
    const routes = inputs.configuration().routes.filter((route) => route.service === service);
    const capacity = this.capacityOf(service, target);
    // A new controller, or nodes that restarted together, count from the start again.
    const requestsAtStep = Math.min(held.requestsAtStep, verdict.summary.targetRequests);
    state.requestsAtStep = requestsAtStep;
    const nowMs = time.nowMs();
    const step = { nowMs, rollout: document, verdict, requestsAtStep, routes, capacity };
    const { move, reason } = planStep(step);
    state.note = reason;
    const { summary } = verdict;
    if (move !== null) {
      const written = await this.write(held, { ...move, evidence: summary });
      const current = this.held.get(document.id);
      if (written && current !== undefined) current.requestsAtStep = summary.targetRequests;
    } else if (nowMs - held.writtenMs >= SUMMARY_INTERVAL_MS) {
      await this.write(held, { phase: document.data.phase, reason, evidence: summary });
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

  /** Returns true when the move was stored. */
  private write(held: Held, move: Omit<rollouts.Transition, 'epoch'>): Promise<boolean> {
    const nowMs = this.options.clock.nowMs();
    return this.store(held, (document, epoch) => document.transition({ ...move, epoch }, nowMs));
  }

  private async store(
    held: Held,
    change: (document: rollouts.Rollout, epoch: number) => rollouts.Rollout,
  ): Promise<boolean> {
    const { store, lease } = this.options;
    if (!lease.isHeld) return false;
    const state = held;
    const { document, objectVersion } = held;
    try {
      const next = change(document, lease.epoch);
      const precondition = { type: 'version' as const, version: objectVersion };
      state.unconfirmed = next;
      const version = await store.put('rollout', document.id, next.data, precondition);
      this.adopt(next, version);
      return true;
    } catch (err) {
      if (failures.is(err, 'rolloutFenced')) lease.drop(err.failure.heldEpoch);
      else if (failures.is(err, 'objectConflict')) await this.reload(document.id);
      else throw err;
      return false;
    }
  }

  private async reload(id: string): Promise<void> {
    const found = await this.options.store.get('rollout', id);
    if (found === null) this.held.delete(id);
    else this.adopt(rollouts.Rollout.parse(found.value), found.version);
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

  /** Keeps the newest rollouts of each service and deletes the objects of older final ones. */
  private async forgetOld(): Promise<void> {
    const byService = new Map<string, Held[]>();
    for (const held of this.held.values()) {
      const { service } = held.document.data;
      byService.set(service, [...(byService.get(service) ?? []), held]);
    }
    for (const all of byService.values()) {
      const sorted = all.sort((a, b) => b.document.data.ticket - a.document.data.ticket);
      for (const { document, objectVersion } of sorted.slice(KEPT_PER_SERVICE)) {
        if (!document.isFinal) continue;
        const precondition = { type: 'version' as const, version: objectVersion };
        this.held.delete(document.id);
        try {
          await this.options.store.delete('rollout', document.id, precondition);
        } catch (err) {
          if (!failures.is(err, 'objectNotFound') && !failures.is(err, 'objectConflict')) throw err;
        }
      }
    }
  }
}

/** Status of a document in plain words; any node can give it from the document it holds. */
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

/** A controller writes each revision once in its epoch. */
function isSame(written: rollouts.Rollout | null | undefined, found: rollouts.Rollout): boolean {
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
