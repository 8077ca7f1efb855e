import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { after, afterEach, before, describe, it } from 'node:test';
import { meters } from '@godwittrack/mesh';
import * as wait from '../../harness/wait.js';
import type * as application from '../application.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';

/** More than a socket's buffer takes. */
const LARGE_BYTES = 256 * 1024;

const SPEC = {
  version: 1,
  routes: {
    'r-font': {
      host: 'shop.example',
      path_prefix: '/font/',
      kind: 'safe',
      service: 'fonts',
      timeout_ms: 30_000,
      target_latency_ms: 300,
      priority: 2,
      max_attempts: 2,
    },
  },
  services: { fonts: { health_path: '/health', max_connections: 130 } },
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

function request(id: string): string {
  return [
    `GET /font/${id} HTTP/1.1`,
    'Host: shop.example',
    `Attempt-Id: ${id}`,
    'Deadline-Milliseconds: 25000',
    '\r\n',
  ].join('\r\n');
}

/** Holds every request but large ones until it is released or its connection closes. */
class HeldWork {
  readonly received = new Set<string>();

  readonly running = new Set<string>();

  private readonly held: (() => void)[] = [];

  readonly behaviour: application.Behaviour = ({ target }, res) => {
    if (target.endsWith('large')) {
      res.end(Buffer.alloc(LARGE_BYTES));
      return;
    }
    this.received.add(target);
    this.running.add(target);
    res.on('close', () => this.running.delete(target));
    this.held.push(() => res.end(target));
  };

  release(): void {
    for (const release of this.held.splice(0)) release();
  }
}

describe('callers that leave before their answer', () => {
  const store = new objectStore.ObjectStoreStandIn();
  let shop: fleet.Host;
  let fonts: fleet.Host;
  let work: HeldWork;

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

  afterEach(() => work.release());

  function hold(): void {
    work = new HeldWork();
    fonts.app.behaviour = work.behaviour;
  }

  /** Answers for callers beside the upstream. */
  function answerCount(): number {
    const labels = { route: 'r-font', outcome: 'answer' };
    return fonts.mesh.metrics.counter(meters.REQUESTS, labels);
  }

  function connect(host: fleet.Host): net.Socket {
    const [ip, port] = host.callerAddress.split(':');
    return net.connect(Number(port), ip);
  }

  async function leavePipelined(host: fleet.Host): Promise<void> {
    hold();
    const socket = connect(host);
    socket.write(['1', '2', '3'].map(request).join(''));
    await wait.waitFor('all are at work', () => work.running.size === 3);
    socket.destroy();
    await wait.waitFor('none is at work', () => work.running.size === 0);
  }

  // A process that stood still sent requests to upstreams although their callers had closed already.
  it('are not served if they closed before their request was read', async () => {
    hold();
    for (const id of ['closed', 'reset']) {
      const socket = connect(fonts);
      await wait.waitFor('the connection is open', () => !socket.connecting);
      socket.write(request(id));
      if (id === 'reset') socket.resetAndDestroy();
      else socket.destroy();
    }
    connect(fonts).write(request('open'));
    await wait.waitFor('the last request is at work', () => work.running.has('/font/open'));
    assert.deepEqual([...work.received], ['/font/open']);
  });

  // Requests behind the first one on a connection ran to their end after the connection had closed.
  describe('with several requests on a connection', () => {
    it('stop the work for all of them beside the upstream', () => leavePipelined(fonts));

    it('stop the work for all of them beside another node', () => leavePipelined(shop));

    // The connection was not read while a large answer waited for its turn, so its close was not seen.
    it('stop the work while a large answer waits for its turn', async () => {
      hold();
      const countBefore = answerCount();
      const socket = connect(fonts);
      socket.write(request('1') + request('large'));
      await wait.waitFor('the large answer is at hand', () => answerCount() > countBefore);
      socket.write(request('3'));
      await wait.waitFor('the others are at work', () => work.running.size === 2);
      socket.destroy();
      await wait.waitFor('none is at work', () => work.running.size === 0);
    });
  });
});
