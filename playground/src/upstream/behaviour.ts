/** Behaviour of the upstream stand-in, which `POST /control` changes at run time. */

import * as z from 'zod';
import type * as randoms from '../common/random.js';

const fraction = z.number().min(0).max(1);

/** A fault with the conditions under which it applies; conditions that are absent always hold. */
const ruleSchema = z.strictObject({
  pathPrefix: z.string().optional(),
  method: z.string().optional(),
  /** Applies while more requests than this are in flight. */
  aboveInFlight: z.number().int().min(0).optional(),
  /** Applies from this time after the rule was set. */
  afterMs: z.number().min(0).optional(),
  /** Applies once this many requests have matched the rule's other conditions. */
  afterRequests: z.number().int().min(0).optional(),
  /** Share of requests answered with `errorStatus` after they ran. */
  errorRate: fraction.optional(),
  /** Default 500. */
  errorStatus: z.number().int().min(400).max(599).optional(),
  addedLatencyMs: z.number().min(0).optional(),
  /** Share of answers whose connection is destroyed halfway through the body. */
  truncateRate: fraction.optional(),
});

export const changeSchema = z.strictObject({
  /** Replaces all rules. */
  rules: z.array(ruleSchema).optional(),
  /** Whether `/healthz` reports the actual health or a fixed one. */
  health: z.enum(['truthful', 'alwaysHealthy', 'alwaysUnhealthy']).optional(),
  /** Load that `/load` reports; null reports the actual load. */
  reportedLoad: fraction.nullable().optional(),
  /** Median of the service time. */
  serviceTimeMs: z.number().min(0).optional(),
  /** Standard deviation of the logarithm of the service time; 0 makes it constant. */
  serviceTimeSigma: z.number().min(0).optional(),
  /** Sheds every request with 503. */
  shedAll: z.boolean().optional(),
});

export type Rule = z.infer<typeof ruleSchema>;
export type BehaviourChange = z.infer<typeof changeSchema>;

export interface RequestContext {
  method: string;
  path: string;
  inFlight: number;
}

/** Combined faults to inject into one request. */
export interface Effects {
  errorStatus: number | null;
  addedLatencyMs: number;
  truncate: boolean;
}

interface ActiveRule {
  rule: Rule;
  setAtMs: number;
  matchCount: number;
}

export class Rules {
  private active: ActiveRule[] = [];

  constructor(
    private readonly random: randoms.Random,
    private readonly nowMs: () => number = () => performance.now(),
  ) {}

  get hasRules(): boolean {
    return this.active.length > 0;
  }

  replace(rules: readonly Rule[]): void {
    const setAtMs = this.nowMs();
    this.active = rules.map((rule) => ({ rule, setAtMs, matchCount: 0 }));
  }

  /** Combines all rules that apply: latencies add up, and the last injected status wins. */
  resolve(context: RequestContext): Effects {
    const effects: Effects = { errorStatus: null, addedLatencyMs: 0, truncate: false };
    for (const active of this.active) {
      if (!this.applies(active, context)) continue;
      const { rule } = active;
      effects.addedLatencyMs += rule.addedLatencyMs ?? 0;
      if (this.random.chance(rule.errorRate ?? 0)) effects.errorStatus = rule.errorStatus ?? 500;
      if (this.random.chance(rule.truncateRate ?? 0)) effects.truncate = true;
    }
    return effects;
  }

  private applies(active: ActiveRule, context: RequestContext): boolean {
    const { rule } = active;
    if (rule.pathPrefix !== undefined && !context.path.startsWith(rule.pathPrefix)) return false;
    if (rule.method !== undefined && rule.method !== context.method) return false;
    if (rule.aboveInFlight !== undefined && context.inFlight <= rule.aboveInFlight) return false;
    if (this.nowMs() - active.setAtMs < (rule.afterMs ?? 0)) return false;

    active.matchCount += 1;
    return active.matchCount > (rule.afterRequests ?? 0);
  }
}
