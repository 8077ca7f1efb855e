import * as assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as wait from '../../harness/wait.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as fixtures from './fixtures.js';

/** Bound from the store's acknowledgement to the last request in the failure domain. */
const EVACUATION_MS = 5_000;
const SERVICE_MS = 60;
const ALL = ['a-1', 'a-2', 'b-1', 'c-1'];

describe('an evacuated failure domain', { timeout: 60_000 }, () => {
  const store = new objectStore.ObjectStoreStandIn();
  const hosts = new Map<string, fleet.Host>();
  /** Time of the last request at each server. */
  const lastMs = new Map<string, number>();

  async function start(name: string, address: string): Promise<void> {
    const region = name === 'c-1' ? 'r-b' : 'r-a';
    const bounds = [`evacuation_ms=${EVACUATION_MS}`];
    const options = { name, zone: `z-${name[0]}`, region, service: 'shop', bounds };
    const host = await fleet.startHost(address, options);
    host.app.handler = async (_req, res) => {
      lastMs.set(name, performance.now());
      await timers.setTimeout(SERVICE_MS);
      res.end(name);
    };
    hosts.set(name, host);
  }

  /** Sends requests through every host. @returns the bodies, which name the servers */
  async function sendAll(path = '/any/'): Promise<string[]> {
    const senders = [...hosts.values()].flatMap((host) => Array.from({ length: 6 }, () => host));
    const answers = await Promise.all(senders.map((host) => fleet.call(host, path)));
    return answers.map(({ body }) => body);
  }

  const allServe = (names: string[], path?: string) =>
    wait.waitFor(`only ${names.join()} serve`, async () => {
      const servers = new Set(await sendAll(path));
      return [...servers].sort().join() === names.join();
    });

  before(async () => {
    const address = await store.start();
    const routes = {
      'r-any': fixtures.route('/any/', { timeout_ms: 2_000 }),
      'r-home': fixtures.route('/home/', { timeout_ms: 2_000, home_regions: ['r-b'] }),
    };
    store.write('config', 'main', fixtures.configurationOf(1, routes));
    for (const name of ALL) await start(name, address);
    await allServe(ALL);
    await allServe(['c-1'], '/home/');
  });

  after(async () => {
    await Promise.all([...hosts.values()].map((host) => host.stop()));
    store.stop();
  });

  // Guards against requests in a failure domain that loses its power: from other domains, from its own, from
  // one whose watching node has lost the store, from a node that has just started; against waiting requests
  // that are lost; and against a domain that is never used again.
  it('gets no requests after the bound, and gets them again afterwards', async () => {
    const gate = await store.openGate();
    await hosts.get('b-1')!.stop();
    await start('b-1', gate.address);
    await allServe(ALL);
    gate.setFault('silent');
    const underWay = sendAll();
    await timers.setTimeout(SERVICE_MS / 2);
    store.write('evacuations', 'z-a', 'unreadable');
    const boundMs = performance.now() + EVACUATION_MS;
    assert.ok((await underWay).every((server) => ALL.includes(server)));
    while (performance.now() < boundMs + 500) await sendAll();
    for (const name of ['a-1', 'a-2']) assert.ok(lastMs.get(name)! < boundMs);

    await hosts.get('a-2')!.stop();
    lastMs.delete('a-2');
    await start('a-2', await store.start());
    await allServe(['b-1', 'c-1']);
    assert.equal(lastMs.has('a-2'), false);
    store.remove('evacuations', 'z-a');
    await allServe(ALL);
  });
});
