/**
 * The quotas of one node: as a seat that votes and owns, and as a node that asks. Sends through `send`; the time
 * is an argument, so that tests run many nodes without a network.
 */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as members from '../membership/members.js';
import * as quotaClient from './quotaClient.js';
import * as quotaFloor from './quotaFloor.js';
import * as quotaLedger from './quotaLedger.js';
import type * as quotaMessages from './quotaMessages.js';
import * as quotaOwners from './quotaOwners.js';
import * as quotaSeats from './quotaSeats.js';
import * as quotaTolerance from './quotaTolerance.js';

/** Time for which an owner that has not replied is passed over, while another one can be asked. */
const SUSPECT_MS = 2_000;
/** Time for which the owner that another node has named is asked. */
const HINT_MS = 1_000;
/** Contact with a majority of the seats before removed members are forgotten, so that updates have arrived. */
const STABLE_CONTACT_MS = 5_000;

/** A state that operators should know of. */
export type QuotaEvent =
  | { type: 'takeover'; customers: ids.CustomerName[]; seats: number }
  | { type: 'majorityLost' | 'majorityRegained'; seats: number }
  | { type: 'ownerSilent'; owner: ids.NodeId }
  | { type: 'lateGrant' };

export interface QuotaNodeOptions {
  self: ids.NodeId;
  /** Different in each run of the process. */
  run: number;
  startedMs: number;
  tolerance: quotaTolerance.QuotaTolerance;
  /** Customers with a quota. */
  quotas: () => ReadonlyMap<ids.CustomerName, configuration.Quota>;
  members: () => Iterable<Pick<members.NodeAddress, 'node' | 'domain'>>;
  /** Changes with the members. */
  membersKey: () => unknown;
  /** False until the list of nodes has been received. */
  areMembersKnown: () => boolean;
  isReachable: (node: ids.NodeId) => boolean;
  /** @returns false if the message could not be sent now */
  send: (to: ids.NodeId, message: quotaMessages.QuotaMessage) => boolean;
  onEvent: (event: QuotaEvent) => void;
}

type Reply = (message: quotaMessages.QuotaMessage) => void;

export class QuotaNode {
  private readonly seatTable = new quotaSeats.SeatTable();

  private readonly owners: quotaOwners.QuotaOwners;

  private readonly ledger: quotaLedger.QuotaLedger;

  private readonly client: quotaClient.QuotaClient;

  private readonly floor: quotaFloor.QuotaFloor;

  private members: readonly ids.NodeId[] = [];

  private readonly suspects = new Map<ids.NodeId, number>();

  private readonly hints = new Map<ids.CustomerName, { owner: ids.NodeId; untilMs: number }>();

  private contactSinceMs: number | null = null;

  private hadMajority = false;

  constructor(private readonly options: QuotaNodeOptions) {
    const { self, run, startedMs, tolerance } = options;
    const rules = quotaTolerance.permitRules(tolerance);
    const quotaOf = (customer: ids.CustomerName) => options.quotas().get(customer) ?? null;
    this.refreshSeats(startedMs);
    this.owners = new quotaOwners.QuotaOwners(self, run, startedMs, this.seatTable.seats);
    this.ledger = new quotaLedger.QuotaLedger({
      quotaOf,
      shareOf: (customer, nowMs) => this.shareOf(customer, nowMs),
      tolerance: rules,
    });
    this.floor = new quotaFloor.QuotaFloor({
      self,
      tolerance,
      members: () => this.members,
      areMembersKnown: options.areMembersKnown,
      startedMs,
    });
    this.client = new quotaClient.QuotaClient({
      quotaOf,
      ownerOf: (customer, nowMs) => this.ownerOf(customer, nowMs),
      floorAdmits: (customer, quota, nowMs) => this.floor.tryAdmit(customer, quota, nowMs),
      permitMs: rules.permitMs,
    });
  }

  get isSeat(): boolean {
    return this.owners.isSeat;
  }

  /** Customers of which this node is an owner. */
  get owned(): number {
    return this.ledger.owned;
  }

  /** Whether `flush` has something to send. */
  get hasRequests(): boolean {
    return this.client.hasRequests;
  }

  get nextDeadlineMs(): number | null {
    return this.client.nextDeadlineMs;
  }

  /** @returns null if the decision follows by `settle` */
  admit(
    customer: ids.CustomerName,
    nowMs: number,
    settle: (decision: quotaClient.Decision) => void,
  ): quotaClient.Decision | null {
    return this.client.admit(customer, nowMs, settle);
  }

  /** The permit of a request that has not run and will not run. */
  release(customer: ids.CustomerName, permit: quotaClient.UsedPermit, nowMs: number): void {
    this.client.release(customer, permit, nowMs);
  }

  /** Sends what is asked for. To be called a few milliseconds after `hasRequests` has become true. */
  flush(nowMs: number): void {
    for (const { owner, request } of this.client.takeRequests(nowMs)) {
      if (owner === this.options.self) {
        this.client.receive(this.answer(owner, request, nowMs), nowMs);
      } else if (!this.options.send(owner, request)) {
        this.client.undo(request.id);
      }
    }
  }

  /** Decides requests that have waited long enough. */
  expire(nowMs: number): void {
    for (const owner of this.client.expire(nowMs)) {
      this.suspects.set(owner, nowMs + SUSPECT_MS);
      this.options.onEvent({ type: 'ownerSilent', owner });
    }
  }

  /** To be called when the first customer gets a quota, before `tick`. */
  activate(nowMs: number): void {
    this.refreshSeats(nowMs);
    this.owners.activate(this.seatTable.seats, nowMs);
    this.tick(nowMs);
  }

  /** To be called every `VOTE_INTERVAL_MS`. */
  tick(nowMs: number): void {
    this.refreshSeats(nowMs);
    this.owners.update(this.seatTable.seats, nowMs);
    this.sendVotes(nowMs);
    this.expire(nowMs);
    const customers = this.isSeat || this.owned > 0 ? this.options.quotas().keys() : [];
    const taken = this.ledger.review(customers, nowMs);
    const { size: seats } = this.seatTable.seats;
    if (taken.length > 0) this.options.onEvent({ type: 'takeover', customers: taken, seats });
    this.floor.retain((customer) => this.options.quotas().has(customer));
    this.reportMajority(nowMs);
  }

  receive(
    from: ids.NodeId,
    message: quotaMessages.QuotaMessage,
    reply: Reply,
    nowMs: number,
  ): void {
    switch (message.type) {
      case 'quotaRequest':
        reply(this.answer(from, message, nowMs));
        break;
      case 'quotaGrant':
        this.receiveGrant(from, message, nowMs);
        break;
      default:
        this.receiveVote(from, message, nowMs);
    }
  }

  /** Hands the customers of this node over, before it stops. */
  leave(nowMs: number): void {
    this.owners.leave(nowMs);
    this.sendVotes(nowMs);
  }

  /** The part of a customer's quota that this node grants. */
  shareOf(customer: ids.CustomerName, nowMs: number): quotaOwners.Share {
    if (!this.options.areMembersKnown()) return { votes: 0, seats: 1 };
    return this.owners.shareOf(customer, nowMs);
  }

  private receiveGrant(from: ids.NodeId, message: quotaMessages.QuotaGrant, nowMs: number): void {
    this.suspects.delete(from);
    const grants = message.grants.map((grant) => this.followHint(from, grant, nowMs));
    const isInTime = this.client.receive({ ...message, grants }, nowMs);
    if (!isInTime) this.options.onEvent({ type: 'lateGrant' });
  }

  /** Two nodes that name each other are not asked in turn, since neither is an owner. */
  private followHint(
    from: ids.NodeId,
    grant: quotaMessages.Grant,
    nowMs: number,
  ): quotaMessages.Grant {
    const { customer, isOwner, owner } = grant;
    if (isOwner) return grant;
    const wasNamed = this.hints.get(customer)?.owner === from;
    if (owner !== null && !wasNamed) {
      this.hints.set(customer, { owner, untilMs: nowMs + HINT_MS });
      return grant;
    }
    this.hints.delete(customer);
    return { ...grant, owner: null };
  }

  private receiveVote(from: ids.NodeId, message: quotaMessages.QuotaVote, nowMs: number): void {
    const isAwaited = this.owners.receive(from, message, nowMs);
    if (isAwaited) this.options.send(from, this.owners.voteFor(from, nowMs));
    // A handover ends as soon as all have answered.
    if (this.owners.isUpdateDue(nowMs) && this.owners.update(this.seatTable.seats, nowMs)) {
      this.sendVotes(nowMs);
    }
  }

  private answer(
    from: ids.NodeId,
    { id, asks, returned }: quotaMessages.QuotaRequest,
    nowMs: number,
  ): quotaMessages.QuotaGrant {
    for (const each of returned) this.ledger.takeBack(from, each, nowMs);
    const grants = asks.map((ask): quotaMessages.Grant => {
      const { customer } = ask;
      const grant = this.ledger.grant(from, id, ask, nowMs);
      if (grant !== null) return { customer, ...grant, isOwner: true, owner: null };
      const owner = this.owners.ownerOf(customer);
      const other = owner === this.options.self ? null : owner;
      return { customer, granted: 0, retryAfterMs: 0, isOwner: false, owner: other };
    });
    return { type: 'quotaGrant', id, grants };
  }

  private sendVotes(nowMs: number): void {
    for (const receiver of this.owners.receivers(nowMs)) {
      this.options.send(receiver, this.owners.voteFor(receiver, nowMs));
    }
  }

  private ownerOf(customer: ids.CustomerName, nowMs: number): ids.NodeId | null {
    const hint = this.hints.get(customer);
    if (hint !== undefined) {
      if (nowMs < hint.untilMs) return hint.owner;
      this.hints.delete(customer);
    }
    const chosen = this.owners.ownerOf(customer);
    if (chosen !== null) return chosen;
    const { self, isReachable } = this.options;
    const seats = this.seatTable.seatsToAsk;
    const isUsable = (seat: ids.NodeId) => seat === self || isReachable(seat);
    const isTrusted = (seat: ids.NodeId) =>
      isUsable(seat) && nowMs >= (this.suspects.get(seat) ?? -Infinity);
    return seats.firstOf(customer, isTrusted) ?? seats.firstOf(customer, isUsable);
  }

  private refreshSeats(nowMs: number): void {
    const sinceMs = this.contactSinceMs;
    const hasMajority = sinceMs !== null && nowMs - sinceMs >= STABLE_CONTACT_MS;
    const key = this.options.membersKey();
    if (this.seatTable.update(this.options.members, { key, hasMajority, nowMs })) {
      this.members = [...this.seatTable.members];
    }
  }

  private reportMajority(nowMs: number): void {
    if (!this.owners.hasMajorityOfContacts(nowMs)) this.contactSinceMs = null;
    else this.contactSinceMs ??= nowMs;
    const hasMajority = this.isSeat && this.owners.hasMajorityOfVotes(nowMs);
    if (hasMajority === this.hadMajority) return;
    this.hadMajority = hasMajority;
    const type = hasMajority ? 'majorityRegained' : 'majorityLost';
    this.options.onEvent({ type, seats: this.seatTable.seats.size });
  }
}
