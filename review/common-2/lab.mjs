/**
 * A small deployment on loopback addresses: the project's own node processes, started with the command of the
 * deploy file, and stand-ins for the platform's store, the application servers and the clients. The stand-ins
 * do what the users' pages say of a sound store, server or client; a case adds its disruption.
 */

import { Buffer } from 'node:buffer';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');

/** Bounds of the small deployments, as their sheets give them. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_period_ms: 2000,
  grace_period_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_bound_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra_retries: 64,
  exposure_share: 0.1,
  exposure_slack: 50,
  rollback_ms: 5000,
  recovery_s: 15,
};

const HEARTBEAT_MS = 1500;
const PROBE_MS = 1000;
const READ_LIMIT = 1024 * 1024;

export const sleep = (ms) => timers.setTimeout(ms);

/** Milliseconds since the start of this script. */
export const now = () => performance.now();

/** Writes what happens to a file, one line each, with the time since the start. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedMs = now();
  }

  note(text) {
    this.lines.push(`${(now() - this.startedMs).toFixed(0).padStart(7)} ${text}`);
  }

  save() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

async function freePort(host) {
  const server = net.createServer();
  const port = await listen(server, host);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** The platform's metadata store. */
export class Store {
  constructor() {
    this.objects = new Map();
    this.events = [];
    this.revision = 10;
    this.waiters = new Set();
    /** `none`, or `silent`: takes connections and answers nothing. */
    this.fault = 'none';
    this.server = http.createServer((req, res) => {
      void this.serve(req, res);
    });
  }

  async start(host) {
    this.address = `${host}:${await listen(this.server, host)}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Takes the store away, or brings it back. What waits is cut off. */
  setFault(fault) {
    this.fault = fault;
    if (fault !== 'none') this.server.closeAllConnections();
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  put(kind, name, change) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    const next = { spec: known?.spec ?? null, status: known?.status ?? null, ...change };
    if (
      known &&
      JSON.stringify([known.spec, known.status]) === JSON.stringify([next.spec, next.status])
    )
      return known;
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      created: known?.metadata.created ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, ...next };
    this.objects.set(key, object);
    this.record(kind, object, false);
    return object;
  }

  record(kind, object, deleted) {
    this.events.push({ kind, revision: this.revision, object, deleted });
    for (const wake of this.waiters) wake();
  }

  async serve(req, res) {
    const body = await readBody(req).catch(() => null);
    if (body === null || this.fault === 'silent') return;
    const { status, reply } = await this.answer(req, body);
    if (this.fault === 'silent' || req.socket.destroyed) return;
    res.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '1' });
    res.end(JSON.stringify(reply));
  }

  async answer(req, bytes) {
    const target = new url.URL(req.url, 'http://store');
    const [, , , kind, name, part] = target.pathname.split('/').map(decodeURIComponent);
    const body = bytes.length === 0 ? {} : JSON.parse(bytes.toString('utf8'));
    if (req.method === 'GET' && name === undefined) {
      if (target.searchParams.has('watch')) return this.watch(kind, target.searchParams);
      return this.list(kind, target.searchParams.get('after') ?? '');
    }
    if (req.method === 'POST') {
      const known = this.get(kind, body.metadata.name);
      if (known) return { status: 409, reply: known };
      return { status: 200, reply: this.put(kind, body.metadata.name, { spec: body.spec }) };
    }
    const known = this.get(kind, name);
    if (!known) return { status: 404, reply: {} };
    if (req.method === 'GET') return { status: 200, reply: known };
    const expected = body.metadata?.revision ?? target.searchParams.get('revision');
    if (expected != null && Number(expected) !== known.metadata.revision)
      return { status: 409, reply: known };
    if (req.method === 'DELETE') {
      this.objects.delete(`${kind}/${name}`);
      this.revision += 1;
      this.record(kind, known, true);
      return { status: 200, reply: known };
    }
    const change = part === 'status' ? { status: body.status } : { spec: body.spec };
    return { status: 200, reply: this.put(kind, name, change) };
  }

  list(kind, after) {
    const items = [...this.objects]
      .filter(([key, { metadata }]) => key.startsWith(`${kind}/`) && metadata.name > after)
      .map(([, object]) => object)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    return { status: 200, reply: { items, more: false, store_revision: this.revision } };
  }

  async watch(kind, query) {
    const since = Number(query.get('watch'));
    const endMs = now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    for (;;) {
      const events = this.events
        .filter((event) => event.kind === kind && event.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      const leftMs = endMs - now();
      if (events.length > 0 || leftMs <= 0)
        return { status: 200, reply: { events, store_revision: this.revision } };
      await new Promise((resolve) => {
        const wake = () => {
          this.waiters.delete(wake);
          resolve();
        };
        setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }
}

/** One call with a JSON body. @returns the status, 0 without an answer within a second */
export function send(address, method, target, body) {
  const [host, port] = address.split(':');
  const payload = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const req = http.request(
      { host, port, method, path: target, agent: false, timeout: 1000 },
      (res) => {
        res.resume();
        res.on('end', () => resolve(res.statusCode));
        res.on('error', () => resolve(0));
      },
    );
    req.on('timeout', () => req.destroy(new Error('no answer')));
    req.on('error', () => resolve(0));
    if (payload !== '') {
      req.setHeader('Content-Type', 'application/json');
      req.setHeader('Content-Length', Buffer.byteLength(payload));
    }
    req.end(payload);
  });
}

/** An application server. It runs `slots` requests at once and rejects what it cannot queue. */
export class Server {
  constructor({
    service,
    id,
    zone,
    slots = 12,
    queue = 48,
    version = 'v1',
    workMs = 40,
    recorder,
  }) {
    Object.assign(this, { service, id, zone, slots, queue, version, workMs, recorder });
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.limit = null;
    /** Share of the requests that it runs and answers with 500. */
    this.failShare = 0;
    /** Only requests whose target begins so fail. */
    this.failPrefix = '/';
    this.failures = 0;
    this.arrivals = [];
    this.runs = [];
    this.running = 0;
    this.waiting = [];
    this.beating = false;
    this.heartbeatWaiters = [];
    this.server = http.createServer((req, res) => {
      void this.serve(req, res);
    });
  }

  async start(host) {
    this.address = `${host}:${await listen(this.server, host)}`;
  }

  stop() {
    this.beating = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** What the server says of itself. */
  announcement(change = {}) {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.born,
      ...change,
    };
  }

  /** Sends heartbeats to the node on its machine, at the usual interval. */
  async beat(control) {
    this.control = control;
    this.beating = true;
    while (this.beating) {
      await this.announce();
      for (const resolve of this.heartbeatWaiters.splice(0)) resolve();
      await sleep(HEARTBEAT_MS);
    }
  }

  /** Resolves when the next regular heartbeat was answered. */
  nextHeartbeat() {
    return new Promise((resolve) => {
      this.heartbeatWaiters.push(resolve);
    });
  }

  async announce() {
    const status = await send(this.control, 'PUT', `/-/instances/${this.id}`, this.announcement());
    this.recorder.note(`heartbeat ${this.id} ${this.state} ${this.sequence} -> ${status}`);
    return status;
  }

  /** Ends its heartbeats and says that it is gone; it serves on. */
  async leave() {
    this.beating = false;
    const status = await send(this.control, 'DELETE', `/-/instances/${this.id}`, {
      born: this.born,
    });
    this.recorder.note(`delete ${this.id} -> ${status}`);
    return status;
  }

  async serve(req, res) {
    const header = (name) => String(req.headers[name] ?? '');
    const body = await readBody(req).catch(() => null);
    if (body === null) return;
    const id = header('attempt-id');
    if (this.limit !== null) res.setHeader('Server-Limit', String(this.limit));
    if (id === '') {
      res.writeHead(400, { 'Not-Executed': '1' }).end();
      return;
    }
    res.setHeader('Attempt-Id', id);
    const expected = header('expected-instance');
    if (expected !== '' && expected !== this.id) {
      res.writeHead(421).end();
      return;
    }
    const atMs = now();
    const request = {
      id,
      atMs,
      target: req.url,
      method: req.method,
      caller: header('caller-service'),
    };
    this.arrivals.push(request);
    if (this.running >= this.slots) {
      if (this.waiting.length >= this.queue) {
        res.writeHead(503, { 'Not-Executed': '1' }).end();
        return;
      }
      await new Promise((resolve) => {
        this.waiting.push(resolve);
      });
    }
    this.running += 1;
    this.runs.push(request);
    this.recorder.note(`run ${this.id} (${this.service}) ${req.method} ${req.url} ${id}`);
    await sleep(this.workMs);
    this.running -= 1;
    this.waiting.shift()?.();
    res.setHeader('Response-Signature', `signed.${id}`);
    if (Math.random() < this.failShare && req.url.startsWith(this.failPrefix)) {
      this.failures += 1;
      res.writeHead(500).end('failed');
      return;
    }
    res.end(`${this.id} ran ${id}`);
  }
}

/** A machine: a node process and the application server beside it. */
export class Machine {
  constructor(lab, { name, ip, zone, region, server, clients }) {
    Object.assign(this, { lab, name, ip, zone, region, server, clients });
    this.child = null;
    this.isReady = false;
    this.isGone = false;
    this.misses = 0;
    this.startedMs = -Infinity;
  }

  async prepare() {
    const [inbound, outbound, ready, control, first] = await Promise.all(
      Array.from({ length: 5 }, () => freePort(this.ip)),
    );
    this.outbound = `${this.ip}:${outbound}`;
    this.ready = `${this.ip}:${ready}`;
    this.control = `${this.ip}:${control}`;
    const settings = {
      node_name: this.name,
      role: 'node',
      machine_class: 'sidecar',
      serves: ['sidecar'],
      ip: this.ip,
      zone: this.zone,
      region: this.region,
      zones: this.lab.zones,
      listen: {
        inbound: `${this.ip}:${inbound}`,
        outbound: this.outbound,
        ready: this.ready,
        control: this.control,
      },
      internal_port_range: [first, first + 15],
      seeds: [],
      first_start: true,
      in_failure_budget: false,
      limits: {
        cpu_share: 0.54,
        cores: 1,
        memory_mb: 350,
        file_descriptors: 4100,
        link_mbps: 1000.0,
        disk_mb: 0,
      },
      data_directory: null,
      discovery: 'local',
      entry: 'local',
      heartbeat_interval_ms: HEARTBEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'rollout', 'platform'],
      tolerate: { machines: 2, zones: 0, regions: 0 },
      bounds: Object.entries({ ...BOUNDS, ...this.lab.bounds }).map(
        ([key, value]) => `${key}=${value}`,
      ),
      app_address: this.server.address,
      service: this.server.service,
      platform: {
        address: this.lab.store.address,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: READ_LIMIT,
        ttl_min_ms: 1000,
      },
    };
    this.settingsFile = path.join(this.lab.folder, `${this.name}.yaml`);
    // JSON is YAML too.
    fs.writeFileSync(this.settingsFile, JSON.stringify(settings, null, 1));
  }

  start() {
    const [program, ...args] = this.lab.command;
    const log = fs.openSync(path.join(this.lab.folder, `${this.name}.log`), 'a');
    this.child = childProcess.spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        GODWITTRACK_NODE_FILE: this.settingsFile,
      },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.startedMs = now();
    const { child } = this;
    child.on('exit', (code, signal) => {
      this.lab.recorder.note(`process of ${this.name} ended, code ${code}, signal ${signal}`);
      if (this.child === child) this.child = null;
    });
    this.lab.recorder.note(`process of ${this.name} started`);
  }

  signal(name) {
    if (this.child === null) return;
    this.lab.recorder.note(`${name} to ${this.name}`);
    this.child.kill(name);
  }

  /** Kills the process; the platform starts it again after `downMs`. */
  async killAndRestart(downMs) {
    this.signal('SIGKILL');
    await sleep(downMs);
    if (!this.lab.isOver) this.start();
  }

  /** The platform's readiness questions. After two misses, clients send it nothing new. */
  async probe() {
    while (!this.lab.isOver && !this.isGone) {
      const status = await send(this.ready, 'GET', '/-/readiness');
      this.misses = status === 200 ? 0 : this.misses + 1;
      if (this.isGone) return;
      const isReady = this.misses === 0 || (this.isReady && this.misses < 2);
      if (isReady !== this.isReady)
        this.lab.recorder.note(`${this.name} ${isReady ? 'is ready' : 'is out'}`);
      this.isReady = isReady;
      await sleep(PROBE_MS);
    }
  }
}

let attempts = 0;

/** The deployment of a case. */
export class Lab {
  constructor(folder, { bounds = {} } = {}) {
    this.bounds = bounds;
    this.recorder = new Recorder(path.join(folder, 'record.txt'));
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
    this.command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    this.program = this.command.find((word) => word.startsWith('target/'));
    this.store = new Store();
    this.machines = [];
    this.zones = {};
    this.isOver = false;
    this.sent = [];
    this.agents = new Map();
    /** Answers 503 since the last line of the record about another answer. */
    this.refusals = 0;
    const [a, b] = [1 + (process.pid % 250), 1 + (Math.floor(process.pid / 250) % 250)];
    this.network = `127.${a}.${b}`;
  }

  get isBuilt() {
    return fs.existsSync(path.join(ROOT, this.program));
  }

  async add({ name, zone = 'z-a', region = 'r-a', service = 'shop', clients = true, ...server }) {
    const ip = `${this.network}.${this.machines.length + 10}`;
    this.zones[zone] = region;
    const standIn = new Server({
      service,
      id: `i-${name}`,
      zone,
      recorder: this.recorder,
      ...server,
    });
    await standIn.start(ip);
    const machine = new Machine(this, { name, ip, zone, region, server: standIn, clients });
    this.machines.push(machine);
    return machine;
  }

  /** Starts the store, then all nodes and the heartbeats of all servers; waits until the nodes are ready. */
  async start(spec) {
    await this.store.start(`${this.network}.2`);
    this.store.put('config', 'main', { spec });
    for (const machine of this.machines) await machine.prepare();
    this.machines.forEach((machine) => this.switchOn(machine));
    await this.untilReady();
    // Every server has sent a heartbeat by then.
    await sleep(2 * HEARTBEAT_MS);
  }

  /** Adds machines with new servers to a deployment that runs. */
  async join(machines) {
    for (const machine of machines) await machine.prepare();
    machines.forEach((machine) => this.switchOn(machine));
    await this.untilReady();
  }

  /** The server ends at once; its machine goes with it. */
  async remove(machine) {
    machine.server.stop();
    machine.isGone = true;
    machine.isReady = false;
    machine.signal('SIGTERM');
    await sleep(0);
  }

  switchOn(machine) {
    machine.start();
    void machine.probe();
    void machine.server.beat(machine.control);
  }

  async untilReady() {
    const endMs = now() + 15_000;
    while (!this.machines.every(({ isReady, isGone }) => isReady || isGone)) {
      if (now() > endMs) throw new Error('the nodes did not become ready');
      await sleep(100);
    }
  }

  /** Sends one request from a client on the machine. */
  request(
    machine,
    target,
    { method = 'GET', body = '', deadlineMs = 1500, host = 'shop.example' } = {},
  ) {
    attempts += 1;
    const id = `a${attempts}`;
    const entry = {
      id,
      machine: machine.name,
      atMs: now(),
      startedMs: machine.startedMs,
      target,
      status: 0,
    };
    this.sent.push(entry);
    const [hostname, port] = machine.outbound.split(':');
    if (!this.agents.has(machine.name))
      this.agents.set(machine.name, new http.Agent({ keepAlive: true, maxSockets: 256 }));
    return new Promise((resolve) => {
      const settle = (status) => {
        entry.status = status;
        entry.answeredMs = now();
        if (status === 503) this.refusals += 1;
        else this.noteAnswer(`answer ${machine.name} ${method} ${target} ${id} -> ${status}`);
        resolve(entry);
      };
      const req = http.request(
        {
          host: hostname,
          port,
          method,
          path: target,
          agent: this.agents.get(machine.name),
          headers: {
            Host: host,
            'Attempt-Id': id,
            'Deadline-Milliseconds': String(deadlineMs),
            'Content-Length': Buffer.byteLength(body),
          },
        },
        (res) => {
          entry.limit = res.headers['server-limit'];
          res.resume();
          res.on('end', () => settle(res.statusCode));
          res.on('error', () => settle(0));
        },
      );
      req.setTimeout(deadlineMs, () => req.destroy(new Error('gave up')));
      req.on('error', () => settle(0));
      req.end(body);
    });
  }

  /** Refusals are counted only, since an overloaded deployment gives many. */
  noteAnswer(text) {
    this.recorder.note(
      this.refusals === 0 ? text : `${text} (${this.refusals} answers 503 before)`,
    );
    this.refusals = 0;
  }

  /** Clients on each machine that is in send one request each `everyMs` until `untilMs`. */
  async load(target, everyMs, untilMs, options = {}) {
    const under = [];
    for (let n = 0; now() < untilMs && !this.isOver; n += 1) {
      const ready = this.machines.filter(({ isReady, clients }) => isReady && clients);
      if (ready.length > 0) {
        const to = typeof target === 'function' ? target(n) : target;
        under.push(this.request(ready[n % ready.length], to, options));
      }
      await sleep(everyMs);
    }
    await Promise.all(under);
  }

  /** Ends all processes and writes the record. */
  async end() {
    this.isOver = true;
    for (const { server } of this.machines) server.beating = false;
    const children = this.machines.map(({ child }) => child).filter((child) => child !== null);
    for (const child of children) child.kill('SIGCONT');
    for (const child of children) child.kill('SIGKILL');
    for (let i = 0; i < 50 && this.machines.some(({ child }) => child !== null); i += 1)
      await sleep(100);
    for (const { server } of this.machines) server.stop();
    this.store.stop();
    for (const agent of this.agents.values()) agent.destroy();
    this.recorder.save();
    if (process.env.KEEP_LOGS === undefined)
      fs.rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.folder}\n`);
  }
}

/** A configuration with one route for each service; `routes` adds to it. */
export function configuration(services, routes = {}) {
  const spec = { version: 7, routes: {}, services: {}, limits: {} };
  spec.limits = {
    max_header_bytes: 16384,
    max_body_bytes: 1048576,
    header_timeout_ms: 10000,
    idle_timeout_ms: 15000,
  };
  for (const name of services) {
    spec.services[name] = { health_path: '/health', max_connections: 130 };
    spec.routes[`${name}-view`] = {
      host: 'shop.example',
      path_prefix: `/${name}/`,
      kind: 'safe',
      timeout_ms: 1500,
      target_latency_ms: 300,
      max_attempts: 3,
      priority: 1,
      service: name,
    };
  }
  Object.assign(spec.routes, routes);
  return spec;
}

/**
 * Plays a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 * @param play returns the sentences that say how the rule was broken
 */
export async function run(folder, options, play) {
  const lab = new Lab(folder, options);
  const trouble = process.env.TROUBLE !== '0';
  let code = 2;
  const abandon = (reason) => {
    process.stdout.write(`could not run: ${reason}\n`);
    for (const { child } of lab.machines) child?.kill('SIGKILL');
    process.exit(2);
  };
  process.on('uncaughtException', (err) => abandon(err.message));
  for (const name of ['SIGTERM', 'SIGINT']) process.on(name, () => abandon(name));
  try {
    if (!lab.isBuilt)
      throw new Error(`${lab.program} is missing: run the build of the deploy file first`);
    lab.recorder.note(trouble ? 'with the disruption' : 'without the disruption');
    const broken = await play(lab, trouble);
    for (const sentence of broken) lab.recorder.note(`BROKEN: ${sentence}`);
    if (broken.length === 0) lab.recorder.note('the rule held');
    process.stdout.write(broken.length === 0 ? 'the rule held\n' : `${broken.join('\n')}\n`);
    code = broken.length === 0 ? 0 : 1;
  } catch (err) {
    lab.recorder.note(`could not run: ${err.message}`);
    process.stdout.write(`could not run: ${err.message}\n`);
  }
  await lab.end();
  process.exit(code);
}
