/**
 * Keeps requests that end the upstreams that run them from ending one after the other. All requests that
 * an upstream was running when it ended are suspects; most of them are answered by another upstream, which
 * clears them. Those that end another one are blocked, and tried again after increasing delays.
 */

import type { ids } from '@godwittrack/core';
import type * as propagation from '../config/propagation.js';
import type * as observability from '../observability/decisionLog.js';
import * as exchange from '../routing/exchange.js';
import * as crashRecords from './crashRecords.js';
import * as requestFingerprint from './requestFingerprint.js';

/** Ended upstreams from which on a request is blocked. */
const MIN_ENDS_TO_BLOCK = 2;
/**
 * Time from the last end to the next attempt, if no upstream ended while it ran the request as a suspect.
 * Upstreams that end together for another reason may have been running the same request.
 */
const SHORT_BLOCK_MS = 5_000;
/** The same for a request that has just ended another upstream as a suspect. */
const INITIAL_BLOCK_MS = 30_000;
/** Growth of that time with each further end. */
const BLOCK_GROWTH = 6;
const MAX_BLOCK_MS = 30 * 60_000;
/** Retry delay stated while another attempt of the same suspect is running. */
const BUSY_RETRY_MS = 100;
/** Time for which a suspect that was refused beside another one is taken to be running elsewhere. */
const SENT_ON_MS = 300;
/** Reports repeated to other nodes, for those that have just started or were out of reach. */
const MAX_REPEATED_REPORTS = 64;
/** Characters of a request target in the log. */
const MAX_LOGGED_TARGET = 200;

/** The request has ended several upstreams. */
export const BLOCKED = 'blocked';
/** The upstream is running a suspect with the same fingerprint. */
export const SUSPECT_RUNNING = 'suspectRunning';
/** The upstream is running another suspect from the same end; if it ended, both would be blamed again. */
export const BESIDE_SUSPECT = 'besideSuspect';

/** Reasons of refusals after which no other upstream is asked. */
export const FINAL_REASONS: ReadonlySet<string> = new Set([BLOCKED, SUSPECT_RUNNING]);

/** May run at one upstream at a time, and not at an incarnation that has ended. */
export interface SuspectVerdict {
  type: 'suspect';
  fingerprint: ids.RequestFingerprint;
  ends: ReadonlySet<ids.UpstreamEndId>;
  /** Whether this is another attempt at a request that was blocked. */
  wasBlocked: boolean;
}

export type Verdict =
  { type: 'clear' } | SuspectVerdict | { type: 'blocked'; retryAfterMs: number };

type Listener = (reports: crashRecords.CrashReport[], origin: propagation.Origin) => void;

export const CLEAR: Verdict = { type: 'clear' };

/** A request that the upstream on this host is running. */
export interface Run {
  wasSuspect: boolean;
  end: () => void;
}

const UNSUSPECTED_RUN: Run = { wasSuspect: false, end: () => {} };

export interface QuarantineOptions {
  log: observability.DecisionLog;
  nowMs: () => number;
}

export class Quarantine {
  private readonly records: crashRecords.CrashRecords;

  /** Suspects that the upstream on this host is running, with the ends for which they are. */
  private readonly running = new Map<ids.RequestFingerprint, ReadonlySet<ids.UpstreamEndId>>();

  /** Suspects that another upstream may be running, with the monotonic time until which it may. */
  private readonly sentOnUntilMs = new Map<ids.RequestFingerprint, number>();

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

  /** Refusal of a request that the upstream on this host must not run now; null if it may. */
  refusalOf(
    req: requestFingerprint.IdentifiedRequest & Pick<exchange.ForwardedRequest, 'maxWaitMs'>,
  ): exchange.Refusal | null {
    const verdict = this.verdictOf(req);
    if (verdict.type === 'blocked') return exchange.refused(BLOCKED, verdict.retryAfterMs);
    if (verdict.type === 'clear') return null;
    const { fingerprint, ends } = verdict;
    const mayGoElsewhere = Number.isFinite(req.maxWaitMs);
    const now = this.options.nowMs();
    const isSentOn = mayGoElsewhere && (this.sentOnUntilMs.get(fingerprint) ?? 0) > now;
    if (isSentOn || this.running.has(fingerprint)) {
      return exchange.refused(SUSPECT_RUNNING, BUSY_RETRY_MS);
    }
    if (!mayGoElsewhere || !this.isBesideSuspect(ends)) return null;
    this.sentOnUntilMs.set(fingerprint, now + SENT_ON_MS);
    return exchange.refused(BESIDE_SUSPECT, BUSY_RETRY_MS);
  }

  /** Called when the upstream on this host is given the request. */
  beginRun(req: requestFingerprint.IdentifiedRequest): Run {
    const verdict = this.verdictOf(req);
    if (verdict.type !== 'suspect') return UNSUSPECTED_RUN;
    const { fingerprint, ends } = verdict;
    this.running.set(fingerprint, ends);
    return { wasSuspect: true, end: () => this.running.delete(fingerprint) };
  }

  /** Records that an upstream ended while it ran the request. */
  recordEnd(
    req: requestFingerprint.IdentifiedRequest,
    { id: end, wasSuspect }: exchange.UpstreamEnd,
    origin: propagation.Origin,
  ): void {
    const fingerprint = requestFingerprint.fingerprintOf(req);
    const ends = [{ end, ageMs: 0, wasSuspect, isVoid: false }];
    if (!this.merge([{ fingerprint, ends }], origin)) return;
    const { method, target, callerService } = req;
    this.options.log.info('quarantine', 'an upstream ended while it ran a request', {
      fingerprint,
      end,
      ends: this.records.heldEnds(fingerprint)?.ends.size ?? 0,
      wasSuspect,
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

  /** Report on a suspect, for the node that is sent the request. */
  reportOn(fingerprint: ids.RequestFingerprint): crashRecords.CrashReport | null {
    return this.records.report(fingerprint);
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
    for (const [fingerprint, untilMs] of this.sentOnUntilMs) {
      if (untilMs <= this.options.nowMs()) this.sentOnUntilMs.delete(fingerprint);
    }
  }

  /** Requests by their verdict. */
  count(type: Verdict['type']): number {
    return [...this.records.fingerprints()].filter((each) => this.judge(each).type === type).length;
  }

  private judge(fingerprint: ids.RequestFingerprint): Verdict {
    const held = this.records.heldEnds(fingerprint);
    if (held === null) return CLEAR;
    const { ends, lastAtMs } = held;
    const retryAfterMs = lastAtMs + blockMs(held) - this.options.nowMs();
    if (retryAfterMs > 0) return { type: 'blocked', retryAfterMs };
    return { type: 'suspect', fingerprint, ends, wasBlocked: blockMs(held) > 0 };
  }

  private isBesideSuspect(ends: ReadonlySet<ids.UpstreamEndId>): boolean {
    return [...this.running.values()].some((other) => [...other].some((end) => ends.has(end)));
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

/** Time from the last end during which a request is blocked. */
function blockMs({ ends, hasSuspectRun }: crashRecords.HeldEnds): number {
  if (ends.size < MIN_ENDS_TO_BLOCK) return 0;
  if (!hasSuspectRun) return SHORT_BLOCK_MS;
  const growth = BLOCK_GROWTH ** (ends.size - MIN_ENDS_TO_BLOCK);
  return Math.min(MAX_BLOCK_MS, INITIAL_BLOCK_MS * growth);
}
