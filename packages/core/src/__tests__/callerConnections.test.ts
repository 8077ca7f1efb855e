import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { beforeEach, describe, it } from 'node:test';
import * as callerConnections from '../callerConnections.js';

describe('CallerConnections', () => {
  let connections: callerConnections.CallerConnections;
  let socket: net.Socket;
  let left: string[];

  beforeEach(() => {
    connections = new callerConnections.CallerConnections();
    socket = new net.Socket();
    left = [];
  });

  function enter(name: string): callerConnections.Visit {
    return connections.enter(socket, () => left.push(name));
  }

  function leaveBy(event: string): void {
    enter('first').end();
    enter('second');
    enter('third');
    socket.emit(event);
    socket.emit('close');
    assert.deepEqual(left, ['second', 'third']);
  }

  for (const event of ['end', 'error', 'close']) {
    it(`tells each request under way once that its caller has left, at '${event}'`, () =>
      leaveBy(event));
  }

  it('leaves requests of other connections alone', () => {
    connections.enter(new net.Socket(), () => left.push('other'));
    enter('own');
    socket.emit('close');
    assert.deepEqual(left, ['own']);
  });

  it('gives requests their turns in the order in which they came in', async () => {
    const turns: string[] = [];
    const visits = ['first', 'second', 'third'].map((name) => {
      const visit = enter(name);
      void visit.turn.then(() => turns.push(name));
      return visit;
    });
    assert.deepEqual(
      visits.map(({ ahead }) => ahead),
      [0, 1, 2],
    );
    visits[1]!.end();
    await timers.setImmediate();
    assert.deepEqual(turns, ['first']);
    visits[0]!.end();
    await timers.setImmediate();
    assert.deepEqual(turns, ['first', 'second', 'third']);
  });
});
