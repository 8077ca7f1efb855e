/** Stand-in for the platform's object API (docs/design.md, section 3.9). */

import { EventEmitter, once } from 'node:events';
import type { Server as NetServer } from 'node:net';
import * as timers from 'node:timers/promises';
import * as restify from 'restify';
import * as addresses from '../common/address.js';
import * as http from '../common/http.js';
import * as randoms from '../common/random.js';
import * as faults from './faults.js';
import * as objects from './objects.js';
import * as buckets from './tokenBucket.js';

export interface PlatformOptions {
  /** Address of the object API. Default `127.0.0.1:0`. */
  listen?: string;
  /** Address of the control port. Default `127.0.0.1:0`. */
  control?: string;
  /** Default 400. */
  writesPerSecond?: number;
  /** Default 2,000. */
  readsPerSecond?: number;
  /** Events kept for watches. Default 10,000. */
  historyLength?: number;
  /** Default 1. */
  seed?: number;
}

/** Answer of `GET /control/stats`. */
export interface PlatformStats {
  /** Calls by operation (get, list, put, delete, watch) and kind, including refused ones. */
  calls: Record<string, Record<string, number>>;
  rejectedByRate: { reads: number; writes: number };
  /** Answers dropped after the write took effect. */
  answersLost: number;
  errorsInjected: number;
  connectionsRefused: number;
  bytesIn: number;
  bytesOut: number;
  /** Number of watches waiting for an event. */
  watching: number;
  objects: number;
  version: number;
}

const MAX_VALUE_BYTES = 1024 * 1024;
/** Room for the JSON around a value. */
const MAX_BODY_BYTES = MAX_VALUE_BYTES + 1024;
const MAX_WATCH_MS = 30_000;
const RETRY_AFTER_SECONDS = 1;

/** restify passes `maxParamLength` on to its router, whose default of 100 cuts off longer names. */
const SERVER_OPTIONS: restify.ServerOptions & { maxParamLength: number } = {
  name: 'platform',
  maxParamLength: 1024,
};

type Operation = 'get' | 'list' | 'put' | 'delete' | 'watch';

interface Call {
  req: restify.Request;
  res: restify.Response;
  operation: Operation;
  /** Kind of the object; comma-separated kinds for a watch. */
  kind: string;
  name: string;
}

interface Answer {
  status: number;
  body: unknown;
}

export class Platform {
  private readonly objects: objects.ObjectStore;

  private readonly random: randoms.Random;

  private readonly writes: buckets.TokenBucket;

  private readonly reads: buckets.TokenBucket;

  private readonly server = restify.createServer(SERVER_OPTIONS);

  private readonly connections = new http.ConnectionTracker(this.server.server);

  private readonly faultEvents = new EventEmitter().setMaxListeners(0);

  private readonly calls: Record<string, Record<string, number>> = {};

  private readonly rejected = { reads: 0, writes: 0 };

  private faults: faults.FaultChange = {};

  private answersLost = 0;

  private errorsInjected = 0;

  private connectionsRefused = 0;

  private controlServer: http.ControlServer | undefined;

  address = '';

  controlAddress = '';

  constructor(private readonly options: PlatformOptions = {}) {
    this.objects = new objects.ObjectStore(options.historyLength ?? 10_000);
    this.random = new randoms.Random(options.seed ?? 1);
    this.writes = new buckets.TokenBucket(options.writesPerSecond ?? 400);
    this.reads = new buckets.TokenBucket(options.readsPerSecond ?? 2_000);
  }

  async start(): Promise<void> {
    const { server } = this;
    (server.server as NetServer).prependListener('connection', (socket) => {
      if (this.faults.outage !== true) return;
      this.connectionsRefused += 1;
      socket.destroy();
    });
    server.get('/v1/objects/:kind/:name', this.handler('get'));
    server.get('/v1/objects/:kind', this.handler('list'));
    server.put('/v1/objects/:kind/:name', this.handler('put'));
    server.del('/v1/objects/:kind/:name', this.handler('delete'));
    server.get('/v1/watch', this.handler('watch'));
    this.address = await addresses.listen(server.server, this.options.listen ?? '127.0.0.1:0');
    this.controlServer = await http.createControlServer({
      address: this.options.control ?? '127.0.0.1:0',
      schema: faults.changeSchema,
      apply: (change) => this.apply(change),
      views: { stats: () => this.stats() },
    });
    this.controlAddress = this.controlServer.address;
  }

  close(): void {
    this.controlServer?.close();
    this.server.close();
    this.connections.destroyAll();
  }

  private apply(change: faults.FaultChange): void {
    this.faults = { ...this.faults, ...change };
    if (change.writesPerSecond !== undefined) this.writes.setRate(change.writesPerSecond);
    if (change.readsPerSecond !== undefined) this.reads.setRate(change.readsPerSecond);
    if (change.outage === true) this.connections.destroyAll();
    this.faultEvents.emit('change');
  }

  private stats(): PlatformStats {
    return {
      calls: this.calls,
      rejectedByRate: this.rejected,
      answersLost: this.answersLost,
      errorsInjected: this.errorsInjected,
      connectionsRefused: this.connectionsRefused,
      bytesIn: this.connections.bytesIn,
      bytesOut: this.connections.bytesOut,
      watching: this.objects.waiterCount,
      objects: this.objects.size,
      version: this.objects.version,
    };
  }

  private handler(operation: Operation) {
    return async (req: restify.Request, res: restify.Response) => {
      const params = req.params as { kind?: string; name?: string };
      const kind = params.kind ?? http.queryOf(req).get('kinds') ?? '';
      try {
        await this.serve({ req, res, operation, kind, name: params.name ?? '' });
      } catch (err) {
        http.sendError(res, err);
      }
    };
  }

  private async serve(call: Call): Promise<void> {
    const { req, res, operation, kind } = call;
    const byKind = this.calls[operation] ?? {};
    this.calls[operation] = byKind;
    byKind[kind] = (byKind[kind] ?? 0) + 1;
    const isWrite = operation === 'put' || operation === 'delete';
    // The body is read first, so that an early answer does not break a kept-alive connection.
    const body = operation === 'put' ? await http.readBody(req, MAX_BODY_BYTES) : Buffer.alloc(0);
    if (!(isWrite ? this.writes : this.reads).take()) {
      this.rejected[isWrite ? 'writes' : 'reads'] += 1;
      res.header('retry-after', String(RETRY_AFTER_SECONDS));
      throw new http.HttpError(429, 'overloaded', `${isWrite ? 'write' : 'read'} rate exceeded`);
    }
    await this.delay();
    if (this.faults.outage === true) return;
    if (this.shouldInject('errors', kind)) {
      this.errorsInjected += 1;
      throw new http.HttpError(503, 'unavailable', 'injected error');
    }
    if (!isWrite) {
      const answer = operation === 'watch' ? await this.watch(call) : this.read(call);
      if (!res.destroyed) res.send(answer.status, answer.body);
      return;
    }
    while (this.faults.freezeWrites === true) await once(this.faultEvents, 'change');
    const answer = this.write(call, body);
    if (answer.status === 200 && this.shouldInject('loseAnswers', kind)) {
      this.answersLost += 1;
      req.socket.destroy();
      return;
    }
    if (!res.destroyed) res.send(answer.status, answer.body);
  }

  private async delay(): Promise<void> {
    const { delayMs = 0, delayJitterMs = 0 } = this.faults;
    const totalMs = delayMs + delayJitterMs * this.random.next();
    if (totalMs > 0) await timers.setTimeout(totalMs);
  }

  private shouldInject(name: 'errors' | 'loseAnswers', kind: string): boolean {
    const fault = this.faults[name];
    if (fault === undefined || fault === null) return false;
    if (fault.kinds !== undefined && !fault.kinds.includes(kind)) return false;
    if (!this.random.chance(fault.probability)) return false;
    if (fault.count !== undefined) {
      this.faults[name] = fault.count > 1 ? { ...fault, count: fault.count - 1 } : null;
    }
    return true;
  }

  private read({ operation, kind, name }: Call): Answer {
    if (operation === 'list') {
      return {
        status: 200,
        body: { version: this.objects.version, items: this.objects.list(kind) },
      };
    }
    const found = this.objects.get(kind, name);
    if (found !== undefined) return { status: 200, body: found };
    throw new http.HttpError(404, 'objectNotFound', `${kind}/${name}`);
  }

  private write(call: Call, body: Buffer): Answer {
    const { operation, kind, name } = call;
    const condition = conditionOf(call.req);
    const result =
      operation === 'put'
        ? this.objects.put(kind, name, valueOf(body), condition)
        : this.objects.delete(kind, name, condition);
    if (result.type === 'written') return { status: 200, body: { version: result.version } };
    if (result.type === 'notFound') {
      throw new http.HttpError(404, 'objectNotFound', `${kind}/${name}`);
    }
    const error = { type: 'objectConflict', detail: 'the condition does not hold' };
    return { status: 412, body: { current: result.current, error } };
  }

  private async watch({ req, res, kind }: Call): Promise<Answer> {
    const query = http.queryOf(req);
    const since = integerOf(query.get('since'), 'since');
    const waitMs = Math.min(integerOf(query.get('waitMs') ?? '0', 'waitMs'), MAX_WATCH_MS);
    const kinds = new Set(kind.split(','));
    const deadlineMs = performance.now() + waitMs;
    const disconnected = new AbortController();
    res.once('close', () => disconnected.abort());
    for (;;) {
      const events = this.objects.eventsAfter(since, kinds);
      if (events === null) throw new http.HttpError(410, 'historyGone', `since ${since}`);
      const remainingMs = deadlineMs - performance.now();
      const { version } = this.objects;
      const watchesFrozen = this.faults.freezeWatches === true;
      if (events.length > 0 && !watchesFrozen) return { status: 200, body: { version, events } };
      if (remainingMs <= 0 || disconnected.signal.aborted) {
        // A frozen watch returns the caller's own version, so that the next watch misses no event.
        return { status: 200, body: { version: watchesFrozen ? since : version, events: [] } };
      }
      if (watchesFrozen) await this.waitForFaultChange(remainingMs, disconnected.signal);
      else await this.objects.waitForEvent(kinds, remainingMs, disconnected.signal);
    }
  }

  private async waitForFaultChange(waitMs: number, signal: AbortSignal): Promise<void> {
    const limit = AbortSignal.any([signal, AbortSignal.timeout(Math.ceil(waitMs))]);
    await once(this.faultEvents, 'change', { signal: limit }).catch(() => undefined);
  }
}

export async function createPlatform(options: PlatformOptions = {}): Promise<Platform> {
  const platform = new Platform(options);
  await platform.start();
  return platform;
}

function integerOf(text: string | null, field: string): number {
  const value = Number(text ?? NaN);
  if (Number.isSafeInteger(value) && value >= 0) return value;
  throw new http.HttpError(400, 'invalidRequest', `${field} must be a whole number`);
}

function conditionOf(req: restify.Request): objects.Condition {
  const match = req.headers['if-match'];
  const noneMatch = req.headers['if-none-match'];
  if (match === undefined && noneMatch === undefined) return { type: 'none' };
  if (noneMatch === '*' && match === undefined) return { type: 'absent' };
  const version = /^"(\d+)"$/.exec(match ?? '')?.[1];
  if (version !== undefined && noneMatch === undefined) {
    return { type: 'version', version: Number(version) };
  }
  throw new http.HttpError(400, 'invalidRequest', 'malformed If-Match or If-None-Match');
}

function valueOf(body: Buffer): unknown {
  const parsed = http.parseJson(body);
  if (typeof parsed !== 'object' || parsed === null || !('value' in parsed)) {
    throw new http.HttpError(400, 'invalidRequest', 'the body must be {"value": ...}');
  }
  const { value } = parsed;
  if (Buffer.byteLength(JSON.stringify(value)) > MAX_VALUE_BYTES) {
    throw new http.HttpError(413, 'tooLarge', `the limit is ${MAX_VALUE_BYTES} bytes`);
  }
  return value;
}
