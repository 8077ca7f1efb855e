/** A whole deployment as processes on loopback: platform, link, nodes and upstreams. */

import * as url from 'node:url';
import type * as links from '../link/link.js';
import * as clients from './clients.js';
import * as layouts from './layouts.js';
import * as settings from './nodeSettings.js';
import * as ports from './ports.js';
import * as processes from './processes.js';

export interface DeploymentOptions {
  /** Default `layouts.FRASERLINE` at full size. */
  layout?: layouts.Layout;
  /** Program of a node; null starts no nodes, and the upstreams are then not announced. */
  nodeMain?: string | null;
  /** Starts an upstream beside each node. Default true. */
  upstreams?: boolean;
  /** Further arguments of the platform, for example `['--seed', '7']`. */
  platformArgs?: string[];
  /** Further arguments of the link, for example `['--delay-ms', '0']`. */
  linkArgs?: string[];
  /** Further arguments of each upstream. */
  upstreamArgs?: string[];
  /** Overrides in the settings of every node. */
  nodeSettings?: Partial<Pick<settings.NodeSettings, 'limits' | 'drainTime' | 'log'>>;
  /** Arguments of `node` before the program of a node, for example `['--cpu-prof']`. */
  nodeArgs?: string[];
  /** Maximum number of processes that start at the same time. Default 8. */
  parallelStarts?: number;
  /** Default 30,000 ms. */
  readyTimeoutMs?: number;
}

export interface AddServerOptions {
  name: string;
  service: string;
  version: string;
  region: string;
  failureDomain: string;
  /** Default 12. */
  slots?: number;
  /** Further arguments of this upstream, after those of the deployment. */
  upstreamArgs?: string[];
}

/** One server: a node with the upstream beside it. */
export interface Server extends layouts.ServerPlan {
  addresses: ServerAddresses;
  /** Undefined when the deployment was created without nodes. */
  node: processes.ManagedProcess | undefined;
  admin: clients.AdminClient;
  /** Where callers send requests. */
  callerUrl: string;
  /** Undefined when the deployment was created without upstreams. */
  upstream: processes.ManagedProcess | undefined;
  upstreamControl: clients.UpstreamControl;
  /** Direct URL of the upstream, bypassing the node. */
  upstreamUrl: string;
}

export interface ServerAddresses {
  caller: string;
  peer: string;
  admin: string;
  /** On the link; nodes of the other region connect to it. */
  externalPeer: string;
  upstream: string;
  upstreamControl: string;
}

/** As in the first line of the node's program; the smaller young generation saves about 14 MB. */
const NODE_FLAGS = ['--max-semi-space-size=2'];
const ADDRESS_COUNT = 6;
const DEFAULT_SLOTS = 12;
const DEFAULT_PARALLEL_STARTS = 8;
const DEFAULT_READY_TIMEOUT_MS = 30_000;
const MAX_SEEDS = 16;
const PLATFORM_MAPPING = 'platform';

/** Paths are relative to `playground/dist/harness`. */
function programPath(relative: string): string {
  return url.fileURLToPath(new URL(relative, import.meta.url));
}

const DEFAULT_NODE_MAIN = programPath('../../../packages/node/dist/main.js');
const PLATFORM_MAIN = programPath('../platform/main.js');
const LINK_MAIN = programPath('../link/main.js');
const UPSTREAM_MAIN = programPath('../upstream/main.js');

interface SharedAddresses {
  platform: string;
  platformControl: string;
  /** Address of the platform on the link, for the second region. */
  platformOverLink: string;
  linkControl: string;
}

export class Deployment {
  readonly layout: layouts.Layout;

  readonly group = new processes.ProcessGroup();

  readonly platform: processes.ManagedProcess;

  readonly platformControl: clients.PlatformControl;

  readonly link: processes.ManagedProcess;

  readonly linkControl: clients.LinkControl;

  private readonly byName = new Map<string, Server>();

  private closing: Promise<void> | undefined;

  constructor(
    private readonly options: DeploymentOptions,
    private readonly shared: SharedAddresses,
  ) {
    this.layout = options.layout ?? layouts.FRASERLINE;
    this.platformControl = new clients.PlatformControl(`http://${shared.platformControl}`);
    this.platform = this.group.add({
      name: 'platform',
      args: [
        PLATFORM_MAIN,
        ...['--listen', shared.platform, '--control', shared.platformControl],
        ...(options.platformArgs ?? []),
      ],
      isReady: () => clients.isReady(`${this.platformControl.url}/control/stats`),
    });
    this.linkControl = new clients.LinkControl(`http://${shared.linkControl}`);
    const config = { mappings: [this.platformMapping()] };
    this.link = this.group.add({
      name: 'link',
      args: [
        LINK_MAIN,
        ...['--control', shared.linkControl],
        ...['--config', this.group.writeFile('link.json', JSON.stringify(config))],
        ...(options.linkArgs ?? []),
      ],
      isReady: () => clients.isReady(`${this.linkControl.url}/control/stats`),
    });
  }

  /** Region of the platform. */
  get homeRegion(): string {
    return this.layout.regions[0].name;
  }

  get servers(): Server[] {
    return [...this.byName.values()];
  }

  /** URL of the platform as nodes of `region` reach it. */
  platformUrl(region: string): string {
    const { platform, platformOverLink } = this.shared;
    return `http://${region === this.homeRegion ? platform : platformOverLink}`;
  }

  /** @throws RangeError */
  server(name: string): Server {
    const found = this.byName.get(name);
    if (found === undefined) throw new RangeError(`there is no server ${name}`);
    return found;
  }

  /** Servers that match every given field. */
  select(fields: Partial<Omit<layouts.ServerPlan, 'slots'>>): Server[] {
    const wanted = Object.entries(fields);
    return this.servers.filter((server) =>
      wanted.every(([field, value]) => server[field as keyof typeof fields] === value),
    );
  }

  /** Starts the platform, the link and the servers of the layout. */
  async start(): Promise<void> {
    await Promise.all([this.platform.start(), this.link.start()]);
    const plans = layouts.planServers(this.layout);
    await this.startServers(plans.map((plan) => ({ ...plan })));
  }

  /** Adds a server while the deployment runs, for example with a new version. */
  async addServer(options: AddServerOptions): Promise<Server> {
    const plan = { ...options, slots: options.slots ?? DEFAULT_SLOTS };
    const [server] = await this.startServers([plan]);
    if (server === undefined) throw new Error(`${options.name} was not started`);
    return server;
  }

  /** Planned stop: the upstream drains and withdraws, then the node stops. */
  async stopServer(name: string): Promise<void> {
    const server = this.server(name);
    await server.upstream?.stop();
    await server.node?.stop();
  }

  /** Kills the node and the upstream together, as when the host fails. */
  async killServer(name: string): Promise<void> {
    const server = this.server(name);
    await Promise.all([server.node?.kill(), server.upstream?.kill()]);
  }

  /** Starts the stopped parts of a server with the same settings. */
  async startServer(name: string): Promise<void> {
    const { node, upstream } = this.server(name);
    const parts = [node, upstream].filter((part) => part !== undefined);
    await Promise.all(parts.filter((part) => !part.isRunning).map((part) => part.start()));
  }

  /** Kills a server and removes it from the link and the deployment. */
  async removeServer(name: string): Promise<void> {
    const { node, upstream } = this.server(name);
    this.byName.delete(name);
    if (node !== undefined) await this.group.remove(node);
    if (upstream !== undefined) await this.group.remove(upstream);
    await this.linkControl.change({ remove: [name] });
  }

  /** Cuts both directions of the link, or restores them. */
  async cutLink(cut: boolean): Promise<void> {
    await this.linkControl.change({ cut: { ab: cut, ba: cut } });
  }

  /** Configuration versions of the running nodes; null for a node that does not answer. */
  async configVersions(): Promise<Map<string, number | null>> {
    const running = this.servers.filter((server) => server.node?.isRunning === true);
    const versions = running.map(async ({ name, admin }) => {
      const status = await admin.status().catch(() => null);
      return [name, status?.configVersion ?? null] as const;
    });
    return new Map(await Promise.all(versions));
  }

  /** Kills every process, waits until all have exited and removes the temporary files. */
  async close(): Promise<void> {
    this.closing ??= this.group.close();
    await this.closing;
  }

  private platformMapping(): links.Mapping {
    const { platform, platformOverLink } = this.shared;
    return { name: PLATFORM_MAPPING, listen: platformOverLink, target: platform, opens: 'ba' };
  }

  private async startServers(
    plans: (layouts.ServerPlan & { upstreamArgs?: string[] })[],
  ): Promise<Server[]> {
    const allocated = await ports.allocateAddresses(plans.length * ADDRESS_COUNT);
    const planned = plans.map((plan, n) => {
      const serverAddresses = allocated.slice(n * ADDRESS_COUNT, (n + 1) * ADDRESS_COUNT);
      const [caller = '', peer = '', admin = '', externalPeer = ''] = serverAddresses;
      const [, , , , upstream = '', upstreamControl = ''] = serverAddresses;
      return {
        ...plan,
        addresses: { caller, peer, admin, externalPeer, upstream, upstreamControl },
      };
    });
    const duplicate = planned.find(({ name }) => this.byName.has(name));
    if (duplicate !== undefined)
      throw new RangeError(`there is already a server ${duplicate.name}`);
    await this.linkControl.change({
      add: planned.map(({ name, region, addresses }) => ({
        name,
        listen: addresses.externalPeer,
        target: addresses.peer,
        opens: region === this.homeRegion ? 'ba' : 'ab',
      })),
    });
    const peers = [
      ...this.servers.map(({ region, addresses: { peer } }) => ({ region, peer })),
      ...planned.map(({ region, addresses: { peer } }) => ({ region, peer })),
    ];
    const servers = planned.map(({ addresses, upstreamArgs = [], ...plan }) => {
      const seeds = peers
        .filter(({ region, peer }) => region === plan.region && peer !== addresses.peer)
        .slice(0, MAX_SEEDS)
        .map(({ peer }) => peer);
      return this.createServer(plan, addresses, seeds, upstreamArgs);
    });
    servers.forEach((server) => this.byName.set(server.name, server));
    await this.startAll(servers);
    return servers;
  }

  private createServer(
    plan: layouts.ServerPlan,
    addresses: ServerAddresses,
    seeds: string[],
    upstreamArgs: string[],
  ): Server {
    const { nodeMain = DEFAULT_NODE_MAIN, nodeArgs = [], upstreams = true } = this.options;
    const { readyTimeoutMs = DEFAULT_READY_TIMEOUT_MS } = this.options;
    const admin = new clients.AdminClient(`http://${addresses.admin}`);
    const upstreamControl = new clients.UpstreamControl(`http://${addresses.upstreamControl}`);
    const node =
      nodeMain === null
        ? undefined
        : this.group.add({
            name: plan.name,
            args: [
              ...NODE_FLAGS,
              ...nodeArgs,
              nodeMain,
              '--config',
              this.writeSettings(plan, addresses, seeds),
            ],
            isReady: () => admin.ready(),
            readyTimeoutMs,
          });
    const upstream = upstreams
      ? this.group.add({
          name: `${plan.name}.upstream`,
          args: [
            UPSTREAM_MAIN,
            ...['--service', plan.service, '--version', plan.version, '--server', plan.name],
            ...['--slots', String(plan.slots), '--listen', addresses.upstream],
            ...['--control', addresses.upstreamControl],
            ...(node === undefined ? [] : ['--admin', admin.url]),
            ...(this.options.upstreamArgs ?? []),
            ...upstreamArgs,
          ],
          isReady: () => clients.isReady(`${upstreamControl.url}/control/stats`),
          readyTimeoutMs,
        })
      : undefined;
    return {
      ...plan,
      addresses,
      node,
      admin,
      callerUrl: `http://${addresses.caller}`,
      upstream,
      upstreamControl,
      upstreamUrl: `http://${addresses.upstream}`,
    };
  }

  private writeSettings(
    plan: layouts.ServerPlan,
    addresses: ServerAddresses,
    seeds: string[],
  ): string {
    const { caller, peer, admin, externalPeer } = addresses;
    const text = settings.formatSettings({
      node: plan.name,
      region: plan.region,
      failureDomain: plan.failureDomain,
      homeRegion: this.homeRegion,
      platform: { url: this.platformUrl(plan.region) },
      listen: { caller, peer, admin },
      advertise: { peer, externalPeer, admin },
      seeds,
      ...this.options.nodeSettings,
    });
    return this.group.writeFile(`${plan.name}.yaml`, text);
  }

  private async startAll(servers: Server[]): Promise<void> {
    const pending = servers.flatMap(({ node, upstream }) =>
      [node, upstream].filter((part) => part !== undefined),
    );
    const { parallelStarts = DEFAULT_PARALLEL_STARTS } = this.options;
    const startNext = async () => {
      for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
        try {
          await next.start();
        } catch (err) {
          pending.length = 0;
          throw err;
        }
      }
    };
    await Promise.all([...Array(parallelStarts).keys()].map(startNext));
  }
}

/** Starts a deployment and waits until every process is ready; kills all processes on a failure. */
export async function createDeployment(options: DeploymentOptions = {}): Promise<Deployment> {
  const [platform = '', platformControl = '', platformOverLink = '', linkControl = ''] =
    await ports.allocateAddresses(4);
  const shared = { platform, platformControl, platformOverLink, linkControl };
  const deployment = new Deployment(options, shared);
  try {
    await deployment.start();
    return deployment;
  } catch (err) {
    await deployment.close();
    throw err;
  }
}
