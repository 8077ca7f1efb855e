/** What the mesh needs from the store that outlives all nodes. Filled by a platform's adapter. */

import type * as configuration from './configuration.js';
import type * as members from '../membership/members.js';
import type * as phases from '../rollouts/phases.js';

/** Place in the store's history up to which something was read. */
export type Cursor = number;

export interface Reading<T> {
  cursor: Cursor;
  /** Null if the store holds none, or none that can be read. */
  value: T | null;
}

/** One thing in the store that can be read and waited on. Calls fail as those of the store do. */
export abstract class Watchable<T> {
  abstract read(signal: AbortSignal): Promise<Reading<T>>;

  /** Waits for a change after `cursor`, at most `waitMs`; the value is null if there was none. */
  abstract watch(cursor: Cursor, waitMs: number, signal: AbortSignal): Promise<Reading<T>>;
}

/**
 * Calls fail with `platformUnavailable`, `platformOverloaded` or `watchExpired`. What cannot be
 * decoded is logged by the adapter and left out.
 */
export abstract class FleetStore {
  abstract readonly configuration: Watchable<configuration.Configuration>;

  abstract readonly rollouts: Watchable<phases.RolloutRecord[]>;

  /**
   * Records how a rollout stands, if the store still holds the same order.
   * @returns false if another writer was faster; read again then
   */
  abstract recordRollout(
    record: phases.RolloutRecord,
    outcome: phases.RecordedPhase,
  ): Promise<boolean>;

  abstract registerNode(address: members.NodeAddress): Promise<void>;

  abstract listNodes(): Promise<members.NodeAddress[]>;

  abstract unregisterNode(address: members.NodeAddress): Promise<void>;
}
