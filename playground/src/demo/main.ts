/**
 * Demo program: starts both example deployments at a small size, with simulated platforms, links and
 * upstreams, and files tickets through the command line. Rolls out a good version, shows that a bad
 * one is taken back, prints the results and exits.
 */

import * as operator from '../e2e/operator.js';
import * as harness from '../harness/index.js';
import * as loads from './load.js';
import * as scenarios from './scenario.js';

const ROLLOUT_DEADLINE_MS = 14_000;
/** Time limit that keeps the demo below one minute; on expiry the process is terminated. */
const DEMO_TIMEOUT_MS = 58_000;
/** Number of servers that are added for each new version. */
const SERVERS_PER_ADDED_VERSION = 2;

const startMs = performance.now();

function print(scenario: scenarios.Scenario, line: string): void {
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1).padStart(5);
  process.stdout.write(`${seconds} s  ${scenario.layout.name.padEnd(10)}  ${line}\n`);
}

async function fileTicket(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
  ticket: harness.clients.TicketDocument,
  waitFlag: string,
): Promise<operator.CommandResult> {
  const path = deployment.group.writeFile(`ticket-${ticket.ticket}.yaml`, JSON.stringify(ticket));
  print(scenario, `godwittrack ticket file ticket-${ticket.ticket}.yaml ${waitFlag}`);
  return operator.runCommand(deployment.servers, ['ticket', 'file', path, waitFlag]);
}

async function addVersion(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
  version: string,
): Promise<harness.deployment.Server[]> {
  const { service } = scenario;
  const hosts = deployment.select({ service, version: 'v1' }).slice(0, SERVERS_PER_ADDED_VERSION);
  return Promise.all(
    hosts.map(({ region, failureDomain }, index) => {
      const name = `${service}-${version}-${index + 1}`;
      return deployment.addServer({ name, service, version, region, failureDomain });
    }),
  );
}

function assertExitCode(result: operator.CommandResult, exitCode: number, action: string): void {
  if (result.exitCode === exitCode) return;
  throw new Error(
    `${action}: exit code ${result.exitCode}, expected ${exitCode}: ${result.stderr}`,
  );
}

async function describeStatus(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
): Promise<string> {
  const [server] = deployment.servers;
  const status = await server?.admin.status();
  const found = status?.services.find(({ service }) => service === scenario.service);
  return `status: ${found?.summary ?? 'unknown'}`;
}

async function rollOutGoodVersion(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
): Promise<void> {
  const versions = { stable: 'v1', target: 'v2' };
  const deadlineMs = Date.now() + ROLLOUT_DEADLINE_MS;
  const ticket = scenarios.createRolloutTicket(scenario, 2, versions, deadlineMs);
  const result = await fileTicket(deployment, scenario, ticket, '--wait-rollout');
  assertExitCode(result, 0, 'move of the good version');
  const timing = Date.now() > deadlineMs ? 'late' : 'before the deadline';
  print(
    scenario,
    `v2 serves all traffic, ${timing}; ${await describeStatus(deployment, scenario)}`,
  );
}

async function rollOutBadVersion(
  deployment: harness.deployment.Deployment,
  scenario: scenarios.Scenario,
): Promise<void> {
  const versions = { stable: 'v2', target: 'v3' };
  const deadlineMs = Date.now() + ROLLOUT_DEADLINE_MS;
  const ticket = scenarios.createRolloutTicket(scenario, 3, versions, deadlineMs);
  const result = await fileTicket(deployment, scenario, ticket, '--wait-rollout');
  const takenBackExitCode = 8;
  assertExitCode(result, takenBackExitCode, 'take-back of the bad version');
  print(scenario, `v3, which ${scenario.fault.description}, was taken back`);
  print(scenario, await describeStatus(deployment, scenario));
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
    const firstTicket = scenarios.createFirstTicket(scenario);
    assertExitCode(
      await fileTicket(deployment, scenario, firstTicket, '--wait'),
      0,
      'first ticket',
    );
    print(scenario, `ticket 1 is in force on every node`);
    const [, badServers] = await added;
    print(scenario, 'upstreams of v2 and v3 have started beside v1');
    await Promise.all(
      badServers.map(({ upstreamControl }) => upstreamControl.change(scenario.fault.change)),
    );
    await rollOutGoodVersion(deployment, scenario);
    await rollOutBadVersion(deployment, scenario);
  } finally {
    await load.stop();
    await deployment.close();
  }
  const counts = [...load.answers].map(([version, answers]) => `${version}: ${answers}`).sort();
  print(scenario, `answers by version: ${counts.join(', ')}; failed: ${load.failed}`);
}

const demoTimer = setTimeout(() => {
  process.stderr.write('The demo did not end in time.\n');
  process.kill(process.pid, 'SIGTERM');
}, DEMO_TIMEOUT_MS);

try {
  await Promise.all(scenarios.SCENARIOS.map(run));
  process.stdout.write('The demo ended as expected.\n');
} catch (err) {
  process.stderr.write(`The demo failed: ${err instanceof Error ? err.message : String(err)}\n`);
  process.exitCode = 1;
} finally {
  clearTimeout(demoTimer);
}
