/**
 * Sequential tests by betting: the value of an e-process is called wealth. By Ville's inequality it
 * exceeds 1/alpha with probability at most alpha while the null hypothesis holds, however often it is
 * checked.
 */

/** Above every decision limit, and low enough to avoid overflow. */
const MAX_WEALTH = 1e200;
const MAX_LOG = 200;
/** Sum of 1/(n ln^2 n) for n from 2, rounded up, so that the restart weights sum to less than 1. */
const RESTART_WEIGHT_SUM = 2.2;

/**
 * E-process that averages several alternatives. A restart weight is added to its wealth in each
 * interval, so that a fault that begins late need not first make up for the losses before it.
 */
export class EProcess {
  private wealth: number[];

  constructor(alternatives: number) {
    this.wealth = Array.from({ length: alternatives }, () => 0);
  }

  /** @param logRatios log likelihood ratios of the interval, alternative over null hypothesis */
  step(logRatios: readonly number[], restart: number): void {
    const bonus = restart / this.wealth.length;
    this.wealth = this.wealth.map((wealth, index) => {
      const ratio = logRatios[index] ?? 0;
      const next = wealth + bonus;
      return ratio === 0 ? next : Math.min(MAX_WEALTH, next * Math.exp(Math.min(ratio, MAX_LOG)));
    });
  }

  copy(): EProcess {
    const copy = new EProcess(this.wealth.length);
    copy.wealth = [...this.wealth];
    return copy;
  }

  get log(): number {
    return Math.log(this.wealth.reduce((sum, wealth) => sum + wealth, 0));
  }
}

/** What `LeaveOneOut` keeps in several copies. */
interface Evidence<T> {
  copy(): T;
  readonly log: number;
}

/**
 * Evidence of all members and, for each one, that of the others. One bad member of several cannot decide
 * on its own, since the evidence that leaves it out sees none of its failures.
 */
export class LeaveOneOut<T extends Evidence<T>> {
  private readonly without = new Map<string, T>();

  /** @param logAllowance added to the log wealth that leaves a member out */
  constructor(
    private readonly all: T,
    private readonly logAllowance: number,
  ) {}

  /** Members that were not known before have contributed nothing so far. */
  addMembers(members: Iterable<string>): void {
    for (const member of members) {
      if (!this.without.has(member)) this.without.set(member, this.all.copy());
    }
  }

  /** Calls `step` for the evidence of all members, with null, and for that without each of them. */
  forEach(step: (evidence: T, leftOut: string | null) => void): void {
    step(this.all, null);
    this.without.forEach((evidence, member) => step(evidence, member));
  }

  /** The smallest log wealth; with a single member, that of all. */
  get log(): number {
    if (this.without.size < 2) return this.all.log;
    const without = Math.min(...[...this.without.values()].map(({ log }) => log));
    return Math.min(this.all.log, without + this.logAllowance);
  }
}

/**
 * Weights of the e-process restarts. Half of the weight falls with the number of intervals; the
 * other half starts again with each share, so that a fault triggered by a larger share is not
 * detected late because of the small weights of a long rollout. All weights sum to less than 1.
 */
export class RestartWeights {
  private intervals = 0;

  private shares = 0;

  private intervalsAtShare = 0;

  private sharePct = 0;

  setShare(sharePct: number): void {
    if (sharePct === this.sharePct) return;
    this.sharePct = sharePct;
    if (this.intervalsAtShare > 0) this.shares += 1;
    this.intervalsAtShare = 0;
  }

  next(): number {
    const overall = restartWeight(this.intervals);
    const atShare = restartWeight(this.shares) * restartWeight(this.intervalsAtShare);
    this.intervals += 1;
    this.intervalsAtShare += 1;
    return (overall + atShare) / 2;
  }
}

/** Weight of a restart, or of a failure run, numbered from 0; all weights sum to less than 1. */
export function restartWeight(interval: number): number {
  const index = interval + 2;
  return 1 / (RESTART_WEIGHT_SUM * index * Math.log(index) ** 2);
}

/** Log likelihood ratio of the events among independent requests, `rate` over `nullRate`. */
export function logRateRatio(
  { requests, events }: { requests: number; events: number },
  rate: number,
  nullRate: number,
): number {
  if (requests <= 0 || events < 0) return 0;
  const others = requests - events;
  return events * Math.log(rate / nullRate) + others * Math.log((1 - rate) / (1 - nullRate));
}
