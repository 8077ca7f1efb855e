/** Stand-in for the users' object store, with revisions, conditional writes, watches and faults. */

import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

export interface StoredObject {
  metadata: {
    name: string;
    revision: number;
    created: number;
    finalizers: string[];
    deleting: boolean;
  };
  spec: unknown;
  status: unknown;
}

interface Event {
  kind: string;
  revision: number;
  object: StoredObject;
  deleted: boolean;
}

/**
 * Fault applied to every request: `silent` never answers, `busy` answers 503, `reset` resets the
 * connection, and `loseAnswers` carries out the request but closes the connection instead of
 * answering.
 */
export type Fault = 'none' | 'silent' | 'busy' | 'reset' | 'loseAnswers';

/** A further address of the store, for one client, with a fault of its own. */
export interface StoreGate {
  readonly address: string;
  /** Applies to this client alone; resets the watches that wait when it is set. */
  setFault(fault: Fault): void;
}

/** What becomes of watches that wait while the store is restored. */
export type WaitingWatches = 'cut' | 'kept';

export interface RestoreOptions {
  /** Monotonic time of the copy; it holds what was written before. */
  copiedMs: number;
  /** Time for which each request is answered with a reset. */
  awayMs: number;
  waitingWatches: WaitingWatches;
}

/** A write of an operator. */
export interface OperatorWrite {
  kind: string;
  name: string;
  spec: unknown;
}

/** Objects of the store as of one revision. Objects are replaced, never changed in place. */
interface Copy {
  atMs: number;
  revision: number;
  objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
}

/** Faults and waiting watches of the clients of one address. */
class GateState {
  fault: Fault = 'none';

  readonly watchSockets = new Set<net.Socket>();

  resetWatches(): void {
    for (const socket of this.watchSockets) socket.resetAndDestroy();
  }
}

interface ParsedRequest {
  method: string;
  kind: string;
  name: string | null;
  isStatusSubresource: boolean;
  query: URLSearchParams;
  body: { metadata?: { name?: string; revision?: number }; spec?: unknown; status?: unknown };
}

interface Reply {
  status: number;
  body: unknown;
}

/** Maximum number of objects in one page of a list. */
const PAGE_SIZE = 50;

export class ObjectStoreStandIn {
  /** While set, watches report no events. */
  watchEventsSuppressed = false;

  /** Number of requests by method and kind, such as `GET config`. */
  readonly calls = new Map<string, number>();

  private objects = new Map<string, Map<string, StoredObject>>();

  private events: Event[] = [];

  private oldestRevision = 0;

  private revision = 10;

  private readonly changeListeners = new Set<() => void>();

  private era = 1;

  private isAway = false;

  /** State before the first change and after each one, oldest first. */
  private readonly copies: Copy[] = [this.takeCopy()];

  private readonly operatorWrites: (OperatorWrite & { atMs: number })[] = [];

  private readonly mainGate = new GateState();

  private readonly gates: GateState[] = [this.mainGate];

  private readonly servers: http.Server[] = [];

  /** Fault of the main address. */
  get fault(): Fault {
    return this.mainGate.fault;
  }

  set fault(fault: Fault) {
    this.mainGate.fault = fault;
  }

  start(): Promise<string> {
    return this.listen(this.mainGate);
  }

  async openGate(): Promise<StoreGate> {
    const gate = new GateState();
    this.gates.push(gate);
    const address = await this.listen(gate);
    return {
      address,
      setFault(fault) {
        gate.fault = fault;
        if (fault !== 'none') gate.resetWatches();
      },
    };
  }

  stop(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private async listen(gate: GateState): Promise<string> {
    const server = http.createServer((req, res) => {
      void this.serve(gate, req, res);
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  }

  /** Writes the spec of an object unconditionally, as an operator does. */
  write(kind: string, name: string, spec: unknown): void {
    this.put(kind, name, { spec });
    this.operatorWrites.push({ kind, name, spec, atMs: performance.now() });
  }

  /** Deletes an object, as an operator does. */
  remove(kind: string, name: string): void {
    const object = this.read(kind, name);
    if (object === undefined) throw new Error(`${kind}/${name} does not exist`);
    this.objects.get(kind)!.delete(name);
    this.record(kind, object, true);
  }

  read(kind: string, name: string): StoredObject | undefined {
    return this.objects.get(kind)?.get(name);
  }

  /** Drops the event history; watches from an older revision are answered with 410. */
  compact(): void {
    this.events = [];
    this.oldestRevision = this.revision;
    this.notifyChange();
  }

  /**
   * Drops the event history but does not answer 410 to watches from an older revision. Resets the
   * connections of pending watches and ends `watchEventsSuppressed`.
   */
  loseHistoryAndResetWatches(): void {
    this.events = [];
    this.watchEventsSuppressed = false;
    this.mainGate.resetWatches();
  }

  /**
   * Takes the store away and brings it back from a copy. Revisions given out since the copy are given out
   * again. @returns the writes of operators that were lost, oldest first, once the store is back
   */
  async restore({ copiedMs, awayMs, waitingWatches }: RestoreOptions): Promise<OperatorWrite[]> {
    const copy = this.copies.findLast(({ atMs }) => atMs < copiedMs) ?? this.copies[0]!;
    this.isAway = true;
    if (waitingWatches === 'cut') for (const gate of this.gates) gate.resetWatches();
    await timers.setTimeout(awayMs);
    this.copies.splice(this.copies.indexOf(copy) + 1);
    const lost = this.operatorWrites.filter(({ atMs }) => atMs >= copiedMs);
    this.operatorWrites.splice(this.operatorWrites.length - lost.length);
    this.objects = new Map([...copy.objects].map(([kind, objects]) => [kind, new Map(objects)]));
    this.events = this.events.filter(({ revision }) => revision <= copy.revision);
    this.revision = copy.revision;
    this.oldestRevision = Math.min(this.oldestRevision, copy.revision);
    this.era += 1;
    this.isAway = false;
    return lost.map(({ kind, name, spec }) => ({ kind, name, spec }));
  }

  private async serve(
    gate: GateState,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    if (gate.fault === 'silent') return;
    if (gate.fault === 'reset' || this.isAway) {
      req.socket.resetAndDestroy();
      return;
    }
    const request = parseRequest(req, Buffer.concat(chunks));
    if (request.query.has('watch')) gate.watchSockets.add(req.socket);
    const reply = gate.fault === 'busy' ? { status: 503, body: {} } : await this.answer(request);
    gate.watchSockets.delete(req.socket);
    if (req.socket.destroyed) return;
    if (this.isAway) {
      req.socket.resetAndDestroy();
      return;
    }
    if (gate.fault === 'loseAnswers') {
      req.socket.destroy();
      return;
    }
    const headers = { 'Content-Type': 'application/json', 'Store-Era': String(this.era) };
    res.writeHead(reply.status, headers);
    res.end(JSON.stringify(reply.body));
  }

  private answer(request: ParsedRequest): Reply | Promise<Reply> {
    const { method, kind, name, query, body, isStatusSubresource } = request;
    const callKey = `${method} ${kind}`;
    this.calls.set(callKey, (this.calls.get(callKey) ?? 0) + 1);
    if (method === 'GET' && name === null) {
      return query.has('watch') ? this.watch(kind, query) : this.list(kind, query);
    }
    if (method === 'GET') return objectReply(this.read(kind, name!));
    if (method === 'POST') {
      const newName = body.metadata?.name ?? '';
      const existing = this.read(kind, newName);
      if (existing !== undefined) return { status: 409, body: existing };
      return { status: 200, body: this.put(kind, newName, { spec: body.spec }) };
    }
    const current = this.read(kind, name!);
    if (current === undefined) return { status: 404, body: {} };
    const expected = body.metadata?.revision;
    if (expected !== undefined && expected !== current.metadata.revision)
      return { status: 409, body: current };
    if (method === 'DELETE') {
      this.remove(kind, name!);
      return { status: 200, body: current };
    }
    const change = isStatusSubresource ? { status: body.status } : { spec: body.spec };
    return { status: 200, body: this.put(kind, name!, change) };
  }

  private list(kind: string, query: URLSearchParams): Reply {
    const after = query.get('after') ?? '';
    const all = [...(this.objects.get(kind)?.values() ?? [])]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const items = all.slice(0, PAGE_SIZE);
    const more = all.length > items.length;
    return { status: 200, body: { items, more, store_revision: this.revision } };
  }

  private async watch(kind: string, query: URLSearchParams): Promise<Reply> {
    const since = Number(query.get('watch'));
    const deadlineMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    // A watch that was waiting during a restore goes on waiting after its revision.
    if (since > this.revision) return { status: 410, body: {} };
    while (true) {
      if (since < this.oldestRevision) return { status: 410, body: {} };
      const events = this.watchEventsSuppressed
        ? []
        : this.events.filter((event) => event.kind === kind && event.revision > since);
      const remainingMs = deadlineMs - performance.now();
      if (events.length > 0 || remainingMs <= 0) {
        const changes = events.map(({ object, deleted }) => ({ object, deleted }));
        return { status: 200, body: { events: changes, store_revision: this.revision } };
      }
      await this.waitForChange(remainingMs);
    }
  }

  private put(
    kind: string,
    name: string,
    change: { spec?: unknown; status?: unknown },
  ): StoredObject {
    const existing = this.read(kind, name);
    const next = { spec: existing?.spec ?? null, status: existing?.status ?? null, ...change };
    if (
      existing !== undefined &&
      JSON.stringify([existing.spec, existing.status]) === JSON.stringify([next.spec, next.status])
    ) {
      return existing;
    }
    this.revision += 1;
    const created = existing?.metadata.created ?? this.revision;
    const metadata = { name, revision: this.revision, created, finalizers: [], deleting: false };
    const object = { metadata, ...next };
    const objectsOfKind = this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, objectsOfKind.set(name, object));
    this.record(kind, object, false);
    return object;
  }

  private record(kind: string, object: StoredObject, deleted: boolean): void {
    if (deleted) this.revision += 1;
    this.events.push({ kind, revision: this.revision, object, deleted });
    this.copies.push(this.takeCopy());
    this.notifyChange();
  }

  private takeCopy(): Copy {
    const objects = new Map([...this.objects].map(([kind, each]) => [kind, new Map(each)]));
    return { atMs: performance.now(), revision: this.revision, objects };
  }

  private notifyChange(): void {
    for (const listener of this.changeListeners) listener();
  }

  /** Waits until an object changes or the history is dropped, at most `timeoutMs`. */
  private waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.changeListeners.delete(finish);
        resolve();
      };
      setTimeout(finish, timeoutMs);
      this.changeListeners.add(finish);
    });
  }
}

function objectReply(object: StoredObject | undefined): Reply {
  return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
}

function parseRequest(req: http.IncomingMessage, bytes: Buffer): ParsedRequest {
  const url = new URL(req.url ?? '/', 'http://store');
  const [, , , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent);
  return {
    method: req.method ?? 'GET',
    kind,
    name: name ?? null,
    isStatusSubresource: part === 'status',
    query: url.searchParams,
    body: bytes.length === 0 ? {} : (JSON.parse(bytes.toString('utf8')) as ParsedRequest['body']),
  };
}
