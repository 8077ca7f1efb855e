/**
 * Decides as the owner of quotas how many permits a node gets. Each customer has a token bucket that fills in
 * proportion to the votes that this node holds, so that all owners of a customer together grant no more than its
 * quota. All methods take the time as an argument.
 */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as quotaMessages from './quotaMessages.js';
import type * as quotaOwners from './quotaOwners.js';
import type * as quotaTolerance from './quotaTolerance.js';

/**
 * Longest time for which tokens are added at once. Shorter than the time in which votes can move to another seat
 * and back, so that no tokens are added for it; longer than a usual pause of the event loop.
 */
const MAX_REFILL_MS = 500;
/** Longest wait that shortfalls of other asks add; bounds the waits and, with them, the asks in a flood. */
const MAX_QUEUE_MS = 250;
/** Longest wait that is stated, for rates that are nearly zero. */
const MAX_RETRY_MS = 10_000;

interface Bucket {
  tokens: number;
  /** Votes divided by seats, at `refilledMs`. */
  share: number;
  refilledMs: number;
  /** When tokens for all that was asked for but not granted will be there. */
  queueEndsMs: number;
}

/** Grants of one request, which can be returned while they are valid. */
interface GrantRecord {
  grantedMs: number;
  counts: Map<ids.CustomerName, number>;
}

export interface QuotaLedgerOptions {
  quotaOf: (customer: ids.CustomerName) => configuration.Quota | null;
  shareOf: (customer: ids.CustomerName, nowMs: number) => quotaOwners.Share;
  tolerance: quotaTolerance.PermitRules;
}

export class QuotaLedger {
  private readonly buckets = new Map<ids.CustomerName, Bucket>();

  /** By node and request, oldest first. */
  private readonly records = new Map<string, GrantRecord>();

  constructor(private readonly options: QuotaLedgerOptions) {}

  /** Customers of which this node is an owner. */
  get owned(): number {
    return this.buckets.size;
  }

  /**
   * Fills the buckets; to be called at least twice in `MAX_REFILL_MS`.
   * @returns the customers of which this node has become an owner
   */
  review(customers: Iterable<ids.CustomerName>, nowMs: number): ids.CustomerName[] {
    const taken: ids.CustomerName[] = [];
    for (const customer of customers) {
      const wasOwner = this.buckets.has(customer);
      if (this.refill(customer, nowMs) !== null && !wasOwner) taken.push(customer);
    }
    for (const customer of this.buckets.keys()) {
      if (this.options.quotaOf(customer) === null) this.buckets.delete(customer);
    }
    this.forgetRecords(nowMs);
    return taken;
  }

  /** Grants what is there; null if this node is no owner of the customer. */
  grant(
    node: ids.NodeId,
    requestId: number,
    { customer, wanted }: quotaMessages.Ask,
    nowMs: number,
  ): Pick<quotaMessages.Grant, 'granted' | 'retryAfterMs'> | null {
    const bucket = this.refill(customer, nowMs);
    const quota = this.options.quotaOf(customer);
    if (bucket === null || quota === null) return null;
    const granted = Math.min(wanted, Math.floor(bucket.tokens));
    bucket.tokens -= granted;
    if (granted > 0) this.record(node, requestId, { customer, granted, nowMs });
    if (granted === wanted) return { granted, retryAfterMs: 0 };
    const ratePerMs = (quota.ratePerSecond * bucket.share) / 1_000;
    const untilTokenMs = (1 - bucket.tokens) / ratePerMs;
    const shortfall = wanted - granted;
    const isQueueEmpty = bucket.queueEndsMs <= nowMs;
    const queueEndsMs = isQueueEmpty
      ? nowMs + (shortfall - bucket.tokens) / ratePerMs
      : bucket.queueEndsMs + shortfall / ratePerMs;
    bucket.queueEndsMs = Math.min(nowMs + MAX_QUEUE_MS, queueEndsMs);
    const retryAfterMs = Math.max(untilTokenMs, bucket.queueEndsMs - nowMs);
    return { granted, retryAfterMs: Math.min(MAX_RETRY_MS, retryAfterMs) };
  }

  /** Takes back permits that were granted here and are still valid. */
  takeBack(node: ids.NodeId, returned: quotaMessages.ReturnedPermits, nowMs: number): void {
    const { customer, count, requestId } = returned;
    const record = this.records.get(recordKey(node, requestId));
    if (record === undefined) return;
    if (nowMs - record.grantedMs > this.options.tolerance.permitMs) return;
    const outstanding = record.counts.get(customer) ?? 0;
    const accepted = Math.min(count, outstanding);
    record.counts.set(customer, outstanding - accepted);
    const bucket = this.refill(customer, nowMs);
    const quota = this.options.quotaOf(customer);
    if (bucket === null || quota === null) return;
    bucket.tokens = Math.min(bucket.tokens + accepted, this.capacityOf(quota, bucket.share));
  }

  /** @returns null if this node is no owner of the customer */
  private refill(customer: ids.CustomerName, nowMs: number): Bucket | null {
    const quota = this.options.quotaOf(customer);
    const { votes, seats } = this.options.shareOf(customer, nowMs);
    if (quota === null || votes === 0) {
      this.buckets.delete(customer);
      return null;
    }
    const share = votes / seats;
    let bucket = this.buckets.get(customer);
    if (bucket === undefined) {
      bucket = { tokens: 0, share, refilledMs: nowMs, queueEndsMs: nowMs };
      this.buckets.set(customer, bucket);
      return bucket;
    }
    const elapsedMs = Math.min(MAX_REFILL_MS, Math.max(0, nowMs - bucket.refilledMs));
    // Votes that were added or lost meanwhile counted elsewhere for an unknown part of the time.
    const heldShare = Math.min(share, bucket.share);
    const refill = (elapsedMs / 1_000) * quota.ratePerSecond * heldShare;
    bucket.tokens = Math.min(bucket.tokens + refill, this.capacityOf(quota, share));
    bucket.share = share;
    bucket.refilledMs = nowMs;
    return bucket;
  }

  private capacityOf({ burst }: configuration.Quota, share: number): number {
    return (burst + this.options.tolerance.extraBurst) * share;
  }

  private record(
    node: ids.NodeId,
    requestId: number,
    grant: { customer: ids.CustomerName; granted: number; nowMs: number },
  ): void {
    const key = recordKey(node, requestId);
    let record = this.records.get(key);
    if (record === undefined) {
      record = { grantedMs: grant.nowMs, counts: new Map() };
      this.records.set(key, record);
    }
    record.counts.set(grant.customer, (record.counts.get(grant.customer) ?? 0) + grant.granted);
  }

  private forgetRecords(nowMs: number): void {
    for (const [key, { grantedMs }] of this.records) {
      if (nowMs - grantedMs <= this.options.tolerance.permitMs) return;
      this.records.delete(key);
    }
  }
}

function recordKey(node: ids.NodeId, requestId: number): string {
  return `${requestId} ${node}`;
}
