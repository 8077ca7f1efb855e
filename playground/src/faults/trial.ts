/** A small deployment under a fault, with the checks of the invariants that hold for all cells. */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import * as fleet from '../fleet/index.js';
import * as clients from '../harness/clients.js';
import * as deployments from '../harness/deployment.js';
import * as layouts from '../harness/layouts.js';
import * as wait from '../harness/wait.js';

const SERVERS_PER_SERVICE = 4;
/** Bound on convergence after a fault (docs/design.md, section 1.4), with room for a loaded machine. */
const IN_FORCE_MS = 8_000;
const FILE_RETRY_MS = 100;
/** A node that was slow to start may be passed over for up to 9 s. */
const ROLE_MS = 20_000;
const LOG_TAIL_LINES = 40;

type Role = 'root' | 'regionRelay' | 'domainRelay' | 'leaf';

export interface TrialOptions {
  upstreams?: boolean;
  layout?: layouts.Layout;
}

export class Trial {
  readonly source: fleet.changes.ChangeSource;

  /** Version that the accepted tickets must have led to. */
  version = 0;

  constructor(readonly deployment: deployments.Deployment) {
    this.source = new fleet.changes.ChangeSource(
      deployment.layout.services.map(({ name }) => name),
    );
  }

  /** The running server that plays a role now. */
  async find(role: Role, region?: string): Promise<deployments.Server> {
    let found: deployments.Server | undefined;
    await wait.waitFor(
      `a ${role}`,
      async () => {
        for (const server of this.deployment.servers) {
          const wanted = region === undefined || server.region === region;
          if (!wanted || server.node?.isRunning !== true) continue;
          const status = (await server.admin.status().catch(() => null)) as { role?: Role } | null;
          if (status?.role === role) found = server;
        }
        return found !== undefined;
      },
      ROLE_MS,
    );
    if (found === undefined) throw new Error(`no ${role}`);
    return found;
  }

  /** A server other than the given ones. */
  other(...excluded: deployments.Server[]): deployments.Server {
    const found = this.deployment.servers.find(
      (server) => !excluded.includes(server) && server.region === this.deployment.homeRegion,
    );
    if (found === undefined) throw new Error('no other server');
    return found;
  }

  /** Files a ticket until it is accepted; repeats must not raise the version twice. */
  async file(
    ticket: clients.TicketDocument,
    server: deployments.Server,
    timeoutMs = IN_FORCE_MS,
  ): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      const answer = await server.admin.tryFile(ticket).catch(() => null);
      if (answer?.status === 200) {
        this.version += 1;
        const { version } = answer.body as clients.AcceptedTicket;
        assert.equal(version, this.version, 'one ticket raises the version by one');
        return;
      }
      if (answer !== null) assert.equal(answer.status, 503, JSON.stringify(answer.body));
      if (performance.now() > endMs) throw new Error('the ticket was not accepted in time');
      await timers.setTimeout(FILE_RETRY_MS);
    }
  }

  /** Waits until the current version is in force on every running node, or on the given ones. */
  async inForce(servers = this.running()): Promise<void> {
    await wait.waitFor(
      `version ${this.version} on ${servers.map(({ name }) => name).join(' ')}`,
      async () => {
        const versions = await Promise.all(
          servers.map(async ({ admin }) => {
            const status = await admin.status().catch(() => null);
            return status?.configVersion;
          }),
        );
        return versions.every((version) => version === this.version);
      },
      IN_FORCE_MS,
    );
  }

  running(): deployments.Server[] {
    return this.deployment.servers.filter(({ node }) => node?.isRunning === true);
  }

  /** Invariants 1, 2 and 3 over everything that the nodes logged. */
  check(): void {
    const histories = fleet.applications.readHistories(this.deployment.servers, this.source);
    for (const { node, regressions, partialApplies } of histories) {
      assert.equal(regressions, 0, `${node} never goes back to an older version`);
      assert.equal(partialApplies, 0, `${node} applies only whole accepted configurations`);
    }
  }
}

/** Last log lines of each node, to find the cause of a failed cell. */
function printLogs(deployment: deployments.Deployment): void {
  for (const { name, node } of deployment.servers) {
    const lines = node?.logs.slice(-LOG_TAIL_LINES) ?? [];
    process.stderr.write(`${name}\n${lines.map((line) => `  ${line}\n`).join('')}`);
  }
}

/** Runs one fault against a fresh deployment that holds a first configuration. */
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
    await trial.file(trial.source.first(), trial.other());
    await trial.inForce();
    await fault(trial);
    await trial.inForce();
    trial.check();
  } catch (err) {
    if (process.env.VERBOSE !== undefined) printLogs(deployment);
    throw err;
  } finally {
    await deployment.close();
  }
}
