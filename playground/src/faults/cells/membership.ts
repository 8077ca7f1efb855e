/** Cells of the members' announcements and removals. */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import type * as deployments from '../../harness/deployment.js';
import * as wait from '../../harness/wait.js';
import type * as cells from '../cell.js';
import * as trials from '../trial.js';

/** Invariant 8: a leaving upstream gets no new work after a few seconds. */
const REMOVED_WITHIN_MS = 8_000;
const FREEZE_MS = 6_000;
/** Shorter than the silence after which a child is removed without notice. */
const REMOVAL_NOTICE_MS = 2_500;

type Run = (trial: trials.Trial) => Promise<void>;

async function lists(
  observer: deployments.Server,
  server: deployments.Server,
  wanted: boolean,
): Promise<void> {
  await wait.waitFor(
    `${observer.name} ${wanted ? 'lists' : 'no longer lists'} ${server.name}`,
    async () => {
      const upstreams = await observer.admin.upstreams();
      const found = upstreams.some(({ node, draining }) => node === server.name && !draining);
      return found === wanted;
    },
    REMOVED_WITHIN_MS,
  );
}

/** Someone of the same region, which lists every upstream there. */
function observerOf(trial: trials.Trial, server: deployments.Server): deployments.Server {
  const found = trial.running().find((other) => other.region === server.region && other !== server);
  if (found === undefined) throw new Error('no observer');
  return found;
}

function killed(role: 'root' | 'regionRelay' | 'domainRelay' | 'leaf'): Run {
  return async (trial) => {
    const server = await trial.find(role);
    const observer = observerOf(trial, server);
    await lists(observer, server, true);
    await trial.deployment.killServer(server.name);
    await lists(observer, server, false);
    await trial.deployment.startServer(server.name);
    await lists(observer, server, true);
  };
}

async function frozen(trial: trials.Trial): Promise<void> {
  const server = await trial.find('leaf');
  const observer = observerOf(trial, server);
  await lists(observer, server, true);
  const incarnation = async () =>
    (await observer.admin.nodes()).find(({ node }) => node === server.name)?.incarnation ?? 0;
  const before = await incarnation();
  server.node?.freeze();
  await lists(observer, server, false);
  await timers.setTimeout(FREEZE_MS);
  server.node?.thaw();
  await lists(observer, server, true);
  assert.ok((await incarnation()) > before, 'a removed node joins with a higher incarnation');
}

/** The children of a stopping relay move while it still answers, and nobody waits for a timeout. */
function stopped(role: 'root' | 'regionRelay' | 'domainRelay'): Run {
  return async (trial) => {
    const server = await trial.find(role);
    const observer = observerOf(trial, server);
    await lists(observer, server, true);
    const stopping = trial.deployment.stopServer(server.name);
    await lists(observer, server, false);
    await stopping;
    await wait.waitFor(
      'the removal',
      async () => (await observer.admin.nodes()).every(({ node }) => node !== server.name),
      REMOVAL_NOTICE_MS,
    );
    await trial.file(trial.source.next(), trial.other(server));
    await trial.inForce();
  };
}

/** Same name, new address: the replaced host's record gives way to the new life. */
async function replaced(trial: trials.Trial): Promise<void> {
  const { deployment } = trial;
  const server = await trial.find('leaf');
  const { name, service, version, region, failureDomain } = server;
  const observer = observerOf(trial, server);
  await deployment.removeServer(name);
  const next = await deployment.addServer({ name, service, version, region, failureDomain });
  await wait.waitFor('the new address', async () => {
    const entries = (await observer.admin.nodes()) as unknown as {
      node: string;
      adminAddress: string;
    }[];
    return entries.some(
      (entry) => entry.node === name && entry.adminAddress === next.addresses.admin,
    );
  });
  await lists(observer, next, true);
}

function cell(fault: string, step: string, run: Run): cells.Cell {
  return {
    ...{ area: 'membership', fault, step, invariants: [1, 8, 10] },
    run: () => trials.runTrial(run, { upstreams: true }),
  };
}

export const CELLS: readonly cells.Cell[] = [
  cell('kill of a leaf', 'announce', killed('leaf')),
  cell('kill of a domain relay', 'announce', killed('domainRelay')),
  cell('kill of the region relay', 'announce', killed('regionRelay')),
  cell('kill of the root', 'announce', killed('root')),
  cell('freeze of a leaf', 'announce', frozen),
  {
    ...cell('planned stop of a domain relay', 'announce', stopped('domainRelay')),
    knownRed: 'issue 11',
  },
  cell('planned stop of the region relay', 'announce', stopped('regionRelay')),
  cell('planned stop of the root', 'announce', stopped('root')),
  cell('replacement of a host', 'announce', replaced),
  { area: 'membership', fault: 'cut', step: 'announce', invariants: [8] },
  { area: 'membership', fault: 'loss of a failure domain', step: 'announce', invariants: [8] },
];
