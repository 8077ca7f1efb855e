/** Stand-in of the users' object store: revisions, conditional writes, watches, and its faults. */

import * as http from 'node:http';
import type * as net from 'node:net';

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

type Fault = 'none' | 'silent' | 'busy' | 'reset' | 'loseAnswers';

interface Incoming {
  method: string;
  kind: string;
  name: string | null;
  status: boolean;
  query: URLSearchParams;
  body: { metadata?: { name?: string; revision?: number }; spec?: unknown; status?: unknown };
}

interface Reply {
  status: number;
  body: unknown;
}

/** Objects in one answer to a list. */
const PAGE_ITEMS = 50;

export class ObjectStoreStandIn {
  fault: Fault = 'none';

  /** While set, watches hear of no change. */
  deaf = false;

  /** Calls by method and kind. */
  readonly calls = new Map<string, number>();

  private readonly objects = new Map<string, Map<string, StoredObject>>();

  private events: Event[] = [];

  private oldestRevision = 0;

  private revision = 10;

  private readonly wakers = new Set<() => void>();

  private readonly watching = new Set<net.Socket>();

  private readonly server = http.createServer((req, res) => {
    void this.serve(req, res);
  });

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes as an operator does. */
  write(kind: string, name: string, spec: unknown): void {
    this.put(kind, name, { spec });
  }

  read(kind: string, name: string): StoredObject | undefined {
    return this.objects.get(kind)?.get(name);
  }

  /** Drops the history, so that watches from before must start anew. */
  compact(): void {
    this.events = [];
    this.oldestRevision = this.revision;
    this.wake();
  }

  /** Drops the history without saying so, and cuts the watches that wait. */
  forgetAndCut(): void {
    this.events = [];
    this.deaf = false;
    for (const socket of this.watching) socket.resetAndDestroy();
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') {
      req.socket.resetAndDestroy();
      return;
    }
    const incoming = parse(req, Buffer.concat(chunks));
    if (incoming.query.has('watch')) this.watching.add(req.socket);
    const reply = this.fault === 'busy' ? { status: 503, body: {} } : await this.answer(incoming);
    this.watching.delete(req.socket);
    if (req.socket.destroyed) return;
    if (this.fault === 'loseAnswers') {
      req.socket.destroy();
      return;
    }
    res.writeHead(reply.status, { 'Content-Type': 'application/json' });
    res.end(JSON.stringify(reply.body));
  }

  private answer(incoming: Incoming): Reply | Promise<Reply> {
    const { method, kind, name, query, body, status } = incoming;
    const counted = `${method} ${kind}`;
    this.calls.set(counted, (this.calls.get(counted) ?? 0) + 1);
    if (method === 'GET' && name === null) {
      return query.has('watch') ? this.watch(kind, query) : this.list(kind, query);
    }
    if (method === 'GET') return found(this.read(kind, name!));
    if (method === 'POST') {
      const created = body.metadata?.name ?? '';
      const existing = this.read(kind, created);
      if (existing !== undefined) return { status: 409, body: existing };
      return { status: 200, body: this.put(kind, created, { spec: body.spec }) };
    }
    const held = this.read(kind, name!);
    if (held === undefined) return { status: 404, body: {} };
    const expected = body.metadata?.revision;
    if (expected !== undefined && expected !== held.metadata.revision)
      return { status: 409, body: held };
    if (method === 'DELETE') {
      this.objects.get(kind)!.delete(name!);
      this.record(kind, held, true);
      return { status: 200, body: held };
    }
    const change = status ? { status: body.status } : { spec: body.spec };
    return { status: 200, body: this.put(kind, name!, change) };
  }

  private list(kind: string, query: URLSearchParams): Reply {
    const after = query.get('after') ?? '';
    const all = [...(this.objects.get(kind)?.values() ?? [])]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const items = all.slice(0, PAGE_ITEMS);
    const more = all.length > items.length;
    return { status: 200, body: { items, more, store_revision: this.revision } };
  }

  private async watch(kind: string, query: URLSearchParams): Promise<Reply> {
    const since = Number(query.get('watch'));
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    while (true) {
      if (since < this.oldestRevision) return { status: 410, body: {} };
      const events = this.deaf
        ? []
        : this.events.filter((event) => event.kind === kind && event.revision > since);
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        const changes = events.map(({ object, deleted }) => ({ object, deleted }));
        return { status: 200, body: { events: changes, store_revision: this.revision } };
      }
      await this.sleep(leftMs);
    }
  }

  private put(
    kind: string,
    name: string,
    change: { spec?: unknown; status?: unknown },
  ): StoredObject {
    const held = this.read(kind, name);
    const next = { spec: held?.spec ?? null, status: held?.status ?? null, ...change };
    if (
      held !== undefined &&
      JSON.stringify([held.spec, held.status]) === JSON.stringify([next.spec, next.status])
    ) {
      return held;
    }
    this.revision += 1;
    const created = held?.metadata.created ?? this.revision;
    const metadata = { name, revision: this.revision, created, finalizers: [], deleting: false };
    const object = { metadata, ...next };
    const ofKind = this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, ofKind.set(name, object));
    this.record(kind, object, false);
    return object;
  }

  private record(kind: string, object: StoredObject, deleted: boolean): void {
    if (deleted) this.revision += 1;
    this.events.push({ kind, revision: this.revision, object, deleted });
    this.wake();
  }

  private wake(): void {
    for (const waker of this.wakers) waker();
  }

  /** Waits until something changes, at most `ms`. */
  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.wakers.delete(finish);
        resolve();
      };
      setTimeout(finish, ms);
      this.wakers.add(finish);
    });
  }
}

function found(object: StoredObject | undefined): Reply {
  return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
}

function parse(req: http.IncomingMessage, bytes: Buffer): Incoming {
  const url = new URL(req.url ?? '/', 'http://store');
  const [, , , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent);
  return {
    method: req.method ?? 'GET',
    kind,
    name: name ?? null,
    status: part === 'status',
    query: url.searchParams,
    body: bytes.length === 0 ? {} : (JSON.parse(bytes.toString('utf8')) as Incoming['body']),
  };
}
