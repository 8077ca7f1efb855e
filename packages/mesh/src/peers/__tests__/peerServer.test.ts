import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as networkAddress from '../../networkAddress.js';
import * as framedConnection from '../framedConnection.js';
import * as frameSplitter from '../frameSplitter.js';
import * as frames from '../frames.js';
import * as peerServer from '../peerServer.js';

/** More than the kernel buffers of both ends of a loopback connection hold. */
const LARGE_BYTES = 16 * 1024 * 1024;
/** What the kernel buffers of a loopback connection hold, but not the one of the receiver alone. */
const BUFFERED_BYTES = 512 * 1024;
/** Size of an answer that is sent whole, so that it needs no acknowledgement. */
const WHOLE_BYTES = 8 * 1024;

function request(id: number): Buffer {
  const req = fixtures.forwardedRequest({
    requestId: ids.requestId(`q-${id}`),
    semantics: 'repeatable',
  });
  return frames.encode({ type: 'request', id, sentMs: 0, req });
}

function hello(node: string, to = 'b'): Buffer {
  return frames.encode({
    type: 'hello',
    from: fixtures.member(node, null),
    to: ids.nodeId(to),
    configVersion: 0,
    rollouts: [],
    rolloutsKnown: false,
  });
}

describe('PeerServer', () => {
  let destination: fixtures.HeldDestination;
  let server: peerServer.PeerServer;
  let address: string;
  const sockets: net.Socket[] = [];
  const violations: string[] = [];

  beforeEach(async () => {
    destination = new fixtures.HeldDestination();
    violations.length = 0;
    server = new peerServer.PeerServer({
      destination,
      uplink: fixtures.uplink(),
      selfRecord: () => fixtures.member('b'),
      onFrame: () => {},
      onProtocolViolation: (detail) => violations.push(detail),
    });
    address = await loopback.freeAddress();
    await server.listen(address);
  });

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
    destination.release();
  });

  async function connect(): Promise<net.Socket> {
    const socket = net.connect(networkAddress.parse(address));
    sockets.push(socket);
    await loopback.until(() => !socket.connecting);
    return socket;
  }

  /** Reads frames like another node, which acknowledges those that come in pieces. */
  function readFrames(socket: net.Socket): frames.Frame[] {
    const connection = new framedConnection.FramedConnection(socket, 'b', fixtures.uplink());
    const incoming: frames.Frame[] = [];
    socket.on('data', (chunk: Buffer) => incoming.push(...connection.receive(chunk)));
    return incoming;
  }

  function received(): string[] {
    return destination.received.map(({ requestId }) => requestId);
  }

  describe('a node that resumes after a freeze', () => {
    // Requests were sent to the upstream although their cancellation was already in the receive buffer.
    it('does not run a request that is cancelled in the same read', async () => {
      const socket = await connect();
      const cancel = frames.encode({ type: 'cancel', id: 1 });
      socket.write(Buffer.concat([hello('a'), request(1), cancel, request(2)]));
      await loopback.until(() => destination.received.length > 0);
      assert.deepEqual(received(), ['q-2']);
    });

    // Requests on connections that had been closed in the meantime were sent to the upstream.
    it('does not run requests of a connection that has since been closed', async () => {
      const ended = await connect();
      const reset = await connect();
      const open = await connect();
      ended.write(request(1));
      ended.destroy();
      reset.write(request(2));
      reset.resetAndDestroy();
      open.write(request(3));
      await loopback.until(() => received().includes('q-3'));
      assert.deepEqual(received(), ['q-3']);
    });
  });

  it('responds to a request that was cancelled before it ran', async () => {
    const socket = await connect();
    const splitter = new frameSplitter.FrameSplitter('b');
    const answers: frames.Frame[] = [];
    socket.on('data', (chunk: Buffer) => answers.push(...splitter.push(chunk)));
    socket.write(Buffer.concat([request(1), frames.encode({ type: 'cancel', id: 1 })]));
    await loopback.until(() => answers.length > 0 || destination.received.length > 0);
    const [answer] = answers;
    assert.ok(answer?.type === 'outcome' && answer.delivery.outcome.type === 'refused');
    assert.equal(answer.delivery.outcome.reason, 'cancelled');
  });

  // A stopping node exited while outcomes were still waiting to be written.
  it('has unsent outcomes until they have been handed to the kernel', async () => {
    const socket = await connect();
    readFrames(socket);
    socket.once('data', () => socket.pause());
    socket.write(request(1));
    await loopback.until(() => destination.received.length === 1);
    assert.equal(server.hasUnsentOutcomes, false);
    const body = Buffer.alloc(LARGE_BYTES);
    destination.release({ type: 'answer', status: 200, headers: [], body, serviceMs: 1 });
    await loopback.until(() => socket.bytesRead > 0);
    assert.deepEqual([server.runningCount, server.hasUnsentOutcomes], [0, true]);
    socket.resume();
    await loopback.until(() => !server.hasUnsentOutcomes);
  });

  // A ping that arrived at a closed connection reset it, and the rest of an outcome was lost on the way.
  it('ends a connection without losing an outcome that the other node has not read yet', async () => {
    const socket = await connect();
    const splitter = new frameSplitter.FrameSplitter('b');
    const incoming: frames.Frame[] = [];
    socket.on('data', (chunk: Buffer) => incoming.push(...splitter.push(chunk)));
    // A reset is told by the frames that are missing.
    socket.on('error', () => socket.destroy());
    socket.once('data', () => socket.pause());
    const count = BUFFERED_BYTES / WHOLE_BYTES;
    for (let id = 1; id <= count; id += 1) socket.write(request(id));
    await loopback.until(() => destination.received.length === count);
    const body = Buffer.alloc(WHOLE_BYTES);
    destination.release({ type: 'answer', status: 200, headers: [], body, serviceMs: 1 });
    await loopback.until(() => socket.bytesRead > 0 && !server.hasUnsentOutcomes);
    server.endSessions();
    await new Promise((resolve) => {
      socket.write(frames.encode({ type: 'ping' }), resolve);
    });
    socket.resume();
    await loopback.until(() => socket.destroyed);
    assert.deepEqual(
      incoming.map(({ type }) => type),
      Array.from({ length: count }, () => 'outcome'),
    );
    await loopback.until(() => !server.hasOpenSessions);
  });

  // A request whose outcome comes after the frame would count as not run, and would be sent again.
  it('lists a request with an unsent outcome when it stops accepting requests', async () => {
    const socket = await connect();
    const incoming = readFrames(socket);
    socket.once('data', () => socket.pause());
    socket.write(request(7));
    await loopback.until(() => destination.received.length === 1);
    const body = Buffer.alloc(LARGE_BYTES);
    destination.release({ type: 'answer', status: 200, headers: [], body, serviceMs: 1 });
    await loopback.until(() => socket.bytesRead > 0);
    server.sendGoAway();
    socket.resume();
    await loopback.until(() => incoming.length === 2);
    assert.deepEqual(
      incoming.find(({ type }) => type === 'goAway'),
      { type: 'goAway', running: [7] },
    );
  });

  // Requests of a connection that the other node had abandoned without closing it kept running.
  it('cancels the requests of an earlier connection when the node reconnects', async () => {
    const silent = await connect();
    silent.write(Buffer.concat([hello('a'), request(1)]));
    const other = await connect();
    other.write(Buffer.concat([hello('c'), request(2)]));
    await loopback.until(() => destination.received.length === 2);
    const reconnected = await connect();
    reconnected.write(hello('a'));
    await loopback.until(() => destination.cancelled.length > 0);
    assert.deepEqual(destination.cancelled, ['q-1']);
  });

  // Links to a node that had left and to its successor at the same address kept closing each other.
  it('keeps both links of a node that knows two nodes at this address', async () => {
    const present = await connect();
    present.write(Buffer.concat([hello('a'), request(1)]));
    await loopback.until(() => destination.received.length === 1);
    const departed = await connect();
    departed.write(Buffer.concat([hello('a', 'departed'), request(2)]));
    await loopback.until(() => destination.received.length === 2);
    assert.deepEqual(destination.cancelled, []);
  });

  describe('a frame in pieces', () => {
    const bytes = Buffer.alloc(frames.MAX_WHOLE_FRAME_BYTES);
    const piece = { type: 'piece', transfer: 1, last: false, bytes } as const;
    const malformed: Record<string, frames.Frame[]> = {
      'a piece of an unknown transfer': [{ ...piece, transfer: 2 }],
      'a piece that is too large': [
        { ...piece, bytes: Buffer.alloc(frames.MAX_WHOLE_FRAME_BYTES + 1) },
      ],
      'pieces that are no frame': [{ ...piece, last: true }],
      'the end of an unknown transfer': [{ type: 'dropTransfer', transfer: 1 }],
      'an acknowledgement of nothing': [{ type: 'pieceAck', bytes: 1 }],
    };
    for (const [name, sent] of Object.entries(malformed)) {
      it(`closes the connection after ${name}`, async () => {
        const socket = await connect();
        socket.resume();
        socket.write(Buffer.concat(sent.map(frames.encode)));
        await loopback.until(() => socket.destroyed);
        assert.match(violations.join(), /protocolViolation/);
        assert.equal(violations.length, 1);
      });
    }

    it('is handled once it is complete, and each piece is acknowledged', async () => {
      const socket = await connect();
      const splitter = new frameSplitter.FrameSplitter('b');
      const replies: frames.Frame[] = [];
      socket.on('data', (chunk: Buffer) => replies.push(...splitter.push(chunk)));
      const message = frames.withoutLength(request(1));
      const [head, tail] = [message.subarray(0, 10), message.subarray(10)];
      socket.write(frames.encode({ ...piece, bytes: head }));
      await loopback.until(() => replies.length === 1);
      assert.deepEqual(received(), []);
      socket.write(frames.encode({ ...piece, bytes: tail, last: true }));
      await loopback.until(() => replies.length === 2 && received().length === 1);
      assert.deepEqual(replies, [
        { type: 'pieceAck', bytes: head.length },
        { type: 'pieceAck', bytes: tail.length },
      ]);
    });
  });
});
