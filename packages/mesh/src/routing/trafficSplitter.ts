/** Traffic splitting: distributes the requests of a route over its destinations by weight. */

import type * as configuration from '../config/configuration.js';

interface WeightedEntry {
  destination: configuration.Destination;
  currentWeight: number;
}

/**
 * Upper bound of the random number of picks that a node skips at first. In most fleets, the shares
 * of a route are measured after fewer requests.
 */
const MAX_SKIPPED_PICKS = 128;

/**
 * Smooth weighted round robin per route. Unlike random choice, shares are exact over short spans.
 * State is kept while the weights of a route stay the same. Each node starts at a random position:
 * if all began with the heaviest destination, many nodes with few requests each would miss the
 * shares.
 */
export class TrafficSplitter {
  private readonly routes = new Map<string, { key: string; entries: WeightedEntry[] }>();

  /** @param random in [0, 1) */
  constructor(private readonly random: () => number) {}

  choose(route: configuration.Route): configuration.Destination {
    const [only] = route.destinations;
    if (only !== undefined && route.destinations.length === 1) return only;
    return pickNext(this.entriesOf(route)).destination;
  }

  private entriesOf(route: configuration.Route): WeightedEntry[] {
    const key = route.destinations.map(({ service, weight }) => `${service}=${weight}`).join();
    const cached = this.routes.get(route.name);
    if (cached?.key === key) return cached.entries;
    const entries = route.destinations.map((destination) => ({ destination, currentWeight: 0 }));
    const skipped = Math.floor(this.random() * MAX_SKIPPED_PICKS);
    for (let i = 0; i < skipped; i += 1) pickNext(entries);
    this.routes.set(route.name, { key, entries });
    return entries;
  }
}

/** Picks the destination with the highest current weight. */
function pickNext(entries: WeightedEntry[]): WeightedEntry {
  let total = 0;
  let best = entries[0]!;
  for (const entry of entries) {
    total += entry.destination.weight;
    entry.currentWeight += entry.destination.weight;
    if (entry.currentWeight > best.currentWeight) best = entry;
  }
  best.currentWeight -= total;
  return best;
}
