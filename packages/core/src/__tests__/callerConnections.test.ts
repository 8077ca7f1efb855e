import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { beforeEach, describe, it } from 'node:test';
import * as callerConnections from '../callerConnections.js';

describe('CallerConnections', () => {
  let connections: callerConnections.CallerConnections;
  let socket: net.Socket;
  let disconnected: string[];

  beforeEach(() => {
    connections = new callerConnections.CallerConnections();
    socket = new net.Socket();
    disconnected = [];
  });

  function track(name: string): callerConnections.TrackedRequest {
    return connections.track(socket, () => disconnected.push(name));
  }

  function checkDisconnect(event: string): void {
    track('first').end();
    track('second');
    track('third');
    socket.emit(event);
    socket.emit('close');
    assert.deepEqual(disconnected, ['second', 'third']);
  }

  for (const event of ['end', 'error', 'close']) {
    it(`notifies each unfinished request once when the socket emits '${event}'`, () =>
      checkDisconnect(event));
  }

  it('does not notify requests of other connections', () => {
    connections.track(new net.Socket(), () => disconnected.push('other'));
    track('own');
    socket.emit('close');
    assert.deepEqual(disconnected, ['own']);
  });

  it('tells which request is the last one on its connection', () => {
    const first = track('first');
    assert.ok(first.isLast);
    const second = track('second');
    assert.deepEqual([first.isLast, second.isLast], [false, true]);
    first.end();
    second.end();
    assert.equal(second.isLast, true);
  });

  it('resolves the turns of requests in order of arrival', async () => {
    const turns: string[] = [];
    const requests = ['first', 'second', 'third'].map((name) => {
      const request = track(name);
      void request.turn.then(() => turns.push(name));
      return request;
    });
    assert.deepEqual(
      requests.map(({ ahead }) => ahead),
      [0, 1, 2],
    );
    requests[1]!.end();
    await timers.setImmediate();
    assert.deepEqual(turns, ['first']);
    requests[0]!.end();
    await timers.setImmediate();
    assert.deepEqual(turns, ['first', 'second', 'third']);
  });
});
