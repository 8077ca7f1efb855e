/**
 * Decides when a starting node may serve. A node keeps no state across restarts, so it first learns
 * a version floor: a configuration version at least as high as any that it held before. It is ready
 * once its configuration has reached the floor.
 */

import { backoff, failures, rendezvous } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type { objectStore } from '@godwittrack/platform';
import type * as peerProbe from './distribution/peerProbe.js';
import type * as fleetState from './distribution/fleetState.js';
import type * as logging from './logging.js';
import type * as contacts from './membership/contacts.js';
import type * as settings from './settings.js';
import * as roster from './membership/roster.js';

/** Time to wait for the floor from the platform or a parent before peers are asked. */
const PEER_FALLBACK_MS = 3_000;
const CHECK_INTERVAL_MS = 50;
const PEER_QUERY_INTERVAL_MS = 1_000;

export class Bootstrap {
  private floor: number | null = null;

  private readonly startMs: number;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly peerContacts: contacts.Contacts,
    private readonly store: objectStore.ObjectStore,
    private readonly probe: peerProbe.PeerProbe,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {
    this.startMs = time.monotonicMs();
  }

  /** Finds other nodes before the first attachment, from the seeds and the rosters. */
  async discover(signal: AbortSignal): Promise<void> {
    const rosters = this.store
      .list('roster', signal)
      .then((list) => list.items.flatMap((item) => roster.parseRoster(item.value)))
      .catch((err: unknown) => {
        this.log.warn(
          { failure: failures.fromError(err) },
          'Rosters could not be read from the platform.',
        );
        return [];
      });
    const replies = await this.querySeeds();
    const found = [...(await rosters), ...replies.flatMap((reply) => reply.members)];
    found.forEach((member) => this.peerContacts.addHint(member));
    this.log.info({ known: found.length, seeds: replies.length }, 'Discovery finished.');
  }

  /** Runs until the node is ready or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let queriedAtMs = this.startMs + PEER_FALLBACK_MS - PEER_QUERY_INTERVAL_MS;
    while (!signal.aborted) {
      this.floor ??= this.floorFromContact();
      const nowMs = this.time.monotonicMs();
      if (this.floor === null && nowMs - queriedAtMs >= PEER_QUERY_INTERVAL_MS) {
        queriedAtMs = nowMs;
        this.floor = await this.floorFromPeers();
      }
      if (this.floor !== null && this.state.config.version >= this.floor) {
        this.state.local.setReady(true);
        const { version } = this.state.config;
        this.log.info({ floor: this.floor, version }, 'Ready.');
        return;
      }
      await backoff.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Version seen at a platform contact after the start of this process; null without one. */
  private floorFromContact(): number | null {
    const { contactAtMs, platformVersion } = this.state.platformLink;
    return contactAtMs !== null && contactAtMs > this.startMs ? platformVersion : null;
  }

  /**
   * Highest version among the answers of the region's known nodes; null unless a majority answers.
   * Answers of nodes that are starting themselves do not count: if a whole region restarts, they
   * know no version and would agree on a floor of 0.
   */
  private async floorFromPeers(): Promise<number | null> {
    (await this.querySeeds())
      .flatMap((reply) => reply.members)
      .forEach((member) => {
        this.peerContacts.addHint(member);
      });
    const peers = this.peerContacts
      .knownNodes(this.cfg.region)
      .filter((member) => member.node !== this.cfg.node);
    if (peers.length === 0) return null;
    const replies = (
      await Promise.all(peers.map((peer) => this.queryFloor(peer.peerAddress)))
    ).filter((reply) => reply?.floorKnown === true);
    this.log.info({ peers: peers.length, replies: replies.length }, 'Asked peers for the floor.');
    if (replies.length * 2 <= peers.length) return null;
    return Math.max(...replies.map((reply) => reply?.highestVersion ?? 0));
  }

  private async querySeeds(): Promise<distribution.FloorReply[]> {
    const seeds = rendezvous.rank(this.cfg.node, this.cfg.seeds, (seed) => seed);
    const replies = await Promise.all(seeds.map((seed) => this.queryFloor(seed)));
    return replies.filter((reply) => reply !== null);
  }

  private async queryFloor(address: string): Promise<distribution.FloorReply | null> {
    try {
      return await this.probe.floor(address);
    } catch {
      return null;
    }
  }
}
