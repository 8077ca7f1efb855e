/**
 * Decides which node is asked for a whole configuration. A restarted node hears of a newer version
 * from every other node at once; asking all of them would fill the links between regions.
 */

/** Time for the answer before another node is asked. */
const RESPONSE_TIMEOUT_MS = 500;

/**
 * Time in which the nodes of the own failure domain usually tell a change; only then is it asked for
 * in another domain, since that traffic is billed.
 */
export const REMOTE_REQUEST_DELAY_MS = 300;

export interface Advertisement {
  version: number;
  /** Time to wait before asking, for news that should come from nearer. */
  delayMs: number;
  /** Asks the node that holds the version. */
  request: () => void;
}

export interface ConfigurationRequestsOptions {
  heldVersion: () => number;
  nowMs: () => number;
}

export class ConfigurationRequests {
  private inFlight: { version: number; atMs: number } | null = null;

  /** Newest version heard of while an answer or nearer news was awaited. */
  private deferred: { advertisement: Advertisement; notBeforeMs: number } | null = null;

  constructor(private readonly options: ConfigurationRequestsOptions) {}

  /** Another node holds a version that may be newer. */
  onAdvertised(advertisement: Advertisement): void {
    if (advertisement.version <= this.options.heldVersion()) return;
    const now = this.options.nowMs();
    if (this.isAwaitingResponse() || advertisement.delayMs > 0) {
      if (this.deferred === null || advertisement.version > this.deferred.advertisement.version) {
        this.deferred = { advertisement: advertisement, notBeforeMs: now + advertisement.delayMs };
      } else if (advertisement.version === this.deferred.advertisement.version && advertisement.delayMs === 0) {
        this.deferred = { advertisement: advertisement, notBeforeMs: now };
      }
      return;
    }
    this.inFlight = { version: advertisement.version, atMs: now };
    advertisement.request();
  }

  /** Asks again where an answer is missing, or was older than what was heard of since. */
  requestDeferred(): void {
    const { deferred: next } = this;
    if (next === null || this.isAwaitingResponse() || this.options.nowMs() < next.notBeforeMs) return;
    this.deferred = null;
    this.onAdvertised({ ...next.advertisement, delayMs: 0 });
  }

  private isAwaitingResponse(): boolean {
    if (this.inFlight === null || this.options.heldVersion() >= this.inFlight.version) return false;
    return this.options.nowMs() - this.inFlight.atMs < RESPONSE_TIMEOUT_MS;
  }
}
