/** Chooses the version of a service for one request, and learns how each attempt ended. */

import type { configuration } from '@godwittrack/core';

export interface VersionChoice {
  version: string;
  /** Rollout to which the attempt's evidence belongs; empty when none runs. */
  rollout: string;
}

export type AttemptOutcome =
  /** The upstream gave a usable answer. */
  | 'ok'
  /** The upstream itself failed: 5xx, broken answer, or no answer within the timeout. */
  | 'error'
  /** Nothing ran: load was shed, a queue was full, or the destination was unreachable. */
  | 'refused';

export interface FinishedAttempt {
  rollout: string;
  version: string;
  route: string;
  server: string;
  outcome: AttemptOutcome;
  /** Time at the upstream, without queue and link. */
  latencyMs: number;
  coldStart: boolean;
}

export abstract class VersionChooser {
  /**
   * Version for one request of a route; null when the service has no version plan.
   * @param isReady tells whether a version has a usable server
   */
  abstract choose(
    route: configuration.Route,
    isReady: (version: string) => boolean,
  ): VersionChoice | null;

  /** Called once for each attempt of a rollout that ended; constant time. */
  abstract finished(attempt: FinishedAttempt): void;
}
