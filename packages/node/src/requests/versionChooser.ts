/** Chooses the version of a service for a request, and records the outcome of each attempt. */

import type { configuration } from '@godwittrack/core';

export interface VersionChoice {
  version: string;
  /** Rollout to which the attempt's evidence belongs; empty when none runs. */
  rollout: string;
}

export type AttemptOutcome =
  /** The upstream sent a usable response. */
  | 'ok'
  /** The upstream itself failed: 5xx, incomplete response, or none within the timeout. */
  | 'error'
  /** Nothing ran: load was shed, a queue was full, or the destination was unreachable. */
  | 'refused';

export interface FinishedAttempt {
  rollout: string;
  version: string;
  route: string;
  server: string;
  outcome: AttemptOutcome;
  /** Time at the upstream, without queueing and without the network between nodes. */
  latencyMs: number;
  coldStart: boolean;
}

export abstract class VersionChooser {
  /**
   * Chooses a version for one request of a route; null when the service has no version plan.
   * @param isReady tells whether a version has a usable server
   */
  abstract choose(
    route: configuration.Route,
    isReady: (version: string) => boolean,
  ): VersionChoice | null;

  /** Called once for each finished attempt that belongs to a rollout; must take constant time. */
  abstract recordAttempt(attempt: FinishedAttempt): void;
}
