/**
 * Positions in the store's history. A store that is restored from a copy gives out revisions again, so
 * revisions are comparable only within an era.
 */

import type { ids } from '@godwittrack/core';

export interface StorePosition {
  era: ids.StoreEra;
  /** Revision within the era. */
  revision: number;
}

/** Negative if `a` is the earlier position, positive if `b` is, 0 if they are the same. */
export function compare(a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision;
}
