/**
 * Many `QuotaNode`s on one simulated clock, with delayed messages, kills, freezes and cuts. Every node has a
 * clock of its own offset. Records when requests run.
 */

import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import { ids } from '@godwittrack/core';
import type * as configuration from '../../config/configuration.js';
import type * as quotaClient from '../quotaClient.js';
import type * as quotaMessages from '../quotaMessages.js';
import * as quotaNode from '../quotaNode.js';
import * as quotaOwners from '../quotaOwners.js';
import type * as quotaTolerance from '../quotaTolerance.js';

export const TOLERANCE: quotaTolerance.QuotaTolerance = {
  windowMs: 5_000,
  overage: 0.1,
  slack: 20,
};
const FLUSH_MS = 3;
const LINK_SILENT_MS = 3_000;
/** Longest time from an admission until the request is refused for another reason. */
const MAX_REFUSAL_MS = 100;
const DOMAINS = 4;

export interface Host {
  name: ids.NodeId;
  domain: ids.DomainName;
  node: quotaNode.QuotaNode;
  /** Increases with each start. */
  run: number;
  isAlive: boolean;
  /** What has arrived while the process was frozen; null if it runs. */
  deferred: (() => void)[] | null;
  offsetMs: number;
  members: Map<ids.NodeId, ids.DomainName>;
  membersVersion: number;
  quotas: Map<ids.CustomerName, configuration.Quota>;
  events: quotaNode.QuotaEvent[];
}

export interface Request {
  atMs: number;
  customer: ids.CustomerName;
  host: Host;
  decision: quotaClient.Decision | null;
  /** Whether it was refused for another reason after its admission. */
  isReleased: boolean;
}

export class QuotaFleet {
  now = 0;

  readonly hosts: Host[] = [];

  readonly requests: Request[] = [];

  /** Times at which requests ran, by customer. */
  readonly runs = new Map<ids.CustomerName, number[]>();

  messages = 0;

  private readonly agenda = new Map<number, (() => void)[]>();

  /** Time of the last delivery from one host to another, since links keep the order. */
  private readonly delivered = new Map<string, number>();

  /** Directions that are cut, with the time since when and whether messages are kept until the end. */
  private readonly cuts = new Map<string, { sinceMs: number; kept: (() => void)[] | null }>();

  /** When the next waiting request of a host is due. */
  private readonly expiries = new Map<Host, { run: number; dueMs: number }>();

  private readonly rng: ReturnType<typeof random.xoroshiro128plus>;

  /** Longest additional delay of a message, as by a busy event loop. */
  lagMs = 15;

  constructor(seed: number, hosts: number) {
    this.rng = random.xoroshiro128plus(seed);
    for (let i = 0; i < hosts; i += 1) this.addHost();
    for (const host of this.hosts) this.introduce(host, this.hosts);
  }

  random(): number {
    return uniform.uniformFloat64(this.rng);
  }

  pick<T>(from: readonly T[]): T {
    return from[Math.floor(this.random() * from.length)]!;
  }

  at(ms: number, action: () => void): void {
    const due = Math.max(Math.ceil(ms), this.now + 1);
    const actions = this.agenda.get(due);
    if (actions === undefined) this.agenda.set(due, [action]);
    else actions.push(action);
  }

  runUntil(ms: number): void {
    while (this.now < ms) {
      this.now += 1;
      for (const action of this.agenda.get(this.now) ?? []) action();
      this.agenda.delete(this.now);
    }
  }

  addHost(): Host {
    const index = this.hosts.length;
    const host = {
      name: ids.nodeId(`host-${index}`),
      domain: ids.domainName(`d${index % DOMAINS}`),
      run: 0,
      isAlive: false,
      deferred: null,
      offsetMs: Math.floor(this.random() * 1e6),
      members: new Map(),
      membersVersion: 0,
      quotas: new Map(this.hosts[0]?.quotas),
      events: [],
    } as unknown as Host;
    this.hosts.push(host);
    this.start(host);
    return host;
  }

  /** Starts the process of a host, which knows only itself at first. */
  start(host: Host): void {
    host.run += 1;
    const { run } = host;
    host.isAlive = true;
    host.deferred = null;
    host.members = new Map([[host.name, host.domain]]);
    host.membersVersion += 1;
    const clock = () => this.now + host.offsetMs;
    host.node = new quotaNode.QuotaNode({
      self: host.name,
      run: run * 1_000 + this.hosts.indexOf(host),
      startedMs: clock(),
      tolerance: TOLERANCE,
      quotas: () => host.quotas,
      members: () => [...host.members].map(([node, domain]) => ({ node, domain })),
      membersKey: () => host.membersVersion,
      areMembersKnown: () => host.members.size > 1 || this.hosts.length === 1,
      isReachable: (node) => host.members.has(node) && this.isReachable(host, this.host(node)),
      send: (to, message) => this.send(host, this.host(to), message),
      onEvent: (event) => host.events.push(event),
    });
    const tick = () => {
      if (!host.isAlive || host.run !== run) return;
      host.node.tick(clock());
      this.at(this.now + quotaOwners.VOTE_INTERVAL_MS, () => this.execute(host, tick));
    };
    this.at(this.now + this.random() * 200, () =>
      this.execute(host, () => {
        if (host.run !== run) return;
        host.node.activate(clock());
        tick();
      }),
    );
  }

  introduce(host: Host, others: readonly Host[]): void {
    for (const { name, domain } of others) host.members.set(name, domain);
    host.membersVersion += 1;
  }

  remove(host: Host, removed: readonly Host[]): void {
    for (const { name } of removed) if (name !== host.name) host.members.delete(name);
    host.membersVersion += 1;
  }

  kill(host: Host): void {
    host.isAlive = false;
  }

  freeze(host: Host): void {
    host.deferred ??= [];
  }

  thaw(host: Host): void {
    const deferred = host.deferred ?? [];
    host.deferred = null;
    for (const action of deferred) action();
  }

  cut(from: Host, to: Host): void {
    const kept = this.random() < 0.5 ? [] : null;
    this.cuts.set(linkKey(from, to), { sinceMs: this.now, kept });
  }

  mend(from: Host, to: Host): void {
    const kept = this.cuts.get(linkKey(from, to))?.kept ?? [];
    this.cuts.delete(linkKey(from, to));
    for (const deliver of kept) deliver();
  }

  cutBoth(a: Host, b: Host): void {
    this.cut(a, b);
    this.cut(b, a);
  }

  mendBoth(a: Host, b: Host): void {
    this.mend(a, b);
    this.mend(b, a);
  }

  partition(side: readonly Host[], isCut: boolean): void {
    for (const a of side) {
      for (const b of this.hosts) {
        if (!side.includes(b)) {
          if (isCut) this.cutBoth(a, b);
          else this.mendBoth(a, b);
        }
      }
    }
  }

  setQuota(name: string, quota: configuration.Quota, delayMs = 0): void {
    for (const host of this.hosts) {
      const set = () => host.quotas.set(ids.customerName(name), quota);
      if (delayMs === 0) set();
      else this.at(this.now + this.random() * delayMs, () => this.execute(host, set));
    }
  }

  request(name: string, host: Host, isReleased = false): Request {
    const customer = ids.customerName(name);
    const req: Request = { atMs: this.now, customer, host, decision: null, isReleased };
    this.requests.push(req);
    const { run } = host;
    this.execute(host, () => {
      if (!host.isAlive || host.run !== run) return;
      const { node, offsetMs } = host;
      const settle = (decision: quotaClient.Decision) => this.settle(req, decision);
      const decision = node.admit(customer, this.now + offsetMs, settle);
      if (decision !== null) this.settle(req, decision);
      else this.scheduleExpiry(host);
      if (node.hasRequests) this.schedule(host, FLUSH_MS, () => this.flush(host));
    });
    return req;
  }

  /** Largest count in a window that ends at one of the runs, less what `bound` allows there. */
  worstExcess(customer: ids.CustomerName, bound: (fromMs: number, toMs: number) => number): number {
    const runs = this.runs.get(customer) ?? [];
    let first = 0;
    let worst = -Infinity;
    runs.forEach((atMs, i) => {
      while (runs[first]! < atMs - TOLERANCE.windowMs) first += 1;
      worst = Math.max(worst, i - first + 1 - bound(atMs - TOLERANCE.windowMs, atMs));
    });
    return worst;
  }

  private settle(req: Request, decision: quotaClient.Decision): void {
    req.decision = decision;
    const { customer, host } = req;
    if (decision.type === 'refused') return;
    if (req.isReleased) {
      const release = () => host.node.release(customer, decision.permit, this.now + host.offsetMs);
      this.schedule(host, this.random() * MAX_REFUSAL_MS, release);
      return;
    }
    const runs = this.runs.get(customer) ?? [];
    runs.push(this.now);
    this.runs.set(customer, runs);
  }

  private scheduleExpiry(host: Host): void {
    const deadlineMs = host.node.nextDeadlineMs;
    if (deadlineMs === null) return;
    const dueMs = Math.max(this.now + 1, Math.ceil(deadlineMs - host.offsetMs));
    const { run } = host;
    if (this.expiries.get(host)?.run === run && this.expiries.get(host)!.dueMs <= dueMs) return;
    this.expiries.set(host, { run, dueMs });
    this.schedule(host, dueMs - this.now, () => {
      if (this.expiries.get(host)?.dueMs !== dueMs) return;
      this.expiries.delete(host);
      host.node.expire(this.now + host.offsetMs);
      if (host.node.hasRequests) this.flush(host);
      this.scheduleExpiry(host);
    });
  }

  private flush(host: Host): void {
    host.node.flush(this.now + host.offsetMs);
    // As the service does while a link is not connected yet.
    if (host.node.hasRequests) this.schedule(host, 10, () => this.flush(host));
  }

  private schedule(host: Host, delayMs: number, action: () => void): void {
    const { run } = host;
    this.at(this.now + delayMs, () =>
      this.execute(host, () => {
        if (host.isAlive && host.run === run) action();
      }),
    );
  }

  private execute(host: Host, action: () => void): void {
    if (host.deferred === null) action();
    else host.deferred.push(action);
  }

  private host(name: ids.NodeId): Host {
    return this.hosts.find((host) => host.name === name)!;
  }

  private isReachable(from: Host, to: Host): boolean {
    if (!to.isAlive) return false;
    const sinceMs = [linkKey(from, to), linkKey(to, from)].map(
      (key) => this.cuts.get(key)?.sinceMs,
    );
    return sinceMs.every((each) => each === undefined || this.now - each < LINK_SILENT_MS);
  }

  private send(from: Host, to: Host, message: quotaMessages.QuotaMessage): boolean {
    if (!this.isReachable(from, to)) return false;
    const { run } = to;
    const deliver = () => {
      const key = linkKey(from, to);
      const transitMs = (from.domain === to.domain ? 1 : 6) + this.random() * this.lagMs;
      const arrivesMs = Math.max(this.now + transitMs, this.delivered.get(key) ?? 0);
      this.delivered.set(key, arrivesMs);
      this.at(arrivesMs, () => this.execute(to, () => this.receive(from, to, run, message)));
    };
    this.messages += 1;
    const cut = this.cuts.get(linkKey(from, to));
    if (cut === undefined) deliver();
    else cut.kept?.push(deliver);
    return true;
  }

  private receive(from: Host, to: Host, run: number, message: quotaMessages.QuotaMessage): void {
    if (!to.isAlive || to.run !== run) return;
    const reply = (answer: quotaMessages.QuotaMessage) => {
      this.send(to, from, answer);
    };
    to.node.receive(from.name, message, reply, this.now + to.offsetMs);
    if (to.node.hasRequests) this.schedule(to, FLUSH_MS, () => this.flush(to));
  }
}

function linkKey(from: Host, to: Host): string {
  return `${from.name}>${to.name}`;
}
