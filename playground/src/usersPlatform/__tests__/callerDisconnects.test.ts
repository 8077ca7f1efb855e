import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { after, afterEach, before, describe, it } from 'node:test';
import { meters } from '@godwittrack/mesh';
import * as wait from '../../harness/wait.js';
import type * as application from '../application.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Larger than a socket's send buffer. */
const LARGE_BYTES = 256 * 1024;

const SPEC = fixtures.configurationOf(
  1,
  {
    'r-font': fixtures.route('/font/', {
      service: 'fonts',
      timeout_ms: 30_000,
      target_latency_ms: 300,
      priority: 2,
      max_attempts: 2,
    }),
  },
  ['fonts'],
);

function request(id: string): string {
  return [
    `GET /font/${id} HTTP/1.1`,
    'Host: shop.example',
    `Attempt-Id: ${id}`,
    'Deadline-Milliseconds: 25000',
    '\r\n',
  ].join('\r\n');
}

/** Holds requests until `release` or until their connection closes; answers large ones at once. */
class HeldRequests {
  readonly received = new Set<string>();

  readonly running = new Set<string>();

  private readonly completions: (() => void)[] = [];

  readonly handler: application.RequestHandler = ({ target }, res) => {
    if (target.endsWith('large')) {
      res.end(Buffer.alloc(LARGE_BYTES));
      return;
    }
    this.received.add(target);
    this.running.add(target);
    res.on('close', () => this.running.delete(target));
    this.completions.push(() => res.end(target));
  };

  release(): void {
    for (const complete of this.completions.splice(0)) complete();
  }
}

describe('callers that disconnect before their answer', () => {
  const store = new objectStore.ObjectStoreStandIn();
  let shop: fleet.Host;
  let fonts: fleet.Host;
  let held: HeldRequests;

  before(async () => {
    const address = await store.start();
    store.write('config', 'main', SPEC);
    shop = await fleet.startHost(address, { name: 'shop-1', service: 'shop' });
    fonts = await fleet.startHost(address, { name: 'fonts-1', service: 'fonts', zone: 'z-b' });
    await wait.waitFor('each node reaches the service', async () => {
      const answers = await Promise.all([shop, fonts].map((host) => fleet.call(host, '/font/a')));
      return answers.every(({ status }) => status === 200);
    });
  });

  after(async () => {
    await Promise.all([shop, fonts].map((host) => host.stop()));
    store.stop();
  });

  afterEach(() => held.release());

  function holdRequests(): void {
    held = new HeldRequests();
    fonts.app.handler = held.handler;
  }

  /** Requests answered at the node on the upstream's host. */
  function answerCount(): number {
    const labels = { route: 'r-font', outcome: 'answer' };
    return fonts.mesh.metrics.counter(meters.REQUESTS, labels);
  }

  function connect(host: fleet.Host): net.Socket {
    const [ip, port] = host.callerAddress.split(':');
    return net.connect(Number(port), ip);
  }

  async function disconnectWithPipelinedRequests(host: fleet.Host): Promise<void> {
    holdRequests();
    const socket = connect(host);
    socket.write(['1', '2', '3'].map(request).join(''));
    await wait.waitFor('all requests are running', () => held.running.size === 3);
    socket.destroy();
    await wait.waitFor('no request is running', () => held.running.size === 0);
  }

  // After a pause of the process, a node forwarded requests whose callers had already disconnected.
  it('are not served if they disconnect before their request is read', async () => {
    holdRequests();
    for (const id of ['closed', 'reset']) {
      const socket = connect(fonts);
      await wait.waitFor('the connection is open', () => !socket.connecting);
      socket.write(request(id));
      if (id === 'reset') socket.resetAndDestroy();
      else socket.destroy();
    }
    connect(fonts).write(request('open'));
    await wait.waitFor('the last request is running', () => held.running.has('/font/open'));
    assert.deepEqual([...held.received], ['/font/open']);
  });

  // Pipelined requests after the first one ran to completion although the connection had closed.
  describe('with pipelined requests on one connection', () => {
    it('cancel all of them at the node on the same host as the upstream', () =>
      disconnectWithPipelinedRequests(fonts));

    it('cancel all of them at a node on another host', () => disconnectWithPipelinedRequests(shop));

    // The node did not read the connection while a large answer waited behind an earlier one, so it
    // did not notice that the connection had closed.
    it('cancel them while a large answer waits behind an earlier one', async () => {
      holdRequests();
      const countBefore = answerCount();
      const socket = connect(fonts);
      socket.write(request('1') + request('large'));
      await wait.waitFor(
        'the large answer has arrived at the node',
        () => answerCount() > countBefore,
      );
      socket.write(request('3'));
      await wait.waitFor('the other requests are running', () => held.running.size === 2);
      socket.destroy();
      await wait.waitFor('no request is running', () => held.running.size === 0);
    });
  });
});
