/**
 * In-memory store of the idempotency records held by this node. All methods are synchronous, so
 * each is atomic. Timestamps come from this node's monotonic clock; messages carry only durations.
 */

import type { clock as clocks, ids, placement as placements } from '@godwittrack/core';
import { placement as rules } from '@godwittrack/core';
import { records } from '@godwittrack/protocol';

/** A dispatcher uses the grants of a claim only within this time after it sent the claim. */
export const GRANT_LIFETIME_MS = 5_000;

/** Added to waits that must outlast a duration on another node, whose clock rate may differ. */
export const CLOCK_MARGIN_MS = 500;

/** A record is kept for at least this long after the deadline of its request. */
export const MIN_RETENTION_AFTER_DEADLINE_MS = 60_000;

/** How long the id of a released claim is kept, to refuse a claim message that arrives late. */
const RELEASED_CLAIM_RETENTION_MS = 60_000;

const MAX_RELEASED_CLAIMS = 20_000;

/** Estimated size of a record without its strings and body. */
const RECORD_OVERHEAD_BYTES = 256;

export interface RecordStoreOptions {
  /** Maximum number of records of all services together. Default 200,000. */
  maxEntries?: number;
  /** Maximum estimated size of the records of all services together. Default 64 MiB. */
  maxBytes?: number;
  /** Record retention of a service. Default 10 minutes for every service. */
  retentionMs?: (service: string) => number;
  /**
   * A holder grants no claims when the platform has not confirmed its placement for this long,
   * because other members may have replaced it since. Default 1 hour.
   */
  placementLeaseMs?: number;
  /** Called when a request carries a newer epoch than that of the adopted placement. */
  onNewerEpoch?: (service: string, epoch: number) => void;
}

interface PendingClaim {
  fingerprint: string;
  deadlineAtMs: number;
}

interface KeyEntry {
  /** Claims without an answer; more than one only after copies from different members. */
  claims: Map<string, PendingClaim>;
  answered: { claim: string; fingerprint: string; answer: records.RecordedAnswer } | null;
  expiresAtMs: number;
  bytes: number;
}

/** An epoch adopted by this node, and which earlier records the node has for it. */
interface AdoptedEpoch {
  placement: placements.Placement;
  adoptedAtMs: number;
  /** This incarnation is a member since the first epoch, so there are no earlier records. */
  memberSinceFirstEpoch: boolean;
  /** An earlier incarnation of this node is a member of this epoch; its records are lost. */
  restarted: boolean;
  /** Members whose records were copied and that had the full history of the previous epoch. */
  copiedPrevious: Set<string>;
  /** Members whose records were copied and that had the full history of this epoch. */
  copiedCurrent: Set<string>;
}

interface ServiceState {
  entries: Map<string, KeyEntry>;
  /** Consecutive epochs adopted by this incarnation, oldest first. */
  epochs: AdoptedEpoch[];
  /** When the platform last confirmed the placement. */
  confirmedAtMs: number;
  /** Claims with a lower epoch are refused. */
  minEpoch: number;
}

export class RecordStore {
  private readonly services = new Map<string, ServiceState>();

  private readonly releasedClaims = new Map<string, number>();

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
    return this.services.get(service)?.epochs.at(-1)?.placement ?? null;
  }

  /**
   * Adopts a newer placement, or renews the lease of the current one.
   * @param ageMs time since the platform confirmed the placement
   */
  adopt(placement: placements.Placement, ageMs = 0): void {
    const state = this.getOrCreateState(placement.service);
    const held = state.epochs.at(-1);
    if (held !== undefined && placement.epoch < held.placement.epoch) return;
    const nowMs = this.clock.monotonicMs();
    state.confirmedAtMs = Math.max(state.confirmedAtMs, nowMs - ageMs);
    if (held !== undefined && placement.epoch === held.placement.epoch) return;
    state.minEpoch = Math.max(state.minEpoch, placement.epoch);
    // The holders of a skipped epoch are unknown, so what was known before it no longer counts.
    if (held !== undefined && placement.epoch !== held.placement.epoch + 1) state.epochs = [];
    const member = placement.member(this.node);
    const sameIncarnation = member?.incarnation === this.incarnation;
    state.epochs.push({
      placement,
      adoptedAtMs: nowMs,
      memberSinceFirstEpoch: placement.epoch === 1 && sameIncarnation,
      restarted: held === undefined && member !== undefined && !sameIncarnation,
      copiedPrevious: new Set(),
      copiedCurrent: new Set(),
    });
    this.pruneEpochs(placement.service, state);
  }

  /**
   * True when this node may grant claims of the key: it has enough of the records within retention
   * that a quorum of ready holders cannot miss an earlier execution.
   */
  isReady(service: string, key: string): boolean {
    const epochs = this.services.get(service)?.epochs ?? [];
    return this.isReadyAt(service, epochs, epochs.length - 1, key);
  }

  /**
   * Invariant: any `readQuorum` ready holders of an epoch together have every claim of the earlier
   * epochs. A holder that remains from the previous epoch is ready without a copy only if the new
   * read quorum is not smaller than the previous one. For example, one of three holders may lack an
   * execution, so when only two holders remain, each of them has to copy.
   */
  private isReadyAt(
    service: string,
    epochs: readonly AdoptedEpoch[],
    i: number,
    key: string,
  ): boolean {
    const adopted = epochs[i];
    if (adopted === undefined) return false;
    const holders = adopted.placement.holders(key);
    const isOwn = ({ node }: placements.Member) => node === this.node;
    if (!holders.some(isOwn)) return false;
    if (adopted.memberSinceFirstEpoch || this.earlierRecordsExpired(service, adopted)) return true;
    const needed = rules.readQuorum(holders.length);
    if (countCopied(holders, adopted.copiedCurrent) >= needed) return true;
    if (adopted.restarted) return false;
    const previousHolders = adopted.placement.previousHolders(key);
    const wasReady = previousHolders.some(isOwn) && this.isReadyAt(service, epochs, i - 1, key);
    if (previousHolders.length === 0) return false;
    const neededOfPrevious = rules.readQuorum(previousHolders.length);
    if (wasReady && needed >= neededOfPrevious) return true;
    return (
      countCopied(previousHolders, adopted.copiedPrevious) + (wasReady ? 1 : 0) >= neededOfPrevious
    );
  }

  /** True when this node has the full history at `epoch`: the earlier records of all its keys. */
  hasFullHistory(service: string, epoch: number): boolean {
    const epochs = this.services.get(service)?.epochs ?? [];
    const adopted = epochs.find(({ placement }) => placement.epoch === epoch);
    if (adopted === undefined) return false;
    const { members, previous } = adopted.placement;
    if (!members.some(({ node }) => node === this.node)) return false;
    if (adopted.memberSinceFirstEpoch || this.earlierRecordsExpired(service, adopted)) return true;
    const others = members.filter(({ node }) => node !== this.node);
    if (others.length > 0 && others.every(({ node }) => adopted.copiedCurrent.has(node)))
      return true;
    if (adopted.restarted) return false;
    // The node's own records count for the previous epoch only if they were its full history.
    const known = new Set<string>(adopted.copiedPrevious);
    if (this.hasFullHistory(service, epoch - 1)) known.add(this.node);
    return coversAll(previous, known);
  }

  claim(req: records.ClaimRequest): records.ClaimReply {
    const state = this.services.get(req.service);
    const adopted = state?.epochs.at(-1);
    const epoch = adopted?.placement.epoch ?? 0;
    const minEpoch = state?.minEpoch ?? 0;
    const reply = (result: records.ClaimResult, extra: Partial<records.ClaimReply> = {}) =>
      records.ClaimReply.fromPartial({ result, epoch: Math.max(epoch, minEpoch), ...extra });
    if (req.epoch > epoch) this.onNewerEpoch(req.service, req.epoch);
    // Returns before any state is created for a service without a placement.
    if (state === undefined || req.epoch !== epoch || epoch < minEpoch) {
      return reply(records.ClaimResult.CLAIM_RESULT_WRONG_EPOCH);
    }
    const holders = adopted?.placement.holders(req.key) ?? [];
    if (!holders.some(({ node }) => node === this.node)) {
      return reply(records.ClaimResult.CLAIM_RESULT_NOT_HOLDER);
    }
    const found = this.replyFromRecord(req, state, reply);
    if (found !== null) return found;
    const nowMs = this.clock.monotonicMs();
    const leaseValid = nowMs - state.confirmedAtMs <= this.leaseMs;
    if (!leaseValid || this.releasedClaims.has(req.claim) || !this.isReady(req.service, req.key)) {
      return reply(records.ClaimResult.CLAIM_RESULT_RECOVERING);
    }
    const known = state.entries.get(req.key)?.claims.has(req.claim) === true;
    if (!known && !this.hasRoom(req.key, req.claim, req.fingerprint)) {
      return reply(records.ClaimResult.CLAIM_RESULT_FULL);
    }
    this.addClaim(state, req, this.retentionMs(req.service, req.deadlineLeftMs));
    return reply(records.ClaimResult.CLAIM_RESULT_GRANTED);
  }

  /** Stores the answer unless the record already has one. Accepts any epoch. */
  complete(req: records.CompleteRequest): records.CompleteReply {
    if (req.answer === undefined) return { stored: false };
    const state = this.getOrCreateState(req.service);
    const stored = this.addAnswer(
      state,
      { ...req, answer: req.answer },
      this.retentionMs(req.service, 0),
    );
    return { stored };
  }

  /** Removes a claim without an answer. If its claim message arrives later, it is refused. */
  release(req: records.ReleaseRequest): records.ReleaseReply {
    const state = this.getOrCreateState(req.service);
    this.rememberReleased(req.claim);
    const entry = state.entries.get(req.key);
    if (entry === undefined || !entry.claims.delete(req.claim)) return { released: false };
    if (entry.claims.size === 0 && entry.answered === null) this.removeEntry(state, req.key, entry);
    return { released: true };
  }

  /**
   * Returns the records that a recovering member needs. Claims below the epoch of the request are
   * refused from now on, so that the copy misses no grant of an older epoch.
   */
  createCopy(req: records.RecoverRequest): records.RecoverReply {
    const state = this.getOrCreateState(req.service);
    const epoch = this.placement(req.service)?.epoch ?? 0;
    if (req.epoch > epoch) this.onNewerEpoch(req.service, req.epoch);
    state.minEpoch = Math.max(state.minEpoch, req.epoch);
    const nowMs = this.clock.monotonicMs();
    const held = [...state.entries]
      .filter(([key, entry]) => entry.expiresAtMs > nowMs && this.isNeededBy(req, key))
      .flatMap(([key, entry]) => toKeyRecords(key, entry, nowMs));
    return records.RecoverReply.fromPartial({
      records: held,
      end: true,
      fullAtEpoch: this.hasFullHistory(req.service, req.epoch),
      fullAtPrevious: this.hasFullHistory(req.service, req.epoch - 1),
      epoch: state.minEpoch,
    });
  }

  /**
   * Time until the grants of this node's previous incarnation are too old to be used. Copies wait
   * for this, because a claim that still reaches its quorum may be missing from an earlier copy.
   */
  copyDelayMs(): number {
    const readyAtMs = this.startedAtMs + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
    return Math.max(0, readyAtMs - this.clock.monotonicMs());
  }

  /**
   * Merges a complete copy requested for `epoch`. Returns false when the copy does not count: the
   * epoch has changed, the source still accepts older epochs, the source lacks the full history, or
   * the store is full.
   */
  merge(service: string, source: string, epoch: number, copy: records.RecoverReply): boolean {
    const state = this.getOrCreateState(service);
    const adopted = state.epochs.at(-1);
    if (adopted === undefined || adopted.placement.epoch !== epoch || copy.epoch < epoch)
      return false;
    if (this.copyDelayMs() > 0) return false;
    const stored = copy.records.every((record) => this.mergeRecord(service, state, record));
    if (!stored) return false;
    if (copy.fullAtEpoch) adopted.copiedCurrent.add(source);
    if (copy.fullAtPrevious) adopted.copiedPrevious.add(source);
    return copy.fullAtEpoch || copy.fullAtPrevious;
  }

  /** Request for copies at the current epoch; null without a placement. */
  copyRequest(service: string): records.RecoverRequest | null {
    const epoch = this.placement(service)?.epoch;
    if (epoch === undefined) return null;
    return {
      service,
      node: this.node,
      epoch,
      fullAtPrevious: this.hasFullHistory(service, epoch - 1),
    };
  }

  /** Members from which this node still needs a copy at the current epoch. */
  copySources(service: string): placements.Member[] {
    const adopted = this.services.get(service)?.epochs.at(-1);
    if (adopted === undefined || this.hasFullHistory(service, adopted.placement.epoch)) return [];
    if (adopted.placement.member(this.node) === undefined) return [];
    const byNode = new Map(
      [...adopted.placement.previous, ...adopted.placement.members].map((m) => [
        m.node as string,
        m,
      ]),
    );
    byNode.delete(this.node);
    return [...byNode.values()].filter(({ node }) => !adopted.copiedCurrent.has(node));
  }

  /** Removes records past their retention. */
  expire(): void {
    const nowMs = this.clock.monotonicMs();
    for (const state of this.services.values()) {
      for (const [key, entry] of state.entries) {
        if (entry.expiresAtMs <= nowMs) this.removeEntry(state, key, entry);
      }
    }
    for (const [claim, untilMs] of this.releasedClaims) {
      if (untilMs <= nowMs) this.releasedClaims.delete(claim);
    }
  }

  private replyFromRecord(
    req: records.ClaimRequest,
    state: ServiceState,
    reply: (result: records.ClaimResult, extra?: Partial<records.ClaimReply>) => records.ClaimReply,
  ): records.ClaimReply | null {
    const nowMs = this.clock.monotonicMs();
    const entry = state.entries.get(req.key);
    if (entry === undefined) return null;
    if (entry.expiresAtMs <= nowMs) {
      this.removeEntry(state, req.key, entry);
      return null;
    }
    if (entry.answered !== null) {
      return entry.answered.fingerprint === req.fingerprint
        ? reply(records.ClaimResult.CLAIM_RESULT_COMPLETED, { answer: entry.answered.answer })
        : reply(records.ClaimResult.CLAIM_RESULT_FINGERPRINT_MISMATCH);
    }
    const others = [...entry.claims].filter(([claim]) => claim !== req.claim);
    // The same claim, copied or sent twice, is granted only if this node is ready for the key.
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
    minRetentionMs: number,
  ): void {
    const nowMs = this.clock.monotonicMs();
    const entry = this.getOrCreateEntry(state, req.key);
    entry.expiresAtMs = Math.max(entry.expiresAtMs, nowMs + minRetentionMs);
    if (entry.claims.has(req.claim)) return;
    const deadlineAtMs = nowMs + req.deadlineLeftMs;
    entry.claims.set(req.claim, { fingerprint: req.fingerprint, deadlineAtMs });
    entry.bytes += this.addBytes(req.claim.length + req.fingerprint.length);
  }

  private addAnswer(
    state: ServiceState,
    req: { key: string; claim: string; fingerprint: string; answer: records.RecordedAnswer },
    minRetentionMs: number,
  ): boolean {
    const existing = this.liveEntry(state, req.key);
    if (existing !== undefined && existing.answered !== null) {
      return existing.answered.claim === req.claim;
    }
    if (existing === undefined && !this.hasRoom(req.key, req.claim, req.fingerprint)) return false;
    const entry = this.getOrCreateEntry(state, req.key);
    const bytes = answerBytes(req.answer);
    const answerFits = this.byteCount + bytes <= this.maxBytes;
    // If the answer does not fit, the status alone still shows a repeat that the request was executed.
    const answer = answerFits
      ? req.answer
      : { status: req.answer.status, headers: [], body: Buffer.alloc(0), bodyKept: false };
    entry.answered = { claim: req.claim, fingerprint: req.fingerprint, answer };
    entry.claims.clear();
    entry.expiresAtMs = Math.max(entry.expiresAtMs, this.clock.monotonicMs() + minRetentionMs);
    if (answerFits) entry.bytes += this.addBytes(bytes);
    return true;
  }

  private mergeRecord(service: string, state: ServiceState, record: records.KeyRecord): boolean {
    if (record.answer !== undefined) {
      const { answer } = record;
      const existing = this.liveEntry(state, record.key);
      if (existing?.answered) return true;
      return this.addAnswer(state, { ...record, answer }, record.retentionLeftMs);
    }
    if (this.releasedClaims.has(record.claim)) return true;
    const existing = this.liveEntry(state, record.key);
    if (existing?.answered) return true;
    const known = existing?.claims.has(record.claim) === true;
    if (!known && !this.hasRoom(record.key, record.claim, record.fingerprint)) return false;
    this.addClaim(state, record, record.retentionLeftMs);
    return true;
  }

  private isNeededBy(req: records.RecoverRequest, key: string): boolean {
    const placement = this.placement(req.service);
    // The requester's keys are unknown without its placement, so all records are sent.
    if (placement === null || placement.epoch !== req.epoch) return true;
    const isRequester = ({ node }: placements.Member) => node === req.node;
    const holders = placement.holders(key);
    if (!holders.some(isRequester)) return false;
    const previousHolders = placement.previousHolders(key);
    const coverageKept =
      rules.readQuorum(holders.length) >= rules.readQuorum(previousHolders.length);
    return !(req.fullAtPrevious && coverageKept && previousHolders.some(isRequester));
  }

  private earlierRecordsExpired(service: string, adopted: AdoptedEpoch): boolean {
    // Unreachable members of an older epoch may grant claims until their placement lease ends.
    const waitMs =
      this.retentionMs(service, 0) + this.leaseMs + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
    return this.clock.monotonicMs() - adopted.adoptedAtMs >= waitMs;
  }

  private retentionMs(service: string, deadlineLeftMs: number): number {
    return Math.max(this.retentionOf(service), deadlineLeftMs + MIN_RETENTION_AFTER_DEADLINE_MS);
  }

  private pruneEpochs(service: string, state: ServiceState): void {
    const { epochs } = state;
    const last = epochs.findLastIndex((adopted) => this.earlierRecordsExpired(service, adopted));
    // Epochs before one whose earlier records have all expired are no longer needed.
    if (last > 0) epochs.splice(0, last);
  }

  private getOrCreateState(service: string): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      state = { entries: new Map(), epochs: [], confirmedAtMs: -Infinity, minEpoch: 0 };
      this.services.set(service, state);
    }
    return state;
  }

  /** Returns the entry of a key. Removes an expired one, so that it does not hide a newer record. */
  private liveEntry(state: ServiceState, key: string): KeyEntry | undefined {
    const entry = state.entries.get(key);
    if (entry === undefined || entry.expiresAtMs > this.clock.monotonicMs()) return entry;
    this.removeEntry(state, key, entry);
    return undefined;
  }

  private getOrCreateEntry(state: ServiceState, key: string): KeyEntry {
    let entry = state.entries.get(key);
    if (entry === undefined) {
      entry = { claims: new Map(), answered: null, expiresAtMs: 0, bytes: 0 };
      state.entries.set(key, entry);
      this.entryCount += 1;
      entry.bytes += this.addBytes(RECORD_OVERHEAD_BYTES + key.length);
    }
    return entry;
  }

  private addBytes(bytes: number): number {
    this.byteCount += bytes;
    return bytes;
  }

  private removeEntry(state: ServiceState, key: string, entry: KeyEntry): void {
    state.entries.delete(key);
    this.entryCount -= 1;
    this.byteCount -= entry.bytes;
  }

  private hasRoom(...texts: string[]): boolean {
    const bytes = RECORD_OVERHEAD_BYTES + texts.reduce((sum, text) => sum + text.length, 0);
    return this.entryCount < this.maxEntries && this.byteCount + bytes <= this.maxBytes;
  }

  private rememberReleased(claim: string): void {
    this.releasedClaims.set(claim, this.clock.monotonicMs() + RELEASED_CLAIM_RETENTION_MS);
    if (this.releasedClaims.size <= MAX_RELEASED_CLAIMS) return;
    const [oldest] = this.releasedClaims.keys();
    if (oldest !== undefined) this.releasedClaims.delete(oldest);
  }
}

function countCopied(holders: readonly placements.Member[], copied: ReadonlySet<string>): number {
  return holders.filter(({ node }) => copied.has(node)).length;
}

/** True when the records of the `known` members include all records of any key of the group. */
function coversAll(group: readonly placements.Member[], known: ReadonlySet<string>): boolean {
  const missing = group.filter(({ node }) => !known.has(node));
  if (group.length < 2) return group.length === 1 && missing.length === 0;
  const domains = (members: readonly placements.Member[]) =>
    new Set(members.map((m) => `${m.region}/${m.failureDomain}`)).size;
  // Each key may lack one holder, and with three domains no key has two holders in the same one.
  return missing.length <= 1 || (domains(missing) === 1 && domains(group) >= 3);
}

function toKeyRecords(key: string, entry: KeyEntry, nowMs: number): records.KeyRecord[] {
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
