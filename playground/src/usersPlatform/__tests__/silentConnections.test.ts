import { afterEach, beforeEach, describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import * as wait from '../../harness/wait.js';
import * as fleet from '../fleet.js';
import * as objectStore from '../objectStore.js';
import * as silentRelay from '../silentRelay.js';
import * as fixtures from './fixtures.js';

/** Time from a version to the silence, by round; a watch begins with each version. */
const SILENT_AFTER_MS = [300, 0, 2_400, 1_200];
/** Time from the silence to the next version. */
const CHANGE_AFTER_MS = 400;

describe('open connections to the store that go silent', { timeout: 120_000 }, () => {
  let store: objectStore.ObjectStoreStandIn;
  let relay: silentRelay.SilentRelay;
  let hosts: fleet.Host[];

  beforeEach(async () => {
    store = new objectStore.ObjectStoreStandIn();
    relay = new silentRelay.SilentRelay(await store.start());
    const address = await relay.start();
    store.write('config', 'main', fixtures.versionWithRoutes(1));
    hosts = await Promise.all(
      ['a', 'b'].map((domain) =>
        fleet.startHost(address, { name: `${domain}-1`, zone: `z-${domain}`, service: 'shop' }),
      ),
    );
  });

  afterEach(async () => {
    await Promise.all(hosts.map((host) => host.stop()));
    relay.stop();
    store.stop();
  });

  async function allServe(version: number, timeoutMs: number): Promise<void> {
    const statuses = async () => {
      const path = fixtures.pathOfVersion(version);
      const answers = await Promise.all(hosts.map((host) => fleet.call(host, path)));
      return answers.every(({ status }) => status === 200);
    };
    await wait.waitFor(`version ${version} is served everywhere`, statuses, timeoutMs);
  }

  // Silence was noticed after the longest wait of a watch and a time-out, 5.5 s at worst; until then requests
  // followed an older version.
  it('do not delay a version beyond the stable window', async () => {
    let version = 1;
    await allServe(version, 10_000);
    for (const silentAfterMs of SILENT_AFTER_MS) {
      version += 1;
      store.write('config', 'main', fixtures.versionWithRoutes(version));
      await allServe(version, fixtures.CONFIG_APPLY_MS);
      await timers.setTimeout(silentAfterMs);
      relay.silenceOpen();
      const silentMs = performance.now();
      await timers.setTimeout(CHANGE_AFTER_MS);
      version += 1;
      store.write('config', 'main', fixtures.versionWithRoutes(version));
      await allServe(version, silentMs + fixtures.STABLE_WINDOW_MS - performance.now());
    }
  });
});
