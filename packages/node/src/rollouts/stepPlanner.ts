/** Plans the next share of a rollout backwards from its deadline. */

import { rollout as rollouts } from '@godwittrack/core';
import type * as sequentialTest from './sequentialTest.js';

export interface StepInputs {
  nowMs: number;
  rollout: rollouts.Rollout;
  verdict: sequentialTest.Verdict;
  /** Requests of the target counted when the current share was set. */
  requestsAtStep: number;
  /** Routes of the service with their semantics. */
  routes: readonly { name: string; semantics: 'safe' | 'idempotent' | 'once' }[];
  capacity: Capacity;
}

export interface Capacity {
  /** Servers of the target that are ready and past their cold start. */
  readyServers: number;
  /** Total slots of these servers. */
  slots: number;
  /** Slots that the service's total load currently uses. */
  load: number;
}

/** The transition to make, or null to stay at the current share; `reason` explains either. */
export interface StepPlan {
  transition: Omit<rollouts.Transition, 'epoch' | 'evidence'> | null;
  reason: string;
}

interface BalanceSteps {
  canaryPct: number;
  steps: readonly number[];
  /** Requests of the target required at each share. */
  minRequestsPerStep: number;
  /** Fraction of the time to the deadline that the steps use; the rest is reserve. */
  timeFraction: number;
  /** The next step need not wait for these requests once the deadline is near. */
  canWaiveMinRequests: boolean;
}

const BALANCES: Readonly<Record<rollouts.Balance, BalanceSteps>> = {
  timely: {
    canaryPct: 5,
    steps: [25, 60, 100],
    minRequestsPerStep: 10,
    timeFraction: 0.5,
    canWaiveMinRequests: true,
  },
  even: {
    canaryPct: 5,
    steps: [15, 35, 65, 100],
    minRequestsPerStep: 20,
    timeFraction: 0.65,
    canWaiveMinRequests: true,
  },
  careful: {
    canaryPct: 5,
    steps: [8, 15, 30, 50, 75, 100],
    minRequestsPerStep: 40,
    timeFraction: 0.7,
    canWaiveMinRequests: false,
  },
};

const ONCE_CANARY_PCT = 1;
/** Minimum time at one share, so that evidence from it reaches the controller. */
const MIN_STEP_MS = 2_000;
const MAX_STEP_MS = 10 * 60_000;
/** Fraction of the target's slots that the planned share may use. */
const MAX_SLOT_UTILIZATION = 0.8;
/**
 * Share to which the target is lowered when a fault is suspected at 100 % and no stable traffic is
 * left to compare with. At 90 %, a fault that fails a fifth of the requests under load was not
 * detected before the share was raised again.
 */
const COMPARE_SHARE_PCT = 50;
/** Routes with fewer requests have too little evidence of their own and stay one step behind. */
const MIN_ROUTE_REQUESTS = 5;

export function planStep(inputs: StepInputs): StepPlan {
  const { phase } = inputs.rollout.data;
  if (phase === 'planned') return planCanary(inputs);
  if (phase === 'canary') return planFirstStep(inputs);
  if (phase === 'stepping') return planNextStep(inputs);
  if (phase === 'soaking') return planSoak(inputs);
  return { transition: null, reason: inputs.rollout.data.reason };
}

function planCanary(inputs: StepInputs): StepPlan {
  const { capacity, rollout, routes } = inputs;
  const settings = BALANCES[rollout.data.balance];
  if (capacity.readyServers === 0)
    return keepShare(inputs, 'waiting for servers of the target version');
  const allOnce = routes.length > 0 && routes.every(({ semantics }) => semantics === 'once');
  const wanted = allOnce ? ONCE_CANARY_PCT : settings.canaryPct;
  const sharePct = Math.min(wanted, capacityPct(capacity));
  if (sharePct < ONCE_CANARY_PCT) return keepShare(inputs, capacityReason(capacity));
  const routeShares = allOnce ? {} : sharesOfRoutes(inputs, sharePct, 0);
  const reason = `first requests go to ${rollout.data.target}`;
  return { transition: { phase: 'canary', sharePct, routeShares, reason }, reason };
}

function planFirstStep(inputs: StepInputs): StepPlan {
  const { verdict, nowMs, rollout } = inputs;
  if (verdict.decision === 'good' && !verdict.suspect) return raiseShare(inputs);
  const late = nowMs > rollout.data.deadlineMs ? '; the deadline has passed' : '';
  return keepShare(inputs, `${verdict.reason}${late}`);
}

function planNextStep(inputs: StepInputs): StepPlan {
  const { nowMs, rollout, verdict, requestsAtStep } = inputs;
  const { data } = rollout;
  const settings = BALANCES[data.balance];
  if (verdict.suspect && data.sharePct === 100) return lowerShareToCompare('stepping');
  if (verdict.suspect)
    return keepShare(inputs, 'the target fails or is slow; comparing the versions');
  const remaining = settings.steps.filter((share) => share > data.sharePct).length;
  if (data.sharePct === 100 && remaining === 0) return finishSteps(inputs);
  const stepMs = stepDuration(data.deadlineMs - nowMs, remaining, settings.timeFraction);
  if (nowMs - data.changedMs < stepMs) return keepShare(inputs, `next step in ${seconds(stepMs)}`);
  const requestsAtShare = verdict.summary.targetRequests - requestsAtStep;
  const isDeadlineNear = data.deadlineMs - nowMs < remaining * 2 * MIN_STEP_MS;
  if (
    requestsAtShare < settings.minRequestsPerStep &&
    !(isDeadlineNear && settings.canWaiveMinRequests)
  ) {
    const reason = `not enough requests at this share: ${Math.max(0, requestsAtShare)} of ${settings.minRequestsPerStep}`;
    return keepShare(inputs, reason);
  }
  return raiseShare(inputs);
}

function planSoak(inputs: StepInputs): StepPlan {
  const { nowMs, rollout, verdict } = inputs;
  const { data } = rollout;
  if (verdict.suspect && data.sharePct === 100) return lowerShareToCompare('soaking');
  if (data.sharePct < 100) {
    if (nowMs - data.changedMs < 5 * MIN_STEP_MS)
      return keepShare(inputs, 'comparing the versions');
    const reason = 'the comparison shows no fault of the target';
    return { transition: { phase: 'soaking', sharePct: 100, routeShares: {}, reason }, reason };
  }
  const leftMs = data.soakMs - (nowMs - data.changedMs);
  if (leftMs > 0) return keepShare(inputs, `soaking for ${seconds(leftMs)} more`);
  const reason = `${data.target} serves all traffic`;
  return { transition: { phase: 'done', sharePct: 100, reason, expectedEndMs: nowMs }, reason };
}

function lowerShareToCompare(phase: 'stepping' | 'soaking'): StepPlan {
  const reason = 'the target fails or is slow; some traffic returns to compare the versions';
  return { transition: { phase, sharePct: COMPARE_SHARE_PCT, routeShares: {}, reason }, reason };
}

function raiseShare(inputs: StepInputs): StepPlan {
  const { nowMs, rollout, capacity } = inputs;
  const { data } = rollout;
  const { steps, timeFraction } = BALANCES[data.balance];
  const maxSharePct = capacityPct(capacity);
  const remainingSteps = steps.filter((share) => share > data.sharePct);
  // Steps for which no time is left before the deadline are skipped.
  const stepsInTime = Math.max(1, Math.floor((data.deadlineMs - nowMs) / MIN_STEP_MS));
  const wanted = remainingSteps[Math.max(0, remainingSteps.length - stepsInTime)] ?? 100;
  const sharePct = Math.min(wanted, maxSharePct);
  if (sharePct <= data.sharePct) return keepShare(inputs, capacityReason(capacity));
  const routeShares = sharesOfRoutes(inputs, sharePct, data.sharePct);
  const stepsLeft = steps.filter((share) => share > sharePct).length;
  const stepMs = stepDuration(data.deadlineMs - nowMs, stepsLeft, timeFraction);
  const expectedEndMs = nowMs + stepsLeft * stepMs + data.soakMs;
  const reason = `step from ${data.sharePct} % to ${sharePct} %`;
  return {
    transition: { phase: 'stepping', sharePct, routeShares, reason, expectedEndMs },
    reason,
  };
}

/** At 100 %, the routes that are one step behind are raised before the soak period starts. */
function finishSteps(inputs: StepInputs): StepPlan {
  const { rollout, nowMs } = inputs;
  const { data } = rollout;
  if (nowMs - data.changedMs < MIN_STEP_MS && Object.keys(data.routeShares).length > 0) {
    return keepShare(inputs, 'the last routes follow');
  }
  const reason = 'all traffic goes to the target; soaking';
  const expectedEndMs = nowMs + data.soakMs;
  return {
    transition: { phase: 'soaking', sharePct: 100, routeShares: {}, reason, expectedEndMs },
    reason,
  };
}

/** Keeps `once` routes, and routes with little evidence of their own, one step behind. */
function sharesOfRoutes(
  { routes, verdict }: StepInputs,
  sharePct: number,
  previousPct: number,
): Record<string, number> {
  const laggingRoutes = routes.filter(
    ({ name, semantics }) =>
      semantics === 'once' ||
      (previousPct > 0 && (verdict.routeRequests.get(name) ?? 0) < MIN_ROUTE_REQUESTS),
  );
  return Object.fromEntries(
    laggingRoutes.map(({ name }) => [name, Math.min(previousPct, sharePct)]),
  );
}

function stepDuration(leftMs: number, steps: number, timeFraction: number): number {
  const equalMs = (leftMs * timeFraction) / Math.max(1, steps);
  return Math.min(MAX_STEP_MS, Math.max(MIN_STEP_MS, equalMs));
}

function capacityPct({ slots, load }: Capacity): number {
  if (load <= 0) return slots > 0 ? 100 : 0;
  return Math.min(100, Math.floor((100 * slots * MAX_SLOT_UTILIZATION) / load));
}

function capacityReason({ readyServers, slots }: Capacity): string {
  return `the target's ${readyServers} ready servers with ${slots} slots cannot take a larger share`;
}

function keepShare({ rollout }: StepInputs, reason: string): StepPlan {
  const { sharePct } = rollout.data;
  return { transition: null, reason: sharePct === 0 ? reason : `held at ${sharePct} %: ${reason}` };
}

function seconds(ms: number): string {
  return `${Math.ceil(ms / 1_000)} s`;
}
