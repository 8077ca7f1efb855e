/** Starts nodes with the command of the deploy file, on loopback addresses, and records a run. */
/* global Buffer, clearTimeout, performance, process, setTimeout */

import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const HEARTBEAT_MS = 870;
const STARTED_WITHIN_MS = 8_000;

/** Bounds of the small sites, as the settings of a node carry them. */
const BOUNDS = [
  'stable_window_ms=3000',
  'drain_period_ms=2000',
  'grace_period_s=6',
  'loss_slack_ms=200',
  'config_apply_ms=2000',
  'retry_budget_ratio=0.2',
  'budget_window_s=10',
  'budget_extra_retries=62',
  'exposure_share=0.1',
  'exposure_slack=50',
  'rollback_ms=5000',
];

/** Loopback address of its own for each node, so that all may use the same ports. */
const net24 = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;
export const hostOf = (i) => `${net24}.${i + 1}`;

async function freePorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = net.createServer();
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

export class Node {
  exits = [];

  constructor(run, settings, file) {
    Object.assign(this, { run, settings, file, name: settings.node_name });
    this.outbound = settings.listen.outbound;
    this.control = settings.listen.control;
    this.restarts = false;
  }

  spawn() {
    const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const { PATH, HOME, LANG } = process.env;
    this.child = childProcess.spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GODWITTRACK_NODE_FILE: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.log = '';
    const keep = (chunk) => {
      this.log = (this.log + chunk).slice(-200_000);
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    const { child } = this;
    child.on('exit', (code, signal) => {
      this.exits.push({ atMs: performance.now(), code, signal });
      this.run.note(`${this.name} ended, code ${code}, signal ${signal}`);
      const fatal = /FATAL ERROR.*/.exec(this.log)?.[0];
      if (fatal) this.run.note(`${this.name} wrote: ${fatal}`);
      if (this.restarts && !this.run.ended) setTimeout(() => this.spawn(), 500);
    });
    this.run.note(`${this.name} started`);
  }

  signal(name) {
    this.run.note(`${this.name} gets ${name}`);
    this.child.kill(name);
  }

  kill() {
    this.restarts = false;
    if (this.child.exitCode === null && this.child.signalCode === null) this.child.kill('SIGKILL');
  }

  readiness() {
    const [host, port] = this.settings.listen.ready.split(':');
    return new Promise((resolve) => {
      const req = http.get(
        { host, port, path: '/-/readiness', agent: false, timeout: 1_000 },
        (res) => {
          res.resume();
          resolve(res.statusCode);
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
    });
  }
}

export class Run {
  nodes = [];

  parts = [];

  agents = [];

  lines = [];

  startedMs = performance.now();

  constructor(folder) {
    this.folder = folder;
    this.temp = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const watchdog = setTimeout(() => this.end(2, 'the script took too long'), 110_000);
    watchdog.unref();
    for (const event of ['uncaughtException', 'unhandledRejection'])
      process.on(event, (err) => this.end(2, `the script failed: ${err?.stack ?? err}`));
    process.on('SIGTERM', () => this.end(2, 'stopped'));
  }

  note(text) {
    this.lines.push(`${((performance.now() - this.startedMs) / 1_000).toFixed(3)} ${text}`);
  }

  /** Ends all that was started; 0: the rule held, 1: it was broken, 2: the case could not run. */
  end(code, verdict) {
    if (this.ended) return;
    this.ended = true;
    this.note(`verdict: ${verdict}; exit ${code}`);
    for (const node of this.nodes) node.kill();
    for (const part of this.parts) part.stop();
    for (const agent of this.agents) agent.destroy();
    fs.writeFileSync(path.join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
    fs.rmSync(this.temp, { recursive: true, force: true });
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  }

  async startNode(i, options) {
    const { service, zone, region = 'r-a', storeAddress, appAddress } = options;
    const { name = `side-${i}` } = options;
    const host = hostOf(i);
    const [inbound, outbound, ready, control, peer] = await freePorts(host, 5);
    const settings = {
      node_name: name,
      role: 'node',
      machine_class: 'sidecar',
      serves: ['sidecar'],
      ip: host,
      zone,
      region,
      listen: {
        inbound: `${host}:${inbound}`,
        outbound: `${host}:${outbound}`,
        ready: `${host}:${ready}`,
        control: `${host}:${control}`,
      },
      internal_port_range: [peer, peer],
      seeds: [],
      first_start: true,
      limits: { cpu_share: 0.54, cores: 1, memory_mb: 350, file_descriptors: 4100 },
      data_directory: null,
      discovery: 'local',
      entry: 'local',
      heartbeat_interval_ms: HEARTBEAT_MS,
      bounds: BOUNDS,
      app_address: appAddress,
      service,
      platform: {
        address: storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
      },
    };
    const file = path.join(this.temp, `${name}.yaml`);
    // JSON is valid YAML.
    fs.writeFileSync(file, JSON.stringify(settings, null, 2));
    const node = new Node(this, settings, file);
    this.nodes.push(node);
    node.spawn();
    return node;
  }

  async waitUntilReady() {
    const endMs = performance.now() + STARTED_WITHIN_MS;
    for (const node of this.nodes) {
      while ((await node.readiness()) !== 200) {
        if (performance.now() > endMs) this.end(2, `${node.name} did not get ready`);
        await sleep(50);
      }
    }
    this.note('all nodes are ready');
  }
}

/** One request of a client, on a connection of `agent`. Never rejects; status 0: no answer. */
export function call(address, agent, { id, path: target, method = 'GET', body = '', deadlineMs }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const sentMs = performance.now();
    const headers = {
      Host: 'shop.example',
      'Attempt-Id': id,
      'Deadline-Milliseconds': String(deadlineMs),
    };
    if (method === 'POST') headers['Content-Length'] = Buffer.byteLength(body);
    const req = http.request({ host, port, path: target, method, headers, agent });
    const timer = setTimeout(() => req.destroy(new Error('deadline')), deadlineMs + 500);
    const settle = (result) => {
      clearTimeout(timer);
      resolve({
        id,
        target,
        sentMs,
        endedMs: performance.now(),
        reused: req.reusedSocket,
        ...result,
      });
    };
    req.on('error', (err) => settle({ status: 0, error: err.message }));
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('aborted', () => settle({ status: 0, error: 'answer cut short' }));
      res.on('end', () =>
        settle({
          status: res.statusCode,
          body: Buffer.concat(chunks).toString('latin1'),
          signature: res.headers['response-signature'] ?? null,
        }),
      );
    });
    req.end(body);
  });
}

export function route(prefix, service, overrides = {}) {
  return {
    host: 'shop.example',
    path_prefix: prefix,
    kind: 'safe',
    service,
    timeout_ms: 3_000,
    target_latency_ms: 500,
    max_attempts: 2,
    priority: 1,
    ...overrides,
  };
}

export function configuration(version, routes, services) {
  const settings = { health_path: '/health', max_connections: 130 };
  return {
    version,
    routes,
    services: Object.fromEntries(services.map((name) => [name, settings])),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
