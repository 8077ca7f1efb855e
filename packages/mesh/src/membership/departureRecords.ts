/**
 * Records in the store which incarnations of the upstream on this host have left, so that a late announcement
 * does not bring one back after all nodes have restarted.
 */

import { backoff, failures, type ids } from '@godwittrack/core';
import type * as fleetStore from '../config/fleetStore.js';
import type * as observability from '../observability/decisionLog.js';
import type * as localUpstream from './localUpstream.js';

/** Time for which an acknowledgement waits for the store; the upstream expects it within 1 s. */
const MAX_ACKNOWLEDGEMENT_DELAY_MS = 500;
const RETRY_INITIAL_MS = 50;
const RETRY_MAX_MS = 1_000;

export interface DepartureRecordsOptions {
  node: ids.NodeId;
  store: fleetStore.FleetStore;
  upstream: localUpstream.LocalUpstream;
  log: observability.DecisionLog;
}

export class DepartureRecords {
  /** Departures that the store holds, as JSON; null until they were read. */
  private stored: string | null = null;

  /** The read or write that is under way, with its repetitions. */
  private synchronizing: Promise<void> | null = null;

  private readonly stopped = new AbortController();

  constructor(private readonly options: DepartureRecordsOptions) {
    options.upstream.awaitDepartures();
    options.upstream.onDeparture(() => this.synchronize());
  }

  /** Reads the departures from before a restart of this node. Until then, announcements are held. */
  start(): void {
    this.synchronize();
  }

  stop(): void {
    this.stopped.abort();
  }

  /** To be called when the store was restored from a copy, which may lack the last departures. */
  recordAgain(): void {
    if (this.stored === null) return;
    this.stored = '[]';
    this.synchronize();
  }

  /** Resolves when all departures are recorded, or when an acknowledgement must not wait any longer. */
  async recorded(): Promise<void> {
    if (this.synchronizing === null) return;
    const timeout = new AbortController();
    const waited = backoff.sleep(MAX_ACKNOWLEDGEMENT_DELAY_MS, timeout.signal);
    await Promise.race([this.synchronizing, waited]);
    timeout.abort();
  }

  private synchronize(): void {
    if (this.isUpToDate || this.synchronizing !== null) return;
    if (this.stopped.signal.aborted) return;
    this.synchronizing = this.synchronizeUntilDone().finally(() => {
      this.synchronizing = null;
      // A departure may have come between the last comparison and now.
      this.synchronize();
    });
  }

  private get isUpToDate(): boolean {
    return this.stored === JSON.stringify(this.options.upstream.departures);
  }

  private async synchronizeUntilDone(): Promise<void> {
    const { node, log } = this.options;
    const { signal } = this.stopped;
    const delays = new backoff.Backoff({ initialMs: RETRY_INITIAL_MS, maxMs: RETRY_MAX_MS });
    let hasLoggedFailure = false;
    while (!signal.aborted && !this.isUpToDate) {
      try {
        await this.synchronizeOnce();
        delays.reset();
      } catch (err) {
        if (!hasLoggedFailure)
          log.info('upstream', 'failed to read or record departures; retrying', {
            node,
            failure: failures.fromError(err),
          });
        hasLoggedFailure = true;
        await backoff.sleep(delays.nextMs(), signal);
      }
    }
  }

  private async synchronizeOnce(): Promise<void> {
    const { node, store, upstream, log } = this.options;
    if (this.stored === null) {
      const departures = await store.readDepartures(node);
      this.stored = JSON.stringify(departures);
      upstream.restoreDepartures(departures);
      if (departures.length > 0) log.info('upstream', 'departures restored', { departures });
      return;
    }
    const { departures } = upstream;
    await store.recordDepartures(node, departures);
    this.stored = JSON.stringify(departures);
    log.info('upstream', 'departures recorded', { departures });
  }
}
