/**
 * Keeps requests that end the upstreams that run them from ending one after the other. All requests that
 * an upstream was running when it ended are suspects; most of them are answered by another upstream, which
 * clears them. Those during which several upstreams have ended are blocked, and tried again after
 * increasing delays.
 */

import type { ids } from '@godwittrack/core';
import type * as propagation from '../config/propagation.js';
import type * as observability from '../observability/decisionLog.js';
import * as exchange from '../routing/exchange.js';
import * as crashRecords from './crashRecords.js';
import * as requestFingerprint from './requestFingerprint.js';

/** Number of ended upstreams from which on a request is blocked. */
const MIN_ENDS_TO_BLOCK = 2;
/** Time from the last end to the next attempt, for a request that has just been blocked. */
const INITIAL_BLOCK_MS = 5_000;
/** Growth of that time with each further end. */
const BLOCK_GROWTH = 6;
const MAX_BLOCK_MS = 30 * 60_000;
/** Retry delay stated while another attempt of the same suspect is running. */
const BUSY_RETRY_MS = 100;
/** Reports repeated to other nodes, for those that have just started or were out of reach. */
const MAX_REPEATED_REPORTS = 64;
/** Characters of a request target in the log. */
const MAX_LOGGED_TARGET = 200;

/** The request has ended several upstreams. */
export const BLOCKED = 'blocked';
/** The upstream is running a suspect with the same fingerprint. */
export const SUSPECT_RUNNING = 'suspectRunning';

/** Reasons of refusals that hold for all upstreams. */
export const REASONS: ReadonlySet<string> = new Set([BLOCKED, SUSPECT_RUNNING]);

/** May run at one upstream at a time, and not at an incarnation that has ended. */
export interface SuspectVerdict {
  type: 'suspect';
  fingerprint: ids.RequestFingerprint;
  ends: ReadonlySet<ids.UpstreamEndId>;
}

export type Verdict =
  { type: 'clear' } | SuspectVerdict | { type: 'blocked'; retryAfterMs: number };

type Listener = (reports: crashRecords.CrashReport[], origin: propagation.Origin) => void;

export const CLEAR: Verdict = { type: 'clear' };
const NOT_A_SUSPECT = () => {};

export interface QuarantineOptions {
  log: observability.DecisionLog;
  nowMs: () => number;
}

export class Quarantine {
  private readonly records: crashRecords.CrashRecords;

  /** Suspects that the upstream on this host is running. */
  private readonly running = new Set<ids.RequestFingerprint>();

  private readonly listeners: Listener[] = [];

  constructor(private readonly options: QuarantineOptions) {
    this.records = new crashRecords.CrashRecords(options.nowMs);
  }

  /** Adds a listener that is called with what was new to this node. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Whether there are no suspects, as is usual; then no request needs a verdict. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  verdictOf(req: requestFingerprint.IdentifiedRequest): Verdict {
    const fingerprint = this.records.find(req);
    return fingerprint === null ? CLEAR : this.judge(fingerprint);
  }

  /** Reason why the upstream on this host must not get the request now; null if it may. */
  refusalOf(req: requestFingerprint.IdentifiedRequest): exchange.Refusal | null {
    const verdict = this.verdictOf(req);
    if (verdict.type === 'blocked') return exchange.refused(BLOCKED, verdict.retryAfterMs);
    const isRunning = verdict.type === 'suspect' && this.running.has(verdict.fingerprint);
    return isRunning ? exchange.refused(SUSPECT_RUNNING, BUSY_RETRY_MS) : null;
  }

  /** Called when the upstream on this host is given the request. @returns called when it has ended */
  beginRun(req: requestFingerprint.IdentifiedRequest): () => void {
    const fingerprint = this.records.find(req);
    if (fingerprint === null) return NOT_A_SUSPECT;
    this.running.add(fingerprint);
    return () => this.running.delete(fingerprint);
  }

  /** Records that an upstream ended while it ran the request. */
  recordEnd(
    req: requestFingerprint.IdentifiedRequest,
    end: ids.UpstreamEndId,
    origin: propagation.Origin,
  ): void {
    const fingerprint = requestFingerprint.fingerprintOf(req);
    const ends = [{ end, ageMs: 0, isVoid: false }];
    if (!this.merge([{ fingerprint, ends }], origin)) return;
    const { method, target, callerService } = req;
    this.options.log.info('quarantine', 'an upstream ended while it ran a request', {
      fingerprint,
      end,
      ends: this.records.heldEnds(fingerprint)?.ends.size ?? 0,
      method,
      target: target.slice(0, MAX_LOGGED_TARGET),
      callerService,
    });
  }

  /** Records that an upstream has answered the request. */
  recordAnswer(req: requestFingerprint.IdentifiedRequest): void {
    const fingerprint = this.records.find(req);
    const report = fingerprint === null ? null : this.records.clear(fingerprint);
    if (report === null) return;
    this.options.log.info('quarantine', 'a request was answered and is no suspect', {
      fingerprint,
      ends: report.ends.length,
    });
    this.notify([report], 'self');
  }

  /** Merges reports of other nodes. @returns whether they told anything new */
  merge(reports: readonly crashRecords.CrashReport[], origin: propagation.Origin): boolean {
    const changed = this.records.merge(reports);
    if (changed.length === 0) return false;
    for (const { fingerprint } of changed) this.logIfBlocked(fingerprint);
    this.notify(changed, origin);
    return true;
  }

  /** Reports on the requests that are or were blocked. */
  repeatedReports(): crashRecords.CrashReport[] {
    return this.records.reports(MIN_ENDS_TO_BLOCK, MAX_REPEATED_REPORTS);
  }

  /** Drops what is too old to count. */
  prune(): void {
    if (this.records.size > 0) this.records.prune();
  }

  /** Requests by their verdict. */
  count(type: Verdict['type']): number {
    return [...this.records.fingerprints()].filter((each) => this.judge(each).type === type).length;
  }

  private judge(fingerprint: ids.RequestFingerprint): Verdict {
    const held = this.records.heldEnds(fingerprint);
    if (held === null) return CLEAR;
    const { ends, lastAtMs } = held;
    const retryAfterMs = lastAtMs + blockMs(ends.size) - this.options.nowMs();
    if (retryAfterMs > 0) return { type: 'blocked', retryAfterMs };
    return { type: 'suspect', fingerprint, ends };
  }

  private logIfBlocked(fingerprint: ids.RequestFingerprint): void {
    const verdict = this.judge(fingerprint);
    if (verdict.type !== 'blocked') return;
    this.options.log.info('quarantine', 'a request is blocked', {
      fingerprint,
      ends: this.records.heldEnds(fingerprint)?.ends.size,
      retryAfterMs: Math.round(verdict.retryAfterMs),
    });
  }

  private notify(reports: crashRecords.CrashReport[], origin: propagation.Origin): void {
    for (const listener of this.listeners) listener(reports, origin);
  }
}

/** Time from the last of `ends` ends during which a request is blocked. */
function blockMs(ends: number): number {
  if (ends < MIN_ENDS_TO_BLOCK) return 0;
  return Math.min(MAX_BLOCK_MS, INITIAL_BLOCK_MS * BLOCK_GROWTH ** (ends - MIN_ENDS_TO_BLOCK));
}
