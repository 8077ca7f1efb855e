/**
 * Decides which node is asked for a whole configuration. A restarted node hears of a newer version
 * from every other node at once; asking all of them would fill the links between regions.
 */

/** Time for the answer before another node is asked. */
const ANSWER_LIMIT_MS = 500;

/**
 * Time in which the nodes of the own failure domain usually tell a change; only then is it asked for
 * in another domain, since that traffic is billed.
 */
export const REMOTE_PATIENCE_MS = 300;

export interface Offer {
  version: number;
  /** Time to wait before asking, for news that should come from nearer. */
  patienceMs: number;
  /** Asks the node that holds the version. */
  ask: () => void;
}

export interface ConfigurationRequestsOptions {
  heldVersion: () => number;
  nowMs: () => number;
}

export class ConfigurationRequests {
  private asked: { version: number; atMs: number } | null = null;

  /** Newest version heard of while an answer or nearer news was awaited. */
  private next: { offer: Offer; fromMs: number } | null = null;

  constructor(private readonly options: ConfigurationRequestsOptions) {}

  /** Another node holds a version that may be newer. */
  offered(offer: Offer): void {
    if (offer.version <= this.options.heldVersion()) return;
    const now = this.options.nowMs();
    if (this.isAwaiting() || offer.patienceMs > 0) {
      if (this.next === null || offer.version > this.next.offer.version) {
        this.next = { offer, fromMs: now + offer.patienceMs };
      } else if (offer.version === this.next.offer.version && offer.patienceMs === 0) {
        this.next = { offer, fromMs: now };
      }
      return;
    }
    this.asked = { version: offer.version, atMs: now };
    offer.ask();
  }

  /** Asks again where an answer is missing, or was older than what was heard of since. */
  review(): void {
    const { next } = this;
    if (next === null || this.isAwaiting() || this.options.nowMs() < next.fromMs) return;
    this.next = null;
    this.offered({ ...next.offer, patienceMs: 0 });
  }

  private isAwaiting(): boolean {
    if (this.asked === null || this.options.heldVersion() >= this.asked.version) return false;
    return this.options.nowMs() - this.asked.atMs < ANSWER_LIMIT_MS;
  }
}
