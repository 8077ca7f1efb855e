/**
 * Requests with `once` semantics for the cells of the step `recorded`: sends them while a fault is
 * injected, repeats them and checks their answers against the runs that the upstreams counted.
 */

import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as harness from '../../harness/index.js';

/** Answer to one request with an idempotency key. */
export interface OnceAnswer {
  /** Null when the connection broke or the caller disconnected. */
  status: number | null;
  /** `X-Godwittrack-Outcome`; empty when there is none. */
  outcome: string;
  body: string;
}

interface KeyHistory {
  key: string;
  /** In sending order; a key's requests are sent one after the other. */
  answers: OnceAnswer[];
}

const TIMEOUT_MS = 3_000;
/** A refusal is due at the deadline; the margin allows for a busy machine. */
const CALLER_TIMEOUT_MS = TIMEOUT_MS + 4_000;
const SEND_INTERVAL_MS = 8;
const REPEAT_INTERVAL_MS = 500;
/** Longer than the deadline of a request, so that any late run has started by then. */
const LATE_RUN_WAIT_MS = 3_500;
/** The first placement waits for members to join, and the key holders wait for the placement. */
const PLACEMENT_TIMEOUT_MS = 40_000;
const NO_ANSWER: OnceAnswer = { status: null, outcome: '', body: '' };

export class OnceRequests {
  private readonly histories: KeyHistory[] = [];

  private readonly sending: Promise<void>[] = [];

  /** Sends new keys to `entries` in turn, spaced so that the fault hits claims at different stages. */
  async send(
    prefix: string,
    count: number,
    entries: readonly harness.deployment.Server[],
    disconnectAfterMs: (n: number) => number = () => CALLER_TIMEOUT_MS,
  ): Promise<void> {
    for (let n = 0; n < count; n++) {
      const history: KeyHistory = { key: `${prefix}-${n}`, answers: [] };
      this.histories.push(history);
      const entry = entries[n % entries.length];
      if (entry === undefined) throw new RangeError('no entry nodes were given');
      this.sending.push(sendOnce(entry, history, disconnectAfterMs(n)));
      await timers.setTimeout(SEND_INTERVAL_MS);
    }
  }

  async waitForAnswers(): Promise<void> {
    await Promise.all(this.sending);
  }

  /**
   * Repeats every second pair of keys. The keys that are not repeated show whether a refused request
   * runs later.
   */
  async repeat(entry: harness.deployment.Server, times: number): Promise<void> {
    const repeated = this.histories.filter((_history, n) => Math.floor(n / 2) % 2 === 0);
    for (let n = 0; n < times; n++) {
      await Promise.all(repeated.map((history) => sendOnce(entry, history, CALLER_TIMEOUT_MS)));
      await timers.setTimeout(REPEAT_INTERVAL_MS);
    }
  }

  /** Answers by key for one prefix, in sending order. */
  answersByKey(prefix: string): OnceAnswer[][] {
    const matching = this.histories.filter(({ key }) => key.startsWith(`${prefix}-`));
    return matching.map(({ answers }) => answers);
  }

  /**
   * Waits until late requests would have run, then checks the answers against the runs counted by
   * `servers`.
   */
  async check(name: string, servers: readonly harness.deployment.Server[]): Promise<void> {
    await timers.setTimeout(LATE_RUN_WAIT_MS);
    const runs = await countRuns(servers);
    for (const history of this.histories) checkHistory(name, history, runs.get(history.key) ?? 0);
  }
}

/** Waits until each of `entries` serves a request with a new key. */
export async function waitUntilServed(
  entries: readonly harness.deployment.Server[],
): Promise<void> {
  let round = 0;
  const isServed = async () => {
    round += 1;
    const requests = new OnceRequests();
    await requests.send(`warm-${round}`, entries.length, entries);
    await requests.waitForAnswers();
    return requests.answersByKey(`warm-${round}`).every(([answer]) => answer?.status === 200);
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

function checkHistory(name: string, { key, answers }: KeyHistory, runCount: number): void {
  const details = `${name}: ${key} ran ${runCount} times, ${JSON.stringify(answers)}`;
  assert.ok(runCount <= 1, `more than one run, ${details}`);
  const firstServed = answers.findIndex(({ status }) => status === 200);
  if (firstServed >= 0) {
    assert.equal(runCount, 1, `answered without a run, ${details}`);
    answers
      .slice(firstServed + 1)
      .forEach((later) => checkRepeat(later, answers[firstServed], details));
  }
  for (const { status, outcome } of answers) {
    if (status !== null && status !== 200) {
      assert.ok(['notRun', 'unknown', 'inProgress'].includes(outcome), `no outcome, ${details}`);
    }
  }
  // A refused key can only run through a later request, whose answer is then not `notRun`.
  const last = answers.at(-1);
  if (last?.outcome === 'notRun') assert.equal(runCount, 0, `told notRun but ran, ${details}`);
}

function checkRepeat(later: OnceAnswer, first: OnceAnswer | undefined, details: string): void {
  if (later.status === 200) {
    assert.equal(later.outcome, 'replayed', `a second answer that is no replay, ${details}`);
    assert.equal(later.body, first?.body, `a replay of another answer, ${details}`);
    return;
  }
  // The remaining holders may lack the answer, but must not claim that the key has not run.
  assert.notEqual(later.outcome, 'notRun', `a run that is denied, ${details}`);
}

async function sendOnce(
  entry: harness.deployment.Server,
  { key, answers }: KeyHistory,
  disconnectAfterMs: number,
): Promise<void> {
  const answer = await postOrder(entry.callerUrl, key, disconnectAfterMs).catch(() => NO_ANSWER);
  answers.push(answer);
}

function postOrder(url: string, key: string, disconnectAfterMs: number): Promise<OnceAnswer> {
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
    const timer = setTimeout(
      () => req.destroy(new Error('the caller disconnected')),
      disconnectAfterMs,
    );
    req.on('close', () => clearTimeout(timer));
    req.on('error', reject);
    req.end('one order');
  });
}
