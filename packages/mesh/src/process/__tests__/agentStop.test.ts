import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as callerFixtures from '../../callers/__tests__/callerFixtures.js';
import * as networkAddress from '../../networkAddress.js';
import * as framedConnection from '../../peers/framedConnection.js';
import * as frames from '../../peers/frames.js';
import type * as exchange from '../../routing/exchange.js';
import type * as wiring from '../wiring.js';
import * as constantStore from './constantStore.js';
import * as stoppableNode from './stoppableNode.js';

/** Time after the stop request at which slow readers read on; well within the grace period. */
const READ_ON_AFTER_MS = 4_000;

describe('a node that stops', { timeout: 30_000 }, () => {
  let upstream: http.Server;
  let mesh: wiring.MeshNode;
  let store: constantStore.ConstantStore;
  let callerAddress: string;
  let peerAddress: string;
  let stopped: Promise<void> | null;
  let sockets: net.Socket[];

  beforeEach(async () => {
    stopped = null;
    sockets = [];
    upstream = http.createServer((req, res) => {
      res.setHeader('X-Id', String(req.headers['x-id']));
      res.end(Buffer.alloc(callerFixtures.LARGE_BYTES));
    });
    const upstreamAddress = await loopback.freeAddress();
    await networkAddress.listen(upstream, upstreamAddress);
    callerAddress = await loopback.freeAddress();
    peerAddress = await loopback.freeAddress();
    store = new constantStore.ConstantStore();
    const self = { ...fixtures.member('b', null), address: peerAddress };
    mesh = stoppableNode.create({ self, callerAddress, upstreamAddress, store });
    await mesh.agent.start();
    mesh.upstream.announce(fixtures.announcement({ address: upstreamAddress }));
    await loopback.until(() => mesh.agent.ready);
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await (stopped ?? mesh.agent.stop());
    upstream.close();
    upstream.closeAllConnections();
  });

  /** Asks the node to stop while the reader does not read, and lets it read on later. */
  async function stopBefore(reader: net.Socket): Promise<void> {
    await loopback.until(() => reader.bytesRead > 0);
    stopped = mesh.agent.stop();
    await timers.setTimeout(READ_ON_AFTER_MS);
    reader.resume();
  }

  // A registration that was repeated during the stop brought the entry of a node back after its removal.
  it('does not register again after it has removed its entry', async () => {
    for (const era of [0, 1]) {
      store.isDown = era > 0;
      store.era.observe(ids.storeEra(era), { origin: 'store', name: 'store' });
    }
    await loopback.until(() => store.writes.includes('refused'));
    mesh.upstream.leave(ids.instanceId('i-1'), null);
    stopped = mesh.agent.stop();
    store.isDown = false;
    await stopped;
    assert.equal(store.writes.at(-1), 'unregistered');
  });

  // Large answers were cut at the end of the stop while their caller was still reading them.
  it('delivers the answer to a caller that reads it slowly', async () => {
    const caller = new callerFixtures.Caller(callerAddress);
    sockets.push(caller.socket);
    caller.pauseAtFirstData();
    caller.send('1');
    await stopBefore(caller.socket);
    await loopback.until(() => caller.isClosed || caller.answers().length === 1);
    assert.deepEqual(
      caller.answers().map(({ id, bodyBytes }) => ({ id, bodyBytes })),
      [{ id: '1', bodyBytes: callerFixtures.LARGE_BYTES }],
    );
  });

  // Large outcomes were cut at the end of the stop, and the other node answered 502 for requests that had run.
  it('delivers the outcome to another node that reads it slowly', async () => {
    const peer = net.connect(networkAddress.parse(peerAddress));
    sockets.push(peer);
    const connection = new framedConnection.FramedConnection(peer, 'b', fixtures.uplink());
    const outcomes: exchange.Outcome[] = [];
    let isClosed = false;
    peer.on('data', (chunk) => {
      for (const frame of connection.receive(chunk)) {
        if (frame.type === 'outcome') outcomes.push(frame.delivery.outcome);
      }
    });
    peer.on('error', () => {
      isClosed = true;
    });
    peer.on('close', () => {
      isClosed = true;
    });
    peer.once('data', () => peer.pause());
    const req = fixtures.forwardedRequest({
      instance: ids.instanceId('i-1'),
      headers: ['Host', 'host.example', 'X-Id', 'q'],
      targetLeftMs: 30_000,
      deadlineLeftMs: 30_000,
    });
    peer.write(frames.encode({ type: 'request', id: 1, sentMs: 0, req }));
    await stopBefore(peer);
    await loopback.until(() => isClosed || outcomes.length === 1);
    const [outcome] = outcomes;
    assert.ok(outcome?.type === 'answer');
    assert.equal(outcome.body.length, callerFixtures.LARGE_BYTES);
  });
});
