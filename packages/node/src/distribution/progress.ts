/** Numbers of nodes that hold each configuration version, summed up the tree. */

import type { distribution } from '@godwittrack/protocol';
import * as signals from '../signals.js';
import type * as configStore from '../config/configStore.js';

/** Versions reported separately; the nodes on older ones are counted under the oldest of them. */
const MAX_VERSIONS = 8;

export type Counts = readonly distribution.VersionCount[];

/**
 * Adds counts. Versions beyond `MAX_VERSIONS` are merged into the oldest one, so that a sum never
 * overstates the number of nodes at a version.
 */
export function sumCounts(parts: readonly Counts[]): distribution.VersionCount[] {
  const byVersion = new Map<number, number>();
  for (const { configVersion, nodes } of parts.flat()) {
    byVersion.set(configVersion, (byVersion.get(configVersion) ?? 0) + nodes);
  }
  const sorted = [...byVersion].sort(([left], [right]) => right - left);
  const kept = sorted
    .slice(0, MAX_VERSIONS)
    .map(([configVersion, nodes]) => ({ configVersion, nodes }));
  const rest = sorted.slice(MAX_VERSIONS);
  if (rest.length === 0) return kept;
  const [lowest] = rest[rest.length - 1] ?? [0];
  const nodes = rest.reduce((sum, [, count]) => sum + count, 0);
  return [...kept, { configVersion: lowest, nodes }];
}

export function countAtLeast(counts: Counts, version: number): number {
  return counts
    .filter(({ configVersion }) => configVersion >= version)
    .reduce((sum, { nodes }) => sum + nodes, 0);
}

/** Progress of this node's subtree and, as received from the parent, of the fleet. */
export class Progress {
  private readonly children = new Map<string, distribution.SubtreeProgress>();

  private fleetProgress: distribution.FleetProgress = { counts: [], known: 0 };

  private highest = 0;

  /** Raised when the subtree's counts changed. */
  readonly subtreeChanged = new signals.ChangeSignal();

  /** Raised when the fleet's counts changed. */
  readonly fleetChanged = new signals.ChangeSignal();

  constructor(private readonly config: configStore.ConfigStore) {
    config.changed.subscribe(() => this.subtreeChanged.notify());
  }

  get fleet(): distribution.FleetProgress {
    return this.fleetProgress;
  }

  /** Highest version that any node is known to hold. */
  get highestVersion(): number {
    return Math.max(this.highest, this.config.version);
  }

  setChild(child: string, progress: distribution.SubtreeProgress): void {
    this.children.set(child, progress);
    this.updateHighest(progress.counts);
    this.subtreeChanged.notify();
  }

  removeChild(child: string): void {
    if (this.children.delete(child)) this.subtreeChanged.notify();
  }

  setFleet(progress: distribution.FleetProgress): void {
    if (JSON.stringify(progress) === JSON.stringify(this.fleetProgress)) return;
    this.fleetProgress = progress;
    this.updateHighest(progress.counts);
    this.fleetChanged.notify();
  }

  /** Counts of this node and everything below it. */
  subtree(): distribution.VersionCount[] {
    const own = [{ configVersion: this.config.version as number, nodes: 1 }];
    return sumCounts([own, ...[...this.children.values()].map((child) => child.counts)]);
  }

  /** Sum of the numbers of known nodes that region relays below this node reported. */
  childrenKnown(): number {
    return [...this.children.values()].reduce((sum, child) => sum + child.known, 0);
  }

  private updateHighest(counts: Counts): void {
    for (const { configVersion } of counts) this.highest = Math.max(this.highest, configVersion);
  }
}
