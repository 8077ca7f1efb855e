/** Estimates the slots a service's load uses by Little's law: arrival rate times latency. */

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
    const previous = this.observed.get(service);
    if (previous === undefined || busyMs < previous.busyMs) {
      this.observed.set(service, { atMs, busyMs, slots: previous?.slots ?? 0 });
      return;
    }
    const elapsedMs = atMs - previous.atMs;
    if (elapsedMs < MIN_INTERVAL_MS) return;
    const latest = (busyMs - previous.busyMs) / elapsedMs;
    const slots =
      previous.slots === 0 ? latest : previous.slots + SMOOTHING * (latest - previous.slots);
    this.observed.set(service, { atMs, busyMs, slots });
  }

  /** Moving average of the slots in use; 0 until two observations have been made. */
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
