/**
 * Lower bound of the service of each customer and priority. Strict priorities exclude the least urgent
 * requests for as long as more urgent ones fill the upstream; this counts what was offered and started, and
 * tells which requests have to go first for their customer or priority to reach a share of the average.
 */

/**
 * Share of the average of all requests that each customer and priority gets. A quarter is required; the rest
 * makes up for requests that their senders refuse early, which are not counted here.
 */
const MIN_RELATIVE_SHARE = 0.4;
/** Half-life of the counts: with rare requests, several of them must be counted at once. */
const HALF_LIFE_MS = 5_000;
/** Counts below this are removed when there are many. */
const NEGLIGIBLE = 0.05;
const MIN_PRUNE_SIZE = 64;

export interface CountedRequest {
  customerPriority: number;
  priority: number;
  /** Absent for requests that are not counted. */
  share?: string;
}

interface Count {
  offered: number;
  started: number;
  atMs: number;
}

export class ServedShares {
  private readonly counts = new Map<string, Count>();

  private total: Count = { offered: 0, started: 0, atMs: 0 };

  private pruneSize = MIN_PRUNE_SIZE;

  /** Counts a request that is offered. @returns whether it goes first, if it has to wait */
  recordOffer(request: CountedRequest, nowMs: number): boolean {
    if (request.share === undefined) return false;
    const counts = this.countsOf(request, nowMs);
    for (const count of counts) count.offered += 1;
    const minShare = (MIN_RELATIVE_SHARE * this.total.started) / this.total.offered;
    // A whole request must be missing, so that rare requests don't overtake others by chance.
    return counts.some(({ offered, started }) => offered * minShare >= started + 1);
  }

  /** Counts a request that starts, or that goes first and is expected to start. */
  recordStart(request: CountedRequest, nowMs: number): void {
    if (request.share === undefined) return;
    for (const count of this.countsOf(request, nowMs)) count.started += 1;
  }

  /** Takes back the start of a request that went first and was refused or cancelled. */
  withdrawStart(request: CountedRequest, nowMs: number): void {
    if (request.share === undefined) return;
    for (const count of this.countsOf(request, nowMs)) {
      count.started = Math.max(0, count.started - 1);
    }
  }

  clear(): void {
    this.counts.clear();
    this.total = { offered: 0, started: 0, atMs: 0 };
  }

  private countsOf({ share, customerPriority, priority }: CountedRequest, nowMs: number): Count[] {
    decay(this.total, nowMs);
    return [
      this.total,
      this.countOf(`customer ${share}`, nowMs),
      this.countOf(`customerPriority ${customerPriority}`, nowMs),
      this.countOf(`priority ${priority}`, nowMs),
    ];
  }

  private countOf(key: string, nowMs: number): Count {
    let count = this.counts.get(key);
    if (count === undefined) {
      if (this.counts.size >= this.pruneSize) this.prune(nowMs);
      count = { offered: 0, started: 0, atMs: nowMs };
      this.counts.set(key, count);
    }
    decay(count, nowMs);
    return count;
  }

  private prune(nowMs: number): void {
    for (const [key, count] of this.counts) {
      decay(count, nowMs);
      if (count.offered < NEGLIGIBLE) this.counts.delete(key);
    }
    this.pruneSize = Math.max(MIN_PRUNE_SIZE, 2 * this.counts.size);
  }
}

function decay(count: Count, nowMs: number): void {
  const remainingShare = 0.5 ** ((nowMs - count.atMs) / HALF_LIFE_MS);
  count.offered *= remainingShare;
  count.started *= remainingShare;
  count.atMs = nowMs;
}
