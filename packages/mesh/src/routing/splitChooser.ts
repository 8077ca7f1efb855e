/** Chooses the service of a request so that each destination gets its weight of the requests. */

import type * as configuration from '../config/configuration.js';

interface Turn {
  destination: configuration.Destination;
  credit: number;
}

/** Turns that a node may skip at its start; more than most fleets have requests before shares count. */
const MAX_SKIPPED_TURNS = 128;

/**
 * Smooth weighted round robin per route. Unlike random choice, shares are exact over short spans.
 * State is kept while the weights of a route stay the same. Each node starts at a turn of its own:
 * if all began with the heaviest destination, many nodes with few requests each would miss the shares.
 */
export class SplitChooser {
  private readonly routes = new Map<string, { key: string; turns: Turn[] }>();

  /** @param random in [0, 1) */
  constructor(private readonly random: () => number) {}

  choose(route: configuration.Route): configuration.Destination {
    const [only] = route.destinations;
    if (only !== undefined && route.destinations.length === 1) return only;
    return take(this.turnsOf(route)).destination;
  }

  private turnsOf(route: configuration.Route): Turn[] {
    const key = route.destinations.map(({ service, weight }) => `${service}=${weight}`).join();
    const known = this.routes.get(route.name);
    if (known?.key === key) return known.turns;
    const turns = route.destinations.map((destination) => ({ destination, credit: 0 }));
    const skipped = Math.floor(this.random() * MAX_SKIPPED_TURNS);
    for (let i = 0; i < skipped; i += 1) take(turns);
    this.routes.set(route.name, { key, turns });
    return turns;
  }
}

/** Gives one turn to the destination that is owed most. */
function take(turns: Turn[]): Turn {
  let total = 0;
  let best = turns[0]!;
  for (const turn of turns) {
    total += turn.destination.weight;
    turn.credit += turn.destination.weight;
    if (turn.credit > best.credit) best = turn;
  }
  best.credit -= total;
  return best;
}
