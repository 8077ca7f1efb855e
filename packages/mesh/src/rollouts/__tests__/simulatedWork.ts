/** How long a simulated upstream works on a request: by its host, its start and the fault of its version. */

const WORK_MS = 65;
/** Speeds of hosts that differ, as on the users' deployments. */
const HOST_SPEEDS = [0.5, 1, 1, 1.5];
/** An upstream is that much slower for a while after its start. */
const COLD_FACTOR = 2;
const COLD_MS = 3_000;
/** Work of a request on hosts that differ: its mean, the deviation of its logarithm, and rare long work. */
const WORK: Record<string, { meanMs: number; deviation: number }> = {
  a: { meanMs: 60, deviation: 0.8 },
  b: { meanMs: 78, deviation: 0.3 },
};
const LONG_WORK_SHARE = 0.01;
const LONG_WORK_FACTOR = 4;

/** What decides whether a request fails. */
export interface Run {
  /** Time since the first upstream of the target started. */
  sinceStartMs: number;
  sinceOrderMs: number;
  route: string;
  /** Requests that the upstream is working on, this one included. */
  running: number;
  upstream: number;
  isTarget: boolean;
}

export interface SlowFault {
  share: number;
  factor: number;
}

export interface WorkOptions {
  seed: number;
  /** Time of a request as a multiple of the usual time, whatever the version. */
  slowness?: (run: Run) => number;
  /** A fault of the target that slows down a share of its responses by a factor. */
  slowFault?: (run: Run) => SlowFault;
  /** Whether hosts differ in speed, the work of requests varies more, and upstreams start cold. */
  hasVariedHosts?: boolean;
  /** Whether upstreams start cold, as they state themselves. */
  startsCold?: boolean;
}

export class SimulatedWork {
  /** @param random in [0, 1) */
  constructor(
    private readonly options: WorkOptions,
    private readonly random: () => number,
  ) {}

  /** Time without the fault of the version. @param speed of the host, relative to the usual one */
  workMs(speed: number, run: Run): number {
    const slowness = this.options.slowness?.(run) ?? 1;
    if (this.options.hasVariedHosts !== true) {
      return WORK_MS * (0.4 + 1.2 * this.random()) * slowness * this.coldFactor(run);
    }
    const { meanMs, deviation } = WORK[run.route]!;
    const ms = meanMs * Math.exp(deviation * this.normal() - deviation ** 2 / 2);
    const isLong = this.random() < LONG_WORK_SHARE;
    return (ms * slowness * (isLong ? LONG_WORK_FACTOR : 1) * this.coldFactor(run)) / speed;
  }

  /** Both versions have hosts of all speeds, which differ by at most one in their numbers. */
  speedOf(index: number, isTarget: boolean): number {
    const { hasVariedHosts, seed } = this.options;
    if (hasVariedHosts !== true) return 1;
    const first = isTarget ? Math.floor(seed / HOST_SPEEDS.length) : seed;
    return HOST_SPEEDS[(first + index) % HOST_SPEEDS.length]!;
  }

  coldFactor({ isTarget, sinceStartMs }: Run): number {
    const { startsCold, hasVariedHosts } = this.options;
    const isCold = (startsCold ?? hasVariedHosts ?? false) && isTarget && sinceStartMs < COLD_MS;
    return isCold ? COLD_FACTOR : 1;
  }

  /** More than 1 for a response that the fault of the version slows down. */
  faultFactor(run: Run): number {
    const { share, factor } = this.options.slowFault?.(run) ?? { share: 0, factor: 1 };
    return share > 0 && this.random() < share ? factor : 1;
  }

  /** Normally distributed, by the method of Box and Muller. */
  private normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }
}
