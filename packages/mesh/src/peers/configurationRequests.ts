/**
 * Decides which node is asked for a whole configuration. A restarted node hears of a newer version
 * from every other node at once; asking all of them would fill the links between regions.
 */

/** Time for the answer before another node is asked. */
const ANSWER_LIMIT_MS = 500;

export interface Offer {
  version: number;
  /** Asks the node that holds the version. */
  ask: () => void;
}

export interface ConfigurationRequestsOptions {
  heldVersion: () => number;
  nowMs: () => number;
}

export class ConfigurationRequests {
  private asked: { version: number; atMs: number } | null = null;

  /** Newest version heard of while an answer was awaited. */
  private next: Offer | null = null;

  constructor(private readonly options: ConfigurationRequestsOptions) {}

  /** Another node holds a version that may be newer. */
  offered(offer: Offer): void {
    if (offer.version <= this.options.heldVersion()) return;
    if (this.isAwaiting()) {
      if (this.next === null || offer.version >= this.next.version) this.next = offer;
      return;
    }
    this.asked = { version: offer.version, atMs: this.options.nowMs() };
    offer.ask();
  }

  /** Asks again where an answer is missing, or was older than what was heard of since. */
  review(): void {
    const { next } = this;
    if (next === null || this.isAwaiting()) return;
    this.next = null;
    this.offered(next);
  }

  private isAwaiting(): boolean {
    if (this.asked === null || this.options.heldVersion() >= this.asked.version) return false;
    return this.options.nowMs() - this.asked.atMs < ANSWER_LIMIT_MS;
  }
}
