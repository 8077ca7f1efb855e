/** Callers that send requests with the keys of customers over kept connections. */

import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as random from '../../common/random.js';
import type * as customerFleet from './customerFleet.js';

const PATHS = ['/view/a', '/view/a', '/order/a', '/order/a', '/home/a', '/open/a'] as const;
/** Time after the deadline at which a caller gives up. */
const GIVE_UP_MS = 1_500;

export interface Call {
  id: string;
  node: string;
  /** Null for a request without a key. */
  key: string | null;
  path: string;
  isOnce: boolean;
  isPublic: boolean;
  sentMs: number;
  endedMs: number;
  /** 0 without an answer. */
  status: number;
  error: string;
  body: string;
}

export class CustomerCallers {
  readonly calls: Call[] = [];

  private isCalling = true;

  private sequence = 0;

  constructor(
    private readonly rng: random.Random,
    private readonly deadlineMs: number,
  ) {}

  stop(): void {
    this.isCalling = false;
  }

  /** Sends requests on one connection, one every `intervalMs` or as soon as the last one has ended. */
  async callEvery(
    node: customerFleet.FleetNode,
    key: string | null,
    intervalMs: number,
    untilMs = Infinity,
  ): Promise<void> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    await timers.setTimeout(this.rng.integer(0, Math.round(intervalMs)));
    while (this.isCalling && performance.now() < untilMs) {
      const { sentMs, endedMs } = await this.call(node, key, agent);
      await timers.setTimeout(Math.max(1, sentMs + intervalMs - endedMs));
    }
    agent.destroy();
  }

  private call(
    { name, node }: customerFleet.FleetNode,
    key: string | null,
    agent: http.Agent,
  ): Promise<Call> {
    const path = this.rng.pick(PATHS);
    const isOnce = path.startsWith('/order/');
    this.sequence += 1;
    const call: Call = {
      ...{
        id: `q-${this.sequence}`,
        node: name,
        key,
        path,
        isOnce,
        status: 0,
        error: '',
        body: '',
      },
      ...{ isPublic: path.startsWith('/open/'), sentMs: performance.now(), endedMs: Infinity },
    };
    this.calls.push(call);
    const [host, port] = node.callerAddress.split(':');
    return new Promise((resolve) => {
      const req = http.request({
        ...{ host, port, agent, path, method: isOnce ? 'POST' : 'GET' },
        headers: {
          Host: 'shop.example',
          'Attempt-Id': call.id,
          'Deadline-Milliseconds': String(this.deadlineMs),
          'Tenant-Name': 'forged',
          ...(key === null ? {} : { Authorization: `Bearer ${key}` }),
          ...(isOnce ? { 'Content-Length': '4' } : {}),
        },
      });
      const giveUp = () => req.destroy(new Error('gave up'));
      const timer = setTimeout(giveUp, this.deadlineMs + GIVE_UP_MS);
      const settle = (result: Partial<Call>) => {
        clearTimeout(timer);
        if (call.endedMs === Infinity) Object.assign(call, result, { endedMs: performance.now() });
        resolve(call);
      };
      req.on('error', (err) => settle({ error: err.message }));
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('aborted', () => settle({ error: 'cut short' }));
        res.on('end', () => {
          settle({ status: res.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') });
        });
      });
      req.end(isOnce ? 'abcd' : undefined);
    });
  }
}
