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
  left: boolean;
  /** Monotonic time of the announcement. */
  heardAtMs: number;
}

/**
 * Silence of the held incarnation after which another counts as newer although it says that it started
 * earlier: its host's clock may have been set back. Twice the usual interval and the time that one may
 * be late.
 */
const SILENT_AFTER_MS = 4_000;

/** Ahead of the first announcement of any incarnation. */
const UNCONFIRMED_SEQUENCE = -1;
/** Incarnations that have left are remembered so that late announcements do not revive them. */
const MAX_REMEMBERED = 32;

export class LocalUpstream {
  private current: Incarnation | null = null;

  private readonly left = new Map<ids.InstanceId, number | null>();

  private readonly listeners: ((state: members.UpstreamState | null) => void)[] = [];

  /** Last announcement that was refused as of an older incarnation. */
  private challenger: Announcement | null = null;

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
    const leaving = this.current.announcement.leaving || this.current.left;
    return { instance, service, version, slots, bornMs, leaving, accepting: !leaving };
  }

  announce(next: Announcement): AnnouncementOutcome {
    if (next.address !== this.address) return 'otherAddress';
    const outcome = this.judge(next);
    if (outcome === 'olderIncarnation' && !this.mustGiveWay(next)) return outcome;
    if (outcome !== 'accepted' && outcome !== 'olderIncarnation') return outcome;
    this.challenger = null;
    const held = this.current?.announcement;
    const same = held?.instance === next.instance && held.bornMs === next.bornMs;
    // A server that leaves does not come back under the same incarnation.
    const leaving = next.leaving || (same && held.leaving);
    this.replace({ announcement: { ...next, leaving }, left: false, heardAtMs: this.nowMs() });
    return 'accepted';
  }

  /** Whether an incarnation that goes on announcing itself replaces the held one, which is silent. */
  private mustGiveWay(next: Announcement): boolean {
    const before = this.challenger;
    this.challenger = next;
    const isAlive =
      before?.instance === next.instance &&
      before.bornMs === next.bornMs &&
      next.sequence > before.sequence;
    return isAlive && this.nowMs() - this.current!.heardAtMs > SILENT_AFTER_MS;
  }

  private judge(next: Announcement): AnnouncementOutcome {
    if (this.left.has(next.instance) && !isNewer(next.bornMs, this.left.get(next.instance)!)) {
      return 'alreadyLeft';
    }
    const held = this.current?.announcement;
    if (held === undefined) return 'accepted';
    if (held.instance === next.instance && held.bornMs === next.bornMs) {
      return next.sequence > held.sequence ? 'accepted' : 'lateSequence';
    }
    if (held.bornMs !== null && next.bornMs !== null && next.bornMs < held.bornMs) {
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
    if (this.current !== null || this.left.has(state.instance)) return;
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
    this.replace({ announcement, left: false, heardAtMs: this.nowMs() });
  }

  /** Forgets an upstream that was only recalled and has not announced itself since. */
  dropUnconfirmed(): void {
    if (this.current?.announcement.sequence !== UNCONFIRMED_SEQUENCE) return;
    this.current = null;
    this.notify();
  }

  /** The upstream has said that it is gone. Binds this node at once. */
  leave(instance: ids.InstanceId, bornMs: number | null): AnnouncementOutcome {
    const held = this.current?.announcement;
    if (held?.instance === instance && bornMs !== null && isNewer(held.bornMs, bornMs)) {
      return 'olderIncarnation';
    }
    if (held?.instance === instance) this.remember(instance, held.bornMs);
    this.remember(instance, bornMs);
    if (held?.instance === instance) this.replace({ ...this.current!, left: true });
    return 'accepted';
  }

  private remember(instance: ids.InstanceId, bornMs: number | null): void {
    const known = this.left.get(instance);
    if (known === undefined || isNewer(bornMs, known)) this.left.set(instance, bornMs);
    if (this.left.size > MAX_REMEMBERED) this.left.delete(this.left.keys().next().value!);
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
