/**
 * Keeps a node up to date with the store. Only the first-ranked node of each failure domain waits on
 * the store; the others hear from it, and take over when they do not hear from it any more. So the
 * calls to the store do not grow with the number of nodes.
 */

import { backoff, failures, type ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';
import type * as observability from '../observability/decisionLog.js';
import type * as phases from '../rollouts/phases.js';
import type * as rolloutBoard from '../rollouts/rolloutBoard.js';
import type * as configHolder from './configHolder.js';
import type * as configuration from './configuration.js';
import type * as fleetStore from './fleetStore.js';

/** How often a watching node tells the nodes of its failure domain that it watches. */
export const BEACON_INTERVAL_MS = 400;
/** Silence of the watching node after which the next one watches as well. */
const TAKE_OVER_AFTER_MS = 1_000;
/** Longest wait of one call; it bounds how long a silent connection goes unnoticed. */
const CONFIG_WAIT_MS = 4_000;
const ROLLOUTS_WAIT_MS = 8_000;
const RETRY_INITIAL_MS = 100;
const RETRY_MAX_MS = 1_000;
/** Time in which a call of the watch must have been answered for the store to count as in contact. */
const CONTACT_LIMIT_MS = CONFIG_WAIT_MS + 2_000;

/** One thing that is read once, then watched from there. */
export abstract class Subject<T> {
  abstract readonly name: string;

  protected abstract readonly waitMs: number;

  constructor(private readonly source: fleetStore.Watchable<T>) {}

  /** Reads, or waits for a change after `cursor`, and takes what came. */
  async advance(cursor: fleetStore.Cursor | null, signal: AbortSignal): Promise<fleetStore.Cursor> {
    const reading = await (cursor === null
      ? this.source.read(signal)
      : this.source.watch(cursor, this.waitMs, signal));
    this.take(reading.value);
    return reading.cursor;
  }

  /** Null where nothing changed, or nothing that can be read. */
  protected abstract take(value: T | null): void;
}

export class ConfigurationSubject extends Subject<configuration.Configuration> {
  readonly name = 'configuration';

  protected readonly waitMs = CONFIG_WAIT_MS;

  constructor(
    source: fleetStore.Watchable<configuration.Configuration>,
    private readonly config: configHolder.ConfigHolder,
  ) {
    super(source);
  }

  protected take(value: configuration.Configuration | null): void {
    if (value !== null) this.config.offer(value, { origin: 'store', name: 'store' });
  }
}

export class RolloutsSubject extends Subject<phases.RolloutRecord[]> {
  readonly name = 'rollouts';

  protected readonly waitMs = ROLLOUTS_WAIT_MS;

  constructor(
    source: fleetStore.Watchable<phases.RolloutRecord[]>,
    private readonly board: rolloutBoard.RolloutBoard,
  ) {
    super(source);
  }

  protected take(value: phases.RolloutRecord[] | null): void {
    for (const record of value ?? []) this.board.learn(record);
    this.board.setKnown();
  }
}

export interface StoreWatcherOptions {
  table: members.MemberTable;
  /** Nodes of the own failure domain in reach, in the order in which they watch the store. */
  watchers: () => readonly members.Member[];
  log: observability.DecisionLog;
  nowMs: () => number;
}

export class StoreWatcher {
  private readonly loops: AbortController[] = [];

  private watching = false;

  private readonly heardAt = new Map<ids.NodeId, number>();

  private contactAtMs = -Infinity;

  constructor(
    private readonly subjects: readonly Subject<unknown>[],
    private readonly options: StoreWatcherOptions,
  ) {}

  /** Whether this node watches and its watch is answered. */
  get inContact(): boolean {
    return this.watching && this.options.nowMs() - this.contactAtMs < CONTACT_LIMIT_MS;
  }

  /** Another node says that it watches and is in contact with the store. */
  hearBeacon(node: ids.NodeId): void {
    this.heardAt.set(node, this.options.nowMs());
  }

  /** Decides whether this node watches; called often. */
  review(): void {
    const wanted = !this.hasWatcherAhead();
    if (wanted === this.watching) return;
    this.watching = wanted;
    this.options.log.belief(
      'store',
      wanted ? 'this node watches the store' : 'another node watches',
      {
        domain: this.options.table.self.domain,
      },
    );
    if (wanted) this.start();
    else this.stop();
  }

  stop(): void {
    for (const loop of this.loops.splice(0)) loop.abort();
    this.watching = false;
  }

  /** A node of the same failure domain that ranks ahead and was heard of lately. */
  private hasWatcherAhead(): boolean {
    const { table, watchers } = this.options;
    const now = this.options.nowMs();
    for (const { node } of watchers()) {
      if (node === table.self.node) return false;
      if (now - this.firstMet(node, now) < TAKE_OVER_AFTER_MS) return true;
    }
    return false;
  }

  /** Last beacon of a node; one that has just come into reach has that long for its first. */
  private firstMet(node: ids.NodeId, nowMs: number): number {
    const heard = this.heardAt.get(node);
    if (heard !== undefined) return heard;
    this.heardAt.set(node, nowMs);
    return nowMs;
  }

  private start(): void {
    for (const subject of this.subjects) {
      const controller = new AbortController();
      this.loops.push(controller);
      void this.follow(subject, controller.signal);
    }
  }

  private async follow(subject: Subject<unknown>, signal: AbortSignal): Promise<void> {
    const delays = new backoff.Backoff({ initialMs: RETRY_INITIAL_MS, maxMs: RETRY_MAX_MS });
    let cursor: fleetStore.Cursor | null = null;
    let lost = false;
    while (!signal.aborted) {
      try {
        cursor = await subject.advance(cursor, signal);
        if (signal.aborted) return;
        this.contactAtMs = this.options.nowMs();
        delays.reset();
        if (lost)
          this.options.log.belief('store', 'the store answers again', { subject: subject.name });
        lost = false;
      } catch (err) {
        if (signal.aborted) return;
        const failure = failures.of(err);
        // A store that dropped its history may cut a watch and then answer from the old place with nothing.
        cursor = null;
        if (!lost)
          this.options.log.belief('store', 'the store was lost', {
            subject: subject.name,
            failure,
          });
        lost = true;
        await backoff.sleep(delays.nextMs(), signal);
      }
    }
  }
}
