/** Announces an upstream to its node and renews the announcement. */

import * as timers from 'node:timers/promises';
import got from 'got';
import * as z from 'zod';
import type * as logs from '../common/log.js';

export interface Announcement {
  service: string;
  version: string;
  address: string;
  slots: number;
  connections: number;
}

const answerSchema = z.object({ renewWithinMs: z.number().positive() });
const RETRY_MS = 250;
const TIMEOUT_MS = 2_000;
/** Renewals per validity period, so that the announcement survives one lost renewal. */
const RENEWALS_PER_PERIOD = 3;

export class Announcer {
  private state: 'serving' | 'draining' = 'serving';

  private readonly stopped = new AbortController();

  private running: Promise<void> | undefined;

  constructor(
    private readonly adminUrl: string,
    private readonly announcement: Announcement,
    private readonly log: logs.Logger,
  ) {}

  start(): void {
    this.running = this.run();
  }

  /** Announces `draining` at once and in all later renewals. */
  async drain(): Promise<void> {
    this.state = 'draining';
    await this.announce().catch((err: unknown) => this.log.warn({ err }, 'upstream: drain failed'));
  }

  /** Stops the renewals and withdraws the announcement. */
  async withdraw(): Promise<void> {
    this.stopped.abort();
    await this.running;
    const options = { retry: { limit: 0 }, timeout: { request: TIMEOUT_MS } };
    await got
      .delete(`${this.adminUrl}/v1/upstream`, options)
      .catch((err: unknown) => this.log.warn({ err }, 'upstream: withdrawal failed'));
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped;
    let failing = false;
    while (!signal.aborted) {
      let waitMs = RETRY_MS;
      try {
        waitMs = (await this.announce()) / RENEWALS_PER_PERIOD;
        failing = false;
      } catch (err) {
        if (!failing) this.log.warn({ err }, 'upstream: announcement failed');
        failing = true;
      }
      await timers.setTimeout(waitMs, undefined, { signal }).catch(() => undefined);
    }
  }

  private async announce(): Promise<number> {
    const json = { ...this.announcement, state: this.state };
    const options = { json, retry: { limit: 0 }, timeout: { request: TIMEOUT_MS } };
    const answer = await got.post(`${this.adminUrl}/v1/upstream`, options).json();
    return answerSchema.parse(answer).renewWithinMs;
  }
}
