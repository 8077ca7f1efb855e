/** This node's own member record, and the upstream that announced itself to it. */

import { failures, ids, resources } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as z from 'zod';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import type * as settings from '../settings.js';
import * as signals from '../signals.js';
import type * as memberTable from './memberTable.js';

const MAX_SLOTS = 10_000;

/** What an upstream sends to `POST /v1/upstream`. */
export const announcementSchema = z.strictObject({
  service: resources.resourceName,
  version: z.string().min(1).max(63),
  /** `ip:port` of the upstream, on the same host. */
  address: z.string().regex(/^[^\s:]+:\d{1,5}$/, 'must be an address and a port'),
  slots: z.number().int().min(1).max(MAX_SLOTS),
  connections: z.number().int().min(1).max(MAX_SLOTS).default(130),
  state: z.enum(['serving', 'draining']).default('serving'),
});

export type Announcement = z.output<typeof announcementSchema>;

export interface LocalUpstream extends Announcement {
  /** Monotonic time of this version's first announcement, when its cold start begins. */
  firstAnnouncedAtMs: number;
  renewedAtMs: number;
  healthy: boolean;
}

export class LocalMember {
  /** Start time, which identifies this run of the process; a new incarnation does not change it. */
  readonly startedAtMs: number;

  private incarnationValue: number;

  private revision = 0;

  private parent = '';

  private ready = false;

  private draining = false;

  private upstreamState: LocalUpstream | null = null;

  /** Raised when the upstream was announced, changed or withdrawn. */
  readonly upstreamChanged = new signals.ChangeSignal();

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly table: memberTable.MemberTable,
    private readonly time: clock.Clock,
    private readonly log: logging.Logger,
  ) {
    this.startedAtMs = time.nowMs();
    this.incarnationValue = this.startedAtMs;
  }

  get node(): ids.NodeId {
    return this.cfg.node;
  }

  get incarnation(): number {
    return this.incarnationValue;
  }

  get upstream(): LocalUpstream | null {
    return this.upstreamState;
  }

  get isReady(): boolean {
    return this.ready;
  }

  get isDraining(): boolean {
    return this.draining;
  }

  setParent(parent: string): void {
    if (this.parent === parent) return;
    this.parent = parent;
    this.publish();
  }

  setReady(ready: boolean): void {
    if (this.ready === ready) return;
    this.ready = ready;
    this.publish();
  }

  setDraining(): void {
    this.draining = true;
    this.publish();
  }

  setHealthy(healthy: boolean): void {
    if (this.upstreamState === null || this.upstreamState.healthy === healthy) return;
    this.upstreamState = { ...this.upstreamState, healthy };
    this.publish();
  }

  /** @throws invalidRequest when the announcement has problems */
  announce(announcement: Announcement): void {
    const nowMs = this.time.monotonicMs();
    const held = this.upstreamState;
    const same =
      held !== null &&
      held.service === announcement.service &&
      held.version === announcement.version &&
      held.address === announcement.address;
    const firstAnnouncedAtMs = same ? held.firstAnnouncedAtMs : nowMs;
    const healthy = same ? held.healthy : true;
    this.upstreamState = { ...announcement, firstAnnouncedAtMs, renewedAtMs: nowMs, healthy };
    if (same && held.state === announcement.state && held.slots === announcement.slots) return;
    const { service, version, state } = announcement;
    this.log.info({ service, version, state }, 'Upstream announced.');
    this.publish();
    this.upstreamChanged.notify();
  }

  withdraw(reason: string): void {
    if (this.upstreamState === null) return;
    this.log.info({ service: this.upstreamState.service, reason }, 'Upstream withdrawn.');
    this.upstreamState = null;
    this.publish();
    this.upstreamChanged.notify();
  }

  /** True for `COLD_START_MS` after an upstream's first announcement. */
  private isColdStart(upstream: LocalUpstream): boolean {
    return this.time.monotonicMs() - upstream.firstAnnouncedAtMs < constants.COLD_START_MS;
  }

  /** Publishes the end of the cold start; to be called regularly. */
  publishColdStartEnd(): void {
    const published = this.table.get(this.node)?.upstream?.coldStart ?? false;
    const held = this.upstreamState;
    if (held !== null && published !== this.isColdStart(held)) this.publish();
  }

  /** Withdraws an upstream that no longer renews its announcement. */
  expireUpstream(): void {
    const held = this.upstreamState;
    if (held === null) return;
    const silentMs = this.time.monotonicMs() - held.renewedAtMs;
    if (silentMs > constants.UPSTREAM_LEASE_MS) this.withdraw('announcement lapsed');
  }

  /**
   * Updates this node's member record. Raises the incarnation when the current one was removed or
   * the table has seen a higher one.
   */
  publish(): void {
    const seen = this.table.highestIncarnation(this.node);
    const removed = this.table.isRemoved(this.node, this.incarnationValue);
    if (removed || seen > this.incarnationValue) {
      this.incarnationValue = Math.max(this.time.nowMs(), seen + 1);
      this.log.info({ incarnation: this.incarnationValue }, 'Joined again with a new incarnation.');
    }
    this.revision += 1;
    this.table.merge(this.toMember(), '');
  }

  /** Publishes again when the table no longer has the current record of this node. */
  republishIfOutdated(): void {
    const held = this.table.get(this.node);
    if (held?.incarnation === this.incarnationValue && held.revision === this.revision) return;
    if (held !== undefined && held.incarnation === this.incarnationValue) {
      this.revision = Math.max(this.revision, held.revision);
    }
    this.publish();
  }

  toMember(): distribution.Member {
    const { advertise } = this.cfg;
    const upstream = this.upstreamState;
    return {
      node: this.node,
      incarnation: this.incarnationValue,
      revision: this.revision,
      region: this.cfg.region,
      failureDomain: this.cfg.failureDomain,
      peerAddress: advertise.peer,
      externalPeerAddress: advertise.externalPeer,
      adminAddress: advertise.admin,
      upstream:
        upstream === null
          ? undefined
          : {
              service: upstream.service,
              version: upstream.version,
              slots: upstream.slots,
              draining: upstream.state === 'draining',
              healthy: upstream.healthy,
              coldStart: this.isColdStart(upstream),
            },
      draining: this.draining,
      ready: this.ready,
      parent: this.parent,
      startedAtMs: this.startedAtMs,
    };
  }
}

/** Checks the body of an announcement. @throws invalidRequest */
export function parseAnnouncement(body: unknown): Announcement {
  const checked = announcementSchema.safeParse(body);
  if (checked.success) return checked.data;
  const found = checked.error.issues.map((issue) => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
  throw failures.toError({ type: 'invalidRequest', problems: found });
}
