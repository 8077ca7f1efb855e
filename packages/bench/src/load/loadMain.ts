/**
 * Load generator program: sends open-loop load to HTTP targets. Takes a `LoadPlan` as its JSON
 * argument and prints a `LoadReport`.
 */

import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import type * as loadPlan from './loadPlan.js';

const MICROS = 1_000;
const MAX_ANSWER_BYTES = 16 * 1024;
const MAX_REQUEST_BYTES = 8 * 1024;
const ECHO_SHARE = 0.2;
const ONCE_SHARE = 0.1;
/** A call without an answer this long after its deadline counts as broken. */
const ANSWER_GRACE_MS = 2_000;
const MAX_PROBLEMS = 10;

interface GroupStats {
  report: loadPlan.GroupReport;
  ok: hdr.Histogram;
  refused: hdr.Histogram;
}

interface Call {
  stats: GroupStats;
  base: URL;
  requestId: string;
  key: string;
  method: string;
  path: string;
  body: Buffer | null;
  expectedBytes: number;
}

const plan = JSON.parse(process.argv[2] ?? '{}') as loadPlan.LoadPlan;
const agent = new http.Agent({ keepAlive: true });
const notRunKeys: string[] = [];
const firstProblems: string[] = [];
let randomState = plan.seed >>> 0 || 1;
let callCount = 0;

/** Xorshift: the same seed gives the same calls. */
function random(): number {
  randomState ^= randomState << 13;
  randomState ^= randomState >>> 17;
  randomState ^= randomState << 5;
  randomState >>>= 0;
  return randomState / 2 ** 32;
}

function createHistogram(): hdr.Histogram {
  return hdr.build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

function createStats(): GroupStats {
  const report = { sent: 0, ok: 0, refused: 0, failed: 0, broken: 0, wrong: 0 };
  const quantiles = { p50Ms: 0, p99Ms: 0, refusedP99Ms: 0, byStatus: {} };
  return { report: { ...report, ...quantiles }, ok: createHistogram(), refused: createHistogram() };
}

const statsByGroup = new Map(plan.groups.map(({ name }) => [name, createStats()]));

function recordProblem(problem: string): void {
  if (firstProblems.length < MAX_PROBLEMS) firstProblems.push(problem);
}

function createCall(): Call {
  const group = plan.groups[callCount % plan.groups.length];
  if (group === undefined) throw new RangeError('the plan has no groups');
  const url = group.urls[Math.floor(random() * group.urls.length)] ?? '';
  const stats = statsByGroup.get(group.name) ?? createStats();
  callCount += 1;
  const requestId = `${plan.keyPrefix}-${callCount}`;
  const common = { stats, base: new URL(url), requestId };
  const kind = random();
  if (kind < ONCE_SHARE) {
    const body = crypto.randomBytes(Math.floor(random() * MAX_REQUEST_BYTES));
    const path = `${plan.path}/order`;
    return { ...common, key: requestId, method: 'POST', path, body, expectedBytes: -1 };
  }
  if (kind < ONCE_SHARE + ECHO_SHARE) {
    const body = crypto.randomBytes(Math.floor(random() * MAX_REQUEST_BYTES));
    const path = `${plan.path}/echo`;
    return { ...common, key: '', method: 'POST', path, body, expectedBytes: -1 };
  }
  const expectedBytes = Math.floor(random() * MAX_ANSWER_BYTES);
  const path = `${plan.path}/proof?bytes=${expectedBytes}${random() < 0.5 ? '&chunked' : ''}`;
  return { ...common, key: '', method: 'GET', path, body: null, expectedBytes };
}

/** Whether the answer is complete and belongs to the call. */
function isCorrectAnswer(call: Call, res: http.IncomingMessage, body: Buffer): boolean {
  if (!res.complete || res.headers['x-request-id'] !== call.requestId) return false;
  const checksum = crypto.createHash('sha256').update(body).digest('hex');
  if (res.headers['x-checksum'] !== checksum) return false;
  if (call.expectedBytes >= 0) {
    return body.equals(Buffer.alloc(call.expectedBytes, `${call.requestId}\n`));
  }
  const answer = JSON.parse(body.toString()) as { requestId: string; receivedSha256: string };
  const sentSha256 = crypto
    .createHash('sha256')
    .update(call.body ?? Buffer.alloc(0))
    .digest('hex');
  return answer.requestId === call.requestId && answer.receivedSha256 === sentSha256;
}

async function send(call: Call): Promise<{ res: http.IncomingMessage; body: Buffer }> {
  return new Promise((resolve, reject) => {
    const headers: Record<string, string> = {
      'x-request-id': call.requestId,
      'x-request-timeout-ms': String(plan.timeoutMs),
      ...(call.key === '' ? {} : { 'idempotency-key': call.key }),
      ...(call.body === null ? {} : { 'content-length': String(call.body.length) }),
    };
    const { hostname: host, port } = call.base;
    const signal = AbortSignal.timeout(plan.timeoutMs + ANSWER_GRACE_MS);
    const { method, path } = call;
    const req = http.request({ host, port, method, path, headers, agent, signal });
    req.on('error', reject);
    req.on('response', (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => resolve({ res, body: Buffer.concat(chunks) }));
    });
    req.end(call.body ?? undefined);
  });
}

async function measure(call: Call): Promise<void> {
  const { report, ok, refused } = call.stats;
  report.sent += 1;
  const startMs = performance.now();
  try {
    const { res, body } = await send(call);
    const micros = Math.max(1, Math.round((performance.now() - startMs) * MICROS));
    const status = res.statusCode ?? 0;
    report.byStatus[status] = (report.byStatus[status] ?? 0) + 1;
    if (res.headers['x-godwittrack-outcome'] === 'notRun') {
      report.refused += 1;
      refused.recordValue(micros);
      if (call.key !== '') notRunKeys.push(call.key);
    } else if (status !== 200) {
      report.failed += 1;
      recordProblem(`${call.method} ${call.path}: ${status} ${body.toString('utf8', 0, 300)}`);
    } else if (isCorrectAnswer(call, res, body)) {
      report.ok += 1;
      ok.recordValue(micros);
    } else {
      report.wrong += 1;
      recordProblem(`${call.method} ${call.path}: wrong answer`);
    }
  } catch (err) {
    report.broken += 1;
    recordProblem(`${call.method} ${call.path} at ${call.base.host}: ${String(err)}`);
  }
}

async function run(): Promise<loadPlan.LoadReport> {
  const lag = createHistogram();
  const running = new Set<Promise<void>>();
  const startMs = performance.now();
  let dueMs = startMs;
  while (dueMs - startMs < plan.durationMs) {
    const nowMs = performance.now();
    if (dueMs > nowMs) {
      await timers.setTimeout(Math.max(1, dueMs - nowMs));
      continue;
    }
    lag.recordValue(Math.max(1, Math.round((nowMs - dueMs) * MICROS)));
    const task: Promise<void> = measure(createCall()).finally(() => running.delete(task));
    running.add(task);
    dueMs += (-Math.log(1 - random()) / plan.ratePerSecond) * 1_000;
  }
  await Promise.all(running);
  const groups: Record<string, loadPlan.GroupReport> = {};
  for (const [name, { report, ok, refused }] of statsByGroup) {
    const percentileMs = (histogram: hdr.Histogram, percentile: number) =>
      histogram.getValueAtPercentile(percentile) / MICROS;
    const p50Ms = percentileMs(ok, 50);
    const p99Ms = percentileMs(ok, 99);
    groups[name] = { ...report, p50Ms, p99Ms, refusedP99Ms: percentileMs(refused, 99) };
  }
  const lagP99Ms = lag.getValueAtPercentile(99) / MICROS;
  return { done: true, groups, lagP99Ms, notRunKeys, firstProblems };
}

process.stdout.write(`${JSON.stringify(await run())}\n`, () => process.exit(0));
