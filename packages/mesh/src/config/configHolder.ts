/** Holds the newest configuration of a node. Versions only rise and are replaced as a whole. */

import type * as configuration from './configuration.js';
import * as routeTable from '../routing/routeTable.js';

export interface HeldConfiguration {
  readonly cfg: configuration.Configuration;
  readonly routes: routeTable.RouteTable;
  /** Monotonic time at which this node took it. */
  readonly heldSinceMs: number;
}

type Listener = (
  held: HeldConfiguration,
  previous: configuration.Configuration | null,
  source: string,
) => void;

export class ConfigHolder {
  private held: HeldConfiguration | null = null;

  private readonly listeners: Listener[] = [];

  constructor(private readonly nowMs: () => number) {}

  get current(): HeldConfiguration | null {
    return this.held;
  }

  /** 0 while none is held. */
  get version(): number {
    return this.held?.cfg.version ?? 0;
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Takes a configuration if it is newer than the held one. @returns whether it was taken */
  offer(cfg: configuration.Configuration, source: string): boolean {
    if (cfg.version <= this.version) return false;
    const previous = this.held?.cfg ?? null;
    this.held = { cfg, routes: new routeTable.RouteTable(cfg), heldSinceMs: this.nowMs() };
    for (const listener of this.listeners) listener(this.held, previous, source);
    return true;
  }
}
