/** Counts the outcomes of finished requests at an entry node, per rollout, version and route. */

import type { distribution } from '@godwittrack/protocol';

/** Outcome of one request as far as it tells about the version that ran it. */
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
  /** Time that the destination node measured at its upstream, without queue and link. */
  latencyMs: number;
  /** The server was still in its cold start; the request then says nothing about the version. */
  coldStart: boolean;
}

/** Upper bounds of the latency buckets, ms; the last bucket is open. */
export const LATENCY_BOUNDS_MS: readonly number[] = Array.from(
  { length: 40 },
  (_, index) => 1.3 ** index,
);
export const BUCKET_COUNT = LATENCY_BOUNDS_MS.length + 1;
const LOG_STEP = Math.log(1.3);

/** Distinct rollout, version and route keys held; further ones are not counted. */
const MAX_KEYS = 2_000;
/** Servers told apart per key; further ones share one entry. */
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
    count(counters, req.outcome, bucket);
    const target = this.targets.get(req.rollout);
    if (target === undefined || target === req.version) {
      count(serverOf(counters, req.server), req.outcome, bucket);
    }
  }

  /**
   * Cumulative samples that changed since the last call; `all` gives every one, for a new parent.
   * Old and new version of a rollout are always reported together, so that the receiver compares
   * them over the same interval.
   */
  samples(options: { all?: boolean } = {}): distribution.EvidenceSample[] {
    this.sequence += 1;
    const held = [...this.counters.values()];
    const changed = new Set(held.filter((one) => one.changed).map((one) => one.rollout));
    const due = held.filter((one) => options.all || changed.has(one.rollout));
    return due.map((one) => this.toSample(one));
  }

  /**
   * Forgets rollouts other than the running ones, given with their target versions. Servers are
   * told apart for the target only, because the stable version's would double the report's size.
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
      latencyBuckets: trimmed(one.buckets),
      servers: [...one.servers].map(([server, { ok, errors, buckets }]) => ({
        server,
        ok,
        errors,
        latencyBuckets: trimmed(buckets),
      })),
      windowStartMs: this.startMs,
    };
  }

  private countersOf({ rollout, version, route }: FinishedRequest): Counters | null {
    const key = `${rollout} ${version} ${route}`;
    const held = this.counters.get(key);
    if (held !== undefined) return held;
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

function serverOf(counters: Counters, name: string): Outcomes {
  const known = counters.servers.has(name) || counters.servers.size < MAX_SERVERS;
  const key = known ? name : OTHER_SERVERS;
  const held = counters.servers.get(key) ?? { ok: 0, errors: 0, buckets: emptyBuckets() };
  counters.servers.set(key, held);
  return held;
}

function count(outcomes: Outcomes, outcome: 'ok' | 'error', bucket: number): void {
  const into = outcomes;
  if (outcome === 'error') {
    into.errors += 1;
    return;
  }
  into.ok += 1;
  into.buckets[bucket] = (into.buckets[bucket] ?? 0) + 1;
}

/** Without trailing zeros, which the receiver assumes. */
function trimmed(buckets: readonly number[]): number[] {
  return buckets.slice(0, buckets.findLastIndex((held) => held > 0) + 1);
}
