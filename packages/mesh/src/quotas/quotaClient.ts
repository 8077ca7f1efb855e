/**
 * Decides on a node whether a request of a customer with a quota may be dispatched: with a permit in hand at
 * once, or after the owner's reply. All methods take the time as an argument; nothing is sent from here.
 */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import * as demandRate from './demandRate.js';
import * as heldPermits from './heldPermits.js';
import type * as quotaMessages from './quotaMessages.js';

/**
 * Longest wait of a request for a permit. Covers the opening of a link to another region on a busy host, which
 * takes longer than an exchange on an open one; a refusal costs the caller more than this wait.
 */
export const MAX_WAIT_MS = 400;
/** Time without a reply after which an owner counts as out of reach. */
export const REPLY_TIMEOUT_MS = 500;
/** Permits are asked for ahead for the demand of this time. */
const AHEAD_MS = 200;
/** Lower rates would let most permits that are asked for ahead expire. */
const MIN_AHEAD_PER_SECOND = 10;
/** Permits with less time left are returned, unless they cover the demand until then. */
const RETURN_BEFORE_MS = 250;
/** Wait that is stated while there is no owner; about the time of a takeover. */
const NO_OWNER_RETRY_MS = 1_000;
/** Time for which nobody is asked after the reply that there is no owner; a handover takes about as long. */
const NO_OWNER_PAUSE_MS = 40;
/** Time from which on the lack of an owner is no handover, so that requests do not wait for one. */
const HANDOVER_MS = 300;
/** Time after which the lack of an owner counts as a new one. */
const NO_OWNER_EPISODE_MS = 1_000;
/** Time after which the state of a customer without requests is dropped. */
const FORGET_AFTER_MS = 10_000;

/** How a permit came about, for the metrics. */
export type PermitSource = 'held' | 'waited' | 'floor';

/** Null for requests that the floor admitted; they cannot be returned. */
export type UsedPermit = heldPermits.Permit | null;

export type Decision = { type: 'admitted'; source: PermitSource; permit: UsedPermit } | Refused;

export interface Refused {
  type: 'refused';
  reason: 'overQuota' | 'noQuotaOwner';
  /** Time until the next request would be within the quota, or until there may be an owner. */
  retryAfterMs: number;
}

interface Waiter {
  sinceMs: number;
  settle: (decision: Decision) => void;
}

interface CustomerState {
  held: heldPermits.HeldPermits;
  waiters: Waiter[];
  /** Permits asked for without a reply yet. */
  asked: number;
  /** Until then the owner has no more permits, or there is no owner. */
  block: { untilMs: number; isOwned: boolean };
  /** First and last reply that there is no owner, since an owner last replied. */
  noOwner: { firstMs: number; lastMs: number };
  demand: demandRate.DemandRate;
  usedMs: number;
}

interface SentRequest {
  owner: ids.NodeId;
  sentMs: number;
  wanted: Map<ids.CustomerName, number>;
  /** Whether the missing reply was reported already. */
  isOverdue: boolean;
}

export interface OutgoingRequest {
  owner: ids.NodeId;
  request: quotaMessages.QuotaRequest;
}

export interface QuotaClientOptions {
  quotaOf: (customer: ids.CustomerName) => configuration.Quota | null;
  /** The node to ask; null if none can be asked. */
  ownerOf: (customer: ids.CustomerName, nowMs: number) => ids.NodeId | null;
  floorAdmits: (customer: ids.CustomerName, quota: configuration.Quota, nowMs: number) => boolean;
  permitMs: number;
}

export class QuotaClient {
  private readonly customers = new Map<ids.CustomerName, CustomerState>();

  private readonly sent = new Map<number, SentRequest>();

  /** Customers for which permits have to be asked. */
  private readonly due = new Set<ids.CustomerName>();

  private nextId = 1;

  constructor(private readonly options: QuotaClientOptions) {}

  /** Whether `takeRequests` has something to send. */
  get hasRequests(): boolean {
    return this.due.size > 0;
  }

  /** When `expire` is due for a waiting request; null if none waits. */
  get nextDeadlineMs(): number | null {
    let first = Infinity;
    for (const { waiters, block, asked } of this.customers.values()) {
      if (waiters.length > 0) {
        first = Math.min(first, waiters[0]!.sinceMs + MAX_WAIT_MS);
        if (!block.isOwned && asked < waiters.length) first = Math.min(first, block.untilMs);
      }
    }
    return first === Infinity ? null : first;
  }

  /** @returns null if the decision follows by `settle` */
  admit(
    customer: ids.CustomerName,
    nowMs: number,
    settle: (decision: Decision) => void,
  ): Decision | null {
    const state = this.stateOf(customer, nowMs);
    state.demand.add(nowMs);
    state.usedMs = nowMs;
    const permit = state.held.take(nowMs);
    const isBlocked = nowMs < state.block.untilMs;
    const mayWait = !isBlocked || this.isHandover(state, nowMs);
    if (permit === null && !mayWait) return this.decideWithoutPermit(customer, state, nowMs);
    if (permit === null) state.waiters.push({ sinceMs: nowMs, settle });
    if (!isBlocked && this.missing(state, nowMs) > 0) this.due.add(customer);
    return permit === null ? null : { type: 'admitted', source: 'held', permit };
  }

  /** The permit of a request that has not run and will not run. */
  release(customer: ids.CustomerName, permit: UsedPermit, nowMs: number): void {
    if (permit === null || permit.expiresMs <= nowMs) return;
    const state = this.stateOf(customer, nowMs);
    state.held.add(permit, 1);
    this.settleWaiters(state, nowMs);
  }

  /** Requests to send, one to each owner. Customers without an owner are decided here. */
  takeRequests(nowMs: number): OutgoingRequest[] {
    const byOwner = new Map<ids.NodeId, Map<ids.CustomerName, number>>();
    for (const customer of this.due) {
      const state = this.stateOf(customer, nowMs);
      const wanted = this.missing(state, nowMs);
      const owner = wanted > 0 ? this.options.ownerOf(customer, nowMs) : null;
      if (wanted > 0 && owner === null) this.blockWithoutOwner(customer, state, nowMs);
      if (owner !== null) {
        if (!byOwner.has(owner)) byOwner.set(owner, new Map());
        byOwner.get(owner)!.set(customer, wanted);
      }
    }
    this.due.clear();
    return [...byOwner].map(([owner, wanted]) => this.createRequest(owner, wanted, nowMs));
  }

  /** The request could not be handed to the link; what it asked for is asked again. */
  undo(id: number): void {
    const request = this.removeSent(id);
    for (const customer of request?.wanted.keys() ?? []) this.due.add(customer);
  }

  /** @returns false if the reply came too late */
  receive({ id, grants }: quotaMessages.QuotaGrant, nowMs: number): boolean {
    const request = this.removeSent(id);
    if (request === null) return false;
    const expiresMs = request.sentMs + this.options.permitMs;
    if (expiresMs <= nowMs) return false;
    for (const grant of grants) {
      const wanted = request.wanted.get(grant.customer);
      const state = this.customers.get(grant.customer);
      if (wanted !== undefined && state !== undefined) {
        const granted = Math.min(wanted, grant.granted);
        if (grant.isOwner) state.noOwner = { firstMs: -Infinity, lastMs: -Infinity };
        state.held.add({ requestId: id, expiresMs }, granted);
        this.settleWaiters(state, nowMs);
        if (granted < wanted) this.handleShortfall(grant, state, nowMs);
      }
    }
    return true;
  }

  /**
   * Decides requests that have waited long enough, and drops what is no longer needed.
   * @returns owners that have not replied in time
   */
  expire(nowMs: number): ids.NodeId[] {
    const silent: ids.NodeId[] = [];
    for (const [id, request] of this.sent) {
      if (!request.isOverdue && nowMs - request.sentMs >= REPLY_TIMEOUT_MS) {
        request.isOverdue = true;
        silent.push(request.owner);
        // Asked again from the next owner, while a late reply still counts.
        for (const customer of request.wanted.keys()) this.reduceAsked(id, customer);
      }
      if (nowMs - request.sentMs >= this.options.permitMs) this.removeSent(id);
    }
    for (const [customer, state] of this.customers) {
      while (state.waiters.length > 0 && nowMs - state.waiters[0]!.sinceMs >= MAX_WAIT_MS) {
        state.waiters.shift()!.settle(this.decideWithoutOwner(customer, nowMs));
      }
      const isAskDue = !state.block.isOwned && nowMs >= state.block.untilMs;
      if (isAskDue && state.waiters.length > state.asked) this.due.add(customer);
      const isIdle = state.waiters.length === 0 && state.asked === 0;
      if (isIdle && nowMs - state.usedMs > FORGET_AFTER_MS) this.customers.delete(customer);
    }
    return silent;
  }

  private stateOf(customer: ids.CustomerName, nowMs: number): CustomerState {
    let state = this.customers.get(customer);
    if (state === undefined) {
      state = {
        held: new heldPermits.HeldPermits(),
        waiters: [],
        asked: 0,
        block: { untilMs: -Infinity, isOwned: true },
        noOwner: { firstMs: -Infinity, lastMs: -Infinity },
        demand: new demandRate.DemandRate(),
        usedMs: nowMs,
      };
      this.customers.set(customer, state);
    }
    return state;
  }

  /** Permits to ask for now: those that requests wait for and, once half of them is used, those ahead. */
  private missing(state: CustomerState, nowMs: number): number {
    const coming = state.held.count(nowMs) + state.asked;
    const ahead = nowMs < state.block.untilMs ? 0 : this.aheadOf(state, nowMs);
    const isDue = state.waiters.length > coming || coming - state.waiters.length < ahead / 2;
    return isDue ? Math.max(0, state.waiters.length + ahead - coming) : 0;
  }

  private aheadOf({ demand }: CustomerState, nowMs: number): number {
    const perSecond = demand.perSecond(nowMs);
    return perSecond < MIN_AHEAD_PER_SECOND ? 0 : Math.ceil((perSecond * AHEAD_MS) / 1_000);
  }

  private createRequest(
    owner: ids.NodeId,
    wanted: Map<ids.CustomerName, number>,
    nowMs: number,
  ): OutgoingRequest {
    const id = this.nextId;
    this.nextId += 1;
    this.sent.set(id, { owner, sentMs: nowMs, wanted, isOverdue: false });
    const asks = [...wanted].map(([customer, count]) => ({ customer, wanted: count }));
    for (const { customer, wanted: count } of asks) this.stateOf(customer, nowMs).asked += count;
    const returned = this.takeReturned(owner, nowMs);
    return { owner, request: { type: 'quotaRequest', id, asks, returned } };
  }

  private takeReturned(owner: ids.NodeId, nowMs: number): quotaMessages.ReturnedPermits[] {
    const returned: quotaMessages.ReturnedPermits[] = [];
    for (const [customer, state] of this.customers) {
      if (state.held.count(nowMs) > 0 && this.options.ownerOf(customer, nowMs) === owner) {
        const kept = this.aheadOf(state, nowMs);
        const expiring = state.held.takeExpiring(nowMs + RETURN_BEFORE_MS, kept, nowMs);
        const counts = new Map<number, number>();
        for (const { requestId } of expiring) {
          counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
        }
        for (const [requestId, count] of counts) returned.push({ customer, count, requestId });
      }
    }
    return returned;
  }

  private handleShortfall(grant: quotaMessages.Grant, state: CustomerState, nowMs: number): void {
    const { customer, isOwner, owner, retryAfterMs } = grant;
    if (isOwner) {
      state.block = { untilMs: nowMs + retryAfterMs, isOwned: true };
    } else if (owner !== null && this.options.ownerOf(customer, nowMs) === owner) {
      // The node that is named is asked instead.
      if (state.waiters.length > 0) this.due.add(customer);
      return;
    } else {
      this.recordNoOwner(state, nowMs);
      if (this.isHandover(state, nowMs)) return;
    }
    for (const waiter of state.waiters.splice(state.asked)) {
      waiter.settle(this.decideWithoutPermit(customer, state, nowMs));
    }
  }

  private blockWithoutOwner(customer: ids.CustomerName, state: CustomerState, nowMs: number): void {
    this.recordNoOwner(state, nowMs);
    for (const waiter of state.waiters.splice(state.asked)) {
      waiter.settle(this.decideWithoutOwner(customer, nowMs));
    }
  }

  private recordNoOwner(state: CustomerState, nowMs: number): void {
    const { firstMs, lastMs } = state.noOwner;
    const isNew = nowMs - lastMs > NO_OWNER_EPISODE_MS;
    state.noOwner = { firstMs: isNew ? nowMs : firstMs, lastMs: nowMs };
    state.block = { untilMs: nowMs + NO_OWNER_PAUSE_MS, isOwned: false };
  }

  /** Whether there is no owner since so short a time that requests wait for the next one. */
  private isHandover({ block, noOwner }: CustomerState, nowMs: number): boolean {
    return !block.isOwned && nowMs - noOwner.firstMs < HANDOVER_MS;
  }

  private settleWaiters(state: CustomerState, nowMs: number): void {
    while (state.waiters.length > 0) {
      const permit = state.held.take(nowMs);
      if (permit === null) return;
      state.waiters.shift()!.settle({ type: 'admitted', source: 'waited', permit });
    }
  }

  private decideWithoutPermit(
    customer: ids.CustomerName,
    { block }: CustomerState,
    nowMs: number,
  ): Decision {
    if (!block.isOwned) return this.decideWithoutOwner(customer, nowMs);
    const retryAfterMs = Math.max(1, block.untilMs - nowMs);
    return { type: 'refused', reason: 'overQuota', retryAfterMs };
  }

  private decideWithoutOwner(customer: ids.CustomerName, nowMs: number): Decision {
    const quota = this.options.quotaOf(customer);
    // The quota was lifted while the request waited.
    const isAdmitted = quota === null || this.options.floorAdmits(customer, quota, nowMs);
    if (isAdmitted) return { type: 'admitted', source: 'floor', permit: null };
    return { type: 'refused', reason: 'noQuotaOwner', retryAfterMs: NO_OWNER_RETRY_MS };
  }

  private removeSent(id: number): SentRequest | null {
    const request = this.sent.get(id);
    if (request === undefined) return null;
    if (!request.isOverdue) {
      for (const customer of request.wanted.keys()) this.reduceAsked(id, customer);
    }
    this.sent.delete(id);
    return request;
  }

  private reduceAsked(id: number, customer: ids.CustomerName): void {
    const state = this.customers.get(customer);
    const wanted = this.sent.get(id)?.wanted.get(customer) ?? 0;
    if (state !== undefined) state.asked = Math.max(0, state.asked - wanted);
  }
}
