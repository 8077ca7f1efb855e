/**
 * Waiting requests in the order in which they start: those on time before late ones, then those that have to
 * go first for a minimum of service, then by priority of the customer and of the route, fair share of the
 * customer and target time. The requests of one customer keep their order by target time among themselves.
 *
 * With n waiting requests, each operation evaluates the lateness of n requests at most, and moves only those
 * that are out of place.
 */

import type * as fairShare from './fairShare.js';

/** What determines the place of a request. */
export interface OrderedRequest {
  /** Priority of the customer; 0 is the most urgent. */
  customerPriority: number;
  /** Priority of the route among those of customers with the same priority; 0 is the most urgent. */
  priority: number;
  /** Monotonic time by which the request should be answered; it is late afterwards. */
  targetAtMs: number;
  /** Expected service time. */
  estimateMs: number;
  /** Whose share of the upstream it uses; absent if requests are not ordered by shares. */
  share?: string;
}

export interface Entry<T> {
  readonly request: T;
  /** Whether it goes before more urgent requests, for the minimum of service of its customer or priority. */
  readonly goesFirst: boolean;
  /** Requests of one class are ordered by shares; empty if the request has none. */
  readonly classKey: string;
  isLate: boolean;
  /** Start tag; 0 without a share. */
  tag: number;
}

export class WaitingList<T extends OrderedRequest> {
  private entries: Entry<T>[] = [];

  constructor(
    private readonly shares: fairShare.FairShare,
    private readonly isLate: (request: T, nowMs: number) => boolean,
  ) {}

  get length(): number {
    return this.entries.length;
  }

  /** In order, as of the last `refresh`. */
  get ordered(): readonly Entry<T>[] {
    return this.entries;
  }

  get first(): Entry<T> | null {
    return this.entries[0] ?? null;
  }

  find(request: T): Entry<T> | null {
    return this.entries.find((entry) => entry.request === request) ?? null;
  }

  /** Entry of a request that is not in the list, with the tag that it has there. */
  createEntry(request: T, goesFirst: boolean, nowMs: number): Entry<T> {
    const { share, customerPriority, priority } = request;
    const classKey = share === undefined ? '' : `${customerPriority}/${priority}`;
    const isLate = this.isLate(request, nowMs);
    const entry = { request, goesFirst, classKey, isLate, tag: 0 };
    if (share === undefined) return entry;
    entry.tag = this.shares.startTag(classKey, share);
    for (const other of this.entries) {
      if (isSameShare(entry, other) && compareOwn(entry, other) >= 0) {
        entry.tag += other.request.estimateMs;
      }
    }
    return entry;
  }

  positionOf(entry: Entry<T>): number {
    const position = this.entries.findIndex((other) => compare(entry, other) < 0);
    return position < 0 ? this.entries.length : position;
  }

  insert(entry: Entry<T>, position: number): void {
    this.entries.splice(position, 0, entry);
    if (entry.classKey === '') return;
    this.shiftLater(entry, position + 1, entry.request.estimateMs);
    this.restoreOrder();
  }

  /** Removes an entry whose request starts, if it waited, and charges its share. */
  start(entry: Entry<T>): void {
    const index = this.entries.indexOf(entry);
    if (index >= 0) this.entries.splice(index, 1);
    const { request, classKey, tag, goesFirst } = entry;
    if (request.share === undefined) return;
    this.shares.charge(classKey, request.share, tag, request.estimateMs, !goesFirst);
  }

  /** Removes an entry whose request does not start. */
  drop(entry: Entry<T>): void {
    const index = this.entries.indexOf(entry);
    this.entries.splice(index, 1);
    if (entry.classKey === '') return;
    this.shiftLater(entry, index, -entry.request.estimateMs);
    this.restoreOrder();
  }

  clear(): Entry<T>[] {
    const cleared = this.entries;
    this.entries = [];
    return cleared;
  }

  /** Updates which requests are late, and thus the order. */
  refresh(nowMs: number): void {
    const changed: Entry<T>[] = [];
    for (const entry of this.entries) {
      const isLate = this.isLate(entry.request, nowMs);
      if (isLate !== entry.isLate) {
        entry.isLate = isLate;
        changed.push(entry);
      }
    }
    if (changed.length === 0) return;
    const retagged: Entry<T>[] = [];
    for (const entry of changed) {
      if (entry.classKey !== '' && !retagged.some((other) => isSameShare(entry, other))) {
        retagged.push(entry);
        this.retag(entry);
      }
    }
    this.restoreOrder();
  }

  /** Assigns the tags of all requests of one share again. */
  private retag(one: Entry<T>): void {
    let tag = this.shares.startTag(one.classKey, one.request.share!);
    const own = this.entries.filter((other) => isSameShare(one, other)).sort(compareOwn);
    for (const entry of own) {
      entry.tag = tag;
      tag += entry.request.estimateMs;
    }
  }

  private shiftLater(entry: Entry<T>, fromIndex: number, byMs: number): void {
    for (let i = fromIndex; i < this.entries.length; i += 1) {
      const other = this.entries[i]!;
      if (isSameShare(entry, other)) other.tag += byMs;
    }
  }

  /** Insertion sort, which costs one pass where few entries are out of place. */
  private restoreOrder(): void {
    const { entries } = this;
    for (let i = 1; i < entries.length; i += 1) {
      const entry = entries[i]!;
      let j = i;
      while (j > 0 && compare(entry, entries[j - 1]!) < 0) {
        entries[j] = entries[j - 1]!;
        j -= 1;
      }
      entries[j] = entry;
    }
  }
}

function isSameShare(a: Entry<OrderedRequest>, b: Entry<OrderedRequest>): boolean {
  return a.classKey === b.classKey && a.request.share === b.request.share;
}

export function compare(a: Entry<OrderedRequest>, b: Entry<OrderedRequest>): number {
  return comparePriority(a, b) || a.tag - b.tag || a.request.targetAtMs - b.request.targetAtMs;
}

/** Order of the requests of one share. */
function compareOwn(a: Entry<OrderedRequest>, b: Entry<OrderedRequest>): number {
  return comparePriority(a, b) || a.request.targetAtMs - b.request.targetAtMs;
}

function comparePriority(a: Entry<OrderedRequest>, b: Entry<OrderedRequest>): number {
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.goesFirst !== b.goesFirst) return a.goesFirst ? -1 : 1;
  return (
    a.request.customerPriority - b.request.customerPriority ||
    a.request.priority - b.request.priority
  );
}
