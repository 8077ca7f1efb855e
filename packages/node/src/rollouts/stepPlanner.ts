/** Plans the next share of a rollout backwards from its deadline. */

import { rollout as rollouts } from '@godwittrack/core';
import type * as sequentialTest from './sequentialTest.js';

export interface StepInputs {
  nowMs: number;
  rollout: rollouts.Rollout;
  verdict: sequentialTest.Verdict;
  /** Requests of the target judged when the present share was set. */
  requestsAtStep: number;
  /** Routes of the service with their semantics. */
  routes: readonly { name: string; semantics: 'safe' | 'idempotent' | 'once' }[];
  capacity: Capacity;
}

export interface Capacity {
  /** Servers of the target that are ready and past their cold start. */
  readyServers: number;
  /** Their slots. */
  slots: number;
  /** Slots that the service's whole load uses now. */
  load: number;
}

/** The move to make, or null to stay; `reason` says why in either case. */
export interface StepPlan {
  move: Omit<rollouts.Transition, 'epoch' | 'evidence'> | null;
  reason: string;
}

interface BalanceSteps {
  canaryPct: number;
  steps: readonly number[];
  /** Requests of the target to see at each share. */
  freshRequests: number;
  /** Part of the time to the deadline that the steps use; the rest is reserve. */
  timePart: number;
  /** The wait for fresh requests ends when the deadline needs it. */
  waiveFresh: boolean;
}

const BALANCES: Readonly<Record<rollouts.Balance, BalanceSteps>> = {
  timely: {
    canaryPct: 5,
    steps: [25, 60, 100],
    freshRequests: 10,
    timePart: 0.5,
    waiveFresh: true,
  },
  even: {
    canaryPct: 5,
    steps: [15, 35, 65, 100],
    freshRequests: 20,
    timePart: 0.65,
    waiveFresh: true,
  },
  careful: {
    canaryPct: 5,
    steps: [8, 15, 30, 50, 75, 100],
    freshRequests: 40,
    timePart: 0.7,
    waiveFresh: false,
  },
};

const ONCE_CANARY_PCT = 1;
/** Shortest stay at one share, so that evidence of the share reaches the controller. */
const MIN_STAY_MS = 2_000;
const MAX_STAY_MS = 10 * 60_000;
/** Load that the target's slots are planned for, as part of them. */
const USABLE_SLOTS = 0.8;
/**
 * Share while a fault is suspected and no stable traffic is left to compare with. At 90 % a fault
 * under load in a fifth of the requests was not decided before the share was raised again.
 */
const COMPARE_SHARE_PCT = 50;
/** Requests below which a route has too little evidence of its own and follows one step behind. */
const MIN_ROUTE_REQUESTS = 5;

export function planStep(inputs: StepInputs): StepPlan {
  const { phase } = inputs.rollout.data;
  if (phase === 'planned') return planCanary(inputs);
  if (phase === 'canary') return planFirstStep(inputs);
  if (phase === 'stepping') return planNextStep(inputs);
  if (phase === 'soaking') return planSoak(inputs);
  return { move: null, reason: inputs.rollout.data.reason };
}

function planCanary(inputs: StepInputs): StepPlan {
  const { capacity, rollout, routes } = inputs;
  const settings = BALANCES[rollout.data.balance];
  if (capacity.readyServers === 0) return stay(inputs, 'waiting for servers of the target version');
  const onlyOnce = routes.length > 0 && routes.every(({ semantics }) => semantics === 'once');
  const wanted = onlyOnce ? ONCE_CANARY_PCT : settings.canaryPct;
  const sharePct = Math.min(wanted, capacityPct(capacity));
  if (sharePct < ONCE_CANARY_PCT) return stay(inputs, tooSmall(capacity));
  const routeShares = onlyOnce ? {} : sharesOfRoutes(inputs, sharePct, 0);
  const reason = `first requests go to ${rollout.data.target}`;
  return { move: { phase: 'canary', sharePct, routeShares, reason }, reason };
}

function planFirstStep(inputs: StepInputs): StepPlan {
  const { verdict, nowMs, rollout } = inputs;
  if (verdict.decision === 'good' && !verdict.suspect) return raiseShare(inputs);
  const late = nowMs > rollout.data.deadlineMs ? '; the deadline has passed' : '';
  return stay(inputs, `${verdict.reason}${late}`);
}

function planNextStep(inputs: StepInputs): StepPlan {
  const { nowMs, rollout, verdict, requestsAtStep } = inputs;
  const { data } = rollout;
  const settings = BALANCES[data.balance];
  if (verdict.suspect && data.sharePct === 100) return compare('stepping');
  if (verdict.suspect) return stay(inputs, 'the target fails or is slow; comparing the versions');
  const remaining = settings.steps.filter((share) => share > data.sharePct).length;
  if (data.sharePct === 100 && remaining === 0) return finishSteps(inputs);
  const stayMs = stayTime(data.deadlineMs - nowMs, remaining, settings.timePart);
  if (nowMs - data.changedMs < stayMs) return stay(inputs, `next step in ${seconds(stayMs)}`);
  const fresh = verdict.summary.targetRequests - requestsAtStep;
  const pressed = data.deadlineMs - nowMs < remaining * 2 * MIN_STAY_MS;
  if (fresh < settings.freshRequests && !(pressed && settings.waiveFresh)) {
    const reason = `not enough requests at this share: ${Math.max(0, fresh)} of ${settings.freshRequests}`;
    return stay(inputs, reason);
  }
  return raiseShare(inputs);
}

function planSoak(inputs: StepInputs): StepPlan {
  const { nowMs, rollout, verdict } = inputs;
  const { data } = rollout;
  if (verdict.suspect && data.sharePct === 100) return compare('soaking');
  if (data.sharePct < 100) {
    if (nowMs - data.changedMs < 5 * MIN_STAY_MS) return stay(inputs, 'comparing the versions');
    const reason = 'the comparison shows no fault of the target';
    return { move: { phase: 'soaking', sharePct: 100, routeShares: {}, reason }, reason };
  }
  const leftMs = data.soakMs - (nowMs - data.changedMs);
  if (leftMs > 0) return stay(inputs, `soaking for ${seconds(leftMs)} more`);
  const reason = `${data.target} serves all traffic`;
  return { move: { phase: 'done', sharePct: 100, reason, expectedEndMs: nowMs }, reason };
}

function compare(phase: 'stepping' | 'soaking'): StepPlan {
  const reason = 'the target fails or is slow; some traffic returns to compare the versions';
  return { move: { phase, sharePct: COMPARE_SHARE_PCT, routeShares: {}, reason }, reason };
}

function raiseShare(inputs: StepInputs): StepPlan {
  const { nowMs, rollout, capacity } = inputs;
  const { data } = rollout;
  const { steps, timePart } = BALANCES[data.balance];
  const limit = capacityPct(capacity);
  const ahead = steps.filter((share) => share > data.sharePct);
  // Steps for which no time is left before the deadline are skipped.
  const affordable = Math.max(1, Math.floor((data.deadlineMs - nowMs) / MIN_STAY_MS));
  const wanted = ahead[Math.max(0, ahead.length - affordable)] ?? 100;
  const sharePct = Math.min(wanted, limit);
  if (sharePct <= data.sharePct) return stay(inputs, tooSmall(capacity));
  const routeShares = sharesOfRoutes(inputs, sharePct, data.sharePct);
  const left = steps.filter((share) => share > sharePct).length;
  const stayMs = stayTime(data.deadlineMs - nowMs, left, timePart);
  const expectedEndMs = nowMs + left * stayMs + data.soakMs;
  const reason = `step from ${data.sharePct} % to ${sharePct} %`;
  return { move: { phase: 'stepping', sharePct, routeShares, reason, expectedEndMs }, reason };
}

/** At 100 %, routes that follow one step behind are raised before the soak period starts. */
function finishSteps(inputs: StepInputs): StepPlan {
  const { rollout, nowMs } = inputs;
  const { data } = rollout;
  if (nowMs - data.changedMs < MIN_STAY_MS && Object.keys(data.routeShares).length > 0) {
    return stay(inputs, 'the last routes follow');
  }
  const reason = 'all traffic goes to the target; soaking';
  const expectedEndMs = nowMs + data.soakMs;
  return {
    move: { phase: 'soaking', sharePct: 100, routeShares: {}, reason, expectedEndMs },
    reason,
  };
}

/** `once` routes, and routes with little evidence of their own, follow one step behind. */
function sharesOfRoutes(
  { routes, verdict }: StepInputs,
  sharePct: number,
  previousPct: number,
): Record<string, number> {
  const behind = routes.filter(
    ({ name, semantics }) =>
      semantics === 'once' ||
      (previousPct > 0 && (verdict.routeRequests.get(name) ?? 0) < MIN_ROUTE_REQUESTS),
  );
  return Object.fromEntries(behind.map(({ name }) => [name, Math.min(previousPct, sharePct)]));
}

function stayTime(leftMs: number, steps: number, timePart: number): number {
  const even = (leftMs * timePart) / Math.max(1, steps);
  return Math.min(MAX_STAY_MS, Math.max(MIN_STAY_MS, even));
}

function capacityPct({ slots, load }: Capacity): number {
  if (load <= 0) return slots > 0 ? 100 : 0;
  return Math.min(100, Math.floor((100 * slots * USABLE_SLOTS) / load));
}

function tooSmall({ readyServers, slots }: Capacity): string {
  return `the target's ${readyServers} ready servers with ${slots} slots cannot take a larger share`;
}

function stay({ rollout }: StepInputs, reason: string): StepPlan {
  const { sharePct } = rollout.data;
  return { move: null, reason: sharePct === 0 ? reason : `held at ${sharePct} %: ${reason}` };
}

function seconds(ms: number): string {
  return `${Math.ceil(ms / 1_000)} s`;
}
