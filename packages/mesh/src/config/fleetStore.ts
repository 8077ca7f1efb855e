/** Interface of the durable store that all nodes share. Each platform provides an adapter. */

import type { ids } from '@godwittrack/core';
import type * as configuration from './configuration.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as members from '../membership/members.js';
import type * as phases from '../rollouts/phases.js';
import type * as storeEra from './storeEra.js';
import type * as storePosition from './storePosition.js';

/** Position in the store up to which a resource was read; watches continue from there. */
export type Cursor = storePosition.StorePosition;

export interface ReadResult<T> {
  cursor: Cursor;
  /** Null if the store has no value, or none that can be decoded. */
  value: T | null;
}

/** Which connection a call uses: one that may be open already, or a new one, which has not gone silent. */
export type ConnectionChoice = 'any' | 'new';

/** A resource in the store that can be read and watched. Fails with the same errors as `FleetStore`. */
export abstract class Watchable<T> {
  /** @param connection `any` by default */
  abstract read(signal: AbortSignal, connection?: ConnectionChoice): Promise<ReadResult<T>>;

  /**
   * Waits up to `waitMs` for a change after `cursor`; the value is null if there was none. Fails with
   * `watchExpired` if the store has lost the history since `cursor` or is of another era.
   */
  abstract watch(cursor: Cursor, waitMs: number, signal: AbortSignal): Promise<ReadResult<T>>;
}

/**
 * Calls fail with `platformUnavailable`, `platformOverloaded`, `watchExpired` or `storeEraOutdated`. The
 * adapter logs objects that cannot be decoded and leaves them out.
 */
export abstract class FleetStore {
  /** The adapter reports the era of each answer here, and fails answers of older eras. */
  abstract readonly era: storeEra.StoreEra;

  abstract readonly configuration: Watchable<configuration.Configuration>;

  abstract readonly rollouts: Watchable<phases.RolloutRecord[]>;

  /** Evacuated failure domains; an entry counts whether or not its contents can be read. */
  abstract readonly evacuations: Watchable<evacuationTable.EntryChange[]>;

  /**
   * Records the phase of a rollout, unless the stored rollout has changed since it was read.
   * @returns the position of the write; null on a concurrent write, or if the store was restored from a
   *   copy since the rollout was read. Read the rollout again in these cases.
   */
  abstract recordRollout(
    record: phases.RolloutRecord,
    outcome: phases.RecordedPhase,
  ): Promise<storePosition.StorePosition | null>;

  abstract registerNode(address: members.NodeAddress): Promise<void>;

  abstract listNodes(): Promise<members.NodeAddress[]>;

  abstract unregisterNode(address: members.NodeAddress): Promise<void>;

  /** Incarnations of the upstream beside the node that have left, as recorded last; empty if there is no record. */
  abstract readDepartures(node: ids.NodeId): Promise<members.Incarnation[]>;

  /** Replaces the record of the node. It outlasts the entry of the node, which is removed when it stops. */
  abstract recordDepartures(
    node: ids.NodeId,
    departures: readonly members.Incarnation[],
  ): Promise<void>;

  /** Closes the connections that are open; calls that wait on them fail with `platformUnavailable`. */
  abstract dropConnections(): void;
}
