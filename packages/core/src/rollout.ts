/**
 * The rollout aggregate: the progress of a service from its stable version to the target version
 * of one ticket. It is stored as `rollout/{service}.{ticket}` and enforces the rules on phases,
 * traffic shares and epochs, so that a paused or faulty controller cannot store an invalid state.
 */

import * as z from 'zod';
import type * as configuration from './configuration.js';
import * as failures from './failures.js';
import * as ids from './ids.js';

/**
 * Phases of a rollout. `takenBack` ends it with a rollback to the stable version, `superseded` ends
 * it because its plan was replaced or removed.
 */
export const PHASES = [
  'planned',
  'canary',
  'stepping',
  'soaking',
  'done',
  'takenBack',
  'superseded',
] as const;
export type Phase = (typeof PHASES)[number];

const FINAL_PHASES: readonly Phase[] = ['done', 'takenBack', 'superseded'];

const NEXT_PHASES: Readonly<Record<Phase, readonly Phase[]>> = {
  planned: ['planned', 'canary', 'takenBack', 'superseded'],
  canary: ['canary', 'stepping', 'takenBack', 'superseded'],
  stepping: ['stepping', 'soaking', 'takenBack', 'superseded'],
  soaking: ['soaking', 'done', 'takenBack', 'superseded'],
  done: [],
  takenBack: [],
  superseded: [],
};

/** Largest traffic share of the target version in the canary phase, in percent. */
export const MAX_CANARY_SHARE_PCT = 5;
/** Maximum number of history entries; the first and the latest ones are kept. */
export const MAX_HISTORY = 64;
/** Maximum number of earlier rollouts whose vetoes still apply; the oldest are dropped. */
const MAX_INHERITED_ROLLOUTS = 16;
/** Reason of a rollout that ended because its plan was deleted or lost its target. */
export const CANCELLED_REASON = 'cancelled';

const share = z.number().min(0).max(100);

const evidenceSchema = z.object({
  /** Request and error counts of both versions that the controller evaluated. */
  targetRequests: z.number(),
  targetErrors: z.number(),
  stableRequests: z.number(),
  stableErrors: z.number(),
  /** Estimated number of target requests needed for a decision, at the time of writing. */
  neededRequests: z.number(),
});

const historySchema = z.object({
  atMs: z.number(),
  phase: z.enum(PHASES),
  sharePct: share,
  reason: z.string(),
  epoch: z.number(),
});

/** Shape of the object `rollout/{service}.{ticket}`. */
export const rolloutSchema = z.object({
  id: z.string(),
  service: z.string(),
  ticket: z.number().int().positive(),
  stable: z.string(),
  target: z.string(),
  deadlineMs: z.number(),
  soakMs: z.number().min(0),
  balance: z.enum(['timely', 'even', 'careful']),
  phase: z.enum(PHASES),
  epoch: z.number().int().min(0),
  /** Rises by one with each change; nodes ignore older revisions. */
  revision: z.number().int().positive(),
  sharePct: share,
  /** Shares of routes that differ from `sharePct`. */
  routeShares: z.record(z.string(), share),
  reason: z.string(),
  evidence: evidenceSchema,
  createdMs: z.number(),
  /** Time at which the current phase and share were set. */
  changedMs: z.number(),
  expectedEndMs: z.number().nullable(),
  /** Rollout from whose share this one continued; vetoes of that rollout apply here too. */
  continues: z.string().nullable(),
  /** All earlier rollouts in the chain, `continues` first; a late veto of any applies here too. */
  inherits: z.array(z.string()).max(MAX_INHERITED_ROLLOUTS).default([]),
  /** Ticket of the plan that ended this rollout, or of the first plan after it was `done`. */
  supersededBy: z.number().nullable(),
  history: z.array(historySchema).max(MAX_HISTORY),
});

export type RolloutData = z.output<typeof rolloutSchema>;
export type EvidenceSummary = z.output<typeof evidenceSchema>;
export type Balance = RolloutData['balance'];

/** A change of state. Omitted fields keep their value, but `supersededBy` is then reset to null. */
export interface Transition {
  epoch: number;
  phase: Phase;
  sharePct?: number;
  routeShares?: Record<string, number>;
  reason: string;
  evidence?: EvidenceSummary;
  expectedEndMs?: number | null;
  supersededBy?: number;
}

export const NO_EVIDENCE: EvidenceSummary = {
  targetRequests: 0,
  targetErrors: 0,
  stableRequests: 0,
  stableErrors: 0,
  neededRequests: 0,
};

export class Rollout {
  readonly data: Readonly<RolloutData>;

  private constructor(data: RolloutData) {
    this.data = data;
  }

  /** Initial state of the rollout of a plan with a target. */
  static create(plan: configuration.VersionPlan, epoch: number, nowMs: number): Rollout {
    if (plan.target === undefined || plan.deadline === undefined) {
      const detail = `the plan of ${plan.service} has no target`;
      throw failures.toError({ type: 'internal', detail });
    }
    const reason = 'waiting for servers of the target version';
    return new Rollout({
      id: ids.rolloutId(plan.service, plan.ticket),
      service: plan.service,
      ticket: plan.ticket,
      stable: plan.stable,
      target: plan.target,
      deadlineMs: Date.parse(plan.deadline),
      soakMs: plan.soak,
      balance: plan.balance,
      phase: 'planned',
      epoch,
      revision: 1,
      sharePct: 0,
      routeShares: {},
      reason,
      evidence: NO_EVIDENCE,
      createdMs: nowMs,
      changedMs: nowMs,
      expectedEndMs: null,
      continues: null,
      inherits: [],
      supersededBy: null,
      history: [{ atMs: nowMs, phase: 'planned', sharePct: 0, reason, epoch }],
    });
  }

  /**
   * Initial state for a plan that differs from the previous one only in deadline, soak or balance:
   * the rollout continues from the share already reached. A rollout that was rolled back is not
   * continued; its successor starts anew.
   */
  static continue(
    plan: configuration.VersionPlan,
    previous: Rollout,
    epoch: number,
    nowMs: number,
  ): Rollout {
    const initial = Rollout.create(plan, epoch, nowMs);
    const reached = previous.lastRunningState();
    if (reached === null || !previous.isContinuedBy(plan)) return initial;
    const reason = `continues ${previous.id} at ${reached.sharePct} %`;
    const { sharePct } = reached;
    const phase = reached.phase === 'done' ? 'soaking' : reached.phase;
    return new Rollout({
      ...initial.data,
      phase,
      sharePct,
      continues: previous.id,
      inherits: [previous.id, ...previous.data.inherits].slice(0, MAX_INHERITED_ROLLOUTS),
      routeShares: previous.data.routeShares,
      evidence: previous.data.evidence,
      reason,
      history: [{ atMs: nowMs, phase, sharePct, reason, epoch }],
    });
  }

  /** @throws invalidRequest when the stored value has another shape */
  static parse(value: unknown): Rollout {
    const checked = rolloutSchema.safeParse(value);
    if (checked.success) return new Rollout(checked.data);
    const found = checked.error.issues.map((issue) => ({
      path: issue.path.join('.'),
      message: issue.message,
    }));
    throw failures.toError({ type: 'invalidRequest', problems: found });
  }

  get id(): string {
    return this.data.id;
  }

  get isFinal(): boolean {
    return FINAL_PHASES.includes(this.data.phase);
  }

  /**
   * True when the plan directly replaces the plan of this rollout and has the same versions, so
   * that its rollout continues this one. With a plan in between it does not, because that plan may
   * have cancelled the rollout, even if no controller processed it.
   */
  isContinuedBy(plan: configuration.VersionPlan): boolean {
    const { service, stable, target, phase, ticket } = this.data;
    if (plan.service !== service || plan.stable !== stable || plan.target !== target) return false;
    return phase !== 'takenBack' && plan.replaces === ticket;
  }

  /** Ids of the rollouts whose vetoes end this one: itself and those that it continues. */
  get vetoingRolloutIds(): readonly string[] {
    return [this.data.id, ...this.data.inherits];
  }

  shareOf(route: string): number {
    return this.data.routeShares[route] ?? this.data.sharePct;
  }

  /**
   * Returns the next state.
   * @throws rolloutFenced when `epoch` is older than the stored one
   * @throws rolloutFinal when no further change is allowed
   * @throws rolloutTransition when the phase or a share breaks the rules
   */
  transition(next: Transition, nowMs: number): Rollout {
    const { data } = this;
    if (next.epoch < data.epoch) {
      const { epoch } = next;
      throw failures.toError({
        type: 'rolloutFenced',
        rollout: data.id,
        heldEpoch: data.epoch,
        epoch,
      });
    }
    if (this.isFinal) {
      throw failures.toError({ type: 'rolloutFinal', rollout: data.id, phase: data.phase });
    }
    const sharePct = shareForPhase(next.phase, next.sharePct ?? data.sharePct);
    const routeShares = routeSharesForPhase(next.phase, next.routeShares ?? data.routeShares);
    this.checkTransition(next.phase, sharePct, routeShares);
    const changed = next.phase !== data.phase || sharePct !== data.sharePct;
    const { reason, epoch, phase } = next;
    return new Rollout({
      ...data,
      phase,
      epoch,
      revision: data.revision + 1,
      sharePct,
      routeShares,
      reason,
      evidence: next.evidence ?? data.evidence,
      changedMs: changed ? nowMs : data.changedMs,
      expectedEndMs: next.expectedEndMs === undefined ? data.expectedEndMs : next.expectedEndMs,
      supersededBy: next.supersededBy ?? null,
      history: changed
        ? appendHistory(data.history, { atMs: nowMs, phase, sharePct, reason, epoch })
        : data.history,
    });
  }

  /** Phase and share before the rollout was superseded; null when none can be continued. */
  private lastRunningState(): { phase: Phase; sharePct: number } | null {
    const { phase, history } = this.data;
    if (phase === 'takenBack') return null;
    if (phase !== 'superseded') return this.data;
    return history.findLast((entry) => entry.phase !== 'superseded') ?? null;
  }

  private checkTransition(
    phase: Phase,
    sharePct: number,
    routeShares: Record<string, number>,
  ): void {
    const { data } = this;
    const shares = [sharePct, ...Object.values(routeShares)];
    const invalidTransition = (detail: string) =>
      failures.toError({
        type: 'rolloutTransition',
        rollout: data.id,
        from: data.phase,
        to: phase,
        detail,
      });
    if (!NEXT_PHASES[data.phase].includes(phase))
      throw invalidTransition('the phases do not follow');
    if (shares.some((value) => !(value >= 0 && value <= 100)))
      throw invalidTransition('share out of range');
    if (phase === 'canary' && shares.some((value) => value > MAX_CANARY_SHARE_PCT)) {
      throw invalidTransition(`at most ${MAX_CANARY_SHARE_PCT} % before the version is proved`);
    }
    if (phase === 'done' && sharePct !== 100)
      throw invalidTransition('done needs a share of 100 %');
  }
}

function shareForPhase(phase: Phase, requested: number): number {
  if (phase === 'planned' || phase === 'takenBack') return 0;
  return requested;
}

function routeSharesForPhase(
  phase: Phase,
  requested: Record<string, number>,
): Record<string, number> {
  return phase === 'planned' || phase === 'takenBack' || phase === 'done' ? {} : requested;
}

function appendHistory(history: RolloutData['history'], entry: RolloutData['history'][number]) {
  const [first, ...rest] = [...history, entry];
  return first === undefined ? [] : [first, ...rest.slice(1 - MAX_HISTORY)];
}
