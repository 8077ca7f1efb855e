/** Estimates how many slots a service's load uses, from counters: arrival rate times latency. */

import type { clock } from '@godwittrack/core';
import type * as evidenceMerge from './evidenceMerge.js';
import * as evidenceRecorder from './evidenceRecorder.js';

/** Weight of the latest interval in the moving average. */
const SMOOTHING = 0.3;
const MIN_INTERVAL_MS = 400;

interface Observed {
  atMs: number;
  /** Sum of latencies of all requests so far, ms. */
  busyMs: number;
  slots: number;
}

export class LoadEstimate {
  private readonly observed = new Map<string, Observed>();

  constructor(private readonly time: clock.Clock) {}

  observe(service: string, totals: evidenceMerge.RolloutTotals): void {
    const atMs = this.time.monotonicMs();
    const busyMs = sumLatencies(totals);
    const held = this.observed.get(service);
    if (held === undefined || busyMs < held.busyMs) {
      this.observed.set(service, { atMs, busyMs, slots: held?.slots ?? 0 });
      return;
    }
    const elapsedMs = atMs - held.atMs;
    if (elapsedMs < MIN_INTERVAL_MS) return;
    const latest = (busyMs - held.busyMs) / elapsedMs;
    const slots = held.slots === 0 ? latest : held.slots + SMOOTHING * (latest - held.slots);
    this.observed.set(service, { atMs, busyMs, slots });
  }

  /** Slots in use on average; 0 while nothing is known. */
  slotsOf(service: string): number {
    return this.observed.get(service)?.slots ?? 0;
  }
}

function sumLatencies(totals: evidenceMerge.RolloutTotals): number {
  const histograms = [...totals.values()].flatMap((versions) =>
    [...versions.values()].map(({ buckets }) => buckets),
  );
  return histograms
    .flatMap((buckets) =>
      buckets.map((count, index) => count * (evidenceRecorder.LATENCY_BOUNDS_MS[index] ?? 0)),
    )
    .reduce((sum, latencies) => sum + latencies, 0);
}
