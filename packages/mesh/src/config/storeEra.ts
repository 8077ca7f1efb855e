/**
 * Newest era of the store that this node knows of. The era rises when the store is restored from a copy:
 * what was written since the copy is gone, and what was read may no longer hold. Most nodes do not watch
 * the store, so nodes also tell each other the era.
 */

import type { ids } from '@godwittrack/core';
import type * as observability from '../observability/decisionLog.js';
import type * as configHolder from './configHolder.js';

type Listener = (source: configHolder.Source) => void;

export class StoreEra {
  private newest: ids.StoreEra | null = null;

  private readonly listeners: Listener[] = [];

  constructor(private readonly log: observability.DecisionLog) {}

  /** Null until the store has answered or another node has told its era. */
  get current(): ids.StoreEra | null {
    return this.newest;
  }

  /** Adds a listener that is called once for each rise; the first known era is not a rise. */
  onRise(listener: Listener): void {
    this.listeners.push(listener);
  }

  /**
   * Records the era of an answer of the store, or one that another node has told.
   * @returns false if a newer era is known; an answer of the store must not be applied then
   */
  observe(era: ids.StoreEra, source: configHolder.Source): boolean {
    const previous = this.newest;
    if (previous !== null && era <= previous) return era === previous;
    this.newest = era;
    if (previous === null) return true;
    this.log.info('store', 'store was restored from a copy', {
      era,
      previousEra: previous,
      source: source.name,
    });
    for (const listener of this.listeners) listener(source);
    return true;
  }
}
