/** Tracks the upstream on this host: its current incarnation, and whether it accepts requests. */

import type { ids } from '@godwittrack/core';
import * as coldState from './coldState.js';
import * as departedIncarnations from './departedIncarnations.js';
import * as members from './members.js';

/** State that an upstream reports to its node, several times a minute. */
export interface Announcement {
  instance: ids.InstanceId;
  service: ids.ServiceName;
  /** `ip:port`. */
  address: string;
  version: ids.VersionName;
  slots: number;
  leaving: boolean;
  /** Increases with each announcement of the same incarnation. */
  sequence: number;
  /** Start time in Unix milliseconds; null if the upstream does not report it. */
  bornMs: number | null;
  /** Time for which the upstream stays cold; 0 if it is warm, null if it states no valid time. */
  coldRemainingMs: number | null;
}

export type AnnouncementOutcome =
  | 'accepted'
  | 'otherAddress'
  | 'otherService'
  | 'lateSequence'
  | 'olderIncarnation'
  | 'alreadyLeft'
  | 'held';

interface Incarnation {
  announcement: Announcement;
  hasLeft: boolean;
  /** Monotonic time at which the announcement arrived. */
  announcedAtMs: number;
  limit: Limit;
}

/** Limit of an upstream in requests per second; null for none. */
interface Limit {
  stated: number | null;
  /** Limit that other nodes know; differs from the stated one by `MIN_LIMIT_CHANGE` at most. */
  published: number | null;
}

/** Announcement that waits until it is known which incarnations have left. */
interface HeldAnnouncement {
  announcement: Announcement;
  /** Monotonic time of the first announcement of the incarnation. */
  sinceMs: number;
}

const NO_LIMIT: Limit = { stated: null, published: null };

/**
 * Time without an announcement of the current incarnation after which another one replaces it even though
 * its reported start time is earlier: the clock of the host may have been set back. Covers two usual
 * announcement intervals plus the delay of a late announcement.
 */
const ANNOUNCEMENT_TIMEOUT_MS = 4_000;

/** Change of a limit, as a share of it, from which on it is published: each change costs a message. */
const MIN_LIMIT_CHANGE = 0.1;

/**
 * Least time between two announcements that together show that an upstream is in use, where the store does not
 * tell which ones have left: late announcements of an upstream that has left may arrive together.
 */
const CONFIRMATION_MS = 1_000;

/** Sequence of a restored state; lower than that of any announcement. */
const UNCONFIRMED_SEQUENCE = -1;

export class LocalUpstream {
  private current: Incarnation | null = null;

  private readonly departed = new departedIncarnations.DepartedIncarnations();

  private readonly listeners: ((state: members.UpstreamState | null) => void)[] = [];

  private readonly departureListeners: (() => void)[] = [];

  private isAwaitingDepartures = false;

  private held: HeldAnnouncement | null = null;

  /** Restored state that no announcement confirmed in time; one that comes later keeps the limit. */
  private dropped: Incarnation | null = null;

  /** State of which the listeners were last told, as JSON. */
  private notified = 'null';

  /** Last announcement that was rejected as late or as one of an older incarnation. */
  private lastRejected: Announcement | null = null;

  constructor(
    readonly address: string,
    private readonly nowMs: () => number = () => performance.now(),
    readonly cold: coldState.ColdState = coldState.unprotected(),
    /** Whether the settings of the node name the service as that of the upstream. */
    private readonly isExpectedService: (service: ids.ServiceName) => boolean = () => true,
  ) {
    cold.onChange(() => this.notifyChange());
  }

  onChange(listener: (state: members.UpstreamState | null) => void): void {
    this.listeners.push(listener);
  }

  /** Calls the listener when `departures` has changed. */
  onDeparture(listener: () => void): void {
    this.departureListeners.push(listener);
  }

  /** Incarnations that are leaving or have left, the last one at the end. */
  get departures(): members.Incarnation[] {
    const departed = this.departed.list();
    const current = this.current?.announcement;
    if (!current?.leaving || departed.some((each) => members.isSameIncarnation(each, current)))
      return departed;
    return [...departed, { instance: current.instance, bornMs: current.bornMs }];
  }

  /**
   * Holds announcements from now on until `restoreDepartures`: after a restart, a late one may be of an upstream
   * that has left.
   */
  awaitDepartures(): void {
    this.isAwaitingDepartures = true;
  }

  /** Records incarnations that left before this node restarted. */
  restoreDepartures(departures: readonly members.Incarnation[]): void {
    this.isAwaitingDepartures = false;
    for (const { instance, bornMs } of departures) this.leave(instance, bornMs);
    const { held } = this;
    this.held = null;
    if (held !== null) this.announce(held.announcement);
  }

  /** Null until the first announcement after the start of the node. */
  get state(): members.UpstreamState | null {
    if (this.current === null) return null;
    const { announcement, hasLeft, limit } = this.current;
    const limitPerSecond = coldState.lowerLimit(limit.published, this.cold.limitPerSecond);
    const { instance, service, version, slots, bornMs } = announcement;
    const leaving = announcement.leaving || hasLeft;
    const accepting = !leaving;
    return { instance, service, version, slots, bornMs, limitPerSecond, leaving, accepting };
  }

  /** Requests per second that the current incarnation takes; null if it states no limit. */
  get limitPerSecond(): number | null {
    return this.current?.limit.stated ?? null;
  }

  /** Requests per second that may start: the lower of the stated limit and that of a cold upstream. */
  get startLimitPerSecond(): number | null {
    return coldState.lowerLimit(this.limitPerSecond, this.cold.limitPerSecond);
  }

  /** Records the limit that an answer of the incarnation states; null lifts it. */
  recordLimit(instance: ids.InstanceId, perSecond: number | null): void {
    if (this.current === null || this.current.announcement.instance !== instance) return;
    const { published } = this.current.limit;
    const isSmallChange =
      perSecond !== null &&
      published !== null &&
      Math.abs(perSecond - published) <= published * MIN_LIMIT_CHANGE;
    const limit = { stated: perSecond, published: isSmallChange ? published : perSecond };
    this.replace({ ...this.current, limit });
  }

  /** Records that an answer of the incarnation states that it is leaving, as an announcement does. */
  recordLeaving(instance: ids.InstanceId): void {
    if (this.current === null || this.current.announcement.instance !== instance) return;
    if (this.current.announcement.leaving) return;
    const announcement = { ...this.current.announcement, leaving: true };
    this.replace({ ...this.current, announcement });
    this.notifyDeparture();
  }

  announce(next: Announcement): AnnouncementOutcome {
    if (next.address !== this.address) return 'otherAddress';
    if (!this.isExpectedService(next.service)) return 'otherService';
    const outcome = this.classify(next);
    if (outcome !== 'accepted') {
      // To leave is final, so the order of announcements does not matter.
      if (next.leaving) this.withdraw(next);
      if (outcome === 'alreadyLeft' || !this.replacesSilentOne(next)) return outcome;
    }
    if (this.isAwaitingDepartures && !next.leaving && !this.isConfirmed(next)) return 'held';
    this.lastRejected = null;
    const current = this.current?.announcement;
    const isSame = members.isSameIncarnation(current, next);
    // An upstream that is leaving does not become available again in the same incarnation.
    const leaving = next.leaving || (isSame && current!.leaving);
    this.current = {
      announcement: { ...next, leaving },
      hasLeft: false,
      announcedAtMs: this.nowMs(),
      limit: this.limitOf(next),
    };
    this.dropped = null;
    // Before the listeners are told, so that another incarnation is not published without its limit.
    this.cold.recordAnnouncement(next, isSame);
    this.notifyChange();
    if (leaving) this.notifyDeparture();
    return 'accepted';
  }

  /** Whether other nodes know the incarnation from before a restart, or it keeps announcing itself. */
  private isConfirmed(next: Announcement): boolean {
    if (members.isSameIncarnation(this.current?.announcement, next)) return true;
    const { held } = this;
    const isSame = held !== null && members.isSameIncarnation(held.announcement, next);
    if (!isSame) {
      this.held = { announcement: next, sinceMs: this.nowMs() };
      return false;
    }
    if (next.sequence <= held.announcement.sequence) return false;
    held.announcement = next;
    return this.nowMs() - held.sinceMs >= CONFIRMATION_MS;
  }

  /** An incarnation keeps its limit until an answer changes it. */
  private limitOf(next: Announcement): Limit {
    const known = [this.current, this.dropped].find((each) =>
      members.isSameIncarnation(each?.announcement, next),
    );
    if (known == null) return NO_LIMIT;
    const isRestored = known.announcement.sequence === UNCONFIRMED_SEQUENCE;
    return isRestored ? this.withoutColdLimit(known.limit) : known.limit;
  }

  /** A restored limit that equals that of a cold upstream was not stated by the upstream. */
  private withoutColdLimit(limit: Limit): Limit {
    return limit.stated === this.cold.coldPerSecond ? NO_LIMIT : limit;
  }

  /** Takes an incarnation out of use that says it is leaving in a late announcement, or after a clock step. */
  private withdraw({ instance, bornMs }: Announcement): void {
    if (members.isSameIncarnation(this.current?.announcement, { instance, bornMs }))
      this.recordLeaving(instance);
    else this.rememberDeparted(instance, bornMs);
  }

  /**
   * Whether an apparently older incarnation, or the current one with lower sequences, keeps announcing itself
   * while nothing else was accepted: the clock was set back, or another writer used a higher sequence.
   */
  private replacesSilentOne(next: Announcement): boolean {
    const previous = this.lastRejected;
    this.lastRejected = next;
    const keepsAnnouncing =
      previous !== null &&
      members.isSameIncarnation(previous, next) &&
      next.sequence > previous.sequence;
    return keepsAnnouncing && this.nowMs() - this.current!.announcedAtMs > ANNOUNCEMENT_TIMEOUT_MS;
  }

  private classify(next: Announcement): AnnouncementOutcome {
    if (this.departed.includes(next)) return 'alreadyLeft';
    const current = this.current?.announcement;
    if (current === undefined) return 'accepted';
    if (members.isSameIncarnation(current, next)) {
      return next.sequence > current.sequence ? 'accepted' : 'lateSequence';
    }
    if (current.bornMs !== null && next.bornMs !== null && next.bornMs < current.bornMs) {
      return 'olderIncarnation';
    }
    return 'accepted';
  }

  /**
   * Restores the state that another node has stored from before this node restarted. It is used only for a
   * short time unless the upstream announces itself; see `dropUnconfirmed`. A restored `leaving` state also
   * overrides announcements, since one sent before the upstream left may arrive late.
   */
  restore(state: members.UpstreamState): void {
    if (state.leaving) {
      this.leave(state.instance, state.bornMs);
      return;
    }
    if (this.departed.has(state.instance) || !this.isExpectedService(state.service)) return;
    const { instance, service, version, slots, bornMs, limitPerSecond } = state;
    const limit = { stated: limitPerSecond, published: limitPerSecond };
    if (this.current !== null) {
      this.restoreLimit(state, limit);
      return;
    }
    const announcement = {
      instance,
      service,
      address: this.address,
      version,
      slots,
      leaving: false,
      sequence: UNCONFIRMED_SEQUENCE,
      bornMs,
      coldRemainingMs: null,
    };
    // The limit may be that of a cold upstream; see `withoutColdLimit`.
    this.current = { announcement, hasLeft: false, announcedAtMs: this.nowMs(), limit };
    this.cold.begin(service);
    this.notifyChange();
  }

  /** Restores a limit after the upstream has announced itself, unless an answer has told it already. */
  private restoreLimit(incarnation: members.Incarnation, limit: Limit): void {
    const { current } = this;
    if (current === null || current.limit !== NO_LIMIT) return;
    if (!members.isSameIncarnation(current.announcement, incarnation)) return;
    this.replace({ ...current, limit: this.withoutColdLimit(limit) });
  }

  /** Drops a restored state that no announcement has confirmed. */
  dropUnconfirmed(): void {
    if (this.current?.announcement.sequence !== UNCONFIRMED_SEQUENCE) return;
    this.dropped = this.current;
    this.current = null;
    this.cold.begin(null);
    this.notifyChange();
  }

  /** Marks an incarnation as departed because it has reported its end. Takes effect immediately. */
  leave(instance: ids.InstanceId, bornMs: number | null): AnnouncementOutcome {
    const current = this.current?.announcement;
    if (
      current?.instance === instance &&
      bornMs !== null &&
      departedIncarnations.isNewer(current.bornMs, bornMs)
    ) {
      return 'olderIncarnation';
    }
    if (current?.instance === instance) this.rememberDeparted(instance, current.bornMs);
    this.rememberDeparted(instance, bornMs);
    if (current?.instance === instance) this.replace({ ...this.current!, hasLeft: true });
    return 'accepted';
  }

  private rememberDeparted(instance: ids.InstanceId, bornMs: number | null): void {
    if (this.departed.add({ instance, bornMs })) this.notifyDeparture();
  }

  private notifyDeparture(): void {
    for (const listener of this.departureListeners) listener();
  }

  private replace(next: Incarnation): void {
    this.current = next;
    this.notifyChange();
  }

  private notifyChange(): void {
    const { state } = this;
    const text = JSON.stringify(state);
    if (text === this.notified) return;
    this.notified = text;
    for (const listener of this.listeners) listener(state);
  }
}
