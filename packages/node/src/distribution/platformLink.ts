/**
 * What this node knows of the platform: over its own watch, or over the heartbeats of its parent.
 * The age says how old that knowledge is; the path says through which nodes it came.
 */

import type { clock } from '@godwittrack/core';
import * as signals from '../signals.js';

export class PlatformLink {
  private contactAtMs: number | null = null;

  private version = 0;

  private parentPath: readonly string[] = [];

  /** Raised with each confirmed contact. */
  readonly contacted = new signals.ChangeSignal();

  constructor(
    private readonly node: string,
    private readonly time: clock.Clock,
  ) {}

  /** Milliseconds since the last confirmed contact; null when there was none. */
  get ageMs(): number | null {
    return this.contactAtMs === null ? null : this.time.monotonicMs() - this.contactAtMs;
  }

  /** Highest configuration version that the platform was seen to hold. */
  get platformVersion(): number {
    return this.version;
  }

  /** Node ids from this node to the platform's watcher. */
  get path(): string[] {
    return [this.node, ...this.parentPath];
  }

  /** Notes a contact that happened `ageMs` ago; older news than what is known changes nothing. */
  confirm(platformVersion: number, ageMs = 0): void {
    this.version = Math.max(this.version, platformVersion);
    const atMs = this.time.monotonicMs() - ageMs;
    if (this.contactAtMs !== null && atMs <= this.contactAtMs) return;
    this.contactAtMs = atMs;
    this.contacted.notify();
  }

  setParentPath(path: readonly string[]): void {
    this.parentPath = path;
  }
}
