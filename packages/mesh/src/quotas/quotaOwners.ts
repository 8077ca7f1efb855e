/**
 * Votes of the seats on the owners of quotas. Each seat has one vote for each customer. A vote counts until
 * `VOTE_MS` after the stamp of its receiver that it echoes, so that its end depends on no other clock and on no
 * message; and the voter gives it to another seat only when it counts nowhere any more. All decisions take the
 * time as an argument.
 */

import type { ids } from '@godwittrack/core';
import type * as quotaMessages from './quotaMessages.js';
import type * as quotaSeats from './quotaSeats.js';
import * as seatViews from './seatViews.js';

/** Interval at which seats send their votes to each other. */
export const VOTE_INTERVAL_MS = 200;
/** Time for which a vote counts after the echoed stamp; five intervals, since event loops pause at times. */
export const VOTE_MS = 1_000;
/** Age of the last echo from which on a seat is not voted for. */
const CONTACT_MS = 900;
/** Contact that a seat must have kept up to be voted for again, so that an unstable link moves few votes. */
const RETURN_AFTER_MS = 2_000;
/** Time until a new set of seats is used, so that the others know it when they receive votes by it. */
const ADOPT_AFTER_MS = 500;
/** Time after the start of the process in which seats are voted for before there was contact with them. */
const START_MS = 3_000;
/** Time that a seat must have been known, so that others have dropped the one that it replaces. */
const NEW_SEAT_MS = 1_500;
/** Time for which shares are granted after the majority of the votes was lost. */
export const MINORITY_MS = 30_000;
/** Frames from nodes that take this one for a seat are answered for this time. */
const ANSWER_MS = 1_000;
/** Finer than the clock; a node sends fewer frames than this makes a stamp run ahead of its clock. */
const MIN_STAMP_STEP_MS = 0.001;

interface Peer {
  run: number;
  stampMs: number;
  receivedMs: number;
  /** Newest own stamp that the peer has echoed; `-Infinity` if none. */
  echoedMs: number;
  /** Start of the time in which each echo came while the last one was recent. */
  contactSinceMs: number;
  views: seatViews.KeyedView[];
  isLeaving: boolean;
}

interface OwnView {
  view: seatViews.KeyedView;
  /** When it was replaced; null for the current one. */
  retired: { atMs: number; lastStampMs: number } | null;
}

/** Seats that vote by the same views. */
interface VoterGroup {
  views: seatViews.KeyedView[];
  votes: number;
}

export interface Share {
  votes: number;
  seats: number;
}

export class QuotaOwners {
  private current: quotaSeats.SeatSet;

  private readonly views = new seatViews.SeatViews();

  /** A set that is to be adopted; null if there is none. */
  private pending: { digest: number; adoptAtMs: number } | null = null;

  private readonly knownSince = new Map<ids.NodeId, number>();

  private readonly peers = new Map<ids.NodeId, Peer>();

  /** Current view first, then the retired ones that still restrict the votes. */
  private ownViews: OwnView[] = [];

  /** Voters that count at a time; kept, since the shares of many customers are determined at once. */
  private groups: { atMs: number; groups: VoterGroup[] } | null = null;

  private hadMajorityMs = -Infinity;

  private lastStampMs = 0;

  private isLeaving = false;

  /** Whether a seat that was voted for has announced that it stops. */
  private hasLeaver = false;

  private activatedMs: number;

  constructor(
    private readonly self: ids.NodeId,
    /** Different in each run of the process. */
    private readonly run: number,
    private readonly startedMs: number,
    seats: quotaSeats.SeatSet,
  ) {
    this.current = seats;
    this.activatedMs = startedMs;
    this.adopt(seats, startedMs);
  }

  /** Starts to vote; there were no quotas before. */
  activate(seats: quotaSeats.SeatSet, nowMs: number): void {
    this.activatedMs = nowMs;
    // All nodes have known these seats since before.
    this.adopt(seats, this.startedMs);
  }

  get isSeat(): boolean {
    return this.current.has(this.self);
  }

  /** Announces that this node stops, so that others are voted for. */
  leave(nowMs: number): void {
    this.isLeaving = true;
    this.review(nowMs);
  }

  /** Whether `update` is due without delay, for a handover. */
  isUpdateDue(nowMs: number): boolean {
    const isPendingDue = this.pending !== null && this.pending.adoptAtMs <= nowMs;
    return this.ownViews.length > 1 || isPendingDue || this.hasLeaver;
  }

  /** Reviews which seats are voted for. @returns whether that has changed, so that it is sent at once */
  update(seats: quotaSeats.SeatSet, nowMs: number): boolean {
    this.offer(seats, nowMs);
    return this.review(nowMs);
  }

  private review(nowMs: number): boolean {
    const seats = this.current;
    this.hasLeaver = false;
    const excluded = seats.seats.filter((seat) => !this.isCandidate(seat, nowMs));
    const [active] = this.ownViews;
    const view = seatViews.keyed({ digest: seats.digest, excluded });
    const hasChanged = active?.view.key !== view.key;
    if (hasChanged) {
      if (active !== undefined) active.retired = { atMs: nowMs, lastStampMs: this.lastStampMs };
      this.ownViews.unshift({ view, retired: null });
    }
    const counted = this.ownViews.length;
    this.ownViews = this.ownViews.filter((each) => !this.isReplaced(each, nowMs));
    this.groups = null;
    if (this.countVoters(nowMs) * 2 > seats.size) this.hadMajorityMs = nowMs;
    return hasChanged || this.ownViews.length < counted;
  }

  /** Nodes to which this node sends its votes. */
  receivers(nowMs: number): ids.NodeId[] {
    const receivers = new Set<ids.NodeId>();
    // Seats of earlier views have to know that they are replaced.
    for (const { view } of this.isSeat ? this.ownViews : []) {
      for (const seat of this.views.seatsOf(view) ?? []) receivers.add(seat);
    }
    for (const [node, { receivedMs, views }] of this.peers) {
      // Without views it is no seat and does not wait for an answer.
      if (views.length > 0 && nowMs - receivedMs < ANSWER_MS) receivers.add(node);
    }
    receivers.delete(this.self);
    return [...receivers];
  }

  voteFor(receiver: ids.NodeId, nowMs: number): quotaMessages.QuotaVote {
    const peer = this.peers.get(receiver);
    // Each stamp is unique, so that an echo tells which frames came before it.
    this.lastStampMs = Math.max(nowMs, this.lastStampMs + MIN_STAMP_STEP_MS);
    return {
      type: 'quotaVote',
      run: this.run,
      stampMs: this.lastStampMs,
      echoRun: peer?.run ?? 0,
      echoMs: peer?.stampMs ?? 0,
      views: this.castViews(nowMs).map(({ digest, excluded }) => ({ digest, excluded })),
      isLeaving: this.isLeaving,
    };
  }

  /** @returns whether it is answered at once, since the sender waits for the echo */
  receive(from: ids.NodeId, vote: quotaMessages.QuotaVote, nowMs: number): boolean {
    const known = this.peers.get(from);
    const isSameRun = known?.run === vote.run;
    // A frame of an earlier connection may arrive after later ones.
    if (isSameRun && vote.stampMs <= known.stampMs) return false;
    const hasEcho = vote.echoRun === this.run;
    const echoedMs = hasEcho ? vote.echoMs : -Infinity;
    const wasInContact = isSameRun && nowMs - known.echoedMs <= CONTACT_MS;
    const viewsBefore = known?.views ?? [];
    this.peers.set(from, {
      run: vote.run,
      stampMs: vote.stampMs,
      receivedMs: nowMs,
      echoedMs,
      contactSinceMs: wasInContact ? known.contactSinceMs : nowMs,
      views: vote.views.map(seatViews.keyed),
      isLeaving: vote.isLeaving,
    });
    this.groups = null;
    this.hasLeaver ||= vote.isLeaving && known?.isLeaving !== true;
    // All seats move to a new set at about the same time, so that few votes are split between two owners.
    if (this.pending !== null && vote.views[0]?.digest === this.pending.digest) {
      this.pending.adoptAtMs = nowMs;
    }
    return !hasEcho || vote.views.length > Math.max(1, viewsBefore.length);
  }

  /** Votes that this seat has for a customer. */
  shareOf(customer: ids.CustomerName, nowMs: number): Share {
    const seats = this.current.size;
    if (!this.mayGrant(nowMs)) return { votes: 0, seats };
    let votes = 0;
    for (const group of this.voterGroups(nowMs)) {
      const isForSelf = (view: seatViews.KeyedView) =>
        this.views.ownerIn(view, customer) === this.self;
      if (group.views.every(isForSelf)) votes += group.votes;
    }
    return { votes, seats };
  }

  /** Whether this seat grants permits: it has a majority of the votes, or had it a short time ago. */
  mayGrant(nowMs: number): boolean {
    return this.isSeat && nowMs - this.hadMajorityMs <= MINORITY_MS;
  }

  /** Whether the seats of a majority have voted, whatever for, at the last review. */
  hasMajorityOfVotes(nowMs: number): boolean {
    return nowMs - this.hadMajorityMs <= VOTE_INTERVAL_MS * 2;
  }

  /** Whether this node exchanges frames with a majority of the seats. */
  hasMajorityOfContacts(nowMs: number): boolean {
    const inContact = this.current.seats.filter(
      (seat) => seat === this.self || this.isInContact(seat, nowMs),
    );
    return inContact.length * 2 > this.current.size;
  }

  /** The seat that this one votes for; null if this node is no seat, or if it votes for none. */
  ownerOf(customer: ids.CustomerName): ids.NodeId | null {
    const active = this.ownViews[0]?.view;
    return active === undefined || !this.isSeat ? null : this.views.ownerIn(active, customer);
  }

  private offer(seats: quotaSeats.SeatSet, nowMs: number): void {
    if (seats === this.current) {
      this.pending = null;
      return;
    }
    this.views.remember(seats);
    const adoptAtMs = this.pending?.adoptAtMs ?? nowMs + ADOPT_AFTER_MS;
    this.pending = { digest: seats.digest, adoptAtMs };
    if (this.current.size <= 1 || adoptAtMs <= nowMs) this.adopt(seats, nowMs);
  }

  private adopt(seats: quotaSeats.SeatSet, nowMs: number): void {
    this.current = seats;
    this.pending = null;
    this.views.remember(seats);
    for (const seat of this.knownSince.keys()) if (!seats.has(seat)) this.knownSince.delete(seat);
    for (const seat of seats.seats) {
      if (!this.knownSince.has(seat)) this.knownSince.set(seat, nowMs);
    }
    for (const [node, { receivedMs }] of this.peers) {
      if (!seats.has(node) && nowMs - receivedMs > VOTE_MS) this.peers.delete(node);
    }
  }

  private isInContact(seat: ids.NodeId, nowMs: number): boolean {
    return nowMs - (this.peers.get(seat)?.echoedMs ?? -Infinity) <= CONTACT_MS;
  }

  /** Whether this seat may vote for another one. */
  private isCandidate(seat: ids.NodeId, nowMs: number): boolean {
    if (seat === this.self) return !this.isLeaving;
    const peer = this.peers.get(seat);
    const sinceMs = this.knownSince.get(seat)!;
    const isNew = sinceMs - this.startedMs <= START_MS && nowMs - sinceMs <= CONTACT_MS;
    const isStarting = isNew || nowMs - this.activatedMs <= CONTACT_MS;
    if (isStarting) return peer?.isLeaving !== true;
    if (peer === undefined || peer.isLeaving || !this.isInContact(seat, nowMs)) return false;
    const active = this.ownViews[0]?.view;
    const isVotedFor = active !== undefined && this.views.isVotedFor(seat, active);
    return isVotedFor || nowMs - peer.contactSinceMs >= RETURN_AFTER_MS;
  }

  /**
   * Whether a retired view restricts the votes no longer: each seat that could own by it has echoed a later
   * frame, or the votes that it has by this view have ended.
   */
  private isReplaced({ view, retired }: OwnView, nowMs: number): boolean {
    if (retired === null) return false;
    const seats = this.views.seatsOf(view);
    if (seats === null) return nowMs - retired.atMs > VOTE_MS;
    return seats.every((seat) => {
      const peer = this.peers.get(seat);
      if (seat === this.self || view.excluded.includes(seat) || peer === undefined) return true;
      // The votes echo stamps that had arrived here before.
      const newestEchoMs = Math.min(retired.atMs, peer.receivedMs);
      return peer.echoedMs > retired.lastStampMs || nowMs - newestEchoMs > VOTE_MS;
    });
  }

  /** Views by which this seat votes; none after a start while votes of its earlier run may count. */
  private castViews(nowMs: number): seatViews.KeyedView[] {
    if (!this.isSeat || nowMs - this.startedMs <= VOTE_MS) return [];
    return this.ownViews.map(({ view }) => view);
  }

  /** Views of a vote that counts here; empty if it doesn't count. */
  private countedViews(seat: ids.NodeId, nowMs: number): seatViews.KeyedView[] {
    if (nowMs - this.knownSince.get(seat)! <= NEW_SEAT_MS) return [];
    if (seat === this.self) return this.castViews(nowMs);
    const peer = this.peers.get(seat);
    if (peer === undefined || nowMs - peer.echoedMs > VOTE_MS) return [];
    return peer.views.every((view) => this.views.knows(view)) ? peer.views : [];
  }

  private countVoters(nowMs: number): number {
    return this.voterGroups(nowMs).reduce((sum, { votes }) => sum + votes, 0);
  }

  private voterGroups(nowMs: number): readonly VoterGroup[] {
    if (this.groups?.atMs === nowMs) return this.groups.groups;
    const byKey = new Map<string, VoterGroup>();
    for (const seat of this.current.seats) {
      const views = this.countedViews(seat, nowMs);
      if (views.length > 0) {
        const key = views.map((view) => view.key).join('\n');
        const group = byKey.get(key);
        if (group === undefined) byKey.set(key, { views, votes: 1 });
        else group.votes += 1;
      }
    }
    const groups = [...byKey.values()];
    this.groups = { atMs: nowMs, groups };
    return groups;
  }
}
