/** `once` requests of the step `recorded`: sent while a fault strikes, repeated, then checked. */

import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as harness from '../../harness/index.js';

/** One answer to a request with a key. */
export interface OnceAnswer {
  /** Null when the connection broke or the caller left. */
  status: number | null;
  /** `X-Godwittrack-Outcome`; empty when there is none. */
  outcome: string;
  body: string;
}

interface KeyHistory {
  key: string;
  /** In the order in which the requests were sent; each was sent after the one before had ended. */
  answers: OnceAnswer[];
}

const TIMEOUT_MS = 3_000;
/** A refusal is due at the deadline; the rest is for a busy machine. */
const GIVE_UP_MS = TIMEOUT_MS + 4_000;
const SEND_INTERVAL_MS = 8;
const REPEAT_INTERVAL_MS = 500;
/** Above the deadline of a request: what is going to run has begun by then. */
const LATE_RUN_MS = 3_500;
/** The first placement waits for members, and the holders for the placement. */
const PLACEMENT_TIMEOUT_MS = 40_000;
const LOST: OnceAnswer = { status: null, outcome: '', body: '' };

export class OnceKeys {
  private readonly histories: KeyHistory[] = [];

  private readonly sending: Promise<void>[] = [];

  /** Sends new keys to `entries` in turn, so that some meet the fault at each moment of a claim. */
  async send(
    prefix: string,
    count: number,
    entries: readonly harness.deployment.Server[],
    leaveAfterMs: (n: number) => number = () => GIVE_UP_MS,
  ): Promise<void> {
    for (let n = 0; n < count; n++) {
      const history: KeyHistory = { key: `${prefix}-${n}`, answers: [] };
      this.histories.push(history);
      const entry = entries[n % entries.length];
      if (entry === undefined) throw new RangeError('there is no entry node');
      this.sending.push(sendOnce(entry, history, leaveAfterMs(n)));
      await timers.setTimeout(SEND_INTERVAL_MS);
    }
  }

  async answered(): Promise<void> {
    await Promise.all(this.sending);
  }

  /** Repeats every second key, so that the others show whether a refused request runs later. */
  async repeat(entry: harness.deployment.Server, times: number): Promise<void> {
    const repeated = this.histories.filter((_history, n) => Math.floor(n / 2) % 2 === 0);
    for (let n = 0; n < times; n++) {
      await Promise.all(repeated.map((history) => sendOnce(entry, history, GIVE_UP_MS)));
      await timers.setTimeout(REPEAT_INTERVAL_MS);
    }
  }

  /** Answers of one series, in the order of sending. */
  answersOf(prefix: string): OnceAnswer[][] {
    const of = this.histories.filter(({ key }) => key.startsWith(`${prefix}-`));
    return of.map(({ answers }) => answers);
  }

  /**
   * Checks answers against the runs that `servers` counted, after the time in which a late request
   * would have run.
   */
  async check(name: string, servers: readonly harness.deployment.Server[]): Promise<void> {
    await timers.setTimeout(LATE_RUN_MS);
    const runs = await countRuns(servers);
    for (const history of this.histories) checkKey(name, history, runs.get(history.key) ?? 0);
  }
}

/** Waits until the records serve a new key through each of `entries`. */
export async function waitServed(entries: readonly harness.deployment.Server[]): Promise<void> {
  let round = 0;
  const isServed = async () => {
    round += 1;
    const keys = new OnceKeys();
    await keys.send(`warm-${round}`, entries.length, entries);
    await keys.answered();
    return keys.answersOf(`warm-${round}`).every(([answer]) => answer?.status === 200);
  };
  await harness.wait.waitFor('a key served at every entry', isServed, PLACEMENT_TIMEOUT_MS);
}

/** Runs by key, summed over the upstreams. */
async function countRuns(
  servers: readonly harness.deployment.Server[],
): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const { upstreamControl } of servers) {
    const { keys } = await upstreamControl.runs();
    Object.entries(keys).forEach(([key, n]) => runs.set(key, (runs.get(key) ?? 0) + n));
  }
  return runs;
}

function checkKey(name: string, { key, answers }: KeyHistory, count: number): void {
  const told = `${name}: ${key} ran ${count} times, ${JSON.stringify(answers)}`;
  assert.ok(count <= 1, `more than one run, ${told}`);
  const first = answers.findIndex(({ status }) => status === 200);
  if (first >= 0) {
    assert.equal(count, 1, `answered without a run, ${told}`);
    answers.slice(first + 1).forEach((later) => checkRepeat(later, answers[first], told));
  }
  for (const { status, outcome } of answers) {
    if (status !== null && status !== 200) {
      assert.ok(['notRun', 'unknown', 'inProgress'].includes(outcome), `no outcome, ${told}`);
    }
  }
  // Only a later request with the key may run it, and it then has another answer than `notRun`.
  const last = answers.at(-1);
  if (last?.outcome === 'notRun') assert.equal(count, 0, `told notRun but ran, ${told}`);
}

function checkRepeat(later: OnceAnswer, first: OnceAnswer | undefined, told: string): void {
  if (later.status === 200) {
    assert.equal(later.outcome, 'replayed', `a second answer that is no replay, ${told}`);
    assert.equal(later.body, first?.body, `a replay of another answer, ${told}`);
    return;
  }
  // The answer may not have reached the holders that are left; the first run must not be denied.
  assert.notEqual(later.outcome, 'notRun', `a run that is denied, ${told}`);
}

async function sendOnce(
  entry: harness.deployment.Server,
  { key, answers }: KeyHistory,
  leaveAfterMs: number,
): Promise<void> {
  const answer = await exchange(entry.callerUrl, key, leaveAfterMs).catch(() => LOST);
  answers.push(answer);
}

function exchange(url: string, key: string, leaveAfterMs: number): Promise<OnceAnswer> {
  const headers = { 'idempotency-key': key, 'x-request-timeout-ms': String(TIMEOUT_MS) };
  return new Promise((resolve, reject) => {
    const options = { method: 'POST', headers, agent: false };
    const req = http.request(`${url}/back/order`, options, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        const outcome = String(res.headers['x-godwittrack-outcome'] ?? '');
        const body = Buffer.concat(chunks).toString();
        resolve({ status: res.statusCode ?? 0, outcome, body });
      });
    });
    const timer = setTimeout(() => req.destroy(new Error('the caller left')), leaveAfterMs);
    req.on('close', () => clearTimeout(timer));
    req.on('error', reject);
    req.end('one order');
  });
}
