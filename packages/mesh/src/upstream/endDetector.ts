/** Tells the end of the upstream's process from the loss of single connections. */

import * as timers from 'node:timers/promises';
import type { ids } from '@godwittrack/core';
import * as members from '../membership/members.js';
import type * as upstreamConnection from './upstreamConnection.js';

export interface EndDetectorOptions {
  /** State of the upstream as last announced. */
  current: () => members.UpstreamState | null;
  /** Opens another connection to the upstream. */
  probe: () => Promise<upstreamConnection.OpenResult>;
}

/** Longest time for which outcomes wait for a probe; an upstream that has ended refuses it at once. */
const PROBE_TIMEOUT_MS = 50;

export class EndDetector {
  /** The probe that is under way; losses at the same time share it. */
  private probing: Promise<upstreamConnection.OpenResult> | null = null;

  constructor(private readonly options: EndDetectorOptions) {}

  /**
   * Called when the upstream has closed a connection without answering the request on it.
   * @returns the end of the incarnation that had the request; null if it still runs or was leaving
   */
  async findEnd(incarnation: members.Incarnation): Promise<ids.UpstreamEndId | null> {
    const { current } = this.options;
    const isReplaced = () =>
      current() !== null && !members.isSameIncarnation(current(), incarnation);
    if (!isReplaced()) {
      if (current()?.leaving) return null;
      const result = await this.probe();
      // Another incarnation may have taken over during the probe.
      if (result !== 'refused' && !isReplaced()) return null;
    }
    return members.endIdOf(incarnation);
  }

  private probe(): Promise<upstreamConnection.OpenResult> {
    this.probing ??= Promise.race([
      this.options.probe(),
      timers.setTimeout(PROBE_TIMEOUT_MS, 'failed' as const),
    ]).finally(() => {
      this.probing = null;
    });
    return this.probing;
  }
}
