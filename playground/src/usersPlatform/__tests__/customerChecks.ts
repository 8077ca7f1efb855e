/** Checks what callers and upstreams of a fleet with customers have seen against the required bounds. */

import * as customerAccounts from './customerAccounts.js';
import type * as customerCallers from './customerCallers.js';
import * as customerFleet from './customerFleet.js';
import * as fixtures from './fixtures.js';

const CONFIG_APPLY_MS = 3_000;
const EVACUATION_MS = 5_000;
const QUOTA = { windowMs: 5_000, overage: 0.1, slack: 20 };
const COLD = { windowMs: 1_000, overage: 1.5, slack: 8 };
/** Differences of times that are measured in different places. */
const SLACK_MS = 50;
/** Statuses by which a request is refused: it has not run and will not run. */
const REFUSALS: readonly number[] = [408, 421, 429, 503];
const MAX_PROBLEMS_PER_CHECK = 10;

/** A request that an upstream received. */
export interface Run {
  id: string;
  server: string;
  zone: string;
  region: string;
  customer: string;
  carriesKey: boolean;
  receivedMs: number;
  /** Time at which the answer was written; NaN if the connection had ended. */
  answeredMs: number;
}

export interface Evacuation {
  zone: string;
  fromMs: number;
  /** Before it was taken back; Infinity if it was not. */
  untilMs: number;
}

export interface History {
  calls: readonly customerCallers.Call[];
  runs: readonly Run[];
  keySpans: readonly customerAccounts.KeySpan[];
  quotas: ReadonlyMap<string, readonly customerAccounts.QuotaChange[]>;
  evacuations: readonly Evacuation[];
  fleet: customerFleet.CustomerFleet;
  /** Regions by customer, for those that have home regions. */
  homes: ReadonlyMap<string, readonly string[]>;
}

/** @returns what was seen against the bounds, at most a few of each kind */
export function findProblems(history: History): string[] {
  return [
    checkIdentity,
    checkKeys,
    checkQuotas,
    checkPlacement,
    checkColdStarts,
    checkOrders,
    checkDelivery,
  ].flatMap((check) => {
    const problems = check(history);
    const more = problems.length - MAX_PROBLEMS_PER_CHECK;
    const shown = problems.slice(0, MAX_PROBLEMS_PER_CHECK);
    return more > 0 ? [...shown, `${check.name}: ${more} more`] : shown;
  });
}

/** Whether a node has been in contact with the store for long enough to know a change of `ackMs` at `atMs`. */
function mustKnow(
  { fleet }: History,
  node: string,
  ackMs: number,
  boundMs: number,
  atMs: number,
): boolean {
  if (atMs <= ackMs + boundMs) return false;
  return !fleet.outages.some(
    (outage) =>
      (outage.node === null || outage.node === node) &&
      outage.fromMs < atMs &&
      atMs < outage.untilMs + fixtures.STABLE_WINDOW_MS,
  );
}

function callsById({ calls }: History): Map<string, customerCallers.Call> {
  return new Map(calls.map((call) => [call.id, call]));
}

function checkIdentity(history: History): string[] {
  const calls = callsById(history);
  return history.runs.flatMap((run) => {
    const call = calls.get(run.id);
    if (call === undefined) return [`${describeRun(run)}: no caller sent it`];
    if (run.carriesKey) return [`${describeRun(run)}: a key reached the upstream`];
    const allowed = [];
    if (call.isPublic) allowed.push('');
    if (call.key !== null) allowed.push(customerAccounts.customerOf(call.key));
    if (allowed.includes(run.customer)) return [];
    return [`${describeRun(run)}: customer ${run.customer} of ${describeCall(call)}`];
  });
}

/** Unknown keys, keys that were removed, and keys that were added. */
function checkKeys(history: History): string[] {
  const customersOfRuns = new Map<string, string[]>();
  for (const { id, customer } of history.runs) {
    customersOfRuns.set(id, [...(customersOfRuns.get(id) ?? []), customer]);
  }
  return history.calls.flatMap((call) => {
    const { key, node, sentMs, endedMs, status } = call;
    const spans = history.keySpans.filter((span) => span.key === key);
    const mayWork = spans.some(
      ({ fromMs, untilMs }) =>
        fromMs < endedMs && !mustKnow(history, node, untilMs, CONFIG_APPLY_MS, sentMs),
    );
    const customers = customersOfRuns.get(call.id) ?? [];
    // A request on a public route runs without a customer if its key is unknown.
    const ranWithKey = customers.some((customer) => customer !== '');
    const ran = status === 200 || customers.length > 0;
    if (!mayWork && (call.isPublic ? ranWithKey : ran))
      return [`${describeCall(call)} ran with a key that is not valid`];
    const mustWork = spans.some(
      ({ fromMs, untilMs }) =>
        endedMs < untilMs && mustKnow(history, node, fromMs, CONFIG_APPLY_MS, sentMs),
    );
    return mustWork && status === 401 ? [`${describeCall(call)}: its key is valid`] : [];
  });
}

function checkQuotas(history: History): string[] {
  return [...history.quotas].flatMap(([customer, changes]) => {
    const times = history.runs.filter((run) => run.customer === customer).map(receivedMsOf);
    return findExcess(times, QUOTA.windowMs, (startMs) => {
      const inForce = changes.filter(({ fromMs }, i) => {
        const next = changes[i + 1];
        const endMs = next === undefined ? Infinity : enforcedFromMs(history, next.fromMs);
        return fromMs < startMs + QUOTA.windowMs && startMs < endMs;
      });
      const allowed = inForce.map(
        ({ ratePerSecond, burst }) => (ratePerSecond * QUOTA.windowMs) / 1_000 + burst,
      );
      return Math.max(...allowed) * (1 + QUOTA.overage) + QUOTA.slack;
    }).map((excess) => `customer ${customer}: ${excess}`);
  });
}

/** Time from which all nodes can know a change; nodes that are cut off from the store learn it from others. */
function enforcedFromMs({ fleet }: History, ackMs: number): number {
  let dueMs = ackMs + CONFIG_APPLY_MS;
  for (const { node, fromMs, untilMs } of fleet.outages) {
    if (node === null && fromMs < dueMs && untilMs > ackMs)
      dueMs = Math.max(dueMs, untilMs + fixtures.STABLE_WINDOW_MS);
  }
  return dueMs;
}

/** Home regions and evacuated failure domains. */
function checkPlacement(history: History): string[] {
  const calls = callsById(history);
  return history.runs.flatMap((run) => {
    const call = calls.get(run.id);
    if (call === undefined) return [];
    const problems = [];
    if (call.path.startsWith('/home/') && run.region !== customerAccounts.HOME_REGION)
      problems.push(`${describeRun(run)}: outside the home regions of its route`);
    if (history.homes.get(run.customer)?.includes(run.region) === false)
      problems.push(`${describeRun(run)}: outside the home regions of its customer`);
    const evacuation = history.evacuations.find(
      ({ zone, fromMs, untilMs }) =>
        zone === run.zone &&
        run.receivedMs < untilMs &&
        mustKnow(history, call.node, fromMs, EVACUATION_MS, run.receivedMs),
    );
    if (evacuation !== undefined) {
      const afterMs = Math.round(run.receivedMs - evacuation.fromMs);
      problems.push(`${describeRun(run)}: evacuated ${afterMs} ms before; ${describeCall(call)}`);
    }
    return problems;
  });
}

function checkColdStarts({ fleet, runs }: History): string[] {
  const allowed = customerAccounts.COLD_PER_SECOND * COLD.overage + COLD.slack;
  return fleet.coldStarts.flatMap(({ server, fromMs, untilMs }) => {
    const times = runs
      .filter((run) => run.server === server)
      .map(receivedMsOf)
      .filter((atMs) => atMs >= fromMs && atMs < untilMs);
    const excess = findExcess(times, COLD.windowMs, () => allowed);
    return excess.map((text) => `cold server ${server}, started at ${Math.round(fromMs)}: ${text}`);
  });
}

/** Requests that are not to be repeated. */
function checkOrders({ calls, runs }: History): string[] {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return calls.flatMap((call) => {
    const count = counts.get(call.id) ?? 0;
    if (!call.isOnce || count === 0) return [];
    if (count > 1) return [`${describeCall(call)} ran ${count} times`];
    return REFUSALS.includes(call.status) ? [`${describeCall(call)} was refused and ran`] : [];
  });
}

/** Answers that were written in time, unless a node on their way or the server itself ended. */
function checkDelivery(history: History): string[] {
  const calls = callsById(history);
  return history.runs.flatMap((run) => {
    const call = calls.get(run.id);
    if (call === undefined || Number.isNaN(run.answeredMs)) return [];
    if (call.status === 200 && call.body === bodyOf(run.id)) return [];
    const isLate = run.answeredMs > call.sentMs + customerAccounts.TIMEOUT_MS - SLACK_MS;
    const isExcused =
      isLate || isServerEnded(history, run) || isNodeEnded(history, [call.node, run.server], call);
    return isExcused ? [] : [`${describeRun(run)}: answered, not delivered; ${describeCall(call)}`];
  });
}

function isServerEnded({ fleet }: History, { server, answeredMs }: Run): boolean {
  return fleet.coldStarts.some(
    (each) =>
      each.server === server &&
      answeredMs > each.stoppedMs - SLACK_MS &&
      answeredMs < each.fromMs + SLACK_MS,
  );
}

/** Whether one of the nodes was killed, or was in the last sixth of its grace period, during a call. */
function isNodeEnded(
  { fleet }: History,
  nodes: readonly string[],
  { sentMs, endedMs }: customerCallers.Call,
): boolean {
  return fleet.stops.some(({ node, isKill, fromMs, untilMs }) => {
    const endsMs = isKill ? fromMs : fromMs + (customerFleet.GRACE_MS * 5) / 6;
    return nodes.includes(node) && sentMs < untilMs && endedMs > endsMs - SLACK_MS;
  });
}

/** Windows that hold more than allowed, without those that overlap one that is listed. */
function findExcess(
  times: readonly number[],
  windowMs: number,
  allowedFrom: (startMs: number) => number,
): string[] {
  const sorted = [...times].sort((a, b) => a - b);
  const found: string[] = [];
  let listedUntilMs = -Infinity;
  let end = 0;
  for (const [i, startMs] of sorted.entries()) {
    while (end < sorted.length && sorted[end]! < startMs + windowMs) end += 1;
    const allowed = allowedFrom(startMs);
    if (end - i > allowed && startMs >= listedUntilMs) {
      listedUntilMs = startMs + windowMs;
      found.push(`${end - i} requests from ${Math.round(startMs)} ms on, ${allowed} allowed`);
    }
  }
  return found;
}

function receivedMsOf({ receivedMs }: Run): number {
  return receivedMs;
}

/** Body of the answer to a request. */
export function bodyOf(id: string): string {
  return `done ${id}`;
}

function describeRun({ id, server, region, receivedMs }: Run): string {
  return `${id} at server ${server} (${region}, ${Math.round(receivedMs)} ms)`;
}

function describeCall({
  id,
  node,
  key,
  path,
  status,
  error,
  body,
  sentMs,
  endedMs,
}: customerCallers.Call) {
  const times = `${Math.round(sentMs)} to ${Math.round(endedMs)} ms`;
  const detail = status === 200 ? '' : ` ${body}`;
  return `${path} ${id} of ${key ?? 'no key'} at ${node} (${status || error}${detail}, ${times})`;
}
