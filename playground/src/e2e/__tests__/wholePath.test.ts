import * as assert from 'node:assert/strict';
import * as path from 'node:path';
import { after, before, describe, it } from 'node:test';
import got from 'got';
import * as harness from '../../harness/index.js';
import * as operator from '../operator.js';

const FIRST_TICKET = {
  ticket: 101,
  author: 'ana',
  reason: 'first configuration',
  resources: [
    { kind: 'service', name: 'storefront', spec: {} },
    { kind: 'service', name: 'fontworks', spec: {} },
    {
      kind: 'route',
      name: 'proofs',
      spec: { service: 'storefront', match: { pathPrefix: '/proofs' }, semantics: 'safe' },
    },
    {
      kind: 'route',
      name: 'glyphs',
      spec: { service: 'fontworks', match: { pathPrefix: '/glyphs' }, semantics: 'safe' },
    },
    { kind: 'versionPlan', name: 'storefront', spec: { stable: 'v1' } },
    { kind: 'versionPlan', name: 'fontworks', spec: { stable: 'v1' } },
  ],
};

async function sendRequest(server: harness.deployment.Server, target: string) {
  return got(`${server.callerUrl}${target}`, { throwHttpErrors: false, retry: { limit: 0 } });
}

describe('whole path', () => {
  let deployment: harness.deployment.Deployment;

  before(async () => {
    const layout = harness.layouts.resize(harness.layouts.FRASERLINE, 2);
    deployment = await harness.deployment.createDeployment({ layout });
  });

  after(() => deployment.close());

  const writeTicket = (ticket: { ticket: number }) =>
    deployment.group.writeFile(`ticket-${ticket.ticket}.yaml`, JSON.stringify(ticket));

  it('puts a filed ticket in force on every node, and the command line says so', async () => {
    const file = writeTicket(FIRST_TICKET);
    assert.equal(path.extname(file), '.yaml');
    const filed = await operator.runCommand(deployment.servers, [
      'ticket',
      'file',
      file,
      '--wait',
      '--json',
    ]);
    assert.equal(filed.exitCode, 0, filed.stderr);
    const versions = [...(await deployment.configVersions()).values()];
    assert.deepEqual(
      versions,
      versions.map(() => 1),
    );
    const status = await operator.runCommand(deployment.servers, ['status']);
    assert.match(status.stdout, /in force on all 4 nodes/);
  });

  it('answers a request that enters at any node by the right upstream version', async () => {
    for (const server of deployment.servers) {
      for (const [target, service] of [
        ['/proofs/7', 'storefront'],
        ['/glyphs/a', 'fontworks'],
      ] as const) {
        const res = await sendRequest(server, target);
        assert.equal(res.statusCode, 200, `${server.name} ${target}: ${res.body}`);
        assert.equal(res.headers['x-upstream-service'], service);
        assert.equal(res.headers['x-upstream-version'], 'v1');
      }
    }
  });

  it('refuses a ticket that breaks a reference, and keeps the configuration', async () => {
    const broken = {
      ...FIRST_TICKET,
      ticket: 102,
      resources: [{ kind: 'service', name: 'fontworks', deleted: true }],
    };
    const filed = await operator.runCommand(deployment.servers, [
      'ticket',
      'file',
      writeTicket(broken),
      '--json',
    ]);
    assert.equal(filed.exitCode, 3, filed.stdout);
    assert.match(filed.stdout, /fontworks/);
    const [server] = deployment.servers;
    assert.ok(server);
    assert.equal((await sendRequest(server, '/glyphs/a')).statusCode, 200);
  });

  it('keeps accepted and refused tickets in the audit trail', async () => {
    const audit = await operator.runCommand(deployment.servers, ['audit', '--json']);
    assert.equal(audit.exitCode, 0, audit.stderr);
    const { entries } = JSON.parse(audit.stdout) as {
      entries: { ticket: number; outcome: string }[];
    };
    const outcomes = entries.map(({ ticket, outcome }) => `${ticket} ${outcome}`);
    assert.ok(outcomes.includes('101 accepted'), outcomes.join());
    assert.ok(outcomes.includes('102 refused:invalidConfiguration'), outcomes.join());
  });

  it('answers every reading command of the command line', async () => {
    const commands = [
      ['status'],
      ['ticket', 'list'],
      ['ticket', 'show', '101'],
      ['rollout', 'list'],
      ['upstream', 'list'],
      ['node', 'list'],
      ['audit'],
    ];
    for (const args of commands) {
      const result = await operator.runCommand(deployment.servers, [...args, '--json']);
      assert.equal(result.exitCode, 0, `${args.join(' ')}: ${result.stdout}${result.stderr}`);
    }
    const listed = await operator.runCommand(deployment.servers, ['node', 'list']);
    for (const { name } of deployment.servers) assert.match(listed.stdout, new RegExp(name));
  });

  it('takes the right version from a plan when another one stands beside it', async () => {
    const added = await deployment.addServer({
      name: 'storefront-9',
      service: 'storefront',
      version: 'v2',
      region: 'lower-mainland',
      failureDomain: 'lm-a',
    });
    await harness.wait.waitFor(
      'the new upstream is listed',
      async () => (await added.admin.upstreams()).some(({ node }) => node === 'storefront-9'),
      5_000,
    );
    for (let n = 0; n < 20; n++) {
      const res = await sendRequest(added, `/proofs/${n}`);
      assert.equal(res.headers['x-upstream-version'], 'v1');
    }
  });
});
