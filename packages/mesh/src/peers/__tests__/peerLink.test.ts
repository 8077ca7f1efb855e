import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as exchange from '../../routing/exchange.js';
import * as frameSplitter from '../frameSplitter.js';
import * as frames from '../frames.js';
import * as peerLink from '../peerLink.js';
import * as peerServer from '../peerServer.js';

/** Member record of the node at the other end. */
const RECORD = { ...fixtures.member('b'), sequence: 9 };

function createLink(
  address: string,
  isPersistent: boolean,
  onFrame: (frame: frames.Frame) => void = () => {},
): peerLink.PeerLink {
  const from = fixtures.member('a', null);
  return new peerLink.PeerLink({
    node: ids.nodeId('b'),
    address,
    isPersistent,
    uplink: fixtures.uplink(),
    hello: () => ({
      type: 'hello',
      from,
      to: ids.nodeId('b'),
      configVersion: 0,
      rollouts: [],
      rolloutsKnown: false,
    }),
    onFrame: (_, frame) => onFrame(frame),
    onConnected: () => {},
    onReachabilityChanged: () => {},
    onDisconnected: () => {},
  });
}

describe('a link between two nodes', () => {
  let destination: fixtures.HeldDestination;
  let server: peerServer.PeerServer;
  let link: peerLink.PeerLink;
  let address: string;

  beforeEach(async () => {
    destination = new fixtures.HeldDestination();
    server = new peerServer.PeerServer({
      destination,
      uplink: fixtures.uplink(),
      selfRecord: () => RECORD,
      onFrame: () => {},
      onProtocolViolation: () => {},
    });
    address = await loopback.freeAddress();
    await server.listen(address);
    link = createLink(address, true);
    await loopback.until(() => link.isReady);
  });

  afterEach(() => {
    link.stop();
    server.close();
    destination.release();
  });

  function send(semantics: 'repeatable' | 'once' = 'once'): Promise<exchange.Delivery> {
    return link.send(fixtures.forwardedRequest({ semantics }), new AbortController().signal);
  }

  // A request sent while the other node was stopping was reported as one that may have run.
  it('refuses requests that a stopping node has not started, and still completes the others', async () => {
    const started = send();
    await loopback.until(() => destination.received.length === 1);
    server.sendGoAway();
    const crossing = send();
    const { outcome } = await crossing;
    assert.deepEqual(
      { type: outcome.type, reason: outcome.type === 'refused' && outcome.reason },
      { type: 'refused', reason: 'nodeStopped' },
    );
    assert.equal(link.isReady, false);
    destination.release();
    assert.deepEqual((await started).outcome, exchange.lost('released'));
    assert.equal(destination.received.length, 1);
  });

  it('reports pending requests as lost when the connection breaks', async () => {
    const started = send();
    await loopback.until(() => destination.received.length === 1);
    server.close();
    assert.equal((await started).outcome.type, 'lost');
  });
});

describe('a link that is not persistent', () => {
  const destination = new fixtures.HeldDestination();
  let server: peerServer.PeerServer | null = null;
  let silent: net.Server | null = null;
  let link: peerLink.PeerLink;

  async function listen(address: string, record = RECORD): Promise<void> {
    server = new peerServer.PeerServer({
      destination,
      uplink: fixtures.uplink(),
      selfRecord: () => record,
      onFrame: () => {},
      onProtocolViolation: () => {},
    });
    await server.listen(address);
  }

  function send(semantics: 'repeatable' | 'once' = 'once'): Promise<exchange.Delivery> {
    return link.send(fixtures.forwardedRequest({ semantics }), new AbortController().signal);
  }

  afterEach(() => {
    link.stop();
    server?.close();
    silent?.close();
    destination.release();
    destination.received.length = 0;
  });

  it('opens for the first request, and again after it was closed', async () => {
    const address = await loopback.freeAddress();
    await listen(address);
    link = createLink(address, false);
    for (let i = 1; i <= 2; i += 1) {
      assert.equal(link.isReady, false);
      assert.ok(link.acceptsRequests);
      const answered = send();
      await loopback.until(() => destination.received.length === i);
      destination.release();
      assert.deepEqual((await answered).outcome, exchange.lost('released'));
      link.closeIfIdle();
    }
  });

  // A frozen node accepts the connection, and would run the request after resuming.
  it('does not send a request that must run at most once to a node that does not respond', async () => {
    const bytes: Buffer[] = [];
    silent = net.createServer((socket) => socket.on('data', (chunk) => bytes.push(chunk)));
    silent.listen(0, '127.0.0.1');
    await loopback.until(() => silent!.listening);
    const { port } = silent.address() as net.AddressInfo;
    link = createLink(`127.0.0.1:${port}`, false);
    const { outcome } = await send('once');
    assert.deepEqual(outcome.type === 'refused' && outcome.reason, 'peerUnreachable');
    assert.equal(Buffer.concat(bytes).includes('/a/?b=c'), false);
    await loopback.until(() => !link.acceptsRequests);
  });

  /** Sends a request with home regions to an address that belongs to the given node by now. */
  async function sendConfined(owner: string): Promise<exchange.Delivery> {
    const address = await loopback.freeAddress();
    await listen(address, fixtures.member(owner));
    link = createLink(address, false, ({ type }) => {
      if (type === 'misdirected') link.retire();
    });
    const req = fixtures.forwardedRequest({ semantics: 'repeatable', isConfined: true });
    return link.send(req, new AbortController().signal);
  }

  // The address of an upstream's host had been given to a host in another region, which got the body.
  it('sends a request with home regions to the intended node', async () => {
    const answered = sendConfined('b');
    await loopback.until(() => destination.received.length === 1);
    destination.release();
    assert.equal((await answered).outcome.type, 'lost');
  });

  it(
    'sends no request with home regions to another node at the address',
    { timeout: 5_000 },
    async () => {
      assert.equal((await sendConfined('other')).outcome.type, 'refused');
      assert.equal(destination.received.length, 0);
    },
  );

  // After the loss of a member record, nodes kept sending requests for an incarnation that had ended.
  it('receives the current record of a node with a refusal caused by an outdated one', async () => {
    const address = await loopback.freeAddress();
    await listen(address);
    const received: frames.Frame[] = [];
    link = createLink(address, false, (frame) => received.push(frame));
    const answered = send();
    await loopback.until(() => destination.received.length === 1);
    destination.release(exchange.refused('otherIncarnation', 50));
    assert.equal((await answered).outcome.type, 'refused');
    assert.deepEqual(received, [{ type: 'members', members: [RECORD] }]);
  });

  it('accepts no request while the node is unreachable, until it has responded again', async () => {
    const address = await loopback.freeAddress();
    link = createLink(address, false);
    const { outcome } = await send('repeatable');
    assert.equal(outcome.type, 'refused');
    assert.equal(link.acceptsRequests, false);
    await listen(address);
    await loopback.until(() => link.acceptsRequests);
    assert.ok(link.isReady);
  });
});

describe('frames', () => {
  it('of type goAway carry the ids of the requests in progress', () => {
    const goAway = { type: 'goAway', running: [3, 9] } as const;
    const [decoded] = new frameSplitter.FrameSplitter('n').push(
      frames.encode({ ...goAway, running: [3, 9] }),
    );
    assert.deepEqual(decoded, goAway);
  });
});
