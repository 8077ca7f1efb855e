/**
 * Faults at the step `recorded`, between the claim of the key of a `once` request and the recording
 * of its answer: before the dispatch or after it (invariants 5 to 7).
 */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import got from 'got';
import * as harness from '../../harness/index.js';
import type * as cell from '../cell.js';
import * as onceRequests from './onceRequests.js';

/** Three servers in three failure domains, so that each server is a holder of every key. */
const LAYOUT: harness.layouts.Layout = {
  name: 'recorded-faults',
  regions: [
    { name: 'home', failureDomains: ['home-a', 'home-b'] },
    { name: 'away', failureDomains: ['away-a'] },
  ],
  services: [
    { name: 'front', servers: 1, slots: 2 },
    { name: 'back', servers: 3, slots: 12 },
  ],
};

const SPEC = { retryBudgetPct: 100, queueTimeout: '2s' };

const TICKET: harness.clients.TicketDocument = {
  ticket: 1,
  author: 'faults',
  reason: 'recorded requests',
  resources: [
    { kind: 'service', name: 'back', spec: SPEC },
    {
      kind: 'route',
      name: 'order',
      spec: { service: 'back', match: { pathPrefix: '/back/order' }, semantics: 'once' },
    },
  ],
};

interface Fixture {
  deployment: harness.deployment.Deployment;
  /** Entry node that holds no keys. */
  entry: harness.deployment.Server;
  /** Holder in the other region; half of the requests are sent to it. */
  away: harness.deployment.Server;
  /** Holder to which requests are repeated. */
  repeater: harness.deployment.Server;
  /** Holder that the fault is injected into. */
  target: harness.deployment.Server;
}

interface RecordedFault {
  name: string;
  inject: (fixture: Fixture) => Promise<unknown>;
  /** Ends the fault, between the first and the last repeats. */
  recover?: (fixture: Fixture) => Promise<unknown>;
  /** Expected answer to new keys; they are refused when too few holders are left for a quorum. */
  newKeys: 'served' | 'refused' | 'either';
  /** Callers disconnect before they get their answers. */
  callersDisconnect?: boolean;
}

const ADDED_SERVER = { name: 'back-4', service: 'back', version: 'v1', region: 'home' };
const KEY_COUNT = 60;
/** Long enough that most requests are running at the fault, and well below their deadline. */
const SERVICE_TIME_MS = 120;
/** One-way delay, in each direction. */
const SLOW_LINK_MS = 250;
/** Shorter than the deadline of a request. */
const SLOW_ANSWER_MS = 1_200;
const NEW_KEY_COUNT = 6;
const EPOCH_TIMEOUT_MS = 40_000;
const REPEATS = 2;
/** Time within which an entry node detects the loss of a holder. */
const DETECTION_MS = 2_000;

const FAULTS: readonly RecordedFault[] = [
  {
    name: 'entry node killed',
    inject: ({ entry }) => entry.node?.kill() ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'one holder frozen',
    inject: async ({ target }) => {
      target.node?.freeze();
    },
    recover: async ({ target }) => {
      target.node?.thaw();
    },
    newKeys: 'served',
  },
  {
    name: 'one holder killed',
    inject: ({ target }) => target.node?.kill() ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'two holders killed',
    inject: ({ target, away }) => Promise.all([target.node?.kill(), away.node?.kill()]),
    newKeys: 'refused',
  },
  {
    name: 'platform killed',
    inject: ({ deployment }) => deployment.platform.kill(),
    newKeys: 'served',
  },
  {
    name: 'holder replaced',
    inject: replaceTarget,
    recover: ({ deployment }) => waitForEpoch(deployment, 2),
    newKeys: 'served',
  },
  {
    name: 'link between regions cut',
    inject: ({ deployment }) => deployment.cutLink(true),
    recover: ({ deployment }) => deployment.cutLink(false),
    newKeys: 'served',
  },
  {
    name: 'entry node stopped',
    inject: ({ entry }) => entry.node?.stop() ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'destination node replaced',
    inject: ({ target }) => target.node?.restart({ graceful: true }) ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'upstream frozen',
    inject: async ({ target }) => {
      target.upstream?.freeze();
    },
    recover: async ({ target }) => {
      target.upstream?.thaw();
    },
    newKeys: 'either',
  },
  {
    name: 'answers lost',
    inject: ({ target }) => target.upstreamControl.change({ rules: [{ truncateRate: 1 }] }),
    recover: ({ target }) => target.upstreamControl.change({ rules: [] }),
    newKeys: 'either',
  },
  {
    name: 'server added',
    inject: ({ deployment }) => deployment.addServer({ ...ADDED_SERVER, failureDomain: 'home-a' }),
    recover: ({ deployment }) => waitForEpoch(deployment, 2),
    newKeys: 'served',
  },
  {
    name: 'link between regions slow',
    inject: ({ deployment }) =>
      deployment.linkControl.change({ delayMs: { ab: SLOW_LINK_MS, ba: SLOW_LINK_MS } }),
    newKeys: 'served',
  },
  {
    name: 'upstream slow',
    inject: ({ target }) =>
      target.upstreamControl.change({ rules: [{ addedLatencyMs: SLOW_ANSWER_MS }] }),
    newKeys: 'served',
  },
  {
    name: 'callers leave and repeat elsewhere',
    inject: () => Promise.resolve(),
    newKeys: 'served',
    callersDisconnect: true,
  },
];

/** Stops only the node; its upstream keeps running, so that its runs are still counted. */
async function replaceTarget({ deployment, target }: Fixture): Promise<void> {
  await target.node?.stop();
  await deployment.addServer({ ...ADDED_SERVER, failureDomain: target.failureDomain });
}

async function waitForEpoch(
  deployment: harness.deployment.Deployment,
  epoch: number,
): Promise<void> {
  const url = `${deployment.platformUrl(deployment.homeRegion)}/v1/objects/placement/back`;
  const isWritten = async () => {
    const found = await got(url).json<{ value: { epoch: number } }>();
    return found.value.epoch >= epoch;
  };
  const check = () => isWritten().catch(() => false);
  await harness.wait.waitFor(`placement epoch ${epoch}`, check, EPOCH_TIMEOUT_MS);
}

async function createFixture(): Promise<Fixture> {
  const deployment = await harness.deployment.createDeployment({
    layout: LAYOUT,
    upstreamArgs: ['--service-time-ms', String(SERVICE_TIME_MS), '--service-time-sigma', '0'],
    nodeSettings: { log: { level: 'warn' } },
  });
  try {
    const [entry] = deployment.select({ service: 'front' });
    const [away] = deployment.select({ service: 'back', region: 'away' });
    const [repeater] = deployment.select({ service: 'back', failureDomain: 'home-b' });
    const [target] = deployment.select({ service: 'back', failureDomain: 'home-a' });
    if (!entry || !away || !repeater || !target)
      throw new RangeError('the layout has too few servers');
    await entry.admin.file(TICKET);
    await onceRequests.waitUntilServed([entry, away, repeater, target]);
    return { deployment, entry, away, repeater, target };
  } catch (err) {
    await deployment.close();
    throw err;
  }
}

async function runFault(fault: RecordedFault): Promise<void> {
  const fixture = await createFixture();
  const { deployment, entry, away, repeater } = fixture;
  try {
    const requests = new onceRequests.OnceRequests();
    // Staggered, so that callers disconnect during the claim, the run and the recording.
    const disconnectAfterMs =
      fault.callersDisconnect === true ? (n: number) => 2 + n * 4 : undefined;
    const sending = requests.send('struck', KEY_COUNT, [entry, away], disconnectAfterMs);
    // At the first answer, the other requests are at different stages of their claims and runs.
    await harness.wait.waitFor(
      'the first answer',
      () => requests.answersByKey('struck').flat().length > 0,
    );
    const injecting = fault.inject(fixture);
    await sending;
    await requests.waitForAnswers();
    await requests.repeat(repeater, REPEATS);
    await injecting;
    await timers.setTimeout(DETECTION_MS);
    await requests.send('new', NEW_KEY_COUNT, [repeater]);
    await requests.waitForAnswers();
    await fault.recover?.(fixture);
    await requests.repeat(repeater, REPEATS);
    await requests.check(fault.name, deployment.select({ service: 'back' }));
    checkNewKeys(fault, requests);
  } finally {
    await deployment.close();
  }
}

/** Checks the answers to new keys, since refusing every request would pass all checks of run counts. */
function checkNewKeys(fault: RecordedFault, requests: onceRequests.OnceRequests): void {
  for (const answers of requests.answersByKey('new')) {
    const details = `${fault.name}: ${JSON.stringify(answers)}`;
    const [first] = answers;
    if (fault.newKeys === 'served') assert.equal(first?.status, 200, `a lost request, ${details}`);
    if (fault.newKeys === 'refused') {
      assert.equal(first?.outcome, 'unknown', `a claim without a quorum, ${details}`);
    }
  }
}

export const CELLS: readonly cell.Cell[] = FAULTS.map((fault) => ({
  area: 'requests',
  fault: fault.name,
  step: 'recorded',
  invariants: [5, 6, 7],
  run: () => runFault(fault),
}));
