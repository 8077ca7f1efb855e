import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import * as url from 'node:url';
import got from 'got';
import * as yaml from 'yaml';
import { httpObjectStore } from '@godwittrack/platform';
import * as deployments from '../deployment.js';
import * as layouts from '../layouts.js';
import type * as nodeSettings from '../nodeSettings.js';
import * as processes from '../processes.js';
import * as wait from '../wait.js';

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

describe('layouts', () => {
  it('spread every service over both regions and all failure domains', () => {
    for (const layout of [layouts.FRASERLINE, layouts.FUNDACION]) {
      const plans = layouts.planServers(layout);
      const total = layout.services.reduce((sum, { servers }) => sum + servers, 0);
      assert.equal(new Set(plans.map(({ name }) => name)).size, total);
      for (const { name } of layout.services) {
        const domains = plans.filter(({ service }) => service === name);
        assert.equal(new Set(domains.map(({ failureDomain }) => failureDomain)).size, 4);
      }
    }
    assert.equal(layouts.planServers(layouts.createFleetLayout(50, 7)).length, 50);
  });
});

describe('managed process', () => {
  it('reports how a process ended before it was ready, with its output', async () => {
    const group = new processes.ProcessGroup();
    const args = ['-e', 'console.error("no such setting"); process.exit(3)'];
    const failing = group.add({ name: 'failing', args, isReady: () => Promise.resolve(false) });
    await assert.rejects(failing.start(), /failing ended before it was ready: .*"code":3/);
    await wait.waitFor('the output', () => failing.logs.includes('no such setting'));
    await group.close();
  });

  it('kills a process that ignores SIGTERM and reports it', async () => {
    const group = new processes.ProcessGroup();
    const args = [
      '-e',
      'process.on("SIGTERM", () => 0); setInterval(() => 0, 1e3); console.log(1)',
    ];
    const stubborn = group.add({ name: 'stubborn', args });
    await stubborn.start();
    await wait.waitFor('the handler', () => stubborn.logs.length > 0);
    await assert.rejects(stubborn.stop(50), /did not stop/);
    await group.close();
  });
});

describe('process group', () => {
  it('leaves no process behind when its own process is killed', async () => {
    const outer = new processes.ProcessGroup();
    const module = new URL('../processes.js', import.meta.url).href;
    const script = `
      const { ProcessGroup } = await import('${module}');
      const inner = new ProcessGroup().add({ name: 'inner', args: ['-e', 'setInterval(() => 0, 1e3)'] });
      await inner.start();
      console.log(JSON.stringify({ pid: inner.pid }));`;
    const args = ['--input-type=module', '-e', script];
    const parent = outer.add({ name: 'parent', args, env: { TMPDIR: outer.dir } });
    await parent.start();
    await wait.waitFor('the inner process', () => parent.records.length > 0);
    const pid = Number(parent.records[0]?.pid);
    assert.ok(isAlive(pid));
    await parent.kill();
    await wait.waitFor('the end of the inner process', () => !isAlive(pid));
    await outer.close();
  });
});

describe('deployment without nodes', () => {
  let deployment: deployments.Deployment;

  before(async () => {
    const layout = layouts.resize(layouts.FUNDACION, 2);
    deployment = await deployments.createDeployment({ layout, nodeMain: null });
  });

  after(() => deployment.close());

  it('reaches the platform of the first region across the link from the second', async () => {
    const [home, away] = deployment.layout.regions.map(
      ({ name }) => new httpObjectStore.HttpObjectStore({ url: deployment.platformUrl(name) }),
    );
    await home?.put('body', 'x', 1, { type: 'absent' });
    assert.equal((await away?.get('body', 'x'))?.value, 1);
    const { mappings } = await deployment.linkControl.stats();
    assert.equal(mappings.find(({ name }) => name === 'platform')?.opened, 1);
    await deployment.cutLink(true);
    await assert.rejects(async () => away?.get('body', 'x'));
    assert.equal((await home?.get('body', 'x'))?.value, 1);
    await deployment.cutLink(false);
    assert.equal((await away?.get('body', 'x'))?.value, 1);
  });

  it('restarts, freezes and stops an upstream without changing its address', async () => {
    const { upstream, upstreamUrl, upstreamControl } = deployment.server('sponsor-desk-1');
    const request = () =>
      got(upstreamUrl, { retry: { limit: 0 }, timeout: { request: 300 } }).json();
    await request();
    const firstPid = upstream?.pid;
    await upstream?.restart();
    assert.notEqual(upstream?.pid, firstPid);
    assert.equal((await upstreamControl.runs()).total, 0);
    upstream?.freeze();
    await assert.rejects(request());
    upstream?.thaw();
    await wait.waitFor('the thaw', () =>
      request().then(
        () => true,
        () => false,
      ),
    );
    assert.deepEqual(await upstream?.stop(), { code: 0, signal: null });
    await assert.rejects(request());
    await deployment.startServer('sponsor-desk-1');
    await request();
  });

  it('adds a server with a new version and removes it with its mapping', async () => {
    const added = await deployment.addServer({
      ...{ name: 'sponsor-desk-new', service: 'sponsor-desk', version: 'v2' },
      ...{ region: 'pichincha', failureDomain: 'pi-a' },
    });
    assert.equal((await got(added.upstreamUrl)).headers['x-upstream-version'], 'v2');
    const mapped = async () =>
      (await deployment.linkControl.stats()).mappings.find(({ name }) => name === added.name);
    assert.equal((await mapped())?.opens, 'ab');
    assert.deepEqual(deployment.select({ version: 'v2' }), [added]);
    await deployment.removeServer(added.name);
    assert.equal(await mapped(), undefined);
    assert.deepEqual(deployment.select({ version: 'v2' }), []);
  });
});

describe('deployment with a fake node program', () => {
  const layout = layouts.resize(layouts.FUNDACION, 2);
  const nodeMain = url.fileURLToPath(new URL('./fakeNode.js', import.meta.url));
  const outside = fs.mkdtempSync(path.join(os.tmpdir(), 'harness-test-'));
  const reports = () => fs.readdirSync(path.join(outside, 'reports'));
  const previous = process.env.TMPDIR;

  beforeEach(() => {
    fs.mkdirSync(path.join(outside, 'reports'), { recursive: true });
    fs.mkdirSync(path.join(outside, 'tmp'));
    process.env.TMPDIR = path.join(outside, 'tmp');
    process.env.FAKE_NODE_REPORTS = path.join(outside, 'reports');
  });

  afterEach(() => {
    delete process.env.FAKE_NODE_FAILS;
    delete process.env.FAKE_NODE_REPORTS;
    if (previous === undefined) delete process.env.TMPDIR;
    else process.env.TMPDIR = previous;
    fs.rmSync(outside, { recursive: true, force: true });
  });

  function assertNothingLeft() {
    assert.deepEqual(fs.readdirSync(path.join(outside, 'tmp')), []);
    assert.deepEqual(
      reports().filter((pid) => isAlive(Number(pid))),
      [],
    );
  }

  it('gives each node its settings, lets the upstreams announce, and ends all on close', async () => {
    const deployment = await deployments.createDeployment({ layout, nodeMain });
    try {
      assert.equal(reports().length, 4);
      const peers = new Set(deployment.servers.map(({ addresses }) => addresses.peer));
      for (const { name, region, addresses, node } of deployment.servers) {
        const text = fs.readFileSync(path.join(deployment.group.dir, `${name}.yaml`), 'utf8');
        const settings = yaml.parse(text) as nodeSettings.NodeSettings;
        assert.equal(settings.platform.url, deployment.platformUrl(region));
        assert.equal(settings.advertise?.externalPeer, addresses.externalPeer);
        assert.ok(settings.seeds?.every((seed) => peers.has(seed) && seed !== addresses.peer));
        const announced = () => node?.records.some(({ state }) => state === 'serving') === true;
        await wait.waitFor(`the announcement of ${name}`, announced);
      }
      await deployment.stopServer('upkeep-hub-1');
      const { node } = deployment.server('upkeep-hub-1');
      const states = node?.records.map(({ state }) => state).filter((state) => state !== undefined);
      assert.deepEqual(states?.slice(-2), ['draining', 'withdrawn']);
    } finally {
      await deployment.close();
    }
    assertNothingLeft();
  });

  it('leaves no process and no file behind when one node fails to start', async () => {
    process.env.FAKE_NODE_FAILS = 'upkeep-hub-2';
    await assert.rejects(
      deployments.createDeployment({ layout, nodeMain }),
      /upkeep-hub-2 ended before it was ready/,
    );
    assert.ok(reports().length > 0);
    assertNothingLeft();
  });
});
