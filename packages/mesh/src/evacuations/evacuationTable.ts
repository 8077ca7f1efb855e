/**
 * Failure domains that operators have evacuated, with the position in the store at which the set was read. A
 * set with a later position replaces the earlier one as a whole, so sets of the store and of other nodes can
 * be merged in any order. After a restore of the store, missing failure domains stay evacuated for a while.
 */

import type { ids } from '@godwittrack/core';
import type * as propagation from '../config/propagation.js';
import * as storePosition from '../config/storePosition.js';
import type * as observability from '../observability/decisionLog.js';

/**
 * Time for which a failure domain stays evacuated that the first list of a new era lacks. A restored store has
 * lost the operators' latest entries, which are written again within this time.
 */
export const HOLD_MS = 5_000;

/** A failure domain that is still evacuated although the set of the current era lacks it. */
export interface HeldDomain {
  domain: ids.DomainName;
  leftMs: number;
}

/** What nodes tell each other of the evacuations. */
export interface EvacuationSet {
  position: storePosition.StorePosition;
  domains: readonly ids.DomainName[];
  held: readonly HeldDomain[];
}

/** Change of an operator's entry; a read yields one for each entry. */
export interface EntryChange {
  domain: ids.DomainName;
  /** False if the entry was deleted. */
  isEvacuated: boolean;
}

/** Failure domains by which the set in force has changed. */
export interface EvacuationChange {
  added: readonly ids.DomainName[];
  removed: readonly ids.DomainName[];
}

export interface EvacuationTableOptions {
  /** Whether the deployment uses evacuations; if not, the table stays empty and counts as synced. */
  isEnabled: boolean;
  log: observability.DecisionLog;
  nowMs: () => number;
}

interface KnownSet {
  position: storePosition.StorePosition;
  domains: ReadonlySet<ids.DomainName>;
}

type ChangeListener = (change: EvacuationChange) => void;
type UpdateListener = (set: EvacuationSet, origin: propagation.Origin) => void;

export class EvacuationTable {
  private known: KnownSet | null = null;

  /** Monotonic time at which the first set of the current era was applied. */
  private eraSinceMs = 0;

  /**
   * Monotonic end of the hold of each failure domain that was missing after the last rise of the era. Kept
   * after its end, since another node may tell of the same hold again. -Infinity for those that need none.
   */
  private readonly heldUntilMs = new Map<ids.DomainName, number>();

  /** The set in force, including held failure domains. */
  private inForce: ReadonlySet<ids.DomainName> = new Set();

  /** Evacuated failure domains that have not been compared with the known ones yet. */
  private unchecked: readonly ids.DomainName[] = [];

  private readonly changeListeners: ChangeListener[] = [];

  private readonly updateListeners: UpdateListener[] = [];

  constructor(private readonly options: EvacuationTableOptions) {}

  /** Whether a complete set was received, or none is needed. */
  get isSynced(): boolean {
    return !this.options.isEnabled || this.known !== null;
  }

  /** Number of evacuated failure domains. */
  get size(): number {
    return this.inForce.size;
  }

  isEvacuated(domain: ids.DomainName): boolean {
    return this.inForce.size > 0 && this.inForce.has(domain);
  }

  /** Adds a listener that is called when failure domains are evacuated or returned to service. */
  onChange(listener: ChangeListener): void {
    this.changeListeners.push(listener);
  }

  /** Adds a listener that is called with sets that other nodes may lack; not for a new position alone. */
  onUpdate(listener: UpdateListener): void {
    this.updateListeners.push(listener);
  }

  /** The set for other nodes; null before one was received. */
  shared(): EvacuationSet | null {
    if (this.known === null) return null;
    const { position, domains } = this.known;
    const now = this.options.nowMs();
    const held = [...this.heldUntilMs]
      .filter(([, untilMs]) => untilMs > now)
      .map(([domain, untilMs]) => ({ domain, leftMs: Math.ceil(untilMs - now) }));
    return { position, domains: [...domains], held };
  }

  /** Applies the set as read from the store. */
  applyStored(position: storePosition.StorePosition, domains: Iterable<ids.DomainName>): void {
    this.apply({ position, domains: [...domains], held: [] }, 'store');
  }

  /** Applies the set of another node. */
  merge(set: EvacuationSet, origin: propagation.Origin): void {
    this.apply(set, origin);
  }

  /** Ends the holds that are over; called several times a second. */
  review(): void {
    if (this.known !== null && this.inForce.size > this.known.domains.size) this.refresh('self');
  }

  /**
   * Logs evacuated failure domains that no known node belongs to, once for each evacuation. Called when the
   * nodes are known.
   */
  warnOfUnknown(knownDomains: () => ReadonlySet<ids.DomainName>): void {
    if (this.unchecked.length === 0) return;
    const known = knownDomains();
    for (const domain of this.unchecked) {
      if (!known.has(domain)) {
        this.options.log.warn('evacuations', 'an evacuated failure domain has no known node', {
          domain,
        });
      }
    }
    this.unchecked = [];
  }

  private apply(set: EvacuationSet, origin: propagation.Origin): void {
    if (!this.options.isEnabled) return;
    const previous = this.known;
    if (previous !== null && !replaces(set.position, previous.position, origin)) {
      this.mergeHolds(set, previous.position.era);
      this.refresh(origin);
      return;
    }
    const domains = new Set(set.domains);
    this.known = { position: set.position, domains };
    const isNewEra = previous !== null && set.position.era > previous.position.era;
    if (previous === null || isNewEra) this.eraSinceMs = this.options.nowMs();
    const missing = isNewEra ? [...this.inForce] : [];
    if (isNewEra) this.heldUntilMs.clear();
    this.mergeHolds(set, set.position.era);
    for (const domain of missing) this.hold(domain, this.holdEndMs);
    // An entry of the current era ends a hold for good, also if it is deleted again.
    for (const domain of domains) this.heldUntilMs.set(domain, -Infinity);
    this.refresh(origin);
    if (isSameSet(domains, previous?.domains)) return;
    const shared = this.shared()!;
    for (const listener of this.updateListeners) listener(shared, origin);
  }

  /** Takes over holds of the current era, and holds what an earlier era had. */
  private mergeHolds({ position, domains, held }: EvacuationSet, era: ids.StoreEra): void {
    const now = this.options.nowMs();
    if (position.era === era) {
      for (const { domain, leftMs } of held) this.hold(domain, now + Math.min(HOLD_MS, leftMs));
    } else if (position.era < era && now < this.holdEndMs) {
      for (const domain of domains) this.hold(domain, this.holdEndMs);
    }
  }

  /** Ends of holds of the current era, unless another node has told an earlier one. */
  private get holdEndMs(): number {
    return this.eraSinceMs + HOLD_MS;
  }

  /** Does not move the end of a hold, so that nodes cannot prolong it among themselves. */
  private hold(domain: ids.DomainName, untilMs: number): void {
    if (!this.heldUntilMs.has(domain)) this.heldUntilMs.set(domain, untilMs);
  }

  /** Recomputes the set in force, and reports how it has changed. */
  private refresh(origin: propagation.Origin): void {
    const { log, nowMs } = this.options;
    const now = nowMs();
    const held = [...this.heldUntilMs].filter(([, untilMs]) => untilMs > now);
    const previous = this.inForce;
    const inForce = new Set([...this.known!.domains, ...held.map(([domain]) => domain)]);
    const added = [...inForce].filter((domain) => !previous.has(domain));
    const removed = [...previous].filter((domain) => !inForce.has(domain));
    if (added.length === 0 && removed.length === 0) return;
    this.inForce = inForce;
    this.unchecked = [...this.unchecked.filter((domain) => inForce.has(domain)), ...added];
    log.info('evacuations', 'evacuated failure domains changed', {
      added,
      removed,
      evacuated: [...inForce],
      position: this.known!.position,
      origin,
    });
    for (const listener of this.changeListeners) listener({ added, removed });
  }
}

/** A list read from the store replaces a set of the same position, which may lack a change that was lost. */
function replaces(
  next: storePosition.StorePosition,
  current: storePosition.StorePosition,
  origin: propagation.Origin,
): boolean {
  const order = storePosition.compare(next, current);
  return order > 0 || (order === 0 && origin === 'store');
}

function isSameSet(
  a: ReadonlySet<ids.DomainName>,
  b: ReadonlySet<ids.DomainName> = new Set(),
): boolean {
  return a.size === b.size && [...a].every((domain) => b.has(domain));
}
