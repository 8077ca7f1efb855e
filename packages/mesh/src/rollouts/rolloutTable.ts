/**
 * Rollout states known to this node, and the versions of a service that it may send requests to. The phases of
 * an order only advance, so states from the store and from other nodes can be merged in any order.
 */

import { ids } from '@godwittrack/core';
import type * as propagation from '../config/propagation.js';
import * as storePosition from '../config/storePosition.js';
import type * as observability from '../observability/decisionLog.js';
import * as phases from './phases.js';

/** @param isRepeated whether only the order was read again, from a restored store */
type Listener = (
  state: phases.RolloutState,
  origin: propagation.Origin,
  isRepeated: boolean,
) => void;

export interface RolloutEntry {
  state: phases.RolloutState;
  /** Number of the order on this node; changes when the version is ordered again. */
  number: number;
  /** Monotonic time of the order, or the earliest at which a node is known to have heard of it. */
  orderedAtMs: number;
  /** Whether an order of another version came later; one that only a restored store gives again does not. */
  isReplaced: boolean;
}

export interface TrafficSplit {
  /** Target of the newest rollout; null if there is none. */
  target: ids.VersionName | null;
  /** Share of requests to send to the target. */
  share: number;
}

/** Position of a version whose order is not known to this node. */
const BEFORE_ANY_ORDER: storePosition.StorePosition = { era: ids.storeEra(0), revision: 0 };

export class RolloutTable {
  private readonly rollouts = new Map<string, RolloutEntry>();

  /** Looked up several times a request. */
  private readonly newestByService = new Map<string, RolloutEntry>();

  private readonly listeners: Listener[] = [];

  private readonly orderListeners: ((service: ids.ServiceName) => void)[] = [];

  private orderCount = 0;

  private synced = false;

  constructor(
    private readonly log: observability.DecisionLog,
    private readonly nowMs: () => number,
    /** Whether versions of the service for which `includes` is true have upstreams that accept requests. */
    private readonly hasUpstreams: (
      service: ids.ServiceName,
      includes: (version: ids.VersionName) => boolean,
    ) => boolean = () => false,
  ) {}

  /** Whether the full list of rollouts was received, from the store or from another node. */
  get isSynced(): boolean {
    return this.synced;
  }

  /** Called once the full list of current rollouts has been merged. */
  markSynced(): void {
    this.synced = true;
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Calls the listener for each new order of a service, before its first phase is told. */
  onOrder(listener: (service: ids.ServiceName) => void): void {
    this.orderListeners.push(listener);
  }

  states(): phases.RolloutState[] {
    return [...this.rollouts.values()].map((entry) => this.withAge(entry));
  }

  /** The newest rollout of a service. */
  newest(service: string): RolloutEntry | null {
    return this.newestByService.get(service) ?? null;
  }

  /** Applies a rollout as read from the store. */
  applyRecord(record: phases.RolloutRecord): void {
    this.applyReplaced(record);
    const { service, target, durationMs, recorded, position: orderPosition } = record;
    const isStale = this.isStale(record);
    const isOpen = isStale || recorded === null || recorded === 'running';
    const phase: phases.Phase = isOpen ? 'held' : recorded;
    const orderedAt = isStale ? orderPosition : this.orderedAtOf(record);
    const order = { service, target, durationMs, orderedAt, orderPosition };
    const unproved = this.unprovedBefore(record);
    const onTrial = !isStale && (recorded === 'running' || recorded === 'rolledBack');
    const state = { ...order, phase, unproved, onTrial, reason: null, ageMs: 0 };
    this.apply(this.isInUse(state) ? { ...state, phase: 'completed' } : state, 'store');
  }

  /** Takes over the end of the order before, which this node, or those that it tells, may not have heard of. */
  private applyReplaced({ service, replaced }: phases.RolloutRecord): void {
    if (replaced === undefined || replaced.phase === 'running') return;
    const { target, phase, unproved, order } = replaced;
    const known = this.rollouts.get(phases.rolloutKey(service, target));
    const end = { phase, unproved, onTrial: true, reason: null };
    if (order !== undefined) {
      const { orderedAt } = order;
      const state = { service, target, ...order, orderPosition: orderedAt, ageMs: 0, ...end };
      this.apply(state, 'store');
    } else if (known !== undefined) {
      this.apply({ ...this.withAge(known), ...end }, 'store');
    }
  }

  /** Whether the recorded phase is of an order that another one has replaced, which this node has seen. */
  private isStale({ service, target, position, orderedAt }: phases.RolloutRecord): boolean {
    const newest = this.newest(service)?.state;
    if (orderedAt === undefined || newest === undefined || newest.target === target) return false;
    // A restored store may hold an order from before the newest one, with its phase.
    if (newest.orderPosition.era !== position.era) return false;
    return storePosition.compare(newest.orderedAt, orderedAt) > 0;
  }

  /** Versions that are unproved at the order, by the record and by what this node knows of the order before. */
  private unprovedBefore(record: phases.RolloutRecord): ids.VersionName[] {
    const { service, target, unproved = [], replaced } = record;
    const versions = new Set(unproved);
    if (replaced !== undefined && replaced.phase !== 'completed') {
      for (const version of [...replaced.unproved, replaced.target]) versions.add(version);
    }
    const newest = this.newest(service)?.state;
    const isBefore =
      newest !== undefined && storePosition.compare(newest.orderPosition, record.position) < 0;
    // What the store holds of that order is newer.
    const isKnown = newest?.target === (replaced?.target ?? target);
    if (isBefore && !isKnown && newest.phase !== 'completed') {
      for (const version of newest.unproved) versions.add(version);
      if (phases.isTrial(newest)) versions.add(newest.target);
    }
    versions.delete(target);
    return [...versions];
  }

  /** Whether an order goes back to the version that was completed last, which has the requests. */
  private isInUse({ service, target, unproved, orderedAt }: phases.RolloutState): boolean {
    const known = this.rollouts.get(phases.rolloutKey(service, target))?.state;
    if (known?.phase !== 'completed' || unproved.length === 0) return false;
    if (storePosition.compare(orderedAt, known.orderedAt) <= 0) return false;
    return ![...this.rollouts.values()].some(
      ({ state }) =>
        state.service === service && state.phase === 'completed' && isLaterOrder(state, known),
    );
  }

  merge(states: readonly phases.RolloutState[], origin: propagation.Origin): void {
    for (const state of states) this.apply(state, origin);
  }

  /** Moves a rollout to a later phase; earlier phases are ignored. */
  advance(
    service: ids.ServiceName,
    target: ids.VersionName,
    phase: phases.Phase,
    reason: string | null,
  ): void {
    const entry = this.rollouts.get(phases.rolloutKey(service, target));
    if (entry !== undefined) this.apply({ ...entry.state, phase, reason }, 'self');
  }

  /** Ends the trial of a version that was in use before any order, or that an order goes back to. */
  keepInUse(service: ids.ServiceName, target: ids.VersionName): void {
    const phase = 'completed' as const;
    if (this.rollouts.has(phases.rolloutKey(service, target))) {
      this.advance(service, target, phase, null);
      return;
    }
    const order = { service, target, durationMs: 0, unproved: [], onTrial: false };
    const position = { orderedAt: BEFORE_ANY_ORDER, orderPosition: BEFORE_ANY_ORDER };
    this.apply({ ...order, ...position, phase, reason: null, ageMs: 0 }, 'self');
  }

  /** False for versions that were rolled back, or whose order was replaced before they were completed. */
  mayServe(service: string, version: string): boolean {
    const entry = this.rollouts.get(phases.rolloutKey(service, version));
    const newest = this.newest(service);
    if (entry?.state.phase === 'rolledBack') return false;
    if (entry === newest || entry?.state.phase === 'completed') return true;
    if (entry !== undefined && phases.isTrial(entry.state)) return false;
    const unproved: readonly string[] = newest?.state.unproved ?? [];
    return !unproved.includes(version);
  }

  isRolledBack(service: string, version: string): boolean {
    return this.rollouts.get(phases.rolloutKey(service, version))?.state.phase === 'rolledBack';
  }

  /** Whether a rollout to the version is still in progress. */
  isRollingOut(service: string, version: string): boolean {
    const entry = this.rollouts.get(phases.rolloutKey(service, version));
    return entry !== undefined && !phases.isFinal(entry.state.phase);
  }

  /** Whether requests to the version are limited: its rollout goes on and its deadline has not passed. */
  isExposureBounded(service: string, version: string): boolean {
    const entry = this.rollouts.get(phases.rolloutKey(service, version));
    if (entry === undefined || phases.isFinal(entry.state.phase)) return false;
    return this.nowMs() - entry.orderedAtMs < entry.state.durationMs;
  }

  /** Part of the ordered time of an open rollout that has passed, in [0, 1]; 0 if there is none. */
  elapsedShare(service: string, version: string): number {
    const entry = this.rollouts.get(phases.rolloutKey(service, version));
    if (entry === undefined || phases.isFinal(entry.state.phase)) return 0;
    return Math.min(1, (this.nowMs() - entry.orderedAtMs) / entry.state.durationMs);
  }

  trafficSplit(service: string): TrafficSplit {
    const newest = this.newest(service);
    if (newest === null) return { target: null, share: 0 };
    return { target: newest.state.target, share: phases.TARGET_SHARE[newest.state.phase] };
  }

  /** The recorded phase may lack its order, be unreadable, or be missing since the order was not seen before. */
  private orderedAtOf(record: phases.RolloutRecord): storePosition.StorePosition {
    const { target, durationMs, recorded, position, orderedAt, createdRevision = 0 } = record;
    if (orderedAt !== undefined) return orderedAt;
    const newest = this.newest(record.service)?.state;
    if (newest?.target !== target || record.replaced !== undefined) return position;
    if (recorded !== null) return newest.orderedAt;
    if (position.era !== newest.orderedAt.era) return position;
    const isSameObject = createdRevision <= newest.orderedAt.revision;
    const isSame = isSameObject && durationMs === newest.durationMs;
    // To move to a version that has all requests changes nothing.
    return isSame || newest.phase === 'completed' ? newest.orderedAt : position;
  }

  private apply(next: phases.RolloutState, origin: propagation.Origin): void {
    const entry = this.rollouts.get(phases.rolloutKey(next.service, next.target));
    if (entry === undefined || this.isNewOrder(next, entry)) {
      this.begin(next, origin);
      return;
    }
    const { state: current } = entry;
    // A state of an earlier order of the version.
    if (storePosition.compare(next.orderedAt, current.orderedAt) < 0) return;
    entry.orderedAtMs = Math.min(entry.orderedAtMs, this.nowMs() - next.ageMs);
    const phase = mergePhases(current.phase, next.phase, origin === 'store');
    const isNewPhase = phase !== current.phase;
    const isLater = isLaterOrder(next, current);
    const newestBefore = this.newest(next.service);
    entry.state = {
      ...current,
      phase,
      reason: isNewPhase ? next.reason : current.reason,
      unproved: [...new Set([...current.unproved, ...next.unproved])],
      onTrial: current.onTrial || next.onTrial,
      orderedAt: next.orderedAt,
      orderPosition: isLater ? next.orderPosition : current.orderPosition,
    };
    this.updateNewest(next.service);
    if (isNewPhase || this.newest(next.service) !== newestBefore) this.notify(entry, origin, false);
    // The node that leads the rollout records the phase again, and need not watch the store itself.
    else if (next.orderPosition.era > current.orderPosition.era) this.notify(entry, origin, true);
  }

  /** Whether the version is ordered again. An order that a restored store gives again is not a new one. */
  private isNewOrder(next: phases.RolloutState, { state, isReplaced }: RolloutEntry): boolean {
    if (storePosition.compare(next.orderedAt, state.orderedAt) <= 0) return false;
    if (isReplaced || next.orderedAt.era === state.orderedAt.era) return true;
    return state.phase !== 'completed' && next.durationMs !== state.durationMs;
  }

  private begin(state: phases.RolloutState, origin: propagation.Origin): void {
    this.orderCount += 1;
    const key = phases.rolloutKey(state.service, state.target);
    const others = [...this.rollouts.values()].filter(
      (each) => each.state.service === state.service && each.state.target !== state.target,
    );
    for (const each of others) each.isReplaced ||= isLaterOrder(state, each.state);
    const entry = {
      state: { ...state },
      number: this.orderCount,
      orderedAtMs: this.nowMs() - state.ageMs,
      isReplaced: others.some((each) => isLaterOrder(each.state, state)),
    };
    this.rollouts.set(key, entry);
    this.updateNewest(state.service);
    if (!entry.isReplaced) entry.state.onTrial ||= this.hasOthers(state);
    for (const listener of this.orderListeners) listener(state.service);
    this.notify(entry, origin, false);
  }

  private updateNewest(service: string): void {
    let newest: RolloutEntry | null = null;
    for (const entry of this.rollouts.values()) {
      const isOfService = entry.state.service === service;
      if (isOfService && (newest === null || isLaterOrder(entry.state, newest.state)))
        newest = entry;
    }
    if (newest !== null) this.newestByService.set(service, newest);
  }

  /** Whether upstreams of another version of the service may serve. */
  private hasOthers({ service, target }: phases.RolloutState): boolean {
    const includes = (version: ids.VersionName) =>
      version !== target && this.mayServe(service, version);
    return this.hasUpstreams(service, includes);
  }

  private withAge({ state, orderedAtMs }: RolloutEntry): phases.RolloutState {
    return { ...state, ageMs: Math.round(this.nowMs() - orderedAtMs) };
  }

  private notify(entry: RolloutEntry, origin: propagation.Origin, isRepeated: boolean): void {
    const state = this.withAge(entry);
    const message = isRepeated ? 'a rollout was read again' : 'a rollout has a new phase';
    this.log.info('rollouts', message, { ...state, origin });
    for (const listener of this.listeners) listener(state, origin, isRepeated);
  }
}

function isLaterOrder(a: phases.RolloutState, b: phases.RolloutState): boolean {
  return storePosition.compare(a.orderPosition, b.orderPosition) > 0;
}

/** Keeps a final phase, except that a final phase from the store replaces one that nodes decided. */
function mergePhases(current: phases.Phase, next: phases.Phase, fromStore: boolean): phases.Phase {
  if (phases.isFinal(current)) return fromStore && phases.isFinal(next) ? next : current;
  return phases.laterPhase(current, next);
}
