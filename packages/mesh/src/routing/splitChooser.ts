/** Chooses the service of a request so that each destination gets its weight of the requests. */

import type * as configuration from '../config/configuration.js';

interface Turn {
  destination: configuration.Destination;
  credit: number;
}

/**
 * Smooth weighted round robin per route. Unlike random choice, shares are exact over short spans.
 * State is kept while the weights of a route stay the same.
 */
export class SplitChooser {
  private readonly routes = new Map<string, { key: string; turns: Turn[] }>();

  choose(route: configuration.Route): configuration.Destination {
    const [only] = route.destinations;
    if (only !== undefined && route.destinations.length === 1) return only;
    const turns = this.turnsOf(route);
    const total = turns.reduce((sum, turn) => sum + turn.destination.weight, 0);
    let best = turns[0]!;
    for (const turn of turns) {
      turn.credit += turn.destination.weight;
      if (turn.credit > best.credit) best = turn;
    }
    best.credit -= total;
    return best.destination;
  }

  private turnsOf(route: configuration.Route): Turn[] {
    const key = route.destinations.map(({ service, weight }) => `${service}=${weight}`).join();
    const known = this.routes.get(route.name);
    if (known?.key === key) return known.turns;
    const turns = route.destinations.map((destination) => ({ destination, credit: 0 }));
    this.routes.set(route.name, { key, turns });
    return turns;
  }
}
