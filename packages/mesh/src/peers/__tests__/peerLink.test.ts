import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as exchange from '../../routing/exchange.js';
import * as frames from '../frames.js';
import * as peerLink from '../peerLink.js';
import * as peerServer from '../peerServer.js';

const POLL_MS = 5;

/** Keeps requests under way until they are released. */
class HeldDestination extends exchange.Destination {
  readonly received: exchange.ForwardedRequest[] = [];

  private readonly held: (() => void)[] = [];

  send(req: exchange.ForwardedRequest): Promise<exchange.Delivery> {
    this.received.push(req);
    return new Promise((resolve) => {
      this.held.push(() => resolve({ outcome: exchange.lost('released'), report: null }));
    });
  }

  release(): void {
    for (const release of this.held.splice(0)) release();
  }
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await timers.setTimeout(POLL_MS);
}

describe('a link between two nodes', () => {
  let destination: HeldDestination;
  let server: peerServer.PeerServer;
  let link: peerLink.PeerLink;

  beforeEach(async () => {
    destination = new HeldDestination();
    server = new peerServer.PeerServer({ destination, onFrame: () => {}, onViolation: () => {} });
    const probe = net.createServer().listen(0, '127.0.0.1');
    await until(() => probe.listening);
    const { port } = probe.address() as net.AddressInfo;
    await new Promise((resolve) => {
      probe.close(resolve);
    });
    await server.listen(`127.0.0.1:${port}`);
    const from = fixtures.member('a');
    link = new peerLink.PeerLink({
      node: ids.nodeId('b'),
      address: `127.0.0.1:${port}`,
      hello: () => ({
        type: 'hello',
        from: { node: from.node, address: from.address, domain: from.domain, region: from.region },
        upstream: null,
        configVersion: 0,
        rollouts: [],
        rolloutsKnown: false,
      }),
      onFrame: () => {},
      onUp: () => {},
      onDown: () => {},
    });
    await until(() => link.usable);
  });

  afterEach(() => {
    link.stop();
    server.close();
    destination.release();
  });

  function send(semantics: 'repeatable' | 'once' = 'once'): Promise<exchange.Delivery> {
    return link.send(fixtures.forwarded({ semantics }), new AbortController().signal);
  }

  // A request that crossed the end of a stopping node was reported as one that may have run.
  it('refuses what a stopping node has not taken, and still delivers what it has', async () => {
    const taken = send();
    await until(() => destination.received.length === 1);
    server.sayGoodbye();
    const crossing = send();
    const { outcome } = await crossing;
    assert.deepEqual(
      { type: outcome.type, reason: outcome.type === 'refused' && outcome.reason },
      { type: 'refused', reason: 'nodeStopped' },
    );
    assert.equal(link.usable, false);
    destination.release();
    assert.deepEqual((await taken).outcome, exchange.lost('released'));
    assert.equal(destination.received.length, 1);
  });

  it('takes what was under way as lost when the connection breaks', async () => {
    const taken = send();
    await until(() => destination.received.length === 1);
    server.close();
    assert.equal((await taken).outcome.type, 'lost');
  });
});

describe('frames', () => {
  it('carry the ids of requests that are still under way in a goodbye', () => {
    const goodbye = { type: 'goodbye', running: [3, 9] } as const;
    const [decoded] = new frames.FrameSplitter('n').push(
      frames.encode({ ...goodbye, running: [3, 9] }),
    );
    assert.deepEqual(decoded, goodbye);
  });
});
