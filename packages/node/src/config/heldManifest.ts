/** The manifest with the object version that a conditional update of it needs. */

import type { manifest } from '@godwittrack/core';

export interface HeldManifest {
  manifest: manifest.Manifest;
  /** Object version for the conditional update; null when the manifest does not exist yet. */
  objectVersion: number | null;
}

/** Latest manifest that this node saw; saves the read before an acceptance. */
export class HeldManifestCache {
  private held: HeldManifest | null = null;

  get latest(): HeldManifest | null {
    return this.held;
  }

  /** Takes a manifest unless a later one is held. */
  offer(next: HeldManifest): void {
    if ((this.held?.objectVersion ?? -1) > (next.objectVersion ?? -1)) return;
    this.held = next;
  }

  clear(): void {
    this.held = null;
  }
}
