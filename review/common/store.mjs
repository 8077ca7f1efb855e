/** Stand-in for the platform's metadata store, with revisions, conditional writes and watches. */
/* global Buffer, URL, clearTimeout, performance, setTimeout */

import * as http from 'node:http';

export class Store {
  objects = new Map();

  events = [];

  revision = 10;

  waiters = new Set();

  /** Called with each call to the store, before it is answered. */
  onCall = () => {};

  server = http.createServer((req, res) => {
    void this.serve(req, res);
  });

  async start(host) {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes as the operator does. The return is the acknowledgement. */
  write(kind, name, spec) {
    return this.put(kind, name, { spec });
  }

  read(kind, name) {
    return this.objects.get(kind)?.get(name);
  }

  put(kind, name, change) {
    const old = this.read(kind, name);
    const next = { spec: old?.spec ?? null, status: old?.status ?? null, ...change };
    if (old && JSON.stringify([old.spec, old.status]) === JSON.stringify([next.spec, next.status]))
      return old;
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      created: old?.metadata.created ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, ...next };
    if (!this.objects.has(kind)) this.objects.set(kind, new Map());
    this.objects.get(kind).set(name, object);
    this.record(kind, object, false);
    return object;
  }

  record(kind, object, deleted) {
    if (deleted) this.revision += 1;
    this.events.push({ kind, revision: this.revision, object, deleted });
    for (const wake of [...this.waiters]) wake();
  }

  async serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const url = new URL(req.url, 'http://store');
    const [, , , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent);
    const text = Buffer.concat(chunks).toString('utf8');
    const call = { method: req.method, kind, name, part, query: url.searchParams };
    call.body = text === '' ? {} : JSON.parse(text);
    this.onCall(call);
    const { status, body } = await this.answer(call);
    if (req.socket.destroyed) return;
    res.writeHead(status, { 'Content-Type': 'application/json' });
    res.end(JSON.stringify(body));
  }

  answer(call) {
    const { method, kind, name, part, query, body } = call;
    if (method === 'GET' && name === undefined)
      return query.has('watch') ? this.watch(kind, query) : this.list(kind);
    const old = this.read(kind, name ?? body.metadata?.name);
    if (method === 'POST') {
      if (old) return { status: 409, body: old };
      return { status: 200, body: this.put(kind, body.metadata.name, { spec: body.spec }) };
    }
    if (!old) return { status: 404, body: {} };
    if (method === 'GET') return { status: 200, body: old };
    const revision = body.metadata?.revision;
    if (revision !== undefined && revision !== old.metadata.revision)
      return { status: 409, body: old };
    if (method === 'DELETE') {
      this.objects.get(kind).delete(name);
      this.record(kind, old, true);
      return { status: 200, body: old };
    }
    const change = part === 'status' ? { status: body.status } : { spec: body.spec };
    return { status: 200, body: this.put(kind, name, change) };
  }

  list(kind) {
    const items = [...(this.objects.get(kind)?.values() ?? [])];
    return { status: 200, body: { items, more: false, store_revision: this.revision } };
  }

  async watch(kind, query) {
    const since = Number(query.get('watch'));
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      const found = this.events.filter((each) => each.kind === kind && each.revision > since);
      const leftMs = endMs - performance.now();
      if (found.length > 0 || leftMs <= 0) {
        const events = found.map(({ object, deleted }) => ({ object, deleted }));
        return { status: 200, body: { events, store_revision: this.revision } };
      }
      await this.waitForChange(leftMs);
    }
  }

  /** Waits until an object changes, at most `timeoutMs`. */
  waitForChange(timeoutMs) {
    return new Promise((resolve) => {
      const waiter = { timer: null };
      const wake = () => {
        clearTimeout(waiter.timer);
        this.waiters.delete(wake);
        resolve();
      };
      waiter.timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
    });
  }
}
