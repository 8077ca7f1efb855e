/**
 * Faults at the step `recorded`: the key of a `once` request is claimed and the request not
 * dispatched, or dispatched and its answer not recorded (invariants 5 to 7).
 */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import got from 'got';
import * as harness from '../../harness/index.js';
import type * as cell from '../cell.js';
import * as onceKeys from './onceKeys.js';

/** Three servers in three failure domains, so each of them holds every key. */
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

interface Scene {
  deployed: harness.deployment.Deployment;
  /** Not a holder. */
  entry: harness.deployment.Server;
  /** Holder in the other region; half of the requests enter here. */
  away: harness.deployment.Server;
  /** Holder through which requests are repeated. */
  repeater: harness.deployment.Server;
  /** Holder that faults strike. */
  victim: harness.deployment.Server;
}

interface RecordedFault {
  name: string;
  strike: (scene: Scene) => Promise<unknown>;
  /** What happens after the first repeats, before the last ones. */
  mend?: (scene: Scene) => Promise<unknown>;
  /** Whether new keys must be served, or refused because too few holders are left. */
  newKeys: 'served' | 'refused' | 'either';
  /** Callers leave before they have their answers. */
  callersLeave?: boolean;
}

const ADDED = { name: 'back-4', service: 'back', version: 'v1', region: 'home' };
const KEYS = 60;
/** Long enough that most requests run when the fault strikes, short against their deadline. */
const SERVICE_TIME_MS = 120;
/** In each direction. */
const SLOW_LINK_MS = 250;
/** Shorter than the deadline of a request. */
const SLOW_ANSWER_MS = 1_200;
const NEW_KEYS = 6;
const SETTLE_TIMEOUT_MS = 40_000;
const REPEATS = 2;
/** A holder that is lost to the entry node is noticed within this time. */
const NOTICE_MS = 2_000;

const FAULTS: readonly RecordedFault[] = [
  {
    name: 'entry node killed',
    strike: ({ entry }) => entry.node?.kill() ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'one holder frozen',
    strike: async ({ victim }) => {
      victim.node?.freeze();
    },
    mend: async ({ victim }) => {
      victim.node?.thaw();
    },
    newKeys: 'served',
  },
  {
    name: 'one holder killed',
    strike: ({ victim }) => victim.node?.kill() ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'two holders killed',
    strike: ({ victim, away }) => Promise.all([victim.node?.kill(), away.node?.kill()]),
    newKeys: 'refused',
  },
  {
    name: 'platform killed',
    strike: ({ deployed }) => deployed.platform.kill(),
    newKeys: 'served',
  },
  {
    name: 'holder replaced',
    strike: replaceVictim,
    mend: ({ deployed }) => waitForEpoch(deployed, 2),
    newKeys: 'served',
  },
  {
    name: 'link between regions cut',
    strike: ({ deployed }) => deployed.cutLink(true),
    mend: ({ deployed }) => deployed.cutLink(false),
    newKeys: 'served',
  },
  {
    name: 'entry node stopped',
    strike: ({ entry }) => entry.node?.stop() ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'destination node replaced',
    strike: ({ victim }) => victim.node?.restart({ graceful: true }) ?? Promise.resolve(),
    newKeys: 'served',
  },
  {
    name: 'upstream frozen',
    strike: async ({ victim }) => {
      victim.upstream?.freeze();
    },
    mend: async ({ victim }) => {
      victim.upstream?.thaw();
    },
    newKeys: 'either',
  },
  {
    name: 'answers lost',
    strike: ({ victim }) => victim.upstreamControl.change({ rules: [{ truncateRate: 1 }] }),
    mend: ({ victim }) => victim.upstreamControl.change({ rules: [] }),
    newKeys: 'either',
  },
  {
    name: 'server added',
    strike: ({ deployed }) => deployed.addServer({ ...ADDED, failureDomain: 'home-a' }),
    mend: ({ deployed }) => waitForEpoch(deployed, 2),
    newKeys: 'served',
  },
  {
    name: 'link between regions slow',
    strike: ({ deployed }) =>
      deployed.linkControl.change({ delayMs: { ab: SLOW_LINK_MS, ba: SLOW_LINK_MS } }),
    newKeys: 'served',
  },
  {
    name: 'upstream slow',
    strike: ({ victim }) =>
      victim.upstreamControl.change({ rules: [{ addedLatencyMs: SLOW_ANSWER_MS }] }),
    newKeys: 'served',
  },
  {
    name: 'callers leave and repeat elsewhere',
    strike: () => Promise.resolve(),
    newKeys: 'served',
    callersLeave: true,
  },
];

/** The upstream of the node that leaves stays, so that its runs are counted. */
async function replaceVictim({ deployed, victim }: Scene): Promise<void> {
  await victim.node?.stop();
  await deployed.addServer({ ...ADDED, failureDomain: victim.failureDomain });
}

async function waitForEpoch(deployed: harness.deployment.Deployment, epoch: number): Promise<void> {
  const url = `${deployed.platformUrl(deployed.homeRegion)}/v1/objects/placement/back`;
  const isWritten = async () => {
    const found = await got(url).json<{ value: { epoch: number } }>();
    return found.value.epoch >= epoch;
  };
  const check = () => isWritten().catch(() => false);
  await harness.wait.waitFor(`placement epoch ${epoch}`, check, SETTLE_TIMEOUT_MS);
}

async function createScene(): Promise<Scene> {
  const deployed = await harness.deployment.createDeployment({
    layout: LAYOUT,
    upstreamArgs: ['--service-time-ms', String(SERVICE_TIME_MS), '--service-time-sigma', '0'],
    nodeSettings: { log: { level: 'warn' } },
  });
  try {
    const [entry] = deployed.select({ service: 'front' });
    const [away] = deployed.select({ service: 'back', region: 'away' });
    const [repeater] = deployed.select({ service: 'back', failureDomain: 'home-b' });
    const [victim] = deployed.select({ service: 'back', failureDomain: 'home-a' });
    if (!entry || !away || !repeater || !victim) throw new RangeError('a server is missing');
    await entry.admin.file(TICKET);
    await onceKeys.waitServed([entry, away, repeater, victim]);
    return { deployed, entry, away, repeater, victim };
  } catch (err) {
    await deployed.close();
    throw err;
  }
}

async function strikeRecorded(fault: RecordedFault): Promise<void> {
  const scene = await createScene();
  const { deployed, entry, away, repeater } = scene;
  try {
    const keys = new onceKeys.OnceKeys();
    // Callers leave at different moments of the claim, the run and the recording.
    const leave = fault.callersLeave === true ? (n: number) => 2 + n * 4 : undefined;
    const sending = keys.send('struck', KEYS, [entry, away], leave);
    // By the first answer, later requests are at each moment of their claims and runs.
    await harness.wait.waitFor(
      'the first answer',
      () => keys.answersOf('struck').flat().length > 0,
    );
    const striking = fault.strike(scene);
    await sending;
    await keys.answered();
    await keys.repeat(repeater, REPEATS);
    await striking;
    await timers.setTimeout(NOTICE_MS);
    await keys.send('new', NEW_KEYS, [repeater]);
    await keys.answered();
    await fault.mend?.(scene);
    await keys.repeat(repeater, REPEATS);
    await keys.check(fault.name, deployed.select({ service: 'back' }));
    checkService(fault, keys);
  } finally {
    await deployed.close();
  }
}

/** A guard that refuses everything would keep every rule on runs. */
function checkService(fault: RecordedFault, keys: onceKeys.OnceKeys): void {
  for (const answers of keys.answersOf('new')) {
    const told = `${fault.name}: ${JSON.stringify(answers)}`;
    const [first] = answers;
    if (fault.newKeys === 'served') assert.equal(first?.status, 200, `a lost request, ${told}`);
    if (fault.newKeys === 'refused') {
      assert.equal(first?.outcome, 'unknown', `a claim without a quorum, ${told}`);
    }
  }
}

export const CELLS: readonly cell.Cell[] = FAULTS.map((fault) => ({
  area: 'requests',
  fault: fault.name,
  step: 'recorded',
  invariants: [5, 6, 7],
  run: () => strikeRecorded(fault),
}));
