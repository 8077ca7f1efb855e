/**
 * What this node knows of the platform: over its own watch, or over the heartbeats of its parent.
 * Times of contact are never later than the contact itself, however long a message was under way,
 * so that a restarted node can tell whether a contact came after its own start.
 */

import type { clock } from '@godwittrack/core';
import * as signals from '../signals.js';

export class PlatformLink {
  private contactMs: number | null = null;

  private version = 0;

  private parentPath: readonly string[] = [];

  /** Raised with each later contact and with each other path. */
  readonly contacted = new signals.ChangeSignal();

  constructor(
    private readonly node: string,
    private readonly time: clock.Clock,
  ) {}

  /** Monotonic time of the last confirmed contact; null when there was none. */
  get contactAtMs(): number | null {
    return this.contactMs;
  }

  /** Milliseconds since the last confirmed contact; null when there was none. */
  get ageMs(): number | null {
    return this.contactMs === null ? null : this.time.monotonicMs() - this.contactMs;
  }

  /** Highest configuration version that the platform was seen to hold. */
  get platformVersion(): number {
    return this.version;
  }

  /** Node ids from this node to the platform's watcher. */
  get path(): string[] {
    return [this.node, ...this.parentPath];
  }

  /** Notes a contact at a monotonic time; an earlier one than what is known changes nothing. */
  confirm(platformVersion: number, atMs: number): void {
    this.version = Math.max(this.version, platformVersion);
    if (this.contactMs !== null && atMs <= this.contactMs) return;
    this.contactMs = atMs;
    this.contacted.notify();
  }

  setParentPath(path: readonly string[]): void {
    if (path.join('\u0000') === this.parentPath.join('\u0000')) return;
    this.parentPath = path;
    this.contacted.notify();
  }
}
