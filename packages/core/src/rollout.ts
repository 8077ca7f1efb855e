/**
 * The rollout aggregate: how far a service has moved from its stable version to the target of one
 * ticket. It is stored as `rollout/{service}.{ticket}` and owns the rules on phases, shares and
 * epochs, so that a paused or mistaken controller cannot store a wrong state.
 */

import * as z from 'zod';
import type * as configuration from './configuration.js';
import * as failures from './failures.js';
import * as ids from './ids.js';

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

/** Largest share of a version that is not proved yet, percent. */
export const MAX_UNPROVED_SHARE_PCT = 5;
/** Entries of history kept; the oldest after the first is dropped. */
export const MAX_HISTORY = 64;
/** Rollouts whose vetoes a continued rollout still takes; the oldest are dropped. */
const MAX_INHERITED = 16;
export const CANCELLED = 'cancelled';

const share = z.number().min(0).max(100);

const evidenceSchema = z.object({
  /** Requests of the target and the stable version that were judged. */
  targetRequests: z.number(),
  targetErrors: z.number(),
  stableRequests: z.number(),
  stableErrors: z.number(),
  /** Requests of the target that the proof needs, as estimated when it was written. */
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
  /** When the present phase and share were set. */
  changedMs: z.number(),
  expectedEndMs: z.number().nullable(),
  /** Rollout whose share this one took over; its vetoes count here too. */
  continues: z.string().nullable(),
  /** Every rollout that led to this one, `continues` first; a late veto of any of them counts here. */
  inherits: z.array(z.string()).max(MAX_INHERITED).default([]),
  /** Ticket of the plan that ended this rollout, or the first one after it was `done`. */
  supersededBy: z.number().nullable(),
  history: z.array(historySchema).max(MAX_HISTORY),
});

export type RolloutData = z.output<typeof rolloutSchema>;
export type EvidenceSummary = z.output<typeof evidenceSchema>;
export type Balance = RolloutData['balance'];

/** What a move may change; fields left out keep their value. */
export interface Move {
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

  /** First state of the rollout of a plan with a target. */
  static create(plan: configuration.VersionPlan, epoch: number, nowMs: number): Rollout {
    if (plan.target === undefined || plan.deadline === undefined) {
      const detail = `the plan of ${plan.service} has no target`;
      throw failures.raise({ type: 'internal', detail });
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
   * First state of a plan that differs from the one before only in deadline, soak or balance: it
   * goes on from the share already reached. A rollout that was taken back is not continued.
   */
  static continue(
    plan: configuration.VersionPlan,
    previous: Rollout,
    epoch: number,
    nowMs: number,
  ): Rollout {
    const fresh = Rollout.create(plan, epoch, nowMs);
    const reached = previous.lastRunningState();
    if (reached === null || !previous.continuesIn(plan)) return fresh;
    const reason = `continues ${previous.id} at ${reached.sharePct} %`;
    const { sharePct } = reached;
    const phase = reached.phase === 'done' ? 'soaking' : reached.phase;
    return new Rollout({
      ...fresh.data,
      phase,
      sharePct,
      continues: previous.id,
      inherits: [previous.id, ...previous.data.inherits].slice(0, MAX_INHERITED),
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
    throw failures.raise({ type: 'invalidRequest', problems: found });
  }

  get id(): string {
    return this.data.id;
  }

  get isFinal(): boolean {
    return FINAL_PHASES.includes(this.data.phase);
  }

  /**
   * True when the plan follows directly on this rollout's and has the same versions, so that its
   * rollout goes on from this one. A plan in between may have cancelled the move, also one that no
   * controller saw.
   */
  continuesIn(plan: configuration.VersionPlan): boolean {
    const { service, stable, target, phase, ticket } = this.data;
    if (plan.service !== service || plan.stable !== stable || plan.target !== target) return false;
    return phase !== 'takenBack' && plan.replaces === ticket;
  }

  /** Rollouts whose vetoes end this one: itself and those that it continues. */
  get vetoableBy(): readonly string[] {
    return [this.data.id, ...this.data.inherits];
  }

  shareOf(route: string): number {
    return this.data.routeShares[route] ?? this.data.sharePct;
  }

  /**
   * Returns the next state.
   * @throws rolloutFenced when `epoch` is older than the one held
   * @throws rolloutFinal when no further change is allowed
   * @throws rolloutTransition when the phase or a share breaks the rules
   */
  move(next: Move, nowMs: number): Rollout {
    const { data } = this;
    if (next.epoch < data.epoch) {
      const { epoch } = next;
      throw failures.raise({
        type: 'rolloutFenced',
        rollout: data.id,
        heldEpoch: data.epoch,
        epoch,
      });
    }
    if (this.isFinal) {
      throw failures.raise({ type: 'rolloutFinal', rollout: data.id, phase: data.phase });
    }
    const sharePct = shareIn(next.phase, next.sharePct ?? data.sharePct);
    const routeShares = routeSharesIn(next.phase, next.routeShares ?? data.routeShares);
    this.checkMove(next.phase, sharePct, routeShares);
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

  /** Phase and share before a `superseded` end; null when there is nothing to go on from. */
  private lastRunningState(): { phase: Phase; sharePct: number } | null {
    const { phase, history } = this.data;
    if (phase === 'takenBack') return null;
    if (phase !== 'superseded') return this.data;
    return history.findLast((entry) => entry.phase !== 'superseded') ?? null;
  }

  private checkMove(phase: Phase, sharePct: number, routeShares: Record<string, number>): void {
    const { data } = this;
    const shares = [sharePct, ...Object.values(routeShares)];
    const refuse = (detail: string) =>
      failures.raise({
        type: 'rolloutTransition',
        rollout: data.id,
        from: data.phase,
        to: phase,
        detail,
      });
    if (!NEXT_PHASES[data.phase].includes(phase)) throw refuse('the phases do not follow');
    if (shares.some((value) => !(value >= 0 && value <= 100))) throw refuse('share out of range');
    if (phase === 'canary' && shares.some((value) => value > MAX_UNPROVED_SHARE_PCT)) {
      throw refuse(`at most ${MAX_UNPROVED_SHARE_PCT} % before the version is proved`);
    }
    if (phase === 'done' && sharePct !== 100) throw refuse('done needs a share of 100 %');
  }
}

function shareIn(phase: Phase, wanted: number): number {
  if (phase === 'planned' || phase === 'takenBack') return 0;
  return wanted;
}

function routeSharesIn(phase: Phase, wanted: Record<string, number>): Record<string, number> {
  return phase === 'planned' || phase === 'takenBack' || phase === 'done' ? {} : wanted;
}

function appendHistory(history: RolloutData['history'], entry: RolloutData['history'][number]) {
  const [first, ...rest] = [...history, entry];
  return first === undefined ? [] : [first, ...rest.slice(1 - MAX_HISTORY)];
}
