/**
 * Merges evidence samples of many nodes. Samples are cumulative per node and incarnation, and the
 * highest sequence wins, so lost, repeated or reordered reports do not change the result.
 */

import type { distribution } from '@godwittrack/protocol';
import * as evidenceRecorder from './evidenceRecorder.js';

/** Sums of one version on one route over all nodes. */
export interface Totals {
  ok: number;
  errors: number;
  refused: number;
  buckets: number[];
  servers: Map<string, { ok: number; errors: number; buckets: number[] }>;
}

/** Sums of one rollout: by route, then by version. */
export type RolloutTotals = Map<string, Map<string, Totals>>;

/**
 * Incarnations of one node kept per key; counts of older ones were superseded long ago. Evicting one
 * lowers the totals, so readers that subtract earlier totals clamp the difference at zero.
 */
const MAX_INCARNATIONS = 4;

export class EvidenceMerge {
  /** By rollout, then by `version route node`, then by incarnation. */
  private readonly samplesByRollout = new Map<
    string,
    Map<string, Map<number, distribution.EvidenceSample>>
  >();

  /** Returns the samples that were new; a relay forwards only these. */
  merge(samples: readonly distribution.EvidenceSample[]): distribution.EvidenceSample[] {
    return samples.filter((sample) => this.add(sample));
  }

  /** Drops the samples of all rollouts that are not in `running`. */
  retain(running: ReadonlySet<string>): void {
    for (const rollout of this.samplesByRollout.keys())
      if (!running.has(rollout)) this.samplesByRollout.delete(rollout);
  }

  /** Every stored sample, for a new parent. */
  all(): distribution.EvidenceSample[] {
    return [...this.samplesByRollout.values()].flatMap((keys) =>
      [...keys.values()].flatMap((incarnations) => [...incarnations.values()]),
    );
  }

  totals(rollout: string): RolloutTotals {
    const sums: RolloutTotals = new Map();
    for (const incarnations of this.samplesByRollout.get(rollout)?.values() ?? []) {
      for (const sample of incarnations.values()) addTo(sums, sample);
    }
    return sums;
  }

  private add(sample: distribution.EvidenceSample): boolean {
    const keys =
      this.samplesByRollout.get(sample.rollout) ??
      new Map<string, Map<number, distribution.EvidenceSample>>();
    this.samplesByRollout.set(sample.rollout, keys);
    const key = `${sample.version} ${sample.route} ${sample.node}`;
    const incarnations = keys.get(key) ?? new Map<number, distribution.EvidenceSample>();
    keys.set(key, incarnations);
    const known = incarnations.get(sample.incarnation);
    if (known !== undefined && known.sequence >= sample.sequence) return false;
    if (known === undefined && incarnations.size >= MAX_INCARNATIONS) {
      const oldest = Math.min(...incarnations.keys());
      if (sample.incarnation < oldest) return false;
      incarnations.delete(oldest);
    }
    incarnations.set(sample.incarnation, sample);
    return true;
  }
}

function addTo(sums: RolloutTotals, sample: distribution.EvidenceSample): void {
  const versions = sums.get(sample.route) ?? new Map<string, Totals>();
  sums.set(sample.route, versions);
  const totals = versions.get(sample.version) ?? emptyTotals();
  versions.set(sample.version, totals);
  totals.ok += sample.ok;
  totals.errors += sample.errors;
  totals.refused += sample.refused;
  addBuckets(totals.buckets, sample.latencyBuckets);
  for (const { server, ok, errors, latencyBuckets } of sample.servers) {
    const counts = totals.servers.get(server) ?? {
      ok: 0,
      errors: 0,
      buckets: evidenceRecorder.emptyBuckets(),
    };
    counts.ok += ok;
    counts.errors += errors;
    addBuckets(counts.buckets, latencyBuckets);
    totals.servers.set(server, counts);
  }
}

export function emptyTotals(): Totals {
  return {
    ok: 0,
    errors: 0,
    refused: 0,
    buckets: evidenceRecorder.emptyBuckets(),
    servers: new Map(),
  };
}

function addBuckets(sums: number[], counts: readonly number[]): void {
  const into = sums;
  for (let index = 0; index < into.length; index++) {
    into[index] = (into[index] ?? 0) + (counts[index] ?? 0);
  }
}
