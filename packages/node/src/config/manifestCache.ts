/** Cache of the manifest with its object version, which a conditional update of it needs. */

import type { manifest } from '@godwittrack/core';

export interface VersionedManifest {
  manifest: manifest.Manifest;
  /** Object version in the platform; null when the manifest does not exist yet. */
  objectVersion: number | null;
}

/** Latest manifest that this node read or wrote; saves a read when a ticket is accepted. */
export class ManifestCache {
  private held: VersionedManifest | null = null;

  get latest(): VersionedManifest | null {
    return this.held;
  }

  /** Stores a manifest unless a newer one is held. */
  update(next: VersionedManifest): void {
    if ((this.held?.objectVersion ?? -1) > (next.objectVersion ?? -1)) return;
    this.held = next;
  }

  clear(): void {
    this.held = null;
  }
}
