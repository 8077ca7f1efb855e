import * as assert from 'node:assert/strict';
import * as crypto from 'node:crypto';
import { once } from 'node:events';
import * as net from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as addresses from '../../common/address.js';
import type * as http from '../../common/http.js';
import * as clients from '../../harness/clients.js';
import * as wait from '../../harness/wait.js';
import * as controls from '../control.js';
import * as links from '../link.js';

const DELAY_MS = 30;

describe('link stand-in', () => {
  let link: links.Link;
  let server: http.ControlServer;
  let control: clients.LinkControl;
  let echo: net.Server;
  let address: string;
  const sockets = new Set<net.Socket>();

  function connect(): net.Socket {
    const { host, port } = addresses.parseAddress(address);
    const socket = net.connect({ host, port });
    sockets.add(socket);
    return socket;
  }

  beforeEach(async () => {
    echo = net.createServer({ allowHalfOpen: true }, (socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    const target = await addresses.listen(echo, '127.0.0.1:0');
    link = new links.Link({ delayMs: DELAY_MS });
    const listen = '127.0.0.1:0';
    address = (await link.add({ name: 'echo', listen, target, opens: 'ba' })).listen;
    server = await controls.createLinkControl(link, listen);
    control = new clients.LinkControl(`http://${server.address}`);
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    sockets.clear();
    echo.close();
    link.close();
    server.close();
  });

  it('carries bytes unchanged up to the half-close, and counts them in each direction', async () => {
    const sent = crypto.randomBytes(300_000);
    const socket = connect();
    socket.end(sent);
    const received: Buffer[] = [];
    for await (const chunk of socket) received.push(chunk as Buffer);
    assert.ok(Buffer.concat(received).equals(sent));
    const { directions, mappings } = await control.stats();
    assert.deepEqual(mappings[0]?.bytes, { ab: sent.length, ba: sent.length });
    assert.equal(directions.ab.bytes, sent.length);
    assert.equal(directions.ba.bytes, sent.length);
    assert.equal(mappings[0].opened, 1);
  });

  it('delays each direction, and the opening of a connection by a round trip', async () => {
    const startMs = performance.now();
    const socket = connect();
    socket.write('x');
    await once(socket, 'data');
    // Lower bound only: the opening and the echo each cross the link twice.
    assert.ok(performance.now() - startMs >= 4 * DELAY_MS - 1);
  });

  it('shares the bandwidth among all connections of a direction', async () => {
    await control.change({ bitsPerSecond: { ba: 8_000_000 }, delayMs: { ab: 0, ba: 0 } });
    const startMs = performance.now();
    await Promise.all(
      [1, 2, 3, 4].map(async () => {
        const socket = connect();
        socket.end(Buffer.alloc(50_000));
        socket.resume();
        await once(socket, 'end');
      }),
    );
    // Lower bound only: 200,000 bytes need 200 ms at one byte per microsecond.
    assert.ok(performance.now() - startMs >= 199);
  });

  it('destroys connections and refuses new ones while cut, and accepts again after it', async () => {
    const socket = connect();
    socket.write('x');
    await once(socket, 'data');
    socket.on('error', () => undefined);
    const closed = once(socket, 'close');
    await control.change({ cut: { ab: true } });
    assert.equal((await control.stats()).mappings[0]?.connections, 1);
    await control.change({ cut: { ba: true } });
    await closed;
    await assert.rejects(once(connect(), 'connect'), { code: 'ECONNREFUSED' });
    await control.change({ cut: { ab: false, ba: false } });
    const again = connect();
    again.write('y');
    assert.equal(String((await once(again, 'data'))[0]), 'y');
  });

  it('holds the bytes of a frozen direction and loses none', async () => {
    const socket = connect();
    const received: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => received.push(chunk));
    socket.write('before');
    await wait.waitFor('the first echo', () => Buffer.concat(received).toString() === 'before');
    await control.change({ freeze: { ab: true } });
    socket.write(' after');
    const isHeld = async () => (await control.stats()).directions.ab.queuedBytes === 6;
    await wait.waitFor('the held echo', isHeld);
    await timers.setTimeout(3 * DELAY_MS);
    assert.equal(Buffer.concat(received).toString(), 'before');
    await control.change({ freeze: { ab: false } });
    const isAll = () => Buffer.concat(received).toString() === 'before after';
    await wait.waitFor('the echo after the freeze ends', isAll);
  });

  it('adds and removes mappings at run time, and closes when the target refuses', async () => {
    const { listen } = await link.add({
      name: 'nowhere',
      listen: '127.0.0.1:0',
      target: '127.0.0.1:1',
      opens: 'ab',
    });
    const { host, port } = addresses.parseAddress(listen);
    const socket = net.connect({ host, port });
    sockets.add(socket);
    socket.on('error', () => undefined).resume();
    await once(socket, 'close');
    await control.change({ remove: ['nowhere'] });
    assert.deepEqual(
      (await control.stats()).mappings.map(({ name }) => name),
      ['echo'],
    );
  });
});
