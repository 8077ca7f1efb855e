/** Runs a fault against a small deployment and checks the invariants that all cells share. */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import * as fleet from '../fleet/index.js';
import * as clients from '../harness/clients.js';
import * as deployments from '../harness/deployment.js';
import * as layouts from '../harness/layouts.js';
import * as wait from '../harness/wait.js';

const SERVERS_PER_SERVICE = 4;
/** Convergence bound after a fault (docs/design.md, section 1.4), with a margin for a loaded machine. */
const CONVERGENCE_TIMEOUT_MS = 8_000;
const FILE_RETRY_INTERVAL_MS = 100;
/** A node that started slowly may be skipped for up to 9 s before it gets a role. */
const ROLE_TIMEOUT_MS = 20_000;
const LOG_TAIL_LINES = 40;

type Role = 'root' | 'regionRelay' | 'domainRelay' | 'leaf';

export interface TrialOptions {
  upstreams?: boolean;
  layout?: layouts.Layout;
}

export class Trial {
  readonly changeSource: fleet.changes.ChangeSource;

  /** Configuration version expected after the tickets accepted so far. */
  expectedVersion = 0;

  constructor(readonly deployment: deployments.Deployment) {
    this.changeSource = new fleet.changes.ChangeSource(
      deployment.layout.services.map(({ name }) => name),
    );
  }

  /** Waits for a running server that currently has the role. */
  async waitForRole(role: Role, region?: string): Promise<deployments.Server> {
    let found: deployments.Server | undefined;
    await wait.waitFor(
      `a ${role}`,
      async () => {
        for (const server of this.deployment.servers) {
          const isInRegion = region === undefined || server.region === region;
          if (!isInRegion || server.node?.isRunning !== true) continue;
          const status = (await server.admin.status().catch(() => null)) as { role?: Role } | null;
          if (status?.role === role) found = server;
        }
        return found !== undefined;
      },
      ROLE_TIMEOUT_MS,
    );
    if (found === undefined) throw new Error(`no server has the role ${role}`);
    return found;
  }

  /** A server of the home region other than the given ones. */
  otherServer(...excluded: deployments.Server[]): deployments.Server {
    const found = this.deployment.servers.find(
      (server) => !excluded.includes(server) && server.region === this.deployment.homeRegion,
    );
    if (found === undefined) throw new Error('no other server in the home region');
    return found;
  }

  /** Retries until the ticket is accepted; asserts that retries raise the version only once. */
  async fileTicket(
    ticket: clients.TicketDocument,
    server: deployments.Server,
    timeoutMs = CONVERGENCE_TIMEOUT_MS,
  ): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      const answer = await server.admin.tryFile(ticket).catch(() => null);
      if (answer?.status === 200) {
        this.expectedVersion += 1;
        const { version } = answer.body as clients.AcceptedTicket;
        assert.equal(version, this.expectedVersion, 'one ticket raises the version by one');
        return;
      }
      if (answer !== null) assert.equal(answer.status, 503, JSON.stringify(answer.body));
      if (performance.now() > endMs)
        throw new Error(`ticket ${ticket.ticket} was not accepted within ${timeoutMs} ms`);
      await timers.setTimeout(FILE_RETRY_INTERVAL_MS);
    }
  }

  /** Waits until the given servers, by default all running ones, apply the current version. */
  async waitUntilApplied(servers = this.runningServers()): Promise<void> {
    await wait.waitFor(
      `version ${this.expectedVersion} on ${servers.map(({ name }) => name).join(' ')}`,
      async () => {
        const versions = await Promise.all(
          servers.map(async ({ admin }) => {
            const status = await admin.status().catch(() => null);
            return status?.configVersion;
          }),
        );
        return versions.every((version) => version === this.expectedVersion);
      },
      CONVERGENCE_TIMEOUT_MS,
    );
  }

  runningServers(): deployments.Server[] {
    return this.deployment.servers.filter(({ node }) => node?.isRunning === true);
  }

  /** Checks invariants 1, 2 and 3 against the logs of all nodes. */
  checkInvariants(): void {
    const histories = fleet.applications.readHistories(this.deployment.servers, this.changeSource);
    for (const { node, regressions, partialApplies } of histories) {
      assert.equal(regressions, 0, `${node} never goes back to an older version`);
      assert.equal(partialApplies, 0, `${node} applies only whole accepted configurations`);
    }
  }
}

/** Prints the last log lines of each node, to diagnose a failed cell. */
function printLogs(deployment: deployments.Deployment): void {
  for (const { name, node } of deployment.servers) {
    const lines = node?.logs.slice(-LOG_TAIL_LINES) ?? [];
    process.stderr.write(`${name}\n${lines.map((line) => `  ${line}\n`).join('')}`);
  }
}

/** Runs one fault against a fresh deployment that has applied a first configuration. */
export async function runTrial(
  fault: (trial: Trial) => Promise<void>,
  options: TrialOptions = {},
): Promise<void> {
  const deployment = await deployments.createDeployment({
    layout: options.layout ?? layouts.resize(layouts.FRASERLINE, SERVERS_PER_SERVICE),
    upstreams: options.upstreams ?? false,
  });
  try {
    const trial = new Trial(deployment);
    await trial.fileTicket(trial.changeSource.first(), trial.otherServer());
    await trial.waitUntilApplied();
    await fault(trial);
    await trial.waitUntilApplied();
    trial.checkInvariants();
  } catch (err) {
    if (process.env.VERBOSE !== undefined) printLogs(deployment);
    throw err;
  } finally {
    await deployment.close();
  }
}
