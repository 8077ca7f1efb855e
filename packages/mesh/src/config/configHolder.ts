/** Holds the newest configuration that a node knows. An older version never replaces a newer one. */

import type * as configuration from './configuration.js';
import type * as propagation from './propagation.js';
import * as customerDirectory from '../customers/customerDirectory.js';
import * as routeTable from '../routing/routeTable.js';

export interface ActiveConfiguration {
  readonly cfg: configuration.Configuration;
  readonly routes: routeTable.RouteTable;
  /** Null if requests need no keys. */
  readonly customers: customerDirectory.CustomerDirectory | null;
  /** Monotonic time at which this node activated it. */
  readonly activeSinceMs: number;
}

/**
 * Configurations kept, with the active one. Earlier ones serve as the base of deltas that skip versions,
 * since nodes that read the store at different times skip different versions.
 */
const MAX_RECENT_VERSIONS = 16;

export interface Source {
  origin: propagation.Origin;
  /** Sender of the configuration, for the log. */
  name: string;
}

type Listener = (
  active: ActiveConfiguration,
  previous: configuration.Configuration | null,
  source: Source,
) => void;

export class ConfigHolder {
  private active: ActiveConfiguration | null = null;

  /** Newest first; the first one is active. */
  private recent: configuration.Configuration[] = [];

  private readonly listeners: Listener[] = [];

  constructor(private readonly nowMs: () => number) {}

  get current(): ActiveConfiguration | null {
    return this.active;
  }

  /** Version of the active configuration; 0 before the first. */
  get version(): number {
    return this.active?.cfg.version ?? 0;
  }

  /** Whether no configuration has replaced another one here; a restored store may have returned an old one. */
  get isInitial(): boolean {
    return this.recent.length <= 1;
  }

  /** @returns null for versions that were never active here or are no longer kept */
  find(version: number): configuration.Configuration | null {
    return this.recent.find((cfg) => cfg.version === version) ?? null;
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Activates a configuration if it is newer than the active one. @returns whether it was activated */
  offer(cfg: configuration.Configuration, source: Source): boolean {
    if (cfg.version <= this.version) return false;
    const previous = this.active?.cfg ?? null;
    this.active = {
      cfg,
      routes: new routeTable.RouteTable(cfg),
      customers: customerDirectory.resolveDirectory(cfg),
      activeSinceMs: this.nowMs(),
    };
    this.recent = [cfg, ...this.recent].slice(0, MAX_RECENT_VERSIONS);
    for (const listener of this.listeners) listener(this.active, previous, source);
    return true;
  }
}
