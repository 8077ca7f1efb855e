import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as callerFixtures from '../../callers/__tests__/callerFixtures.js';
import * as networkAddress from '../../networkAddress.js';
import type * as wiring from '../wiring.js';
import * as constantStore from './constantStore.js';
import * as stoppableNode from './stoppableNode.js';

/** Requests that are sent later after a stop request must not be broken off. */
const EXCUSED_UNTIL_MS = 3_000;
/** Longer than what is left of the grace period at `EXCUSED_UNTIL_MS`. */
const WORK_MS = 3_500;

describe('a stopping node with long requests', { timeout: 60_000 }, () => {
  let upstream: http.Server;
  let store: constantStore.ConstantStore;
  /** Node beside the upstream. */
  let serving: wiring.MeshNode;
  /** Node that stops; it sends its requests to the other one. */
  let mesh: wiring.MeshNode;
  let workMs: number;
  let callerAddress: string;
  let callers: callerFixtures.Caller[];
  let startedIds: (string | undefined)[];

  const statuses = (caller: callerFixtures.Caller) => caller.answers().map(({ status }) => status);

  beforeEach(async () => {
    callers = [];
    startedIds = [];
    upstream = http.createServer((req, res) => {
      startedIds.push(req.headers['x-id'] as string | undefined);
      res.setHeader('X-Id', String(req.headers['x-id']));
      setTimeout(() => res.end(), workMs);
    });
    const upstreamAddress = await loopback.freeAddress();
    await networkAddress.listen(upstream, upstreamAddress);
    store = new constantStore.ConstantStore();
    serving = await startNode('a', upstreamAddress);
    serving.upstream.announce(fixtures.announcement({ address: upstreamAddress }));
    mesh = await startNode('b', upstreamAddress);
    await loopback.until(() => mesh.agent.ready);
    await untilServed();
  });

  afterEach(async () => {
    for (const { socket } of callers) socket.destroy();
    await Promise.all([mesh.agent.stop(), serving.agent.stop()]);
    upstream.close();
    upstream.closeAllConnections();
  });

  /** Starts a node that finds those that were started before. */
  async function startNode(name: string, upstreamAddress: string): Promise<wiring.MeshNode> {
    const self = { ...fixtures.member(name, null), address: await loopback.freeAddress() };
    callerAddress = await loopback.freeAddress();
    const node = stoppableNode.create({ self, callerAddress, upstreamAddress, store });
    store.nodes = [...store.nodes, self];
    await node.agent.start();
    return node;
  }

  /** Waits until the stopping node knows the upstream of the other node. */
  async function untilServed(): Promise<void> {
    workMs = 0;
    let status: number | undefined;
    while (status !== 200) {
      const caller = connect();
      caller.send('first');
      await loopback.until(() => caller.answers().length === 1);
      [status] = statuses(caller);
    }
    workMs = WORK_MS;
    startedIds = [];
  }

  function connect(): callerFixtures.Caller {
    const caller = new callerFixtures.Caller(callerAddress);
    callers.push(caller);
    return caller;
  }

  /** Asks the node to stop while it has a request that takes a part of the grace period. */
  async function stopWithRequest(): Promise<callerFixtures.Caller> {
    const caller = connect();
    caller.send('early');
    await loopback.until(() => startedIds.length === 1);
    void mesh.agent.stop();
    return caller;
  }

  // Such a request was passed on, and was answered with 504 while the upstream worked on it.
  it('refuses requests at once that it would have to break off', async () => {
    const early = await stopWithRequest();
    await timers.setTimeout(EXCUSED_UNTIL_MS);
    const late = connect();
    late.send('late');
    await loopback.until(() => statuses(late).length === 1);
    assert.deepEqual(statuses(late), [503]);
    await loopback.until(() => statuses(early).length === 1);
    assert.deepEqual(statuses(early), [200]);
    assert.deepEqual(startedIds, ['early']);
  });

  // The body arrived after the node had begun to refuse requests, and the request was passed on all the same.
  it('refuses a request whose body arrives too late', async () => {
    await stopWithRequest();
    const late = connect();
    late.socket.write(
      'POST /r/b HTTP/1.1\r\nHost: host.example\r\nX-Id: late\r\nContent-Length: 4\r\n\r\nab',
    );
    await timers.setTimeout(EXCUSED_UNTIL_MS);
    late.socket.write('cd');
    await loopback.until(() => statuses(late).length === 1);
    assert.deepEqual(statuses(late), [503]);
    assert.deepEqual(startedIds, ['early']);
  });

  // A second SIGTERM ended the process while requests were in flight.
  it('gives the answers that are due although it is asked to stop again', async () => {
    const early = await stopWithRequest();
    await mesh.agent.stop();
    assert.deepEqual(statuses(early), [200]);
  });
});
