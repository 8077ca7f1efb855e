/**
 * Aggregates evidence up the tree and passes vetoes on. A node sums the counts of itself and the
 * nodes below it, and sends its parent the increments of the sums since the last message, so that
 * traffic does not grow with the number of nodes. Each increment is sent at most once: counts from
 * a time without a parent are not sent later, so a node that changes its parent is never counted
 * twice. Vetoes are only ever added and are sent both up and down the tree.
 */

import type { distribution } from '@godwittrack/protocol';
import * as signals from '../signals.js';

interface Sequenced<T> {
  value: T;
  origin: string;
  sequence: number;
}

/** Above this number, the series that was updated longest ago is dropped. */
const MAX_SERIES = 5_000;
/** Servers counted separately in each series; further ones count in the totals only. */
const MAX_SERVERS = 256;
const MAX_VETOES = 10_000;

type Sample = distribution.EvidenceSample;

/** Counts of one series: the total of this subtree, and the part that the parent has been sent. */
interface Series {
  total: Sample;
  sent: Sample;
  sequence: number;
}

function seriesKey({ rollout, version, route }: Sample): string {
  return [rollout, version, route].join('\u0000');
}

function vetoKey(veto: distribution.Veto): string {
  return [veto.rollout, veto.version, veto.route].join('\u0000');
}

export class EvidenceExchange {
  private readonly series = new Map<string, Series>();

  /** Latest cumulative sample of each series of this node itself. */
  private readonly own = new Map<string, Sample>();

  private readonly vetoes = new Map<string, Sequenced<distribution.Veto>>();

  /** Starts above 0, because 0 means a new stream in `samplesSince`. */
  private sequence = 1;

  /** Raised after each change of the counts and each new veto. */
  readonly changed = new signals.ChangeSignal();

  /** Raised after each new veto. */
  readonly vetoed = new signals.ChangeSignal();

  /** Sums of this subtree since this node started. */
  get allSamples(): Sample[] {
    return [...this.series.values()].map(({ total, sequence }) => ({ ...total, sequence }));
  }

  get allVetoes(): distribution.Veto[] {
    return [...this.vetoes.values()].map((item) => item.value);
  }

  /** Adds a cumulative sample of this node itself (empty origin) or an increment from a child. */
  addSample(sample: Sample, origin: string): void {
    const key = seriesKey(sample);
    if (origin === '') {
      this.add(key, difference(sample, this.own.get(key)));
      this.own.set(key, sample);
    } else {
      this.add(key, sample);
    }
  }

  addVeto(veto: distribution.Veto, origin: string): boolean {
    const key = vetoKey(veto);
    if (this.vetoes.has(key)) return false;
    this.vetoes.set(key, { value: veto, origin, sequence: this.nextSequence() });
    if (this.vetoes.size > MAX_VETOES) this.dropOldest(this.vetoes);
    this.vetoed.notify();
    this.changed.notify();
    return true;
  }

  /**
   * Returns the increments that no parent has been sent, and counts them as sent. For a new stream
   * (sequence 0) they are discarded.
   */
  samplesSince(sequence: number, _receiver: string): Sample[] {
    const grown = [...this.series.values()].filter(
      ({ total, sent }) => newRequests(total, sent) > 0,
    );
    const increments = grown.map(({ total, sent }) => difference(total, sent));
    grown.forEach((one) => {
      const series = one;
      series.sent = one.total;
    });
    return sequence === 0 ? [] : increments;
  }

  vetoesSince(sequence: number, receiver: string): distribution.Veto[] {
    return changedSince(this.vetoes, sequence, receiver);
  }

  get currentSequence(): number {
    return this.sequence;
  }

  /** Drops the series of inactive rollouts. */
  retainRollouts(isActive: (rollout: string) => boolean): void {
    for (const [key, { total }] of this.series) {
      if (isActive(total.rollout)) continue;
      this.series.delete(key);
      this.own.delete(key);
    }
  }

  private add(key: string, increment: Sample): void {
    if (newRequests(increment, undefined) === 0) return;
    const held = this.series.get(key);
    const zero = emptyLike(increment);
    const total = sum(held?.total ?? zero, increment);
    // Re-inserting keeps the map ordered by last update, for `dropOldest`.
    this.series.delete(key);
    this.series.set(key, { total, sent: held?.sent ?? zero, sequence: this.nextSequence() });
    if (this.series.size > MAX_SERIES) this.dropOldest(this.series);
    this.changed.notify();
  }

  private dropOldest(map: Map<string, unknown>): void {
    const [oldest] = map.keys();
    if (oldest !== undefined) map.delete(oldest);
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }
}

function changedSince<T>(map: Map<string, Sequenced<T>>, sequence: number, receiver: string): T[] {
  return [...map.values()]
    .filter((item) => item.sequence > sequence && item.origin !== receiver)
    .map((item) => item.value);
}

function emptyLike({ rollout, version, route }: Sample): Sample {
  const counts = { ok: 0, errors: 0, refused: 0, latencyBuckets: [], servers: [] };
  const source = { node: '', incarnation: 0, sequence: 0, windowStartMs: 0 };
  return { ...source, rollout, version, route, ...counts };
}

/** Number of requests in `now` that are not in `before`. */
function newRequests(now: Sample, before: Sample | undefined): number {
  const all = (sample: Sample | undefined) =>
    (sample?.ok ?? 0) + (sample?.errors ?? 0) + (sample?.refused ?? 0);
  return all(now) - all(before);
}

function sum(first: Sample, second: Sample): Sample {
  return combine(first, second, 1);
}

function difference(now: Sample, before: Sample | undefined): Sample {
  return combine(now, before ?? emptyLike(now), -1);
}

/** Returns `first` plus `sign` times `second`, without the servers whose counts are 0. */
function combine(first: Sample, second: Sample, sign: 1 | -1): Sample {
  const servers = new Map(first.servers.map((one) => [one.server, one]));
  for (const other of second.servers) {
    const { server } = other;
    const held = servers.get(server) ?? { server, ok: 0, errors: 0, latencyBuckets: [] };
    if (!servers.has(server) && servers.size >= MAX_SERVERS) continue;
    servers.set(server, { server, ...combineCounts(held, other, sign) });
  }
  return {
    ...emptyLike(first),
    ...combineCounts(first, second, sign),
    refused: Math.max(0, first.refused + sign * second.refused),
    servers: [...servers.values()].filter(({ ok, errors }) => ok + errors > 0),
  };
}

type Counts = Pick<Sample, 'ok' | 'errors' | 'latencyBuckets'>;

function combineCounts(first: Counts, second: Counts, sign: 1 | -1): Counts {
  const length = Math.max(first.latencyBuckets.length, second.latencyBuckets.length);
  const buckets = Array.from({ length }, (_, at) =>
    Math.max(0, (first.latencyBuckets[at] ?? 0) + sign * (second.latencyBuckets[at] ?? 0)),
  );
  return {
    ok: Math.max(0, first.ok + sign * second.ok),
    errors: Math.max(0, first.errors + sign * second.errors),
    latencyBuckets: buckets.slice(0, buckets.findLastIndex((count) => count > 0) + 1),
  };
}
