/** Waits until an accepted ticket is in force, and until its rollouts are final. */

import * as timers from 'node:timers/promises';
import { clock as clocks, failures, resources, ticket as tickets } from '@godwittrack/core';
import type * as adminClient from './adminClient.js';
import type * as responses from './responses.js';
import * as renderRollouts from './renderRollouts.js';

export interface WaitOptions {
  client: adminClient.AdminClient;
  ticket: tickets.Ticket;
  /** Configuration version that the ticket created. */
  version: number;
  timeoutMs: number;
  /** Also waits until the rollouts of the ticket are final. */
  untilFinal: boolean;
  /** Called with one line for each change of state. */
  progress: (line: string) => void;
  clock?: clocks.Clock;
}

export interface WaitResult {
  outcome: 'inForce' | 'done' | 'superseded' | 'takenBack';
  members: responses.Status['members'];
  rollouts: responses.Rollout[];
}

export const DEFAULT_WAIT_MS = 30_000;
/** Added to deadline and soak time of a plan for the default timeout of `--wait-rollout`. */
const ROLLOUT_GRACE_MS = 60_000;
/** Polling interval of the status: nodes converge within a fraction of a second. */
const STATUS_INTERVAL_MS = 200;
/** Polling interval of rollouts: their phases last seconds to hours. */
const ROLLOUT_INTERVAL_MS = 1_000;

const FINAL_PHASES: ReadonlySet<string> = new Set(['done', 'takenBack', 'superseded']);

/** Failures after which polling continues. */
const TRANSIENT_FAILURES: ReadonlySet<failures.FailureType> = new Set([
  'peerUnavailable',
  'notReady',
  'draining',
  'platformUnavailable',
  'platformOverloaded',
]);

/** Version plans that have a target and therefore a rollout, with the id of the rollout. */
function plansWithRollout(ticket: tickets.Ticket) {
  return ticket.changes.flatMap((change) => {
    if (change.kind !== 'versionPlan' || change.spec === null) return [];
    const plan = resources.specSchemas.versionPlan.parse(change.spec);
    return plan.target === undefined ? [] : [{ id: `${change.name}.${ticket.number}`, plan }];
  });
}

/** Time until every rollout of the ticket should be final, at least `DEFAULT_WAIT_MS`. */
export function defaultTimeoutMs(ticket: tickets.Ticket, nowMs: number): number {
  const ends = plansWithRollout(ticket).map(
    ({ plan }) => Date.parse(plan.deadline ?? '') + plan.soak + ROLLOUT_GRACE_MS - nowMs,
  );
  return Math.max(DEFAULT_WAIT_MS, ...ends);
}

class TicketWait {
  private readonly rolloutIds: string[];

  private readonly clock: clocks.Clock;

  private readonly endMs: number;

  private readonly options: WaitOptions;

  private lastMembers: responses.Status['members'] | null = null;

  private readonly lastLines = new Map<string, string>();

  constructor(options: WaitOptions) {
    this.options = options;
    this.rolloutIds = plansWithRollout(options.ticket).map(({ id }) => id);
    this.clock = options.clock ?? new clocks.SystemClock();
    this.endMs = this.clock.monotonicMs() + options.timeoutMs;
  }

  async run(): Promise<WaitResult> {
    let members: responses.Status['members'] | null = null;
    while (true) {
      members ??= await this.readMembers();
      const rollouts = await this.readRollouts();
      const takenBack = rollouts.some(({ phase }) => phase === 'takenBack');
      const allFinal =
        rollouts.length === this.rolloutIds.length &&
        rollouts.every(({ phase }) => FINAL_PHASES.has(phase));
      const inForce = members !== null && (allFinal || !this.options.untilFinal);
      // A rollback (`takenBack`) is final even if some node cannot be reached.
      if (this.lastMembers !== null && (inForce || takenBack)) {
        const outcome = outcomeOf(rollouts, this.options.untilFinal);
        return { outcome, members: this.lastMembers, rollouts };
      }
      await this.sleepUnlessTimedOut(members === null ? STATUS_INTERVAL_MS : ROLLOUT_INTERVAL_MS);
    }
  }

  /** Returns the member counts once every known node has the version, otherwise null. */
  private async readMembers(): Promise<responses.Status['members'] | null> {
    const { client, version } = this.options;
    const status = await this.callOrNull('status', (signal) => client.status(version, { signal }));
    if (status === null) return null;
    this.lastMembers = status.members;
    const { known, atVersion } = status.members;
    this.report('status', `version ${version} is in force on ${atVersion} of ${known} nodes`);
    return known > 0 && atVersion >= known ? status.members : null;
  }

  private async readRollouts(): Promise<responses.Rollout[]> {
    const rollouts: responses.Rollout[] = [];
    for (const id of this.rolloutIds) {
      const { client } = this.options;
      const rollout = await this.callOrNull(id, (signal) => client.rollout(id, { signal }));
      if (rollout === null) continue;
      this.report(id, renderRollouts.describePhase(rollout));
      rollouts.push(rollout);
    }
    return rollouts;
  }

  /**
   * Returns null after a transient failure, and while the object does not exist: a rollout is
   * created some time after its ticket is accepted.
   */
  private async callOrNull<T>(
    subject: string,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<T | null> {
    const leftMs = Math.max(1, Math.ceil(this.endMs - this.clock.monotonicMs()));
    try {
      return await call(AbortSignal.timeout(Math.min(leftMs, 2 ** 31 - 1)));
    } catch (err) {
      const { type } = failures.fromError(err);
      if (type === 'objectNotFound') return null;
      if (!TRANSIENT_FAILURES.has(type)) throw err;
      if (this.clock.monotonicMs() < this.endMs) {
        this.report(
          subject,
          `waiting for an answer (${failures.describe(failures.fromError(err))})`,
        );
      }
      return null;
    }
  }

  private async sleepUnlessTimedOut(intervalMs: number): Promise<void> {
    const leftMs = this.endMs - this.clock.monotonicMs();
    if (leftMs <= 0) {
      const { timeoutMs, ticket, version } = this.options;
      const operation = `wait for ticket ${ticket.number}, accepted as version ${version}`;
      throw failures.toError({ type: 'timeout', operation, timeoutMs });
    }
    await timers.setTimeout(Math.min(intervalMs, leftMs));
  }

  private report(subject: string, line: string): void {
    if (this.lastLines.get(subject) === line) return;
    this.lastLines.set(subject, line);
    this.options.progress(line);
  }
}

/** @throws timeout, or a failure that is not transient */
export async function waitForTicket(options: WaitOptions): Promise<WaitResult> {
  return new TicketWait(options).run();
}

function outcomeOf(rollouts: responses.Rollout[], untilFinal: boolean): WaitResult['outcome'] {
  if (rollouts.some(({ phase }) => phase === 'takenBack')) return 'takenBack';
  if (!untilFinal) return 'inForce';
  if (rollouts.some(({ phase }) => phase === 'superseded')) return 'superseded';
  return rollouts.length > 0 ? 'done' : 'inForce';
}
