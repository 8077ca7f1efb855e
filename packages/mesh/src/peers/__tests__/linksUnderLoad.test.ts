import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as eventLoop from '../../eventLoop.js';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as throttledRelay from '../../__tests__/throttledRelay.js';
import * as exchange from '../../routing/exchange.js';
import * as frames from '../frames.js';
import * as peerLink from '../peerLink.js';
import * as peerServer from '../peerServer.js';

const UPLINK_BYTES_PER_SECOND = 1_000_000;
const LARGE_BYTES = 540_000;
const LIVENESS_INTERVAL_MS = 100;
/** Bound on the age of a silent connection, in checks at that interval: 650 ms and the rest of an interval. */
const MAX_LIVENESS_CHECKS = 8;

/** Answers `/large` with a large body, and all else with a small one. */
class SizedDestination extends exchange.Destination {
  readonly received: string[] = [];

  send({ target }: exchange.ForwardedRequest): Promise<exchange.Delivery> {
    this.received.push(target);
    const body = Buffer.alloc(target === '/large' ? LARGE_BYTES : 100);
    const outcome = { type: 'answer' as const, status: 200, headers: [], body, serviceMs: 1 };
    return Promise.resolve({ outcome, report: null });
  }
}

describe('links of a host with a slow uplink', { timeout: 60_000 }, () => {
  let destination: SizedDestination;
  let server: peerServer.PeerServer;
  let relay: throttledRelay.ThrottledRelay;
  let address: string;
  let timer: NodeJS.Timeout;
  const links: peerLink.PeerLink[] = [];
  const disconnects: string[] = [];

  beforeEach(async () => {
    destination = new SizedDestination();
    const uplink = fixtures.uplink();
    server = new peerServer.PeerServer({
      destination,
      uplink,
      selfRecord: () => fixtures.member('b'),
      onFrame: () => {},
      onProtocolViolation: (detail) => assert.fail(detail),
    });
    const target = await loopback.freeAddress();
    await server.listen(target);
    relay = new throttledRelay.ThrottledRelay(target, UPLINK_BYTES_PER_SECOND);
    address = await relay.listen();
    timer = setInterval(() => {
      for (const link of links) link.checkLiveness();
      uplink.markStalled();
    }, LIVENESS_INTERVAL_MS);
  });

  afterEach(() => {
    clearInterval(timer);
    for (const link of links.splice(0)) link.stop();
    disconnects.length = 0;
    server.close();
    relay.close();
  });

  async function connect(name: string, to = address): Promise<peerLink.PeerLink> {
    const link = new peerLink.PeerLink({
      node: ids.nodeId('b'),
      address: to,
      isPersistent: true,
      uplink: fixtures.uplink(),
      hello: () => ({
        type: 'hello',
        from: fixtures.member(name, null),
        to: ids.nodeId('b'),
        configVersion: 0,
        rollouts: [],
        rolloutsKnown: false,
      }),
      onFrame: () => {},
      onConnected: () => {},
      onReachabilityChanged: () => {},
      onDisconnected: (_, detail) => disconnects.push(`${name}: ${detail}`),
    });
    links.push(link);
    await loopback.until(() => link.isReady);
    return link;
  }

  function send(
    link: peerLink.PeerLink,
    overrides: Partial<exchange.ForwardedRequest>,
    signal = new AbortController().signal,
  ): Promise<exchange.Outcome> {
    const req = fixtures.forwardedRequest(overrides);
    return link.send(req, signal).then(({ outcome }) => outcome);
  }

  // Pongs and small answers waited behind large answers to other nodes. After the liveness timeout, the
  // connections were closed and the requests counted as lost, although their answers were on the way.
  it('keep passing small answers while large ones are under way, and none is taken for lost', async () => {
    const settled: string[] = [];
    const outcomes: exchange.Outcome[] = [];
    const record = (name: string) => (outcome: exchange.Outcome) => {
      settled.push(name);
      outcomes.push(outcome);
    };
    const small = await connect('small');
    const large = await Promise.all(['l1', 'l2', 'l3', 'l4'].map((name) => connect(name)));
    const answers = large.map((link) => send(link, { target: '/large' }).then(record('large')));
    await loopback.until(() => destination.received.length === large.length);
    await send(small, { target: '/small' }).then(record('small'));
    await Promise.all(answers);
    assert.deepEqual(
      outcomes.map((outcome) => (outcome.type === 'answer' ? outcome.status : outcome)),
      outcomes.map(() => 200),
    );
    assert.equal(settled[0], 'small');
    assert.deepEqual(disconnects, []);
  });

  describe('a request in pieces', () => {
    const large = { target: '/stored', body: Buffer.alloc(LARGE_BYTES) };

    /** Sends a large request of which only the first pieces leave, since no acknowledgement arrives. */
    async function sendPartly(signal?: AbortSignal) {
      const link = await connect('a');
      relay.isPaused = true;
      return { link, outcome: send(link, large, signal) };
    }

    it('arrives complete', async () => {
      const link = await connect('a');
      assert.equal((await send(link, large)).type, 'answer');
      assert.deepEqual(destination.received, ['/stored']);
    });

    // A cancelled request whose frame was partly sent must not run, as it is reported as not run.
    it('is refused and does not run if it is cancelled before it has left', async () => {
      const controller = new AbortController();
      const { link, outcome } = await sendPartly(controller.signal);
      controller.abort();
      assert.deepEqual(await outcome, exchange.refused('cancelled', 50));
      relay.isPaused = false;
      assert.equal((await send(link, { target: '/next' })).type, 'answer');
      assert.equal((await send(link, { ...large, target: '/second' })).type, 'answer');
      assert.deepEqual(destination.received, ['/next', '/second']);
    });

    it('is refused and does not run if the node stops before it has left', async () => {
      const { outcome } = await sendPartly();
      server.sendGoAway();
      relay.isPaused = false;
      assert.deepEqual(await outcome, exchange.refused('nodeStopped', 50));
      assert.deepEqual(destination.received, []);
    });

    it('is refused if the connection breaks before it has left', async () => {
      const { outcome } = await sendPartly();
      server.close();
      assert.deepEqual(await outcome, exchange.refused('peerUnreachable', 50));
      assert.deepEqual(destination.received, []);
    });
  });

  describe('an answer in pieces', () => {
    /** Sends a request that may run once, and holds back its answer after the first pieces. */
    async function answerPartly(signal?: AbortSignal) {
      const link = await connect('a');
      relay.isPaused = true;
      const outcome = send(link, { target: '/large', semantics: 'once' }, signal);
      await loopback.until(() => destination.received.length === 1);
      return { link, outcome };
    }

    // A request that may run only once must not be reported as not run while its answer is on the way.
    it('still counts as a running request when the node stops, and is delivered', async () => {
      const { outcome } = await answerPartly();
      assert.deepEqual([server.runningCount, server.hasUnsentOutcomes], [0, true]);
      server.sendGoAway();
      relay.isPaused = false;
      const answer = await outcome;
      assert.equal(answer.type === 'answer' && answer.body.length, LARGE_BYTES);
      assert.equal(server.hasUnsentOutcomes, false);
    });

    it('is lost if the connection breaks', async () => {
      const { outcome } = await answerPartly();
      server.sendGoAway();
      server.close();
      assert.equal((await outcome).type, 'lost');
    });

    it('is dropped when the request is cancelled', async () => {
      const controller = new AbortController();
      const { link, outcome } = await answerPartly(controller.signal);
      assert.equal(server.hasUnsentOutcomes, true);
      controller.abort();
      await loopback.until(() => !server.hasUnsentOutcomes);
      relay.isPaused = false;
      assert.deepEqual(await outcome, exchange.lost('cancelled'));
      assert.equal((await send(link, { target: '/next' })).type, 'answer');
    });
  });

  describe('a node that is silent', () => {
    const accepted: net.Socket[] = [];
    let silent: net.Server;
    let link: peerLink.PeerLink;

    /** Responds to the hello and to nothing else. */
    beforeEach(async () => {
      silent = net.createServer((socket) => {
        accepted.push(socket);
        socket.write(frames.encode({ type: 'pong' }));
        socket.on('error', () => {});
        socket.resume();
      });
      silent.listen(0, '127.0.0.1');
      await loopback.until(() => silent.listening);
      const { port } = silent.address() as net.AddressInfo;
      clearInterval(timer);
      link = await connect('a', `127.0.0.1:${port}`);
    });

    afterEach(() => {
      for (const socket of accepted.splice(0)) socket.destroy();
      silent.close();
    });

    function pauseProcess(ms: number): void {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
    }

    /** Lets a link act on what it reads in the next poll. */
    async function settle(): Promise<void> {
      await eventLoop.nextPoll();
      await eventLoop.nextPoll();
    }

    it('is found within the liveness timeout', async () => {
      let checks = 0;
      const outcome = send(link, {});
      timer = setInterval(() => {
        checks += 1;
        link.checkLiveness();
      }, LIVENESS_INTERVAL_MS);
      assert.deepEqual(await outcome, exchange.lost('the node was lost: no sign of life'));
      assert.ok(checks <= MAX_LIVENESS_CHECKS, `${checks} checks`);
    });

    // After a pause of its own process, a node took others for dead that it had not pinged.
    it('is pinged before it is judged after a pause of this process', async () => {
      const outcome = send(link, {});
      pauseProcess(800);
      link.checkLiveness();
      await settle();
      assert.deepEqual(disconnects, []);
      accepted[0]!.destroy();
      assert.equal((await outcome).type, 'lost');
    });

    // After a pause of its own process, a node took others for dead although their data had arrived.
    it('is not judged before the data that has arrived was read', async () => {
      const outcome = send(link, {});
      pauseProcess(250);
      link.checkLiveness();
      accepted[0]!.write(frames.encode({ type: 'pong' }));
      pauseProcess(500);
      link.checkLiveness();
      await settle();
      assert.deepEqual(disconnects, []);
      accepted[0]!.destroy();
      assert.equal((await outcome).type, 'lost');
    });
  });
});
