/**
 * Baseline for the convergence experiment: a node that watches the platform itself and fetches the
 * whole state after each event. It reads the settings file of a node and serves only those calls of
 * the admin API that the experiment uses.
 */

import * as fs from 'node:fs';
import * as http from 'node:http';
import { backoff, configuration, failures, manifest, ticket as tickets } from '@godwittrack/core';
import type { resources } from '@godwittrack/core';
import { httpObjectStore } from '@godwittrack/platform';
import type { objectStore } from '@godwittrack/platform';
import { settings } from '@godwittrack/node';

const WATCH_WAIT_MS = 30_000;
const MAX_ATTEMPTS = 12;

const file = process.argv[process.argv.indexOf('--config') + 1] ?? '';
const cfg = settings.parseSettings(fs.readFileSync(file, 'utf8'));
const store = new httpObjectStore.HttpObjectStore({
  url: cfg.platform.url,
  timeoutMs: cfg.platform.timeoutMs,
});
let current = configuration.Configuration.empty();
let ready = false;

function log(record: Record<string, unknown>): void {
  const time = new Date().toISOString();
  process.stdout.write(`${JSON.stringify({ time, node: cfg.node, ...record })}\n`);
}

async function fetchState(): Promise<number> {
  const [manifests, bodies] = await Promise.all([store.list('manifest'), store.list('body')]);
  const [object] = manifests.items;
  if (object === undefined) return manifests.version;
  const next = manifest.Manifest.parse(object.value);
  const byHash = new Map(bodies.items.map((item) => [item.name, item.value]));
  if (next.version > current.version) {
    current = configuration.Configuration.resolve(
      next,
      (key) => byHash.get(key) as resources.RawSpec | undefined,
    );
    log({ version: next.version, digest: next.digest(), msg: 'Configuration applied.' });
  }
  return Math.min(manifests.version, bodies.version);
}

async function watchPlatform(): Promise<void> {
  let since = await fetchState();
  ready = true;
  for (;;) {
    try {
      const batch = await store.watch(['manifest'], since, WATCH_WAIT_MS);
      since = batch.events.length === 0 ? batch.version : await fetchState();
    } catch (err) {
      if (failures.is(err, 'watchExpired')) since = await fetchState();
      else await backoff.sleep(100);
    }
  }
}

async function acceptTicket(ticket: tickets.Ticket): Promise<Record<string, unknown>> {
  const object = await store.get('manifest', 'current');
  const currentManifest =
    object === null ? manifest.Manifest.empty() : manifest.Manifest.parse(object.value);
  const { manifest: next, accepted, repeated } = currentManifest.accept(ticket, Date.now());
  if (!repeated) {
    for (const { hash, spec } of ticket.changes) {
      if (hash !== null) await store.put('body', hash, spec, { type: 'none' });
    }
    const condition: objectStore.Precondition =
      object === null ? { type: 'absent' } : { type: 'version', version: object.version };
    await store.put('manifest', 'current', next.toJSON(), condition);
  }
  return { ticket: ticket.number, version: accepted.version, repeated, atMs: accepted.atMs };
}

async function acceptWithRetry(ticket: tickets.Ticket): Promise<Record<string, unknown>> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await acceptTicket(ticket);
    } catch (err) {
      if (!failures.is(err, 'objectConflict') || attempt === MAX_ATTEMPTS) throw err;
    }
  }
}

async function handleRequest(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  if (req.method === 'POST' && req.url === '/v1/tickets') {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const ticket = tickets.Ticket.parseYaml(Buffer.concat(chunks).toString());
    res.end(JSON.stringify(await acceptWithRetry(ticket)));
    return;
  }
  if (req.url === '/readyz') res.statusCode = ready ? 200 : 503;
  res.end('{}');
}

const server = http.createServer((req, res) => {
  handleRequest(req, res).catch((err: unknown) => {
    res.statusCode = 500;
    res.end(JSON.stringify({ error: failures.fromError(err) }));
  });
});
const [host, port] = cfg.listen.admin.split(':');
server.listen(Number(port), host);
await watchPlatform();
