/**
 * Decides from which node a newer configuration is requested. After a restart, all other nodes advertise a
 * newer version at once; requesting it from each of them would saturate the links between regions.
 */

/** Time to wait for a response before another node is asked. */
const RESPONSE_TIMEOUT_MS = 500;

/**
 * Delay before a version advertised by another failure domain is requested there, since traffic between
 * domains is billed. Within this time a change usually arrives from the own domain.
 */
export const REMOTE_REQUEST_DELAY_MS = 300;

export interface Advertisement {
  version: number;
  /** Delay before the request, during which the version may arrive from the own failure domain. */
  delayMs: number;
  /** Sends the request to the node that advertised the version. */
  request: () => void;
}

export interface ConfigurationRequestsOptions {
  activeVersion: () => number;
  nowMs: () => number;
}

export class ConfigurationRequests {
  private inFlight: { version: number; atMs: number } | null = null;

  /** Newest version that was advertised while a response was awaited, or whose delay has not passed. */
  private deferred: { advertisement: Advertisement; notBeforeMs: number } | null = null;

  constructor(private readonly options: ConfigurationRequestsOptions) {}

  /** Handles the advertisement of a version that may be newer than the active one. */
  onAdvertised(advertisement: Advertisement): void {
    if (advertisement.version <= this.options.activeVersion()) return;
    const now = this.options.nowMs();
    if (this.isAwaitingResponse() || advertisement.delayMs > 0) {
      if (this.deferred === null || advertisement.version > this.deferred.advertisement.version) {
        this.deferred = { advertisement, notBeforeMs: now + advertisement.delayMs };
      } else if (
        advertisement.version === this.deferred.advertisement.version &&
        advertisement.delayMs === 0
      ) {
        this.deferred = { advertisement, notBeforeMs: now };
      }
      return;
    }
    this.inFlight = { version: advertisement.version, atMs: now };
    advertisement.request();
  }

  /** Requests the deferred version once its delay has passed and no response is awaited. Called periodically. */
  requestDeferred(): void {
    const { deferred } = this;
    if (
      deferred === null ||
      this.isAwaitingResponse() ||
      this.options.nowMs() < deferred.notBeforeMs
    )
      return;
    this.deferred = null;
    this.onAdvertised({ ...deferred.advertisement, delayMs: 0 });
  }

  private isAwaitingResponse(): boolean {
    if (this.inFlight === null || this.options.activeVersion() >= this.inFlight.version)
      return false;
    return this.options.nowMs() - this.inFlight.atMs < RESPONSE_TIMEOUT_MS;
  }
}
