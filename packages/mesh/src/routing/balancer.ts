/**
 * Load balancer: chooses the node for a request, near ones first while they have capacity. Among candidates of
 * similar distance, a `ChoiceStrategy` decides.
 */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';
import * as choiceStrategy from './choiceStrategy.js';
import * as loadEstimates from './loadEstimates.js';

export interface Candidate extends loadEstimates.KnownLoad {
  node: ids.NodeId;
  distance: members.Distance;
  slots: number;
  /** Requests per second that the upstream takes; null if it states no limit. */
  limitPerSecond: number | null;
  /** Whether `limitPerSecond` is that of an upstream that has just started, or lower. */
  isCold: boolean;
  /** Average service time of the route's requests at this upstream. */
  serviceMs: number;
  /** Wait of the answer for the uplink of the host; 0 for answers that are small enough to overtake others. */
  transferWaitMs: number;
  /** Share of recent requests there that failed, 0 to 1. */
  failureShare: number;
  /** False if a link to the node must be opened first. */
  hasOpenLink: boolean;
}

export interface RequestProfile {
  /** Size of the request's body plus the average size of the answer's body. */
  transferBytes: number;
  /** Time left until the target latency of the route. */
  targetLeftMs: number;
  /** Time left until the caller's deadline. */
  deadlineLeftMs: number;
}

/**
 * Cost of each distance, as the extra wait in milliseconds that is accepted to stay nearer: a fixed
 * part and a part per kilobyte transferred. Traffic between failure domains is billed by volume, so a
 * request rather waits for a near slot within its target latency, and small ones are the first to be
 * sent farther.
 */
const DISTANCE_COST_MS: Record<members.Distance, number> = {
  host: 0,
  domain: 1,
  region: 20,
  remote: 45,
};
const DISTANCE_COST_MS_PER_KB: Record<members.Distance, number> = {
  host: 0,
  domain: 0,
  region: 12,
  remote: 25,
};
/** Larger transfers cost no more, so that a far upstream still serves if none is near. */
const MAX_COUNTED_KB = 32;
/** Network round-trip time. */
const ROUND_TRIP_MS: Record<members.Distance, number> = {
  host: 0,
  domain: 1,
  region: 4,
  remote: 28,
};
/** Upstreams slow down under load: added share of the service time when all slots are in use. */
const FULL_SLOWDOWN = 0.3;
/** Cost at a failure share of 1. */
const FAILURE_COST_MS = 1_000;
/**
 * Cost of a cold upstream, so that those with room come first that are warm, also in another failure domain
 * of the region. Below the waits that requests with usual target latencies can accept.
 */
const COLD_COST_MS = 100;
/**
 * Differences of scores that the strategy treats as considerable, as a share of the average service time. Lower
 * values send more requests to the fastest upstreams, higher ones spread them in proportion to the capacities.
 */
const SPREAD_SHARE = 1;
const MIN_SPREAD_MS = 8;
/**
 * Time until the target latency that a request keeps when it waits, in service times: a service time has a wide
 * range, and waits are estimated from it. With less, more requests are late above the capacity of the service.
 */
const WAIT_RESERVE_SHARE = 2;

export interface Choice {
  candidate: Candidate;
  /** Expected time until the answer, from now. */
  expectedMs: number;
  /** Longest wait for a slot and the uplink before the second-best candidate is better; Infinity if none. */
  maxWaitMs: number;
  /** Network round-trip time. */
  roundTripMs: number;
  /** Whether another candidate nearby is expected to have a free slot. */
  otherHasRoom: boolean;
}

/** A candidate with its expected times. */
interface Assessment extends choiceStrategy.Option {
  candidate: Candidate;
  expectedMs: number;
  /** Expected wait for a slot. */
  waitMs: number;
}

export class Balancer {
  private readonly withRoom: choiceStrategy.ChoiceStrategy;

  private readonly withoutRoom: choiceStrategy.ChoiceStrategy;

  /**
   * @param random in [0, 1)
   * @param withRoom strategy while a candidate is expected to have a free slot
   */
  constructor(random: () => number, withRoom?: choiceStrategy.ChoiceStrategy) {
    this.withRoom = withRoom ?? new choiceStrategy.BestOfDrawn(random);
    this.withoutRoom = new choiceStrategy.LowestScore(random);
  }

  /** @returns null if no candidate is expected to answer before the caller's deadline */
  choose(candidates: readonly Candidate[], profile: RequestProfile): Choice | null {
    const estimates = new loadEstimates.LoadEstimates();
    for (const each of candidates) estimates.add(each.distance, each, capacityOf(each));
    const near: Assessment[] = [];
    const far: Assessment[] = [];
    let serviceMs = 0;
    let isWarmFree = false;
    for (const candidate of candidates) {
      const assessed = assess(candidate, estimates, profile);
      if (assessed.expectedMs <= profile.deadlineLeftMs) {
        serviceMs += candidate.serviceMs;
        isWarmFree ||= !candidate.isCold && assessed.waitMs === 0;
        const isNear = loadEstimates.groupOf(candidate.distance) === 'near';
        (isNear ? near : far).push(assessed);
      }
    }
    const count = near.length + far.length;
    if (count === 0) return null;
    const spreadMs = Math.max(MIN_SPREAD_MS, (SPREAD_SHARE * serviceMs) / count);
    const chosen = this.chooseByDistance(near, far, spreadMs);
    return {
      candidate: chosen.candidate,
      expectedMs: chosen.expectedMs,
      maxWaitMs:
        chosen.candidate.isCold && isWarmFree
          ? 0
          : maxWaitMs(chosen, nextScore(chosen, near, far), profile),
      roundTripMs: ROUND_TRIP_MS[chosen.candidate.distance],
      otherHasRoom: near.some((each) => each !== chosen && hasRoom(each)),
    };
  }

  /**
   * A request leaves the failure domain only for an upstream that is better than all in it. Compared with the
   * one that was drawn there, a farther one would often be better by chance.
   */
  private chooseByDistance(
    near: readonly Assessment[],
    far: readonly Assessment[],
    spreadMs: number,
  ): Assessment {
    const bestNear = lowestScore(near);
    if (lowestScore(far) < bestNear) {
      const chosen = this.chooseOne(far, spreadMs);
      if (chosen.score < bestNear) return chosen;
    }
    return this.chooseOne(near, spreadMs);
  }

  private chooseOne(options: readonly Assessment[], spreadMs: number): Assessment {
    const strategy = options.some(hasRoom) ? this.withRoom : this.withoutRoom;
    return options[strategy.choose(options, spreadMs)]!;
  }
}

/** Whether a further request is expected to find a free slot. */
function hasRoom({ candidate, freeShare }: Assessment): boolean {
  return freeShare * capacityOf(candidate) >= 1;
}

function lowestScore(options: readonly Assessment[]): number {
  let lowest = Infinity;
  for (const { score } of options) lowest = Math.min(lowest, score);
  return lowest;
}

/** Score of the best candidate that was not chosen; Infinity if there is none. */
function nextScore(chosen: Assessment, ...groups: readonly Assessment[][]): number {
  let next = Infinity;
  for (const group of groups) {
    for (const option of group) if (option !== chosen) next = Math.min(next, option.score);
  }
  return next;
}

/** A request doesn't wait past its target while it can be offered to another candidate. */
function maxWaitMs(
  { candidate, waitMs, score }: Assessment,
  next: number,
  { targetLeftMs }: RequestProfile,
): number {
  if (next === Infinity) return Infinity;
  const betterThanNextMs = waitMs + candidate.transferWaitMs + next - score;
  const onTimeMs = targetLeftMs - WAIT_RESERVE_SHARE * candidate.serviceMs;
  return Math.min(betterThanNextMs, Math.max(candidate.transferWaitMs, onTimeMs));
}

function assess(
  candidate: Candidate,
  estimates: loadEstimates.LoadEstimates,
  profile: RequestProfile,
): Assessment {
  const { serviceMs, distance, hasOpenLink: isConnected, transferWaitMs, failureShare } = candidate;
  const capacity = capacityOf(candidate);
  const { load, queued } = estimates.estimate(distance, candidate, capacity);
  const usage = Math.min(1, load / Math.max(1, candidate.slots));
  const roundTripMs = ROUND_TRIP_MS[distance] * (isConnected ? 1 : 2);
  const waitMs = (queued * serviceMs) / capacity;
  const answerMs = serviceMs * (1 + FULL_SLOWDOWN * usage * usage);
  const expectedMs = roundTripMs + waitMs + transferWaitMs + answerMs;
  const lateMs = Math.max(0, expectedMs - profile.targetLeftMs);
  const penaltyMs =
    distanceCost(distance, profile.transferBytes) +
    failureShare * FAILURE_COST_MS +
    (candidate.isCold ? COLD_COST_MS : 0);
  const score = expectedMs + penaltyMs + lateMs * 4;
  return {
    candidate,
    expectedMs,
    waitMs,
    score,
    penaltyMs,
    capacityPerSecond: (capacity * 1_000) / serviceMs,
    freeShare: Math.max(0, 1 - load / capacity),
  };
}

function distanceCost(distance: members.Distance, transferBytes: number): number {
  const kilobytes = Math.min(MAX_COUNTED_KB, transferBytes / 1_024);
  return DISTANCE_COST_MS[distance] + DISTANCE_COST_MS_PER_KB[distance] * kilobytes;
}

/**
 * Requests that the upstream runs at once: its slots, or what its limit comes to (Little's law). At least
 * one, so that an idle upstream stays a candidate and can state another limit in an answer.
 */
function capacityOf({ slots, limitPerSecond, serviceMs }: Candidate): number {
  const capacity = Math.max(1, slots);
  if (limitPerSecond === null) return capacity;
  return Math.min(capacity, Math.max(1, (limitPerSecond * serviceMs) / 1_000));
}
