/** Input and output formats of the load generator process. */

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
  /** Complete answers with status 200 that belong to their request. */
  ok: number;
  /** Refusals with the outcome `notRun`. */
  refused: number;
  /** Answers with any other status. */
  failed: number;
  /** Broken connections, and calls without an answer well after their deadline. */
  broken: number;
  /** Answers with status 200 whose body or request id is wrong. */
  wrong: number;
  p50Ms: number;
  p99Ms: number;
  /** Latency of refusals. */
  refusedP99Ms: number;
  byStatus: Record<string, number>;
}

/** Printed as the last line of the generator's standard output. */
export interface LoadReport {
  done: true;
  groups: Record<string, GroupReport>;
  /** Delay of arrivals behind their schedule. */
  lagP99Ms: number;
  /** Idempotency keys of calls with the outcome `notRun`. */
  notRunKeys: string[];
  firstProblems: string[];
}
