/** Stand-in of the store for tests of one node. */

import { backoff, failures, ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as configuration from '../../config/configuration.js';
import type * as evacuationTable from '../../evacuations/evacuationTable.js';
import * as fleetStore from '../../config/fleetStore.js';
import * as storeEra from '../../config/storeEra.js';
import type * as storePosition from '../../config/storePosition.js';
import type * as members from '../../membership/members.js';
import type * as phases from '../../rollouts/phases.js';

const POSITION = { era: ids.storeEra(0), revision: 1 };

class ConstantResource<T> extends fleetStore.Watchable<T> {
  constructor(private readonly value: T) {
    super();
  }

  read(): Promise<fleetStore.ReadResult<T>> {
    return Promise.resolve({ cursor: POSITION, value: this.value });
  }

  async watch(
    cursor: fleetStore.Cursor,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<fleetStore.ReadResult<T>> {
    await backoff.sleep(waitMs, signal);
    return { cursor, value: null };
  }
}

/** A store whose objects do not change, and that records what is written. */
export class ConstantStore extends fleetStore.FleetStore {
  readonly era = new storeEra.StoreEra(fixtures.silentLog());

  readonly configuration = new ConstantResource<configuration.Configuration>(
    fixtures.configurationOf(1, [
      fixtures.route('r', { timeoutMs: 30_000, targetLatencyMs: 30_000 }),
    ]),
  );

  readonly rollouts = new ConstantResource<phases.RolloutRecord[]>([]);

  readonly evacuations = new ConstantResource<evacuationTable.EntryChange[]>([]);

  recordRollout(): Promise<storePosition.StorePosition> {
    return Promise.resolve(POSITION);
  }

  /** Whether the entry of a node cannot be written. */
  isDown = false;

  readonly writes: ('registered' | 'refused' | 'unregistered')[] = [];

  /** Nodes that have an entry. */
  nodes: members.NodeAddress[] = [];

  registerNode(): Promise<void> {
    this.writes.push(this.isDown ? 'refused' : 'registered');
    if (!this.isDown) return Promise.resolve();
    const failure = { type: 'platformUnavailable', operation: 'POST', detail: 'down' } as const;
    return Promise.reject(failures.toError(failure));
  }

  listNodes(): Promise<members.NodeAddress[]> {
    return Promise.resolve(this.nodes);
  }

  unregisterNode(): Promise<void> {
    this.writes.push('unregistered');
    return Promise.resolve();
  }

  readDepartures(): Promise<members.Incarnation[]> {
    return Promise.resolve([]);
  }

  recordDepartures(): Promise<void> {
    return Promise.resolve();
  }

  dropConnections(): void {}
}
