/**
 * Idempotency records that this node holds, in memory. All methods are synchronous, so each runs
 * without interruption. Times are durations on this node's monotonic clock.
 */

import type { clock as clocks, ids, placement as placements } from '@godwittrack/core';
import { placement as rules } from '@godwittrack/core';
import { records } from '@godwittrack/protocol';

/** A dispatcher uses grants only within this time after it sent the first claim. */
export const GRANT_LIFETIME_MS = 5_000;

/** Added to waits that other nodes rely on, because clock rates differ slightly. */
export const CLOCK_MARGIN_MS = 500;

/** A record outlives its request's deadline by at least this much. */
export const MIN_RETENTION_AFTER_DEADLINE_MS = 60_000;

/** How long a released claim is refused, in case its claim message arrives late. */
const RELEASED_KEPT_MS = 60_000;

const MAX_RELEASED = 20_000;

/** Estimated bytes of a record beside its texts and body. */
const RECORD_OVERHEAD_BYTES = 256;

export interface RecordStoreOptions {
  /** Records kept over all services. Default 200,000. */
  maxEntries?: number;
  /** Estimated bytes kept over all services. Default 64 MiB. */
  maxBytes?: number;
  /** Retention of a service. Default 10 minutes for every service. */
  retentionMs?: (service: string) => number;
  /**
   * A holder grants nothing when its placement was not confirmed by the platform for this long,
   * because the members may have been replaced meanwhile. Default 1 hour.
   */
  placementLeaseMs?: number;
  /** Called when another node names a newer epoch than the one held. */
  onNewerEpoch?: (service: string, epoch: number) => void;
}

interface HeldClaim {
  fingerprint: string;
  deadlineAtMs: number;
}

interface KeyEntry {
  /** Unanswered claims; more than one only after copies from different members. */
  claims: Map<string, HeldClaim>;
  answered: { claim: string; fingerprint: string; answer: records.RecordedAnswer } | null;
  expiresAtMs: number;
  bytes: number;
}

/** What this node knows since it adopted one epoch. */
interface Join {
  placement: placements.Placement;
  adoptedAtMs: number;
  /** Nothing can have run before this epoch that this incarnation would have to know. */
  origin: boolean;
  /** A former life of this node was a member in this very epoch. */
  rejoined: boolean;
  /** Members copied from that had the full history of the epoch before. */
  copiedPrevious: Set<string>;
  /** Members copied from that had the full history of this epoch. */
  copiedCurrent: Set<string>;
}

interface ServiceState {
  entries: Map<string, KeyEntry>;
  /** Consecutive epochs held by this incarnation, oldest first. */
  joins: Join[];
  confirmedAtMs: number;
  /** Claims with a lower epoch are refused. */
  fence: number;
}

export class RecordStore {
  private readonly services = new Map<string, ServiceState>();

  private readonly released = new Map<string, number>();

  private readonly startedAtMs: number;

  private readonly maxEntries: number;

  private readonly maxBytes: number;

  private readonly retentionOf: (service: string) => number;

  private readonly leaseMs: number;

  private readonly onNewerEpoch: (service: string, epoch: number) => void;

  private entryCount = 0;

  private byteCount = 0;

  constructor(
    readonly node: ids.NodeId,
    readonly incarnation: ids.Incarnation,
    private readonly clock: clocks.Clock,
    options: RecordStoreOptions = {},
  ) {
    this.startedAtMs = clock.monotonicMs();
    this.maxEntries = options.maxEntries ?? 200_000;
    this.maxBytes = options.maxBytes ?? 64 * 1024 * 1024;
    this.retentionOf = options.retentionMs ?? (() => 600_000);
    this.leaseMs = options.placementLeaseMs ?? 3_600_000;
    this.onNewerEpoch = options.onNewerEpoch ?? (() => {});
  }

  get size(): { entries: number; bytes: number } {
    return { entries: this.entryCount, bytes: this.byteCount };
  }

  placement(service: string): placements.Placement | null {
    return this.services.get(service)?.joins.at(-1)?.placement ?? null;
  }

  /** Takes a placement if it is newer; `ageMs` is the time since the platform confirmed it. */
  adopt(placement: placements.Placement, ageMs = 0): void {
    const state = this.state(placement.service);
    const held = state.joins.at(-1);
    if (held !== undefined && placement.epoch < held.placement.epoch) return;
    const nowMs = this.clock.monotonicMs();
    state.confirmedAtMs = Math.max(state.confirmedAtMs, nowMs - ageMs);
    if (held !== undefined && placement.epoch === held.placement.epoch) return;
    state.fence = Math.max(state.fence, placement.epoch);
    // A skipped epoch breaks the chain: its holders are unknown here.
    if (held !== undefined && placement.epoch !== held.placement.epoch + 1) state.joins = [];
    const member = placement.member(this.node);
    const same = member?.incarnation === this.incarnation;
    state.joins.push({
      placement,
      adoptedAtMs: nowMs,
      origin: placement.epoch === 1 && same,
      rejoined: held === undefined && member !== undefined && !same,
      copiedPrevious: new Set(),
      copiedCurrent: new Set(),
    });
    this.pruneJoins(placement.service, state);
  }

  /** True when this node may answer for the key: no earlier run within retention is unknown. */
  isReady(service: string, key: string): boolean {
    const joins = this.services.get(service)?.joins ?? [];
    return this.isReadyAt(service, joins, joins.length - 1, key);
  }

  /**
   * Any `coverage` ready holders of an epoch know together every claim of the epochs before. A
   * holder that stays keeps this up only where an epoch's holders need no fewer to cover a key than
   * those before: of three holders one may lack a run, so of two that are left each has to copy.
   */
  private isReadyAt(service: string, joins: readonly Join[], i: number, key: string): boolean {
    const join = joins[i];
    if (join === undefined) return false;
    const holders = join.placement.holders(key);
    const isOwn = ({ node }: placements.Member) => node === this.node;
    if (!holders.some(isOwn)) return false;
    if (join.origin || this.hasWaited(service, join)) return true;
    const needed = rules.readQuorum(holders.length);
    if (countCopied(holders, join.copiedCurrent) >= needed) return true;
    if (join.rejoined) return false;
    const before = join.placement.previousHolders(key);
    const stayed = before.some(isOwn) && this.isReadyAt(service, joins, i - 1, key);
    if (before.length === 0) return false;
    const neededBefore = rules.readQuorum(before.length);
    if (stayed && needed >= neededBefore) return true;
    return countCopied(before, join.copiedPrevious) + (stayed ? 1 : 0) >= neededBefore;
  }

  /** True when this node knows every earlier run of all keys that it holds at that epoch. */
  isFull(service: string, epoch: number): boolean {
    const joins = this.services.get(service)?.joins ?? [];
    const join = joins.find(({ placement }) => placement.epoch === epoch);
    if (join === undefined) return false;
    const { members, previous } = join.placement;
    if (!members.some(({ node }) => node === this.node)) return false;
    if (join.origin || this.hasWaited(service, join)) return true;
    const others = members.filter(({ node }) => node !== this.node);
    if (others.length > 0 && others.every(({ node }) => join.copiedCurrent.has(node))) return true;
    if (join.rejoined) return false;
    // The node's own records count for the epoch before only if they were the full history.
    const known = new Set<string>(join.copiedPrevious);
    if (this.isFull(service, epoch - 1)) known.add(this.node);
    return coversAll(previous, known);
  }

  claim(req: records.ClaimRequest): records.ClaimReply {
    const state = this.services.get(req.service);
    const join = state?.joins.at(-1);
    const epoch = join?.placement.epoch ?? 0;
    const fence = state?.fence ?? 0;
    const reply = (result: records.ClaimResult, extra: Partial<records.ClaimReply> = {}) =>
      records.ClaimReply.fromPartial({ result, epoch: Math.max(epoch, fence), ...extra });
    if (req.epoch > epoch) this.onNewerEpoch(req.service, req.epoch);
    // A claim for a service without a placement leaves nothing behind.
    if (state === undefined || req.epoch !== epoch || epoch < fence) {
      return reply(records.ClaimResult.CLAIM_RESULT_WRONG_EPOCH);
    }
    const holders = join?.placement.holders(req.key) ?? [];
    if (!holders.some(({ node }) => node === this.node)) {
      return reply(records.ClaimResult.CLAIM_RESULT_NOT_HOLDER);
    }
    const found = this.lookUp(req, state, reply);
    if (found !== null) return found;
    const nowMs = this.clock.monotonicMs();
    const confirmed = nowMs - state.confirmedAtMs <= this.leaseMs;
    if (!confirmed || this.released.has(req.claim) || !this.isReady(req.service, req.key)) {
      return reply(records.ClaimResult.CLAIM_RESULT_RECOVERING);
    }
    const known = state.entries.get(req.key)?.claims.has(req.claim) === true;
    if (!known && !this.hasRoom(req.key, req.claim, req.fingerprint)) {
      return reply(records.ClaimResult.CLAIM_RESULT_FULL);
    }
    this.addClaim(state, req, this.retentionMs(req.service, req.deadlineLeftMs));
    return reply(records.ClaimResult.CLAIM_RESULT_GRANTED);
  }

  /** Stores the answer; an answered record never changes. Any epoch is accepted. */
  complete(req: records.CompleteRequest): records.CompleteReply {
    if (req.answer === undefined) return { stored: false };
    const state = this.state(req.service);
    const stored = this.addAnswer(
      state,
      { ...req, answer: req.answer },
      this.retentionMs(req.service, 0),
    );
    return { stored };
  }

  /** Gives back an unanswered claim, also one whose claim message has not arrived yet. */
  release(req: records.ReleaseRequest): records.ReleaseReply {
    const state = this.state(req.service);
    this.rememberReleased(req.claim);
    const entry = state.entries.get(req.key);
    if (entry === undefined || !entry.claims.delete(req.claim)) return { released: false };
    if (entry.claims.size === 0 && entry.answered === null) this.drop(state, req.key, entry);
    return { released: true };
  }

  /**
   * Snapshot for a recovering member. Claims below the asker's epoch are refused from now on, so
   * that no grant under the old epoch is missing from the snapshot.
   */
  copyFor(req: records.RecoverRequest): records.RecoverReply {
    const state = this.state(req.service);
    const epoch = this.placement(req.service)?.epoch ?? 0;
    if (req.epoch > epoch) this.onNewerEpoch(req.service, req.epoch);
    state.fence = Math.max(state.fence, req.epoch);
    const nowMs = this.clock.monotonicMs();
    const held = [...state.entries]
      .filter(([key, entry]) => entry.expiresAtMs > nowMs && this.mayHold(req, key))
      .flatMap(([key, entry]) => snapshot(key, entry, nowMs));
    return records.RecoverReply.fromPartial({
      records: held,
      end: true,
      fullAtEpoch: this.isFull(req.service, req.epoch),
      fullAtPrevious: this.isFull(req.service, req.epoch - 1),
      epoch: state.fence,
    });
  }

  /** Time until grants of this node's former life can no longer be used; copies start then. */
  copyDelayMs(): number {
    const readyAtMs = this.startedAtMs + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
    return Math.max(0, readyAtMs - this.clock.monotonicMs());
  }

  /**
   * Merges a whole copy made for `epoch`. Returns false when it is of no use: the epoch has
   * changed, the source was not fenced, its history is not full, or there is no room.
   */
  merge(service: string, source: string, epoch: number, copy: records.RecoverReply): boolean {
    const state = this.state(service);
    const join = state.joins.at(-1);
    if (join === undefined || join.placement.epoch !== epoch || copy.epoch < epoch) return false;
    if (this.copyDelayMs() > 0) return false;
    const stored = copy.records.every((record) => this.mergeRecord(service, state, record));
    if (!stored) return false;
    if (copy.fullAtEpoch) join.copiedCurrent.add(source);
    if (copy.fullAtPrevious) join.copiedPrevious.add(source);
    return copy.fullAtEpoch || copy.fullAtPrevious;
  }

  /** Request for the copies that this node needs at its present epoch; null without a placement. */
  copyRequest(service: string): records.RecoverRequest | null {
    const epoch = this.placement(service)?.epoch;
    if (epoch === undefined) return null;
    return { service, node: this.node, epoch, fullAtPrevious: this.isFull(service, epoch - 1) };
  }

  /** Members whose copy is still of use to this node at the present epoch. */
  copySources(service: string): placements.Member[] {
    const join = this.services.get(service)?.joins.at(-1);
    if (join === undefined || this.isFull(service, join.placement.epoch)) return [];
    if (join.placement.member(this.node) === undefined) return [];
    const byNode = new Map(
      [...join.placement.previous, ...join.placement.members].map((m) => [m.node as string, m]),
    );
    byNode.delete(this.node);
    return [...byNode.values()].filter(({ node }) => !join.copiedCurrent.has(node));
  }

  /** Forgets records past their retention. */
  expire(): void {
    const nowMs = this.clock.monotonicMs();
    for (const state of this.services.values()) {
      for (const [key, entry] of state.entries) {
        if (entry.expiresAtMs <= nowMs) this.drop(state, key, entry);
      }
    }
    for (const [claim, untilMs] of this.released) {
      if (untilMs <= nowMs) this.released.delete(claim);
    }
  }

  private lookUp(
    req: records.ClaimRequest,
    state: ServiceState,
    reply: (result: records.ClaimResult, extra?: Partial<records.ClaimReply>) => records.ClaimReply,
  ): records.ClaimReply | null {
    const nowMs = this.clock.monotonicMs();
    const entry = state.entries.get(req.key);
    if (entry === undefined) return null;
    if (entry.expiresAtMs <= nowMs) {
      this.drop(state, req.key, entry);
      return null;
    }
    if (entry.answered !== null) {
      return entry.answered.fingerprint === req.fingerprint
        ? reply(records.ClaimResult.CLAIM_RESULT_COMPLETED, { answer: entry.answered.answer })
        : reply(records.ClaimResult.CLAIM_RESULT_FINGERPRINT_MISMATCH);
    }
    const others = [...entry.claims].filter(([claim]) => claim !== req.claim);
    // A claim that was copied, or that is asked for twice, still needs the full history.
    if (others.length === 0) return null;
    if (others.every(([, held]) => held.fingerprint !== req.fingerprint)) {
      return reply(records.ClaimResult.CLAIM_RESULT_FINGERPRINT_MISMATCH);
    }
    const running = others.find(([, held]) => held.deadlineAtMs > nowMs);
    return running === undefined
      ? reply(records.ClaimResult.CLAIM_RESULT_OUTCOME_UNKNOWN)
      : reply(records.ClaimResult.CLAIM_RESULT_IN_PROGRESS, { holderClaim: running[0] });
  }

  private addClaim(
    state: ServiceState,
    req: { key: string; claim: string; fingerprint: string; deadlineLeftMs: number },
    keepMs: number,
  ): void {
    const nowMs = this.clock.monotonicMs();
    const entry = this.entry(state, req.key);
    entry.expiresAtMs = Math.max(entry.expiresAtMs, nowMs + keepMs);
    if (entry.claims.has(req.claim)) return;
    const deadlineAtMs = nowMs + req.deadlineLeftMs;
    entry.claims.set(req.claim, { fingerprint: req.fingerprint, deadlineAtMs });
    entry.bytes += this.charge(req.claim.length + req.fingerprint.length);
  }

  private addAnswer(
    state: ServiceState,
    req: { key: string; claim: string; fingerprint: string; answer: records.RecordedAnswer },
    keepMs: number,
  ): boolean {
    const existing = this.liveEntry(state, req.key);
    if (existing !== undefined && existing.answered !== null) {
      return existing.answered.claim === req.claim;
    }
    if (existing === undefined && !this.hasRoom(req.key, req.claim, req.fingerprint)) return false;
    const entry = this.entry(state, req.key);
    const bytes = answerBytes(req.answer);
    const fits = this.byteCount + bytes <= this.maxBytes;
    // Without room the status still tells a repeat that the request has run.
    const answer = fits
      ? req.answer
      : { status: req.answer.status, headers: [], body: Buffer.alloc(0), bodyKept: false };
    entry.answered = { claim: req.claim, fingerprint: req.fingerprint, answer };
    entry.claims.clear();
    entry.expiresAtMs = Math.max(entry.expiresAtMs, this.clock.monotonicMs() + keepMs);
    if (fits) entry.bytes += this.charge(bytes);
    return true;
  }

  private mergeRecord(service: string, state: ServiceState, record: records.KeyRecord): boolean {
    if (record.answer !== undefined) {
      const { answer } = record;
      const existing = this.liveEntry(state, record.key);
      if (existing?.answered) return true;
      return this.addAnswer(state, { ...record, answer }, record.retentionLeftMs);
    }
    if (this.released.has(record.claim)) return true;
    const existing = this.liveEntry(state, record.key);
    if (existing?.answered) return true;
    const known = existing?.claims.has(record.claim) === true;
    if (!known && !this.hasRoom(record.key, record.claim, record.fingerprint)) return false;
    this.addClaim(state, record, record.retentionLeftMs);
    return true;
  }

  private mayHold(req: records.RecoverRequest, key: string): boolean {
    const placement = this.placement(req.service);
    // Without the asker's placement its keys are unknown, so all records are sent.
    if (placement === null || placement.epoch !== req.epoch) return true;
    const asks = ({ node }: placements.Member) => node === req.node;
    const holders = placement.holders(key);
    if (!holders.some(asks)) return false;
    const before = placement.previousHolders(key);
    const stays = rules.readQuorum(holders.length) >= rules.readQuorum(before.length);
    return !(req.fullAtPrevious && stays && before.some(asks));
  }

  private hasWaited(service: string, join: Join): boolean {
    // Members of an older epoch that cannot be reached may grant until their lease ends.
    const waitMs =
      this.retentionMs(service, 0) + this.leaseMs + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
    return this.clock.monotonicMs() - join.adoptedAtMs >= waitMs;
  }

  private retentionMs(service: string, deadlineLeftMs: number): number {
    return Math.max(this.retentionOf(service), deadlineLeftMs + MIN_RETENTION_AFTER_DEADLINE_MS);
  }

  private pruneJoins(service: string, state: ServiceState): void {
    const { joins } = state;
    const last = joins.findLastIndex((join) => this.hasWaited(service, join));
    // Older epochs decide nothing once a whole later epoch has passed the wait.
    if (last > 0) joins.splice(0, last);
  }

  private state(service: string): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      state = { entries: new Map(), joins: [], confirmedAtMs: -Infinity, fence: 0 };
      this.services.set(service, state);
    }
    return state;
  }

  /** A record past its retention must not stand in the way of a newer one. */
  private liveEntry(state: ServiceState, key: string): KeyEntry | undefined {
    const entry = state.entries.get(key);
    if (entry === undefined || entry.expiresAtMs > this.clock.monotonicMs()) return entry;
    this.drop(state, key, entry);
    return undefined;
  }

  private entry(state: ServiceState, key: string): KeyEntry {
    let entry = state.entries.get(key);
    if (entry === undefined) {
      entry = { claims: new Map(), answered: null, expiresAtMs: 0, bytes: 0 };
      state.entries.set(key, entry);
      this.entryCount += 1;
      entry.bytes += this.charge(RECORD_OVERHEAD_BYTES + key.length);
    }
    return entry;
  }

  private charge(bytes: number): number {
    this.byteCount += bytes;
    return bytes;
  }

  private drop(state: ServiceState, key: string, entry: KeyEntry): void {
    state.entries.delete(key);
    this.entryCount -= 1;
    this.byteCount -= entry.bytes;
  }

  private hasRoom(...texts: string[]): boolean {
    const bytes = RECORD_OVERHEAD_BYTES + texts.reduce((sum, text) => sum + text.length, 0);
    return this.entryCount < this.maxEntries && this.byteCount + bytes <= this.maxBytes;
  }

  private rememberReleased(claim: string): void {
    this.released.set(claim, this.clock.monotonicMs() + RELEASED_KEPT_MS);
    if (this.released.size <= MAX_RELEASED) return;
    const [oldest] = this.released.keys();
    if (oldest !== undefined) this.released.delete(oldest);
  }
}

function countCopied(holders: readonly placements.Member[], copied: ReadonlySet<string>): number {
  return holders.filter(({ node }) => copied.has(node)).length;
}

/** True when the records of `known` members cover every key of the group, whatever its holders. */
function coversAll(group: readonly placements.Member[], known: ReadonlySet<string>): boolean {
  const missing = group.filter(({ node }) => !known.has(node));
  if (group.length < 2) return group.length === 1 && missing.length === 0;
  const domains = (members: readonly placements.Member[]) =>
    new Set(members.map((m) => `${m.region}/${m.failureDomain}`)).size;
  // One holder of a key may be missing, and no key has two holders in one of three domains.
  return missing.length <= 1 || (domains(missing) === 1 && domains(group) >= 3);
}

function snapshot(key: string, entry: KeyEntry, nowMs: number): records.KeyRecord[] {
  const retentionLeftMs = entry.expiresAtMs - nowMs;
  if (entry.answered !== null) {
    return [{ key, ...entry.answered, retentionLeftMs, deadlineLeftMs: 0 }];
  }
  return [...entry.claims].map(([claim, held]) => ({
    key,
    claim,
    fingerprint: held.fingerprint,
    answer: undefined,
    retentionLeftMs,
    deadlineLeftMs: Math.max(0, held.deadlineAtMs - nowMs),
  }));
}

function answerBytes(answer: records.RecordedAnswer): number {
  const headers = answer.headers.reduce((sum, h) => sum + h.name.length + h.value.length, 0);
  return headers + answer.body.length;
}
