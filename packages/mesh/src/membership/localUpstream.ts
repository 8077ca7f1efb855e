/** The upstream beside this node: which incarnation of it lives, and whether it takes work. */

import type { ids } from '@godwittrack/core';
import type * as members from './members.js';

/** What an upstream says of itself, several times a minute. */
export interface Announcement {
  instance: ids.InstanceId;
  service: ids.ServiceName;
  /** `ip:port`. */
  address: string;
  version: ids.VersionName;
  slots: number;
  leaving: boolean;
  /** Rises with each announcement of one incarnation. */
  sequence: number;
  /** Unix milliseconds of its start; null where the upstream does not say. */
  bornMs: number | null;
}

export type AnnouncementOutcome =
  'accepted' | 'otherAddress' | 'lateSequence' | 'olderIncarnation' | 'alreadyLeft';

interface Incarnation {
  announcement: Announcement;
  hasLeft: boolean;
  /** Monotonic time of the announcement. */
  announcedAtMs: number;
}

/**
 * Silence of the held incarnation after which another counts as newer although it says that it started
 * earlier: its host's clock may have been set back. Twice the usual interval and the time that one may
 * be late.
 */
const ANNOUNCEMENT_TIMEOUT_MS = 4_000;

/** Ahead of the first announcement of any incarnation. */
const UNCONFIRMED_SEQUENCE = -1;
/** Incarnations that have left are remembered so that late announcements do not revive them. */
const MAX_DEPARTED = 32;

export class LocalUpstream {
  private current: Incarnation | null = null;

  private readonly departed = new Map<ids.InstanceId, number | null>();

  private readonly listeners: ((state: members.UpstreamState | null) => void)[] = [];

  /** Last announcement that was refused as of an older incarnation. */
  private lastRejected: Announcement | null = null;

  constructor(
    private readonly address: string,
    private readonly nowMs: () => number = () => performance.now(),
  ) {}

  onChange(listener: (state: members.UpstreamState | null) => void): void {
    this.listeners.push(listener);
  }

  /** Null until the first announcement after the node's start. */
  get state(): members.UpstreamState | null {
    if (this.current === null) return null;
    const { instance, service, version, slots, bornMs } = this.current.announcement;
    const leaving = this.current.announcement.leaving || this.current.hasLeft;
    return { instance, service, version, slots, bornMs, leaving, accepting: !leaving };
  }

  announce(next: Announcement): AnnouncementOutcome {
    if (next.address !== this.address) return 'otherAddress';
    const outcome = this.classify(next);
    if (outcome === 'olderIncarnation' && !this.replacesSilentIncarnation(next)) return outcome;
    if (outcome !== 'accepted' && outcome !== 'olderIncarnation') return outcome;
    this.lastRejected = null;
    const current = this.current?.announcement;
    const isSameIncarnation = current?.instance === next.instance && current.bornMs === next.bornMs;
    // A server that leaves does not come back under the same incarnation.
    const leaving = next.leaving || (isSameIncarnation && current.leaving);
    this.replace({ announcement: { ...next, leaving }, hasLeft: false, announcedAtMs: this.nowMs() });
    return 'accepted';
  }

  /** Whether an incarnation that goes on announcing itself replaces the held one, which is silent. */
  private replacesSilentIncarnation(next: Announcement): boolean {
    const previous = this.lastRejected;
    this.lastRejected = next;
    const keepsAnnouncing =
      previous?.instance === next.instance &&
      previous.bornMs === next.bornMs &&
      next.sequence > previous.sequence;
    return keepsAnnouncing && this.nowMs() - this.current!.announcedAtMs > ANNOUNCEMENT_TIMEOUT_MS;
  }

  private classify(next: Announcement): AnnouncementOutcome {
    if (this.departed.has(next.instance) && !isNewer(next.bornMs, this.departed.get(next.instance)!)) {
      return 'alreadyLeft';
    }
    const current = this.current?.announcement;
    if (current === undefined) return 'accepted';
    if (current.instance === next.instance && current.bornMs === next.bornMs) {
      return next.sequence > current.sequence ? 'accepted' : 'lateSequence';
    }
    if (current.bornMs !== null && next.bornMs !== null && next.bornMs < current.bornMs) {
      return 'olderIncarnation';
    }
    return 'accepted';
  }

  /**
   * Takes what another node remembers of the upstream from before this node was restarted. Without an
   * announcement of the upstream itself it holds only for a short time; see `dropUnconfirmed`. That it
   * leaves counts against announcements too, since one from before may come late.
   */
  recall(state: members.UpstreamState): void {
    if (state.leaving) {
      this.leave(state.instance, state.bornMs);
      return;
    }
    if (this.current !== null || this.departed.has(state.instance)) return;
    const { instance, service, version, slots, bornMs } = state;
    const announcement = {
      instance,
      service,
      address: this.address,
      version,
      slots,
      leaving: false,
      sequence: UNCONFIRMED_SEQUENCE,
      bornMs,
    };
    this.replace({ announcement, hasLeft: false, announcedAtMs: this.nowMs() });
  }

  /** Forgets an upstream that was only recalled and has not announced itself since. */
  dropUnconfirmed(): void {
    if (this.current?.announcement.sequence !== UNCONFIRMED_SEQUENCE) return;
    this.current = null;
    this.notify();
  }

  /** The upstream has said that it is gone. Binds this node at once. */
  leave(instance: ids.InstanceId, bornMs: number | null): AnnouncementOutcome {
    const current = this.current?.announcement;
    if (current?.instance === instance && bornMs !== null && isNewer(current.bornMs, bornMs)) {
      return 'olderIncarnation';
    }
    if (current?.instance === instance) this.rememberDeparted(instance, current.bornMs);
    this.rememberDeparted(instance, bornMs);
    if (current?.instance === instance) this.replace({ ...this.current!, hasLeft: true });
    return 'accepted';
  }

  private rememberDeparted(instance: ids.InstanceId, bornMs: number | null): void {
    const knownBornMs = this.departed.get(instance);
    if (knownBornMs === undefined || isNewer(bornMs, knownBornMs)) this.departed.set(instance, bornMs);
    if (this.departed.size > MAX_DEPARTED) this.departed.delete(this.departed.keys().next().value!);
  }

  private replace(next: Incarnation): void {
    const before = JSON.stringify(this.state);
    this.current = next;
    if (JSON.stringify(this.state) !== before) this.notify();
  }

  private notify(): void {
    for (const listener of this.listeners) listener(this.state);
  }
}

function isNewer(bornMs: number | null, thanMs: number | null): boolean {
  return bornMs !== null && thanMs !== null && bornMs > thanMs;
}
