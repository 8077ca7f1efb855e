/** Strategies that choose one of several candidates whose scores are known. */

/** A candidate as seen by a strategy. Lower scores are better. */
export interface Option {
  score: number;
  /** Part of the score that does not depend on the load: distance, failures, a cold start. */
  penaltyMs: number;
  /** Requests per second that the upstream can serve. */
  capacityPerSecond: number;
  /** Estimated free share of that capacity, 0 to 1. */
  freeShare: number;
}

export abstract class ChoiceStrategy {
  /**
   * @param options at least one
   * @param spreadMs difference of scores that counts as considerable
   * @returns index of the chosen option
   */
  abstract choose(options: readonly Option[], spreadMs: number): number;
}

/**
 * Least free share that counts in a draw. Otherwise, upstreams that were all full at the last report would never
 * be drawn, and those that are barely full would be treated like those with long queues, which the score tells.
 */
const MIN_FREE_SHARE = 0.06;

/**
 * Weight of the penalties in a draw, beyond their part in the score: they are no guesses about the load, so
 * nothing is gained by spreading requests over options that fail or are far.
 */
const PENALTY_FACTOR = 8;

/**
 * Draws a few options at random and chooses the best of them (power of two choices), so that nodes with the same
 * reports don't choose the same upstream at the same moment. The probability of an option is proportional to its
 * capacity and to the square of its free share, and lower for worse scores. The square keeps requests away from
 * upstreams that are nearly full, where they would wait.
 */
export class BestOfDrawn extends ChoiceStrategy {
  /**
   * @param random in [0, 1)
   * @param draws number of draws; with one, the load of the options matters too little; with three, fast upstreams
   * are overloaded more often
   */
  constructor(
    private readonly random: () => number,
    private readonly draws = 2,
  ) {
    super();
  }

  choose(options: readonly Option[], spreadMs: number): number {
    if (options.length === 1) return 0;
    let bestScore = Infinity;
    let bestPenaltyMs = Infinity;
    for (const { score, penaltyMs } of options) {
      bestScore = Math.min(bestScore, score);
      bestPenaltyMs = Math.min(bestPenaltyMs, penaltyMs);
    }
    const cumulative = new Float64Array(options.length);
    let sum = 0;
    options.forEach(({ score, penaltyMs, capacityPerSecond, freeShare }, i) => {
      const free = Math.max(MIN_FREE_SHARE, freeShare);
      const excess = score - bestScore + PENALTY_FACTOR * (penaltyMs - bestPenaltyMs);
      sum += capacityPerSecond * free * free * Math.exp(-excess / spreadMs);
      cumulative[i] = sum;
    });
    let chosen = this.draw(cumulative, sum);
    for (let drawn = 1; drawn < this.draws; drawn += 1) {
      const other = this.draw(cumulative, sum);
      if (options[other]!.score < options[chosen]!.score) chosen = other;
    }
    return chosen;
  }

  private draw(cumulative: Float64Array, sum: number): number {
    const at = this.random() * sum;
    const index = cumulative.findIndex((bound) => at < bound);
    // Rounding can make `at` equal to the last bound.
    return index < 0 ? cumulative.length - 1 : index;
  }
}

/** Least range of the random part of a score, by which nearly equal options share the load. */
const MIN_JITTER_MS = 4;
/** The same as a share of the spread. */
const JITTER_SHARE = 0.08;

/**
 * Chooses the lowest score, with little chance. For upstreams that are all full: their queues differ by more than
 * what several nodes add at the same moment, and a request in a long one is refused.
 */
export class LowestScore extends ChoiceStrategy {
  /** @param random in [0, 1) */
  constructor(private readonly random: () => number) {
    super();
  }

  choose(options: readonly Option[], spreadMs: number): number {
    const jitterMs = Math.max(MIN_JITTER_MS, spreadMs * JITTER_SHARE);
    let best = Infinity;
    let chosen = 0;
    options.forEach(({ score }, i) => {
      const jittered = score + this.random() * jitterMs;
      if (jittered >= best) return;
      best = jittered;
      chosen = i;
    });
    return chosen;
  }
}
