/** Fleet of node processes in two regions, each with a way of its own to the store, for soaks with customers. */

import * as timers from 'node:timers/promises';
import * as processes from '../../harness/processes.js';
import * as application from '../application.js';
import * as nodeProcess from '../nodeProcess.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

export const DOMAINS = [
  { zone: 'z-a', region: 'r-a' },
  { zone: 'z-b', region: 'r-a' },
  { zone: 'z-c', region: 'r-b' },
  { zone: 'z-d', region: 'r-b' },
] as const;
export const GRACE_MS = 4_000;
const NODES_PER_DOMAIN = 2;
/** Few enough that a flood and an evacuation leave requests for cold servers. */
const SLOTS = 4;
const RESTART_AFTER_MS = 300;

/** Time in which one node, or all of them (null), is not in contact with the store. */
export interface Outage {
  node: string | null;
  fromMs: number;
  /** Infinity until it ends. */
  untilMs: number;
}

/** Time from the signal to a node until it serves again. */
export interface NodeStop {
  node: string;
  isKill: boolean;
  fromMs: number;
  untilMs: number;
}

/** Time in which a server is down, and the time after it until which it is cold. */
export interface ColdStart {
  server: string;
  stoppedMs: number;
  fromMs: number;
  untilMs: number;
}

export interface FleetNode {
  name: string;
  zone: string;
  region: string;
  app: application.ApplicationStandIn;
  node: nodeProcess.NodeProcess;
  gate: objectStore.StoreGate;
  isCut: boolean;
}

export class CustomerFleet {
  readonly store = new objectStore.ObjectStoreStandIn();

  readonly nodes: FleetNode[] = [];

  readonly outages: Outage[] = [];

  readonly stops: NodeStop[] = [];

  readonly coldStarts: ColdStart[] = [];

  private readonly group = new processes.ProcessGroup();

  private readonly announcing = new AbortController();

  private isStoreAway = false;

  /** @param handlerOf creates the handler of the server beside a node */
  async start(handlerOf: (node: FleetNode) => application.RequestHandler): Promise<void> {
    await this.store.start();
    for (const { zone, region } of DOMAINS) {
      for (let i = 1; i <= NODES_PER_DOMAIN; i += 1) {
        const name = `n-${zone.at(-1)}${i}`;
        const app = new application.ApplicationStandIn('shop', `i-${name}`, 'v1', SLOTS);
        const gate = await this.store.openGate();
        const node = await nodeProcess.NodeProcess.create(this.group, {
          ...{ name, zone, region, app, service: 'shop', storeAddress: gate.address },
          graceSeconds: GRACE_MS / 1_000,
          bounds: ['evacuation_ms=5000'],
        });
        const entry = { name, zone, region, app, node, gate, isCut: false };
        app.handler = handlerOf(entry);
        this.nodes.push(entry);
        void node.announceUntil(this.announcing.signal);
      }
    }
    await Promise.all(this.nodes.map(({ node }) => node.program.start()));
    await timers.setTimeout(fixtures.STABLE_WINDOW_MS);
  }

  async close(): Promise<void> {
    this.announcing.abort();
    await this.group.close();
    for (const { app } of this.nodes) app.stop();
    this.store.stop();
  }

  /** Calls `write` once the store is there. @returns the time of the acknowledgement */
  async write(write: (store: objectStore.ObjectStoreStandIn) => void): Promise<number> {
    while (this.isStoreAway) await timers.setTimeout(10);
    write(this.store);
    return performance.now();
  }

  async takeStoreAway(forMs: number): Promise<void> {
    const outage = this.beginOutage(null);
    this.isStoreAway = true;
    this.applyFaults();
    await timers.setTimeout(forMs);
    this.isStoreAway = false;
    this.applyFaults();
    outage.untilMs = performance.now();
  }

  async cutFromStore(entry: FleetNode, forMs: number): Promise<void> {
    const outage = this.beginOutage(entry.name);
    entry.isCut = true;
    this.applyFaults();
    await timers.setTimeout(forMs);
    entry.isCut = false;
    this.applyFaults();
    outage.untilMs = performance.now();
  }

  /** Ends a node and starts it again. */
  async restartNode({ name, node }: FleetNode, isKill: boolean): Promise<void> {
    const stop = { node: name, isKill, fromMs: performance.now(), untilMs: Infinity };
    this.stops.push(stop);
    const outage = this.beginOutage(name);
    if (isKill) await node.program.kill();
    else await node.program.stop(GRACE_MS + 1_000);
    await timers.setTimeout(RESTART_AFTER_MS);
    await node.program.start();
    stop.untilMs = performance.now();
    outage.untilMs = stop.untilMs;
  }

  /** Ends a server and starts it again, cold, as another incarnation. */
  async restartCold({ name, app }: FleetNode, downMs: number, coldMs: number): Promise<void> {
    const stoppedMs = performance.now();
    app.stop();
    await timers.setTimeout(downMs);
    const fromMs = performance.now();
    app.coldUntilMs = fromMs + coldMs;
    this.coldStarts.push({ server: name, stoppedMs, fromMs, untilMs: app.coldUntilMs });
    await app.restart(`${app.instance}+`);
  }

  private beginOutage(node: string | null): Outage {
    const outage = { node, fromMs: performance.now(), untilMs: Infinity };
    this.outages.push(outage);
    return outage;
  }

  private applyFaults(): void {
    for (const { gate, isCut } of this.nodes) {
      if (this.isStoreAway) gate.setFault('reset');
      else gate.setFault(isCut ? 'silent' : 'none');
    }
  }
}
