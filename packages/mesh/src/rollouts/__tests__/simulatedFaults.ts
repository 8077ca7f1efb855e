/** Faults of versions and hosts in the simulated fleet. */

import type * as rolloutSimulation from './rolloutSimulation.js';

type Failure = rolloutSimulation.SimulationOptions['targetFailure'];
type Slowness = NonNullable<rolloutSimulation.SimulationOptions['slowness']>;

export const never: Failure = () => 0;

/** Fails `share` of the requests from a time since the first upstream of the version started. */
export function failsFrom(startMs: number, share: number): Failure {
  return ({ sinceStartMs }) => (sinceStartMs >= startMs ? share : 0);
}

export function failsUnderLoad(share: number): Failure {
  return ({ running }) => (running >= 3 ? share : 0);
}

export function failsOnRoute(share: number): Failure {
  return ({ route }) => (route === 'b' ? share : 0);
}

/** Two hosts of each version are slow for some seconds. */
export const slowForAWhile: Slowness = ({ upstream, sinceOrderMs }) =>
  upstream < 2 && sinceOrderMs > 4_000 && sinceOrderMs < 10_000 ? 5 : 1;
