/** Chooses the node that serves a request: near ones while they have room, then farther ones. */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';

export interface Candidate {
  node: ids.NodeId;
  distance: members.Distance;
  slots: number;
  /** Requests that this node has under way there, and those of others as last reported. */
  load: number;
  /** Usual time of such a request at this upstream. */
  workMs: number;
  /** Share of recent requests there that failed, 0 to 1. */
  failureShare: number;
  /** False where a link must be opened first. */
  isOpen: boolean;
}

export interface Demand {
  /** Usual size of the answer's body. */
  answerBytes: number;
  /** Time left until the answer stops being worth its full value. */
  targetLeftMs: number;
  /** Time left until the caller gives up. */
  deadlineLeftMs: number;
}

/**
 * Cost of each distance in milliseconds of waiting that it is worth to stay nearer, for a small answer
 * and for each kilobyte more. Traffic between failure domains is billed by volume, so a request waits
 * for near room within its target latency, and small answers travel first.
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
/** Larger answers cost no more, so that a far upstream still serves where none is near. */
const MAX_COUNTED_KB = 8;
/** Time on the way and back. */
const TRAVEL_MS: Record<members.Distance, number> = { host: 0, domain: 1, region: 4, remote: 28 };
/** Upstreams slow down when nearly full; the cost of the last slot over the first. */
const FULL_SLOWDOWN = 0.3;
const FAILURE_COST_MS = 1_000;
/** Two scores closer than this are as good as equal and are decided by chance. */
const TIE_MS = 4;
/** The same as a share of the usual time, which is not known better than that. */
const TIE_WORK_SHARE = 0.08;

export interface Choice {
  candidate: Candidate;
  /** Expected time until the answer. */
  expectedMs: number;
  /** Wait for a slot there beyond which another candidate is better; Infinity where there is none. */
  maxWaitMs: number;
}

export class Balancer {
  /** @param random in [0, 1) */
  constructor(private readonly random: () => number) {}

  /** @returns null where no candidate can answer before the caller gives up */
  choose(candidates: readonly Candidate[], demand: Demand): Choice | null {
    let best: Candidate | null = null;
    let bestExpectedMs = 0;
    let bestScore = Infinity;
    let nextScore = Infinity;
    for (const candidate of candidates) {
      const expectedMs = expectedTime(candidate);
      if (expectedMs <= demand.deadlineLeftMs) {
        const tieMs = Math.max(TIE_MS, candidate.workMs * TIE_WORK_SHARE);
        const score = this.score(candidate, expectedMs, demand) + this.random() * tieMs;
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
    const maxWaitMs = waitingTime(best) + nextScore - bestScore;
    return { candidate: best, expectedMs: bestExpectedMs, maxWaitMs };
  }

  private score(candidate: Candidate, expectedMs: number, demand: Demand): number {
    const lateMs = Math.max(0, expectedMs - demand.targetLeftMs);
    return (
      expectedMs +
      distanceCost(candidate.distance, demand.answerBytes) +
      candidate.failureShare * FAILURE_COST_MS +
      lateMs * 4
    );
  }
}

function distanceCost(distance: members.Distance, answerBytes: number): number {
  const kilobytes = Math.min(MAX_COUNTED_KB, answerBytes / 1_024);
  return DISTANCE_COST_MS[distance] + DISTANCE_COST_MS_PER_KB[distance] * kilobytes;
}

/** Time until the answer: travel, waiting for a slot, and the work at the upstream's own pace. */
export function expectedTime(candidate: Candidate): number {
  const { workMs, distance, isOpen } = candidate;
  const filled = Math.min(1, candidate.load / Math.max(1, candidate.slots));
  const travelMs = TRAVEL_MS[distance] * (isOpen ? 1 : 2);
  return travelMs + waitingTime(candidate) + workMs * (1 + FULL_SLOWDOWN * filled * filled);
}

/** Expected wait for a slot. */
function waitingTime({ load, slots, workMs }: Candidate): number {
  const ahead = Math.max(0, load + 1 - slots);
  return (ahead * workMs) / Math.max(1, slots);
}
