/** Load balancer: chooses the node for a request, near ones first while they have capacity. */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';

export interface Candidate {
  node: ids.NodeId;
  distance: members.Distance;
  slots: number;
  /** Requests per second that the upstream takes; null if it states no limit. */
  limitPerSecond: number | null;
  /** Whether `limitPerSecond` is that of an upstream that has just started, or lower. */
  isCold: boolean;
  /** In-flight requests: those of this node, and those of other nodes as last reported. */
  load: number;
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
/** Least range of the random part of a score, by which nearly equal candidates share the load. */
const MIN_SCORE_JITTER_MS = 4;
/** The same as a share of the service time, whose estimate is no more precise than that. */
const SCORE_JITTER_SHARE = 0.08;

export interface Choice {
  candidate: Candidate;
  /** Expected time until the answer, from now. */
  expectedMs: number;
  /** Longest wait for a slot and the uplink before the second-best candidate is better; Infinity if none. */
  maxWaitMs: number;
}

export class Balancer {
  /** @param random in [0, 1) */
  constructor(private readonly random: () => number) {}

  /** @returns null if no candidate is expected to answer before the caller's deadline */
  choose(candidates: readonly Candidate[], profile: RequestProfile): Choice | null {
    let best: Candidate | null = null;
    let bestExpectedMs = 0;
    let bestScore = Infinity;
    let nextScore = Infinity;
    let isWarmFree = false;
    for (const candidate of candidates) {
      const expectedMs = expectedAnswerMs(candidate);
      if (expectedMs <= profile.deadlineLeftMs) {
        isWarmFree ||= !candidate.isCold && expectedWaitMs(candidate) === 0;
        const jitterMs = Math.max(MIN_SCORE_JITTER_MS, candidate.serviceMs * SCORE_JITTER_SHARE);
        const score = this.score(candidate, expectedMs, profile) + this.random() * jitterMs;
        if (score < bestScore) {
          nextScore = bestScore;
          best = candidate;
          bestExpectedMs = expectedMs;
          bestScore = score;
        } else {
          nextScore = Math.min(nextScore, score);
        }
      }
    }
    if (best === null) return null;
    if (best.isCold && isWarmFree) {
      return { candidate: best, expectedMs: bestExpectedMs, maxWaitMs: 0 };
    }
    const maxWaitMs = expectedWaitMs(best) + best.transferWaitMs + nextScore - bestScore;
    return { candidate: best, expectedMs: bestExpectedMs, maxWaitMs };
  }

  private score(candidate: Candidate, expectedMs: number, profile: RequestProfile): number {
    const lateMs = Math.max(0, expectedMs - profile.targetLeftMs);
    return (
      expectedMs +
      distanceCost(candidate.distance, profile.transferBytes) +
      candidate.failureShare * FAILURE_COST_MS +
      (candidate.isCold ? COLD_COST_MS : 0) +
      lateMs * 4
    );
  }
}

function distanceCost(distance: members.Distance, transferBytes: number): number {
  const kilobytes = Math.min(MAX_COUNTED_KB, transferBytes / 1_024);
  return DISTANCE_COST_MS[distance] + DISTANCE_COST_MS_PER_KB[distance] * kilobytes;
}

/** Expected time until the answer: network round trip, waits for a slot and the uplink, and service time. */
export function expectedAnswerMs(candidate: Candidate): number {
  const { serviceMs: meanMs, distance, hasOpenLink: isConnected, transferWaitMs } = candidate;
  const usage = Math.min(1, candidate.load / Math.max(1, candidate.slots));
  const roundTripMs = ROUND_TRIP_MS[distance] * (isConnected ? 1 : 2);
  const waitMs = expectedWaitMs(candidate) + transferWaitMs;
  return roundTripMs + waitMs + meanMs * (1 + FULL_SLOWDOWN * usage * usage);
}

/** Expected wait for a slot. */
function expectedWaitMs(candidate: Candidate): number {
  const capacity = capacityOf(candidate);
  const queued = Math.max(0, candidate.load + 1 - capacity);
  return (queued * candidate.serviceMs) / capacity;
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
