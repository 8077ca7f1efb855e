/**
 * Decides when a starting node may serve. A restarted node keeps nothing, so it first learns a
 * floor that is at least as high as any version it held before, and then waits until it holds it.
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

/** Time for the platform or a parent to give the floor before peers are asked. */
const PEER_FALLBACK_MS = 3_000;
const CHECK_INTERVAL_MS = 50;
const ROUND_INTERVAL_MS = 1_000;

export class Bootstrap {
  private floor: number | null = null;

  private readonly startMs: number;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly known: contacts.Contacts,
    private readonly store: objectStore.ObjectStore,
    private readonly probe: peerProbe.PeerProbe,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {
    this.startMs = time.monotonicMs();
  }

  /** Learns of other nodes before the first attachment: from the seeds and the rosters. */
  async discover(signal: AbortSignal): Promise<void> {
    const rosters = this.store
      .list('roster', signal)
      .then((list) => list.items.flatMap((item) => roster.parseRoster(item.value)))
      .catch((err: unknown) => {
        this.log.warn({ failure: failures.fromError(err) }, 'Rosters not read.');
        return [];
      });
    const replies = await this.askSeeds();
    const found = [...(await rosters), ...replies.flatMap((reply) => reply.members)];
    found.forEach((member) => this.known.addHint(member));
    this.log.info({ known: found.length, seeds: replies.length }, 'Discovery finished.');
  }

  /** Runs until the node is ready or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let askedAtMs = this.startMs + PEER_FALLBACK_MS - ROUND_INTERVAL_MS;
    while (!signal.aborted) {
      this.floor ??= this.floorFromContact();
      const nowMs = this.time.monotonicMs();
      if (this.floor === null && nowMs - askedAtMs >= ROUND_INTERVAL_MS) {
        askedAtMs = nowMs;
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

  /** A contact with the platform after the start of this process gives the floor. */
  private floorFromContact(): number | null {
    const { contactAtMs, platformVersion } = this.state.link;
    return contactAtMs !== null && contactAtMs > this.startMs ? platformVersion : null;
  }

  /**
   * Maximum over the answers of a majority of the region's known nodes. Nodes that are starting
   * themselves do not count, or a region restarted as a whole would agree on nothing at all.
   */
  private async floorFromPeers(): Promise<number | null> {
    (await this.askSeeds())
      .flatMap((reply) => reply.members)
      .forEach((member) => {
        this.known.addHint(member);
      });
    const peers = this.known
      .known(this.cfg.region)
      .filter((member) => member.node !== this.cfg.node);
    if (peers.length === 0) return null;
    const replies = (await Promise.all(peers.map((peer) => this.ask(peer.peerAddress)))).filter(
      (reply) => reply?.floorKnown === true,
    );
    this.log.info({ peers: peers.length, replies: replies.length }, 'Asked peers for the floor.');
    if (replies.length * 2 <= peers.length) return null;
    return Math.max(...replies.map((reply) => reply?.highestVersion ?? 0));
  }

  private async askSeeds(): Promise<distribution.FloorReply[]> {
    const seeds = rendezvous.rank(this.cfg.node, this.cfg.seeds, (seed) => seed);
    const replies = await Promise.all(seeds.map((seed) => this.ask(seed)));
    return replies.filter((reply) => reply !== null);
  }

  private async ask(address: string): Promise<distribution.FloorReply | null> {
    try {
      return await this.probe.floor(address);
    } catch {
      return null;
    }
  }
}
