/**
 * Decides from which node a newer configuration is requested, and when. After a restart, all other nodes
 * advertise a newer version at once; requesting it from each of them would saturate the links between
 * regions. A version is requested within its own delay, however many newer ones follow.
 */

import type { ids } from '@godwittrack/core';

/** Time to wait for a response before another node is asked. */
const RESPONSE_TIMEOUT_MS = 500;

/**
 * Delay before a version advertised by another failure domain is requested there, since traffic between
 * domains is billed. Within this time a change usually arrives from the own domain.
 */
export const REMOTE_REQUEST_DELAY_MS = 300;

export interface Advertisement {
  /** Node that has the version. */
  node: ids.NodeId;
  version: number;
  /** Delay before the request, during which the version may arrive from the own failure domain. */
  delayMs: number;
  /** Sends the request to the node that advertised the version. */
  request: () => void;
}

interface Source {
  advertisement: Advertisement;
  /** Time of the last request that the node has not answered; -Infinity if there is none. */
  askedMs: number;
}

export interface ConfigurationRequestsOptions {
  activeVersion: () => number;
  nowMs: () => number;
}

export class ConfigurationRequests {
  private inFlight: { version: number; atMs: number } | null = null;

  /** Nodes that have a newer version than the active one, with their newest advertisement. */
  private readonly sources = new Map<ids.NodeId, Source>();

  /** Time from which each advertised version newer than the active one may be requested. */
  private readonly dueMs = new Map<number, number>();

  constructor(private readonly options: ConfigurationRequestsOptions) {}

  /** Handles the advertisement of a version that may be newer than the active one. */
  onAdvertised(advertisement: Advertisement): void {
    const { node, version, delayMs } = advertisement;
    if (version <= this.options.activeVersion()) return;
    const source = this.sources.get(node);
    if (source === undefined || version >= source.advertisement.version) {
      this.sources.set(node, { advertisement, askedMs: source?.askedMs ?? -Infinity });
    }
    const dueMs = this.options.nowMs() + delayMs;
    this.dueMs.set(version, Math.min(dueMs, this.dueMs.get(version) ?? Infinity));
    this.requestDue();
  }

  /**
   * Requests the newest version if the delay of any missing one has passed and no response is awaited.
   * Called periodically and when a version becomes active.
   */
  requestDue(): void {
    this.discardActive();
    const now = this.options.nowMs();
    if (this.isAwaitingResponse() || Math.min(...this.dueMs.values()) > now) return;
    const [source] = [...this.sources.values()].sort(compareSources);
    if (source === undefined) return;
    source.askedMs = now;
    this.inFlight = { version: source.advertisement.version, atMs: now };
    source.advertisement.request();
  }

  /** Forgets what the active configuration has made obsolete. */
  private discardActive(): void {
    const active = this.options.activeVersion();
    for (const version of this.dueMs.keys()) {
      if (version <= active) this.dueMs.delete(version);
    }
    for (const [node, { advertisement }] of this.sources) {
      if (advertisement.version <= active) this.sources.delete(node);
    }
  }

  private isAwaitingResponse(): boolean {
    if (this.inFlight === null || this.options.activeVersion() >= this.inFlight.version)
      return false;
    return this.options.nowMs() - this.inFlight.atMs < RESPONSE_TIMEOUT_MS;
  }
}

/** Nodes that have not left a request unanswered first, then the nearer ones, then the newest version. */
function compareSources(a: Source, b: Source): number {
  if (a.askedMs !== b.askedMs) return a.askedMs - b.askedMs;
  const [first, second] = [a.advertisement, b.advertisement];
  return first.delayMs - second.delayMs || second.version - first.version;
}
