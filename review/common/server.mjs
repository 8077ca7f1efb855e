/** Stand-in for an application server, which writes its answers to the socket by itself. */
/* global Buffer, clearInterval, performance, setInterval */

import * as http from 'node:http';
import * as net from 'node:net';

/** Bytes of a complete answer with a length, as a sound server sends it. */
export function answerBytes(status, id, body, more = []) {
  const reason = http.STATUS_CODES[status];
  const isRun = status !== 421 && status !== 503;
  const head = [
    `HTTP/1.1 ${status} ${reason}`,
    ...(status === 503 ? ['Not-Executed: 1'] : []),
    `Attempt-Id: ${id}`,
    ...(isRun ? [`Response-Signature: sig.${id}.${status}`] : []),
    ...more,
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return Buffer.from(`${head.join('\r\n')}\r\n\r\n${body}`, 'latin1');
}

export class Server {
  /** Requests that began to run: `{ id, target, atMs, method, body }`. */
  runs = [];

  sequence = 0;

  bornMs = Date.now();

  sockets = new Set();

  beats = null;

  /** Handles a request that began to run; writes the answer to the socket. */
  handler = (req, socket) => {
    socket.write(answerBytes(200, req.id, `${this.instance} ${req.target}`));
  };

  constructor({ service, instance, version = 'v1', slots = 6, beatMs = 870 }) {
    Object.assign(this, { service, instance, version, slots, beatMs });
  }

  async start(host) {
    this.server = net.createServer((socket) => this.accept(socket));
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    if (this.beats !== null) clearInterval(this.beats);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    let pending = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      pending = Buffer.concat([pending, chunk]);
      for (;;) {
        const end = pending.indexOf('\r\n\r\n');
        if (end < 0) return;
        const lines = pending.subarray(0, end).toString('latin1').split('\r\n');
        const headers = {};
        for (const line of lines.slice(1)) {
          const at = line.indexOf(':');
          headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
        }
        const length = Number(headers['content-length'] ?? 0);
        if (pending.length < end + 4 + length) return;
        const body = pending.subarray(end + 4, end + 4 + length).toString('latin1');
        pending = pending.subarray(end + 4 + length);
        const [method, target] = lines[0].split(' ');
        this.receive({ id: headers['attempt-id'], method, target, headers, body }, socket);
      }
    });
    for (const event of ['error', 'close']) socket.on(event, () => this.sockets.delete(socket));
  }

  receive(req, socket) {
    if (req.headers['expected-instance'] !== this.instance) {
      socket.write(answerBytes(421, req.id, ''));
      return;
    }
    this.runs.push({ ...req, headers: undefined, atMs: performance.now() });
    this.handler(req, socket);
  }

  /** Reports to the node on the same machine, now and regularly. */
  async report(controlAddress, state = 'ready') {
    this.controlAddress = controlAddress;
    this.state = state;
    if (this.beats === null) this.beats = setInterval(() => this.beat(), this.beatMs);
    return this.beat();
  }

  /** The report as it is sent; a report may arrive later than it was made. */
  nextReport() {
    this.sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone ?? 'z-a',
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.bornMs,
    });
  }

  beat() {
    return this.send('PUT', this.nextReport());
  }

  /** Reports that the server leaves, without having reported `draining`. */
  leave() {
    clearInterval(this.beats);
    return this.send('DELETE', JSON.stringify({ born: this.bornMs }));
  }

  /** @returns the status of the answer; 0 if there is none */
  send(method, body) {
    const [host, port] = this.controlAddress.split(':');
    return new Promise((resolve) => {
      const req = http.request(
        {
          host,
          port,
          method,
          path: `/-/instances/${this.instance}`,
          headers: { 'Content-Type': 'application/json', 'Content-Length': body.length },
          agent: false,
          timeout: 1_000,
        },
        (res) => {
          res.resume();
          res.on('end', () => resolve(res.statusCode));
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
      req.end(body);
    });
  }
}
