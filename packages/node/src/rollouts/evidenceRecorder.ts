/** Counts the outcomes of finished requests at an entry node, per rollout, version and route. */

import type { distribution } from '@godwittrack/protocol';

/** Outcome of a request, reduced to what it says about the version that handled it. */
export type RequestOutcome =
  /** The upstream gave a usable answer. */
  | 'ok'
  /** The upstream itself failed: 5xx, broken answer, or no answer within the timeout. */
  | 'error'
  /** Nothing ran: load was shed, a queue was full, or the link or destination was unreachable. */
  | 'refused';

export interface FinishedRequest {
  rollout: string;
  version: string;
  route: string;
  server: string;
  outcome: RequestOutcome;
  /** Upstream time measured by the destination node, without queueing and network time. */
  latencyMs: number;
  /** The server was still in its cold start; such a request is not counted as evidence. */
  coldStart: boolean;
}

/** Upper bounds of the latency buckets in ms; the last bucket has no upper bound. */
export const LATENCY_BOUNDS_MS: readonly number[] = Array.from(
  { length: 40 },
  (_, index) => 1.3 ** index,
);
export const BUCKET_COUNT = LATENCY_BOUNDS_MS.length + 1;
const LOG_STEP = Math.log(1.3);

/** Maximum number of distinct rollout, version and route keys; further ones are not counted. */
const MAX_KEYS = 2_000;
/** Servers counted separately per key; further ones share one entry. */
const MAX_SERVERS = 64;
const OTHER_SERVERS = '*';

interface Outcomes {
  ok: number;
  errors: number;
  buckets: number[];
}

interface Counters extends Outcomes {
  rollout: string;
  version: string;
  route: string;
  refused: number;
  servers: Map<string, Outcomes>;
  changed: boolean;
}

export function bucketOf(latencyMs: number): number {
  if (!(latencyMs > 1)) return 0;
  return Math.min(BUCKET_COUNT - 1, Math.ceil(Math.log(latencyMs) / LOG_STEP - 1e-9));
}

export class EvidenceRecorder {
  private readonly node: string;

  private readonly incarnation: number;

  private readonly startMs: number;

  private readonly counters = new Map<string, Counters>();

  private targets: ReadonlyMap<string, string> = new Map();

  private sequence = 0;

  constructor(node: string, incarnation: number, startMs: number) {
    this.node = node;
    this.incarnation = incarnation;
    this.startMs = startMs;
  }

  record(req: FinishedRequest): void {
    if (req.coldStart) return;
    const counters = this.countersOf(req);
    if (counters === null) return;
    counters.changed = true;
    if (req.outcome === 'refused') {
      counters.refused += 1;
      return;
    }
    const bucket = bucketOf(req.latencyMs);
    addOutcome(counters, req.outcome, bucket);
    const target = this.targets.get(req.rollout);
    if (target === undefined || target === req.version) {
      addOutcome(serverOutcomes(counters, req.server), req.outcome, bucket);
    }
  }

  /**
   * Returns the cumulative samples of rollouts with a change since the last call, or all of them
   * with `all`, for a new parent. Both versions of a rollout are always reported together, so that
   * the receiver compares them over the same interval.
   */
  samples(options: { all?: boolean } = {}): distribution.EvidenceSample[] {
    this.sequence += 1;
    const all = [...this.counters.values()];
    const changed = new Set(all.filter((one) => one.changed).map((one) => one.rollout));
    const due = all.filter((one) => options.all || changed.has(one.rollout));
    return due.map((one) => this.toSample(one));
  }

  /**
   * Drops the counters of all rollouts not in `running`, which maps rollouts to target versions.
   * Servers are counted separately only for the target: doing so for the stable version as well
   * would double the size of the report.
   */
  retain(running: ReadonlyMap<string, string>): void {
    this.targets = running;
    for (const [key, one] of this.counters)
      if (!running.has(one.rollout)) this.counters.delete(key);
  }

  private toSample(one: Counters): distribution.EvidenceSample {
    const counters = one;
    counters.changed = false;
    return {
      node: this.node,
      incarnation: this.incarnation,
      sequence: this.sequence,
      rollout: one.rollout,
      version: one.version,
      route: one.route,
      ok: one.ok,
      errors: one.errors,
      refused: one.refused,
      latencyBuckets: withoutTrailingZeros(one.buckets),
      servers: [...one.servers].map(([server, { ok, errors, buckets }]) => ({
        server,
        ok,
        errors,
        latencyBuckets: withoutTrailingZeros(buckets),
      })),
      windowStartMs: this.startMs,
    };
  }

  private countersOf({ rollout, version, route }: FinishedRequest): Counters | null {
    const key = `${rollout} ${version} ${route}`;
    const known = this.counters.get(key);
    if (known !== undefined) return known;
    if (this.counters.size >= MAX_KEYS) return null;
    const created: Counters = {
      rollout,
      version,
      route,
      ok: 0,
      errors: 0,
      refused: 0,
      buckets: emptyBuckets(),
      servers: new Map(),
      changed: true,
    };
    this.counters.set(key, created);
    return created;
  }
}

export function emptyBuckets(): number[] {
  return new Array<number>(BUCKET_COUNT).fill(0);
}

function serverOutcomes(counters: Counters, name: string): Outcomes {
  const known = counters.servers.has(name) || counters.servers.size < MAX_SERVERS;
  const key = known ? name : OTHER_SERVERS;
  const outcomes = counters.servers.get(key) ?? { ok: 0, errors: 0, buckets: emptyBuckets() };
  counters.servers.set(key, outcomes);
  return outcomes;
}

function addOutcome(outcomes: Outcomes, outcome: 'ok' | 'error', bucket: number): void {
  const into = outcomes;
  if (outcome === 'error') {
    into.errors += 1;
    return;
  }
  into.ok += 1;
  into.buckets[bucket] = (into.buckets[bucket] ?? 0) + 1;
}

/** The receiver takes missing trailing buckets as zero. */
function withoutTrailingZeros(buckets: readonly number[]): number[] {
  return buckets.slice(0, buckets.findLastIndex((count) => count > 0) + 1);
}
