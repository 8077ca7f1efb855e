/**
 * Start-time fair queueing between customers with equal weights, within each class of priorities. A customer
 * is charged the estimated service time of each request that starts; the request whose customer has been
 * charged least goes first. A customer that was idle gets no credit for it.
 */

/** Charges after which customers without effect on the order are removed. */
const CHARGES_PER_PRUNE = 32;

interface FairClass {
  /** Start tag of the request that started last. */
  virtualTime: number;
  /** End of what each customer was charged; without effect once the virtual time has passed it. */
  finishTags: Map<string, number>;
  chargesUntilPrune: number;
}

export class FairShare {
  private readonly classes = new Map<string, FairClass>();

  /** Customers that ran requests lately, counted once for each class. */
  get size(): number {
    let count = 0;
    for (const { finishTags } of this.classes.values()) count += finishTags.size;
    return count;
  }

  /** Start tag of the next request of a customer that has none waiting. */
  startTag(classKey: string, share: string): number {
    const fairClass = this.classes.get(classKey);
    if (fairClass === undefined) return 0;
    return Math.max(fairClass.virtualTime, fairClass.finishTags.get(share) ?? 0);
  }

  /** Start tag of the request of a customer that neither waits nor ran lately. */
  newcomerTag(classKey: string): number {
    return this.classes.get(classKey)?.virtualTime ?? 0;
  }

  /**
   * Charges a request that starts with the given start tag.
   * @param isInOrder false if it started before others for a reason other than its share
   */
  charge(classKey: string, share: string, tag: number, costMs: number, isInOrder: boolean): void {
    let fairClass = this.classes.get(classKey);
    if (fairClass === undefined) {
      fairClass = { virtualTime: 0, finishTags: new Map(), chargesUntilPrune: CHARGES_PER_PRUNE };
      this.classes.set(classKey, fairClass);
    }
    const { finishTags } = fairClass;
    finishTags.set(share, Math.max(tag, finishTags.get(share) ?? 0) + costMs);
    if (isInOrder) fairClass.virtualTime = Math.max(fairClass.virtualTime, tag);
    fairClass.chargesUntilPrune -= 1;
    if (fairClass.chargesUntilPrune > 0) return;
    fairClass.chargesUntilPrune = CHARGES_PER_PRUNE;
    for (const [name, tagAtEnd] of finishTags) {
      if (tagAtEnd <= fairClass.virtualTime) finishTags.delete(name);
    }
  }

  /** Forgets all charges, for example when the upstream is idle. */
  clear(): void {
    this.classes.clear();
  }
}
