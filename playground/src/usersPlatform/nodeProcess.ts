/** Runs the node beside an application server as a process of its own. */

import * as http from 'node:http';
import process from 'node:process';
import * as url from 'node:url';
import * as ports from '../harness/ports.js';
import * as processes from '../harness/processes.js';
import type * as application from './application.js';

const MAIN = url.fileURLToPath(
  new URL('main.js', import.meta.resolve('@godwittrack/users-platform')),
);
const ANNOUNCE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 1_000;
const ADDRESSES_PER_NODE = 4;

export interface NodeProcessOptions {
  name: string;
  zone: string;
  service: string;
  storeAddress: string;
  graceSeconds: number;
  app: application.ApplicationStandIn;
  /** Default `r-a`. */
  region?: string;
  /** Bounds in addition to those that all nodes have. */
  bounds?: readonly string[];
}

export class NodeProcess {
  private constructor(
    readonly name: string,
    readonly callerAddress: string,
    private readonly readyAddress: string,
    readonly controlAddress: string,
    readonly program: processes.ManagedProcess,
    private readonly app: application.ApplicationStandIn,
  ) {}

  /** Starts the server; the node itself is started by `program`. */
  static async create(
    group: processes.ProcessGroup,
    options: NodeProcessOptions,
  ): Promise<NodeProcess> {
    const { name, zone, service, storeAddress, graceSeconds, app, region = 'r-a' } = options;
    const appAddress = await app.start();
    const [caller, ready, control, peer] = (await ports.allocateAddresses(ADDRESSES_PER_NODE)) as [
      string,
      string,
      string,
      string,
    ];
    const peerPort = Number(peer.split(':')[1]);
    const settings = {
      node_name: name,
      ip: '127.0.0.1',
      zone,
      region,
      listen: { outbound: caller, ready, control },
      internal_port_range: [peerPort, peerPort],
      bounds: [
        `grace_period_s=${graceSeconds}`,
        'retry_budget_ratio=0.2',
        'budget_extra_retries=64',
        ...(options.bounds ?? []),
      ],
      app_address: appAddress,
      service,
      platform: { address: storeAddress },
    };
    // JSON is valid YAML.
    const file = group.writeFile(`${name}.yaml`, JSON.stringify(settings));
    const program = group.add({
      name,
      args: [MAIN],
      env: { GODWITTRACK_NODE_FILE: file },
      isReady: async () => (await probe(ready)) === 200,
    });
    return new NodeProcess(name, caller, ready, control, program, app);
  }

  /** Announces the server while it runs until `signal` aborts, also while no node listens. */
  async announceUntil(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // The server tries again with its next announcement.
      if (this.app.isRunning) await this.app.announce(this.controlAddress).catch(() => 0);
      await new Promise((resolve) => {
        setTimeout(resolve, ANNOUNCE_INTERVAL_MS);
      });
    }
  }

  isReady(): Promise<boolean> {
    return probe(this.readyAddress).then((status) => status === 200);
  }

  /** Sends a signal to the process, if it runs. */
  signal(name: NodeJS.Signals): void {
    const { pid } = this.program;
    if (pid !== undefined) process.kill(pid, name);
  }
}

/** @returns the status of the readiness probe; 0 without an answer */
function probe(address: string): Promise<number> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const req = http.get(
      { host, port, path: '/-/readiness', agent: false, timeout: PROBE_TIMEOUT_MS },
      (res) => {
        res.resume();
        resolve(res.statusCode ?? 0);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });
}
