/**
 * The demo: starts the stand-ins and both deployments at small size, files tickets with the command
 * line, moves a good version, takes a bad one back, prints what it saw and ends by itself.
 */

import * as operator from '../e2e/operator.js';
import * as harness from '../harness/index.js';
import * as loads from './load.js';
import * as scenarios from './scenario.js';

const MOVE_DEADLINE_MS = 14_000;
/** The demo gives up, with exit code 1, before a minute is over. */
const DEMO_LIMIT_MS = 58_000;
/** Versions of the servers that are added beside the first ones. */
const ADDED_SERVERS = 2;

const startMs = performance.now();

function print(scenario: scenarios.Scenario, line: string): void {
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1).padStart(5);
  process.stdout.write(`${seconds} s  ${scenario.layout.name.padEnd(10)}  ${line}\n`);
}

async function file(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
  ticket: harness.clients.TicketDocument,
  wait: string,
): Promise<operator.CommandResult> {
  const path = deployment.group.writeFile(`ticket-${ticket.ticket}.yaml`, JSON.stringify(ticket));
  print(scenario, `godwittrack ticket file ticket-${ticket.ticket}.yaml ${wait}`);
  return operator.runCommand(deployment.servers, ['ticket', 'file', path, wait]);
}

async function addVersion(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
  version: string,
): Promise<harness.deployment.Server[]> {
  const { service } = scenario;
  const places = deployment.select({ service, version: 'v1' }).slice(0, ADDED_SERVERS);
  return Promise.all(
    places.map(({ region, failureDomain }, index) => {
      const name = `${service}-${version}-${index + 1}`;
      return deployment.addServer({ name, service, version, region, failureDomain });
    }),
  );
}

function expectExit(result: operator.CommandResult, exitCode: number, what: string): void {
  if (result.exitCode === exitCode) return;
  throw new Error(`${what}: exit code ${result.exitCode}, expected ${exitCode}: ${result.stderr}`);
}

async function statusOf(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
): Promise<string> {
  const [server] = deployment.servers;
  const status = await server?.admin.status();
  const found = status?.services.find(({ service }) => service === scenario.service);
  return `status: ${found?.summary ?? 'unknown'}`;
}

async function moveGoodVersion(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
): Promise<void> {
  const versions = { stable: 'v1', target: 'v2' };
  const deadlineMs = Date.now() + MOVE_DEADLINE_MS;
  const ticket = scenarios.createMoveTicket(scenario, 2, versions, deadlineMs);
  const result = await file(deployment, scenario, ticket, '--wait-rollout');
  expectExit(result, 0, 'move of the good version');
  const late = Date.now() > deadlineMs ? 'late' : 'before the deadline';
  print(scenario, `v2 serves all traffic, ${late}; ${await statusOf(deployment, scenario)}`);
}

async function takeBadVersionBack(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
): Promise<void> {
  const versions = { stable: 'v2', target: 'v3' };
  const deadlineMs = Date.now() + MOVE_DEADLINE_MS;
  const ticket = scenarios.createMoveTicket(scenario, 3, versions, deadlineMs);
  const result = await file(deployment, scenario, ticket, '--wait-rollout');
  const takenBack = 8;
  expectExit(result, takenBack, 'take-back of the bad version');
  print(scenario, `v3, which ${scenario.fault.description}, was taken back`);
  print(scenario, await statusOf(deployment, scenario));
}

async function run(scenario: scenarios.Scenario): Promise<void> {
  const deployment = await harness.deployment.createDeployment({ layout: scenario.layout });
  const load = new loads.DemoLoad(deployment.servers, `${scenario.pathPrefix}/7`);
  try {
    print(scenario, `${deployment.servers.length} nodes in two regions are ready`);
    const added = Promise.all([
      addVersion(deployment, scenario, 'v2'),
      addVersion(deployment, scenario, 'v3'),
    ]);
    const first = scenarios.createFirstTicket(scenario);
    expectExit(await file(deployment, scenario, first, '--wait'), 0, 'first ticket');
    print(scenario, `ticket 1 is in force on every node`);
    const [, bad] = await added;
    print(scenario, 'upstreams of v2 and v3 have started beside v1');
    await Promise.all(
      bad.map(({ upstreamControl }) => upstreamControl.change(scenario.fault.change)),
    );
    await moveGoodVersion(deployment, scenario);
    await takeBadVersionBack(deployment, scenario);
  } finally {
    await load.stop();
    await deployment.close();
  }
  const counts = [...load.answers].map(([version, answers]) => `${version}: ${answers}`).sort();
  print(scenario, `answers by version: ${counts.join(', ')}; failed: ${load.failed}`);
}

const limit = setTimeout(() => {
  process.stderr.write('The demo did not end in time.\n');
  process.kill(process.pid, 'SIGTERM');
}, DEMO_LIMIT_MS);

try {
  await Promise.all(scenarios.SCENARIOS.map(run));
  process.stdout.write('The demo ended as expected.\n');
} catch (err) {
  process.stderr.write(`The demo failed: ${err instanceof Error ? err.message : String(err)}\n`);
  process.exitCode = 1;
} finally {
  clearTimeout(limit);
}
