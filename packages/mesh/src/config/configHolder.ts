/** Holds the newest configuration of a node. Versions only rise and are replaced as a whole. */

import type * as configuration from './configuration.js';
import type * as news from './news.js';
import * as routeTable from '../routing/routeTable.js';

export interface HeldConfiguration {
  readonly cfg: configuration.Configuration;
  readonly routes: routeTable.RouteTable;
  /** Monotonic time at which this node took it. */
  readonly heldSinceMs: number;
}

/** Earlier configurations that are kept as the base of differences that skip some versions. */
const KEPT_VERSIONS = 16;

export interface Source {
  origin: news.Origin;
  /** Who it came from, for the log. */
  name: string;
}

type Listener = (
  held: HeldConfiguration,
  previous: configuration.Configuration | null,
  source: Source,
) => void;

export class ConfigHolder {
  private held: HeldConfiguration | null = null;

  /** Newest first, with the one in force. */
  private kept: configuration.Configuration[] = [];

  private readonly listeners: Listener[] = [];

  constructor(private readonly nowMs: () => number) {}

  get current(): HeldConfiguration | null {
    return this.held;
  }

  /** 0 while none is held. */
  get version(): number {
    return this.held?.cfg.version ?? 0;
  }

  /** @returns null for versions that were never held or are no longer kept */
  find(version: number): configuration.Configuration | null {
    return this.kept.find((cfg) => cfg.version === version) ?? null;
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Takes a configuration if it is newer than the held one. @returns whether it was taken */
  offer(cfg: configuration.Configuration, source: Source): boolean {
    if (cfg.version <= this.version) return false;
    const previous = this.held?.cfg ?? null;
    this.held = { cfg, routes: new routeTable.RouteTable(cfg), heldSinceMs: this.nowMs() };
    this.kept = [cfg, ...this.kept].slice(0, KEPT_VERSIONS);
    for (const listener of this.listeners) listener(this.held, previous, source);
    return true;
  }
}
