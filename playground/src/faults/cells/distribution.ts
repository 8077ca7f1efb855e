/** Faults at each step of the distribution of a configuration, from the operator to the nodes. */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import type * as platformFaults from '../../platform/faults.js';
import type * as deployments from '../../harness/deployment.js';
import * as wait from '../../harness/wait.js';
import type * as cells from '../cell.js';
import * as trials from '../trial.js';

const FAULTS = ['kill', 'freeze', 'cut', 'outage', 'slow', 'lostAnswers'] as const;
const STEPS = ['accept', 'write', 'watch', 'relay', 'apply', 'restart'] as const;

type Fault = (typeof FAULTS)[number];
type Step = (typeof STEPS)[number];
type RunTrial = (trial: trials.Trial) => Promise<void>;

const INVARIANTS = [1, 2, 3, 10];
const FREEZE_MS = 2_500;
const FAULT_MS = 1_500;
const PLATFORM_FAULTS: Partial<Record<Fault, platformFaults.FaultChange>> = {
  outage: { outage: true },
  slow: { delayMs: 400, delayJitterMs: 200 },
  lostAnswers: { loseAnswers: { probability: 0.5 } },
};
const NO_FAULT: platformFaults.FaultChange = {
  outage: false,
  delayMs: 0,
  delayJitterMs: 0,
  freezeWrites: false,
  loseAnswers: null,
};

/** Injects a fault and returns the function that ends it. */
async function injectFault(
  trial: trials.Trial,
  fault: Fault,
  server: deployments.Server,
): Promise<() => Promise<void>> {
  const { deployment } = trial;
  if (fault === 'kill') {
    await server.node?.kill();
    return () => deployment.startServer(server.name);
  }
  if (fault === 'freeze') {
    server.node?.freeze();
    return async () => {
      await timers.setTimeout(FREEZE_MS);
      server.node?.thaw();
    };
  }
  if (fault === 'cut') {
    await deployment.cutLink(true);
    return () => deployment.cutLink(false);
  }
  await deployment.platformControl.change(PLATFORM_FAULTS[fault] ?? {});
  return async () => {
    await timers.setTimeout(FAULT_MS);
    await deployment.platformControl.change(NO_FAULT);
  };
}

async function findTarget(trial: trials.Trial, step: Step): Promise<deployments.Server> {
  const away = trial.deployment.layout.regions[1].name;
  if (step === 'watch') return trial.waitForRole('root');
  if (step === 'relay') return trial.waitForRole('regionRelay');
  return trial.waitForRole('leaf', away);
}

/** Injects the fault while a ticket is being filed, then files the ticket again at another server. */
function injectDuringFiling(fault: Fault): RunTrial {
  return async (trial) => {
    const target = await findTarget(trial, 'accept');
    const ticket = trial.changeSource.next();
    const firstAttempt = target.admin.tryFile(ticket).catch(() => null);
    await timers.setTimeout(10);
    const endFault = await injectFault(trial, fault, target);
    const isNodeOrLinkFault = fault === 'kill' || fault === 'freeze' || fault === 'cut';
    if (isNodeOrLinkFault) await trial.fileTicket(ticket, trial.otherServer(target));
    await endFault();
    await firstAttempt;
    if (!isNodeOrLinkFault) await trial.fileTicket(ticket, trial.otherServer(target));
  };
}

/** Injects the fault after the bodies are written, while the write of the manifest is blocked. */
function injectDuringWrite(fault: Fault): RunTrial {
  return async (trial) => {
    const { platformControl } = trial.deployment;
    await platformControl.change({ freezeWrites: true });
    const target = await trial.waitForRole('root');
    const ticket = trial.changeSource.next();
    const firstAttempt = target.admin.tryFile(ticket).catch(() => null);
    await timers.setTimeout(100);
    const endFault = await injectFault(trial, fault, target);
    await platformControl.change({ freezeWrites: false });
    await endFault();
    await firstAttempt;
    await trial.fileTicket(ticket, trial.otherServer(target));
  };
}

/** Files changes while the fault affects the target of the step. */
function injectDuringChanges(fault: Fault, step: Step): RunTrial {
  return async (trial) => {
    const target = await findTarget(trial, step);
    const endFault = await injectFault(trial, fault, target);
    const ending = fault === 'outage' ? endFault() : null;
    for (let n = 0; n < 3; n++)
      await trial.fileTicket(trial.changeSource.next(), trial.otherServer(target));
    const { homeRegion } = trial.deployment;
    const reachable = trial
      .runningServers()
      .filter((server) => server !== target && (fault !== 'cut' || server.region === homeRegion));
    await trial.waitUntilApplied(reachable);
    await (ending ?? endFault());
  };
}

/** Restarts a node during the fault: it must not serve an older version than before. */
function injectDuringRestart(fault: Fault): RunTrial {
  return async (trial) => {
    await trial.fileTicket(trial.changeSource.next(), trial.otherServer());
    await trial.waitUntilApplied();
    const target = await findTarget(trial, 'restart');
    const endFault = await injectFault(trial, fault === 'freeze' ? 'kill' : fault, target);
    await target.node?.kill();
    target.node?.spawn();
    if (fault === 'kill') await target.node?.restart();
    if (fault === 'freeze') {
      await timers.setTimeout(300);
      target.node?.freeze();
      await timers.setTimeout(FREEZE_MS);
      target.node?.thaw();
    } else if (fault !== 'kill') await endFault();
    await wait.waitFor('the restarted node', () => target.admin.ready(), 15_000);
    assert.equal((await target.admin.status()).configVersion, trial.expectedVersion);
  };
}

function createRun(fault: Fault, step: Step): RunTrial {
  if (step === 'accept') return injectDuringFiling(fault);
  if (step === 'write') return injectDuringWrite(fault);
  if (step === 'restart') return injectDuringRestart(fault);
  return injectDuringChanges(fault, step);
}

/** All nodes restart while the platform is down: none may serve before it knows its floor version. */
async function restartAllInOutage(trial: trials.Trial): Promise<void> {
  const { deployment } = trial;
  await trial.fileTicket(trial.changeSource.next(), trial.otherServer());
  await trial.waitUntilApplied();
  await deployment.platformControl.change({ outage: true });
  await Promise.all(deployment.servers.map(({ node }) => node?.kill()));
  deployment.servers.forEach(({ node }) => node?.spawn());
  await timers.setTimeout(4_000);
  const ready = await Promise.all(deployment.servers.map(({ admin }) => admin.ready()));
  assert.deepEqual(
    ready.filter((value) => value),
    [],
    'no node serves before it holds its floor',
  );
  await deployment.platformControl.change(NO_FAULT);
  for (const { name, admin } of deployment.servers) {
    await wait.waitFor(`${name} ready`, () => admin.ready(), 15_000);
  }
}

async function restartAll(trial: trials.Trial): Promise<void> {
  const { deployment } = trial;
  await Promise.all(deployment.servers.map(({ node }) => node?.kill()));
  deployment.servers.forEach(({ node }) => node?.spawn());
  for (const { name, admin } of deployment.servers) {
    await wait.waitFor(`${name} ready`, () => admin.ready(), 15_000);
  }
  await trial.fileTicket(trial.changeSource.next(), trial.otherServer());
}

/** Cuts only the root's own link mapping, so that the region relay must switch to another parent. */
async function cutRootOnly(trial: trials.Trial): Promise<void> {
  const root = await trial.waitForRole('root');
  await trial.deployment.linkControl.change({ remove: [root.name] });
  for (let n = 0; n < 2; n++) await trial.fileTicket(trial.changeSource.next(), root);
  await trial.waitUntilApplied();
}

function createCell(fault: string, step: string, run: RunTrial): cells.Cell {
  return {
    ...{ area: 'distribution', fault, step, invariants: INVARIANTS },
    run: () => trials.runTrial(run),
  };
}

/** Each failed once or twice on a loaded machine, before its fault was injected; cause unknown. */
const KNOWN_RED: ReadonlyMap<string, string> = new Map([
  ['freeze at accept', 'no leaf in the second region within 20 s of a start under load'],
  ['kill at apply', 'no leaf in the second region within 10 s of a start under load'],
  ['outage at restart', 'no leaf within 20 s of a start under load'],
]);

export const CELLS: readonly cells.Cell[] = [
  ...FAULTS.flatMap((fault) =>
    STEPS.map((step) => ({
      ...createCell(fault, step, createRun(fault, step)),
      knownRed: KNOWN_RED.get(`${fault} at ${step}`),
    })),
  ),
  createCell('outage and restart of all', 'restart', restartAllInOutage),
  createCell('restart of all', 'restart', restartAll),
  createCell('cut of the root alone', 'relay', cutRootOnly),
  { area: 'distribution', fault: 'lostAnswers of watches', step: 'watch', invariants: INVARIANTS },
  { area: 'distribution', fault: 'cut and outage', step: 'restart', invariants: INVARIANTS },
];
