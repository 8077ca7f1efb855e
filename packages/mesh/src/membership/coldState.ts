/**
 * Decides whether the upstream on this host is cold, that is, takes only few requests per second because it
 * has just started. A state that is not known counts as cold.
 */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';

export type UnknownReason =
  'noAnnouncement' | 'notStated' | 'upstreamUnreachable' | 'upstreamEnded' | 'evacuationEnded';

export type Knowledge =
  { type: 'unknown'; reason: UnknownReason } | { type: 'known'; warmAtMs: number };

/** What an announcement tells about the state. */
export interface Statement {
  service: ids.ServiceName;
  /** Time for which the upstream stays cold; 0 if it is warm, null if it states no valid time. */
  coldRemainingMs: number | null;
}

export interface ColdStateOptions {
  /** Null if upstreams of the service need no protection. */
  coldStartOf: (service: ids.ServiceName) => configuration.ColdStart | null;
  /** False until the node has its first configuration. */
  isConfigured: () => boolean;
  nowMs: () => number;
}

/**
 * No announcement ends the cold time within this time after the upstream seemed to have ended: the incarnation
 * that ended may have sent it before. Longer than the usual interval of announcements (1.5 s).
 */
const LATE_ANNOUNCEMENT_MS = 2_000;

/** Time after its start for which an upstream that does not state its cold time is taken as slow. */
const ASSUMED_SLOW_START_MS = 5_000;

/** Rate for an upstream that states that it is cold while no configuration tells what it takes. */
const UNCONFIGURED_LIMIT = 0;

export class ColdState {
  private service: ids.ServiceName | null = null;

  private current: Knowledge = { type: 'unknown', reason: 'noAnnouncement' };

  private trustedFromMs = -Infinity;

  private begunAtMs = -Infinity;

  private unknownCount = 1;

  private invalidations = 0;

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly options: ColdStateOptions) {}

  /** Called after each change; not where the service of the upstream needs no protection. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  get knowledge(): Knowledge {
    return this.current;
  }

  /** Number of times that the state became unknown. */
  get round(): number {
    return this.unknownCount;
  }

  /** Changes when answers to earlier health checks no longer count. */
  get epoch(): number {
    return this.unknownCount + this.invalidations;
  }

  /** Service of the upstream if it needs protection, else null. */
  get protectedService(): ids.ServiceName | null {
    return this.coldStart === null ? null : this.service;
  }

  /** Requests per second that the upstream takes while it is cold; null without protection. */
  get coldPerSecond(): number | null {
    return this.coldStart?.perSecond ?? null;
  }

  get isCold(): boolean {
    return this.current.type === 'unknown' || this.options.nowMs() < this.current.warmAtMs;
  }

  /** Whether the upstream was slow at a time since its start, by what it states or, if it states nothing, as a guess. */
  wasSlowStart(atMs: number): boolean {
    const { current, begunAtMs } = this;
    const untilMs = current.type === 'known' ? current.warmAtMs : begunAtMs + ASSUMED_SLOW_START_MS;
    return atMs < untilMs;
  }

  /** Requests that may start per second; null without a limit. */
  get limitPerSecond(): number | null {
    const perSecond = this.options.isConfigured() ? this.coldPerSecond : this.unconfiguredLimit;
    return perSecond !== null && this.isCold ? perSecond : null;
  }

  /** Starts over with another incarnation; null if there is no upstream any more. */
  begin(service: ids.ServiceName | null): void {
    this.service = service;
    this.begunAtMs = this.options.nowMs();
    this.trustedFromMs = -Infinity;
    this.setUnknown('noAnnouncement');
    this.notify();
  }

  /** @param isSame whether the announcement is of the same incarnation as the last one */
  recordAnnouncement({ service, coldRemainingMs }: Statement, isSame: boolean): void {
    this.service = service;
    if (!isSame) {
      this.begunAtMs = this.options.nowMs();
      this.setUnknown('noAnnouncement');
    }
    const distrustMs = this.trustedFromMs - this.options.nowMs();
    if (distrustMs <= 0 || coldRemainingMs === null) this.record(coldRemainingMs);
    else if (!isSame || this.prolongs(coldRemainingMs))
      this.record(Math.max(coldRemainingMs, distrustMs));
    this.notify();
  }

  /**
   * Records the answer to a health check, unless something else was learned meanwhile.
   * @param epoch the `epoch` when the check began
   */
  recordHealth(epoch: number, coldRemainingMs: number | null): void {
    if (this.current.type !== 'unknown' || epoch !== this.epoch) return;
    if (coldRemainingMs === null) return;
    this.record(coldRemainingMs);
    this.notify();
  }

  /** Makes the state unknown until the next announcement or health check. */
  invalidate(reason: Exclude<UnknownReason, 'noAnnouncement' | 'notStated'>): void {
    if (reason !== 'evacuationEnded')
      this.trustedFromMs = this.options.nowMs() + LATE_ANNOUNCEMENT_MS;
    this.invalidations += 1;
    if (this.current.type === 'unknown') return;
    this.setUnknown(reason);
    this.notify();
  }

  /** To be called when the configuration has changed or the cold time has passed. */
  review(): void {
    for (const listener of this.listeners) listener();
  }

  private get unconfiguredLimit(): number | null {
    return this.service !== null && this.current.type === 'known' ? UNCONFIGURED_LIMIT : null;
  }

  private get coldStart(): configuration.ColdStart | null {
    return this.service === null ? null : this.options.coldStartOf(this.service);
  }

  private prolongs(coldRemainingMs: number): boolean {
    const { current } = this;
    return current.type === 'known' && this.options.nowMs() + coldRemainingMs > current.warmAtMs;
  }

  private record(coldRemainingMs: number | null): void {
    if (coldRemainingMs !== null) {
      this.current = { type: 'known', warmAtMs: this.options.nowMs() + coldRemainingMs };
    } else if (this.current.type === 'known' || this.current.reason === 'noAnnouncement') {
      this.setUnknown('notStated');
    }
  }

  private setUnknown(reason: UnknownReason): void {
    this.current = { type: 'unknown', reason };
    this.unknownCount += 1;
  }

  private notify(): void {
    if (this.coldStart !== null || !this.options.isConfigured()) this.review();
  }
}

/** State of an upstream that needs no protection. */
export function unprotected(): ColdState {
  return new ColdState({ coldStartOf: () => null, isConfigured: () => true, nowMs: () => 0 });
}

/** The lower of two limits; null for none. */
export function lowerLimit(a: number | null, b: number | null): number | null {
  if (a === null) return b;
  return b === null ? a : Math.min(a, b);
}
