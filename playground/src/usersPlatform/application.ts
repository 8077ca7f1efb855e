/** Stand-in for an application server on the users' platform. */

import * as http from 'node:http';
import type * as net from 'node:net';

/** Health path of the configurations in the tests. */
const HEALTH_PATH = '/health';

export interface ReceivedRequest {
  id: string;
  method: string;
  target: string;
  body: string;
  callerService: string;
  deadlineMs: number;
  expectedInstance: string;
  /** Customer that the node named; empty for none. */
  customer: string;
  /** Names and values in turn, as received. */
  rawHeaders: readonly string[];
}

export type RequestHandler = (
  req: ReceivedRequest,
  res: http.ServerResponse,
) => void | Promise<void>;

export class ApplicationStandIn {
  readonly received: ReceivedRequest[] = [];

  /** Handles requests; null answers with the instance and the request target. */
  handler: RequestHandler | null = null;

  /** Value of `Server-Limit` in all answers; null for none. */
  statedLimit: string | null = null;

  /** Whether all answers say that the server leaves. */
  saysLeaving = false;

  /** Monotonic time until which the server is cold, as it states in announcements and health checks. */
  coldUntilMs = -Infinity;

  private sequence = 0;

  private address = '';

  /** Start time of the current incarnation in Unix milliseconds. */
  bornMs = Date.now();

  private readonly server = http.createServer((req, res) => {
    void this.serve(req, res);
  });

  constructor(
    readonly service: string,
    public instance: string,
    readonly version = 'v1',
    readonly slots = 4,
  ) {}

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
    return this.address;
  }

  private get coldRemainingMs(): number {
    return Math.max(0, Math.ceil(this.coldUntilMs - performance.now()));
  }

  get isRunning(): boolean {
    return this.server.listening;
  }

  /** Ends like a process: connections are closed, and new ones refused. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Starts again at the same address, as another incarnation. */
  async restart(instance: string): Promise<void> {
    this.instance = instance;
    this.bornMs = Date.now();
    this.sequence = 0;
    await new Promise<void>((resolve) => {
      this.server.listen(Number(this.address.split(':')[1]), '127.0.0.1', resolve);
    });
  }

  /** Sends one announcement to the node on the same host. @returns the HTTP status of the answer */
  async announce(controlAddress: string, state = 'ready'): Promise<number> {
    this.sequence += 1;
    const body = {
      service: this.service,
      address: this.address,
      zone: 'z-a',
      version: this.version,
      slots: this.slots,
      state,
      cold_remaining_ms: this.coldRemainingMs,
      sequence: this.sequence,
      born: this.bornMs,
    };
    const res = await fetch(`http://${controlAddress}/-/instances/${this.instance}`, {
      method: 'PUT',
      headers: { 'Content-Type': 'application/json' },
      body: JSON.stringify(body),
    });
    await res.arrayBuffer();
    return res.status;
  }

  /** Reports its end to the node on the same host; it serves on. @returns the HTTP status of the answer */
  async reportEnd(controlAddress: string): Promise<number> {
    const res = await fetch(`http://${controlAddress}/-/instances/${this.instance}`, {
      method: 'DELETE',
      headers: { 'Content-Type': 'application/json' },
      body: JSON.stringify({ born: this.bornMs }),
    });
    await res.arrayBuffer();
    return res.status;
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    const header = (name: string) => String(req.headers[name] ?? '');
    const received = {
      id: header('attempt-id'),
      method: req.method ?? '',
      target: req.url ?? '',
      body: Buffer.concat(chunks).toString('utf8'),
      callerService: header('caller-service'),
      deadlineMs: Number(header('deadline-milliseconds')),
      expectedInstance: header('expected-instance'),
      customer: header('tenant-name'),
      rawHeaders: req.rawHeaders,
    };
    if (received.target === HEALTH_PATH) {
      res.setHeader('Cold-Milliseconds', String(this.coldRemainingMs));
      res.setHeader('Instance-Id', this.instance);
      res.end();
      return;
    }
    res.setHeader('Attempt-Id', received.id);
    if (this.statedLimit !== null) res.setHeader('Server-Limit', this.statedLimit);
    if (this.saysLeaving) res.setHeader('Server-Leaving', '1');
    if (received.expectedInstance !== this.instance) {
      res.writeHead(421, { 'Instance-Id': this.instance });
      res.end();
      return;
    }
    this.received.push(received);
    res.setHeader('Response-Signature', `signed.${received.id}`);
    if (this.handler !== null) await this.handler(received, res);
    else res.end(`${this.instance} ${received.target}`);
  }
}
