/** What a load generator process is told, and what it reports. */

/** One way to reach the service; calls are spread evenly over groups and their URLs. */
export interface LoadGroup {
  name: string;
  urls: string[];
}

/** Argument of the load generator, as JSON. */
export interface LoadPlan {
  seed: number;
  groups: LoadGroup[];
  /** Arrivals per second over all groups, open loop. */
  ratePerSecond: number;
  durationMs: number;
  /** Deadline that callers send. */
  timeoutMs: number;
  /** Prefix of the paths. */
  path: string;
  /** Prefix of the idempotency keys, unique in one run. */
  keyPrefix: string;
}

export interface GroupReport {
  sent: number;
  /** Whole answers of the right request with status 200. */
  ok: number;
  /** Refusals that say `notRun`. */
  refused: number;
  /** Other statuses. */
  failed: number;
  /** Connections that broke, calls that had no answer long after their deadline. */
  broken: number;
  /** Answers with status 200 whose body or request id is wrong. */
  wrong: number;
  p50Ms: number;
  p99Ms: number;
  /** Latency of refusals. */
  refusedP99Ms: number;
  byStatus: Record<string, number>;
}

/** Last line of the generator's standard output. */
export interface LoadReport {
  done: true;
  groups: Record<string, GroupReport>;
  /** Delay of arrivals behind their schedule. */
  lagP99Ms: number;
  /** Keys of calls that were told `notRun`. */
  notRunKeys: string[];
  firstProblems: string[];
}
