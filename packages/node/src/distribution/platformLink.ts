/**
 * State of this node's connection to the platform, known from its own watch or from the heartbeats
 * of its parent. A recorded contact time is never later than the contact itself, however long the
 * message took, so that a restarted node can tell whether a contact came after its own start.
 */

import type { clock } from '@godwittrack/core';
import * as signals from '../signals.js';

export class PlatformLink {
  private lastContactMs: number | null = null;

  private version = 0;

  private parentPath: readonly string[] = [];

  /** Raised after each newer contact and each change of the path. */
  readonly changed = new signals.ChangeSignal();

  constructor(
    private readonly node: string,
    private readonly time: clock.Clock,
  ) {}

  /** Monotonic time of the last confirmed contact; null when there was none. */
  get contactAtMs(): number | null {
    return this.lastContactMs;
  }

  /** Milliseconds since the last confirmed contact; null when there was none. */
  get ageMs(): number | null {
    return this.lastContactMs === null ? null : this.time.monotonicMs() - this.lastContactMs;
  }

  /** Highest configuration version known to be stored in the platform. */
  get platformVersion(): number {
    return this.version;
  }

  /** Node ids from this node up to the node that watches the platform. */
  get path(): string[] {
    return [this.node, ...this.parentPath];
  }

  /** Records a contact at a monotonic time; the contact time never goes back. */
  confirm(platformVersion: number, atMs: number): void {
    this.version = Math.max(this.version, platformVersion);
    if (this.lastContactMs !== null && atMs <= this.lastContactMs) return;
    this.lastContactMs = atMs;
    this.changed.notify();
  }

  setParentPath(path: readonly string[]): void {
    if (path.join('\u0000') === this.parentPath.join('\u0000')) return;
    this.parentPath = path;
    this.changed.notify();
  }
}
