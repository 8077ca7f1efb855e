/**
 * Records, by request fingerprint, of the upstreams that ended while they ran the request. Records of
 * different nodes are merged in any order: ends are only added, and their properties only set.
 */

import type { ids } from '@godwittrack/core';
import * as requestFingerprint from './requestFingerprint.js';

/** Time after the last end from which on a record is dropped. */
const RETENTION_MS = 60 * 60_000;
/** Records kept; those with the fewest ends are dropped first, then the oldest. */
const MAX_RECORDS = 2_048;
/** Ends kept for each request; further ones add nothing. */
const MAX_ENDS = 16;

/** An end of an upstream as nodes report it to each other. */
export interface EndReport {
  end: ids.UpstreamEndId;
  ageMs: number;
  /** The request was a suspect when its run began, so it ran alone of those from the earlier end. */
  wasSuspect: boolean;
  /** The request was answered elsewhere, so it is not the cause of the end. */
  isVoid: boolean;
}

export interface CrashReport {
  fingerprint: ids.RequestFingerprint;
  ends: EndReport[];
}

interface End {
  /** Monotonic time. */
  atMs: number;
  wasSuspect: boolean;
  isVoid: boolean;
}

type Ends = Map<ids.UpstreamEndId, End>;

/** Ends that count against a request. */
export interface HeldEnds {
  ends: ReadonlySet<ids.UpstreamEndId>;
  /** Monotonic time of the last one. */
  lastAtMs: number;
  /** Whether one of them came while the request ran as a suspect. */
  hasSuspectRun: boolean;
}

export class CrashRecords {
  private readonly records = new Map<ids.RequestFingerprint, Ends>();

  /** Keys of the recorded fingerprints. */
  private readonly keys = new Set<string>();

  constructor(private readonly nowMs: () => number) {}

  get size(): number {
    return this.records.size;
  }

  /** Fingerprint of a request that has a record; the body is hashed only if the rest matches. */
  find(req: requestFingerprint.IdentifiedRequest): ids.RequestFingerprint | null {
    if (this.keys.size === 0) return null;
    if (!this.keys.has(requestFingerprint.keyOf(req))) return null;
    const fingerprint = requestFingerprint.fingerprintOf(req);
    return this.records.has(fingerprint) ? fingerprint : null;
  }

  /** Null if nothing counts against the request. */
  heldEnds(fingerprint: ids.RequestFingerprint): HeldEnds | null {
    const held = [...(this.records.get(fingerprint) ?? [])].filter(([, { isVoid }]) => !isVoid);
    if (held.length === 0) return null;
    const lastAtMs = Math.max(...held.map(([, { atMs }]) => atMs));
    const hasSuspectRun = held.some(([, { wasSuspect }]) => wasSuspect);
    return { ends: new Set(held.map(([end]) => end)), lastAtMs, hasSuspectRun };
  }

  /** @returns the reports that were new to this node */
  merge(reports: readonly CrashReport[]): CrashReport[] {
    const changed = reports.flatMap(({ fingerprint, ends }) => {
      const newEnds = ends.filter((end) => this.addEnd(fingerprint, end));
      return newEnds.length === 0 ? [] : [{ fingerprint, ends: newEnds }];
    });
    if (this.records.size > MAX_RECORDS) this.dropExcess();
    return changed;
  }

  /** Voids all ends of a request. @returns the report of those that counted until now */
  clear(fingerprint: ids.RequestFingerprint): CrashReport | null {
    const held = this.heldEnds(fingerprint);
    if (held === null) return null;
    const record = this.records.get(fingerprint)!;
    for (const end of held.ends) record.get(end)!.isVoid = true;
    const report = this.reportOf(fingerprint, record);
    return { ...report, ends: report.ends.filter(({ end }) => held.ends.has(end)) };
  }

  report(fingerprint: ids.RequestFingerprint): CrashReport | null {
    const record = this.records.get(fingerprint);
    return record === undefined ? null : this.reportOf(fingerprint, record);
  }

  /** Reports of the requests with at least `minEnds` ends, the latest first. */
  reports(minEnds: number, limit: number): CrashReport[] {
    return [...this.records]
      .filter(([, record]) => record.size >= minEnds)
      .sort(([, a], [, b]) => lastOf(b) - lastOf(a))
      .slice(0, limit)
      .map(([fingerprint, record]) => this.reportOf(fingerprint, record));
  }

  fingerprints(): Iterable<ids.RequestFingerprint> {
    return this.records.keys();
  }

  /** Drops the records whose last end is too old. */
  prune(): void {
    const oldestMs = this.nowMs() - RETENTION_MS;
    this.drop([...this.records].filter(([, record]) => lastOf(record) < oldestMs));
  }

  /** @returns whether the end, or one of its properties, was new */
  private addEnd(fingerprint: ids.RequestFingerprint, report: EndReport): boolean {
    const { end, ageMs, wasSuspect, isVoid } = report;
    if (ageMs > RETENTION_MS) return false;
    let record = this.records.get(fingerprint);
    const known = record?.get(end);
    if (known !== undefined) {
      const isChange = (isVoid && !known.isVoid) || (wasSuspect && !known.wasSuspect);
      known.isVoid ||= isVoid;
      known.wasSuspect ||= wasSuspect;
      return isChange;
    }
    if (record !== undefined && record.size >= MAX_ENDS && !dropOldestVoid(record)) return false;
    if (record === undefined) {
      record = new Map();
      this.records.set(fingerprint, record);
      this.keys.add(requestFingerprint.keyIn(fingerprint));
    }
    record.set(end, { atMs: this.nowMs() - ageMs, wasSuspect, isVoid });
    return true;
  }

  private reportOf(fingerprint: ids.RequestFingerprint, record: Ends): CrashReport {
    const now = this.nowMs();
    const ends = [...record].map(([end, { atMs, ...properties }]) => ({
      end,
      ageMs: Math.round(now - atMs),
      ...properties,
    }));
    return { fingerprint, ends };
  }

  private dropExcess(): void {
    const ranked = [...this.records].sort(
      ([, a], [, b]) => a.size - b.size || lastOf(a) - lastOf(b),
    );
    this.drop(ranked.slice(0, this.records.size - MAX_RECORDS));
  }

  private drop(dropped: readonly [ids.RequestFingerprint, Ends][]): void {
    if (dropped.length === 0) return;
    for (const [fingerprint] of dropped) this.records.delete(fingerprint);
    this.keys.clear();
    for (const kept of this.records.keys()) this.keys.add(requestFingerprint.keyIn(kept));
  }
}

/** @returns false if all ends count */
function dropOldestVoid(record: Ends): boolean {
  const [oldest] = [...record]
    .filter(([, { isVoid }]) => isVoid)
    .sort(([, a], [, b]) => a.atMs - b.atMs);
  return oldest !== undefined && record.delete(oldest[0]);
}

function lastOf(record: Ends): number {
  return Math.max(...[...record.values()].map(({ atMs }) => atMs));
}
