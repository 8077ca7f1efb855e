import * as assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import got from 'got';
import * as harness from '../../harness/index.js';

const PLACEMENT_TIMEOUT_MS = 20_000;

const TICKET = {
  ticket: 1,
  author: 'ana',
  reason: 'plate orders run once',
  resources: [
    { kind: 'service', name: 'storefront', spec: {} },
    {
      kind: 'route',
      name: 'orders',
      spec: { service: 'storefront', match: { pathPrefix: '/orders' }, semantics: 'once' },
    },
    { kind: 'versionPlan', name: 'storefront', spec: { stable: 'v1' } },
  ],
};

async function sendOrder(server: harness.deployment.Server, key: string | null, body = 'plate 7') {
  return got.post(`${server.callerUrl}/orders`, {
    body,
    headers: key === null ? {} : { 'idempotency-key': key },
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
}

describe('once path', () => {
  let deployment: harness.deployment.Deployment;

  before(async () => {
    const layout = {
      ...harness.layouts.FRASERLINE,
      services: [{ name: 'storefront', servers: 4, slots: 12 }],
    };
    deployment = await harness.deployment.createDeployment({ layout });
    await deployment.servers[0]?.admin.file(TICKET);
    let attempt = 0;
    await harness.wait.waitFor(
      'the first order is taken at every node',
      async () => {
        attempt += 1;
        const orders = deployment.servers.map((server, n) =>
          sendOrder(server, `first-${attempt}-${n}`),
        );
        return (await Promise.all(orders)).every(({ statusCode }) => statusCode === 200);
      },
      PLACEMENT_TIMEOUT_MS,
    );
  });

  after(() => deployment.close());

  async function countRuns(key: string): Promise<number> {
    const reports = deployment.servers.map(({ upstreamControl }) => upstreamControl.runs(key));
    const counts = (await Promise.all(reports)).map((report) => report.keys[key] ?? 0);
    return counts.reduce((sum, count) => sum + count, 0);
  }

  it('refuses an order without a key, and says that it did not run', async () => {
    const [server] = deployment.servers;
    assert.ok(server);
    const res = await sendOrder(server, null);
    assert.equal(res.statusCode, 400);
    assert.match(res.body, /keyRequired/);
    assert.equal(res.headers['x-godwittrack-outcome'], 'notRun');
  });

  it('runs a key once when the order is repeated through every other node', async () => {
    const key = 'order-7';
    const answers = [];
    for (const server of deployment.servers) answers.push(await sendOrder(server, key));
    const [first] = answers;
    for (const answer of answers) {
      assert.equal(answer.statusCode, 200, answer.body);
      assert.equal(answer.body, first?.body);
    }
    const outcomes = answers.map(({ headers }) => headers['x-godwittrack-outcome']);
    assert.deepEqual(outcomes, [undefined, 'replayed', 'replayed', 'replayed']);
    assert.equal(await countRuns(key), 1);
  });

  it('runs a key at most once when it arrives at all nodes together', async () => {
    for (let n = 0; n < 10; n++) {
      const key = `together-${n}`;
      const answers = await Promise.all(deployment.servers.map((server) => sendOrder(server, key)));
      const ran = await countRuns(key);
      assert.ok(ran <= 1, `${key} ran ${ran} times`);
      const served = answers.filter(({ statusCode }) => statusCode === 200);
      assert.ok(served.length === 0 || ran === 1);
    }
  });

  it('refuses a key that comes again with another order', async () => {
    const [one, two] = deployment.servers;
    assert.ok(one && two);
    assert.equal((await sendOrder(one, 'reused', 'plate 1')).statusCode, 200);
    const res = await sendOrder(two, 'reused', 'plate 2');
    assert.equal(res.statusCode, 422, res.body);
    assert.equal(await countRuns('reused'), 1);
  });

  it('keeps the answer when the node that took the order is killed', async () => {
    const [killed, other] = deployment.servers;
    assert.ok(killed && other);
    const first = await sendOrder(killed, 'survives');
    assert.equal(first.statusCode, 200);
    await killed.node?.kill();
    const repeated = await sendOrder(other, 'survives');
    assert.equal(repeated.statusCode, 200, repeated.body);
    assert.equal(repeated.body, first.body);
    assert.equal(await countRuns('survives'), 1);
  });
});
