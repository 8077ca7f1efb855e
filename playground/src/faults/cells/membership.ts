/** Faults during the announcement and removal of members. */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import type * as deployments from '../../harness/deployment.js';
import * as wait from '../../harness/wait.js';
import type * as cells from '../cell.js';
import * as trials from '../trial.js';

/** Invariant 8: an upstream that leaves gets no new work after a few seconds. */
const LISTING_TIMEOUT_MS = 8_000;
const FREEZE_MS = 6_000;
/** Shorter than the silence timeout after which a child is removed without prior notice. */
const PLANNED_REMOVAL_TIMEOUT_MS = 2_500;

type RunTrial = (trial: trials.Trial) => Promise<void>;

async function waitForListing(
  observer: deployments.Server,
  server: deployments.Server,
  isListed: boolean,
): Promise<void> {
  await wait.waitFor(
    `${observer.name} ${isListed ? 'lists' : 'no longer lists'} ${server.name}`,
    async () => {
      const upstreams = await observer.admin.upstreams();
      const found = upstreams.some(({ node, draining }) => node === server.name && !draining);
      return found === isListed;
    },
    LISTING_TIMEOUT_MS,
  );
}

/** Another node of the same region; each node lists all upstreams of its region. */
function findObserver(trial: trials.Trial, server: deployments.Server): deployments.Server {
  const found = trial
    .runningServers()
    .find((other) => other.region === server.region && other !== server);
  if (found === undefined) throw new Error(`no other running node in region ${server.region}`);
  return found;
}

function killAndRestart(role: 'root' | 'regionRelay' | 'domainRelay' | 'leaf'): RunTrial {
  return async (trial) => {
    const server = await trial.waitForRole(role);
    const observer = findObserver(trial, server);
    await waitForListing(observer, server, true);
    await trial.deployment.killServer(server.name);
    await waitForListing(observer, server, false);
    await trial.deployment.startServer(server.name);
    await waitForListing(observer, server, true);
  };
}

async function freezeAndThaw(trial: trials.Trial): Promise<void> {
  const server = await trial.waitForRole('leaf');
  const observer = findObserver(trial, server);
  await waitForListing(observer, server, true);
  const readIncarnation = async () =>
    (await observer.admin.nodes()).find(({ node }) => node === server.name)?.incarnation ?? 0;
  const before = await readIncarnation();
  server.node?.freeze();
  await waitForListing(observer, server, false);
  await timers.setTimeout(FREEZE_MS);
  server.node?.thaw();
  await waitForListing(observer, server, true);
  assert.ok((await readIncarnation()) > before, 'a removed node joins with a higher incarnation');
}

/** The children of a stopping relay switch parents while it still answers, without a time-out. */
function stopGracefully(role: 'root' | 'regionRelay' | 'domainRelay'): RunTrial {
  return async (trial) => {
    const server = await trial.waitForRole(role);
    const observer = findObserver(trial, server);
    await waitForListing(observer, server, true);
    const stopping = trial.deployment.stopServer(server.name);
    await waitForListing(observer, server, false);
    await stopping;
    await wait.waitFor(
      'the removal',
      async () => (await observer.admin.nodes()).every(({ node }) => node !== server.name),
      PLANNED_REMOVAL_TIMEOUT_MS,
    );
    await trial.fileTicket(trial.changeSource.next(), trial.otherServer(server));
    await trial.waitUntilApplied();
  };
}

/** A new host with the same name and another address supersedes the record of the old one. */
async function replaceHost(trial: trials.Trial): Promise<void> {
  const { deployment } = trial;
  const server = await trial.waitForRole('leaf');
  const { name, service, version, region, failureDomain } = server;
  const observer = findObserver(trial, server);
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
  await waitForListing(observer, next, true);
}

function createCell(fault: string, step: string, run: RunTrial): cells.Cell {
  return {
    ...{ area: 'membership', fault, step, invariants: [1, 8, 10] },
    run: () => trials.runTrial(run, { upstreams: true }),
  };
}

export const CELLS: readonly cells.Cell[] = [
  createCell('kill of a leaf', 'announce', killAndRestart('leaf')),
  createCell('kill of a domain relay', 'announce', killAndRestart('domainRelay')),
  createCell('kill of the region relay', 'announce', killAndRestart('regionRelay')),
  createCell('kill of the root', 'announce', killAndRestart('root')),
  createCell('freeze of a leaf', 'announce', freezeAndThaw),
  {
    ...createCell('planned stop of a domain relay', 'announce', stopGracefully('domainRelay')),
    knownRed: 'issue 11',
  },
  createCell('planned stop of the region relay', 'announce', stopGracefully('regionRelay')),
  createCell('planned stop of the root', 'announce', stopGracefully('root')),
  createCell('replacement of a host', 'announce', replaceHost),
  { area: 'membership', fault: 'cut', step: 'announce', invariants: [8] },
  { area: 'membership', fault: 'loss of a failure domain', step: 'announce', invariants: [8] },
];
