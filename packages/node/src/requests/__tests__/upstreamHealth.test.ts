import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import * as fixtures from './requestFixtures.js';

async function waitUntil(check: () => boolean): Promise<void> {
  for (let n = 0; n < 250 && !check(); n++) await timers.setTimeout(20);
  assert.ok(check());
}

describe('health of the upstream', () => {
  afterEach(fixtures.closeAll);

  it('is lost with the first refused connection and returns with the upstream', async () => {
    // Guards against a server that stays out of use after its upstream has restarted.
    const handler: http.RequestListener = (_req, res) => res.end('ok');
    const stack = await fixtures.createStack(handler);
    const { port } = stack.upstream.address() as net.AddressInfo;
    assert.equal((await fixtures.call(stack.port, '/safe')).status, 200);
    stack.upstream.close();
    stack.upstream.closeAllConnections();
    await once(stack.upstream, 'close');
    const headers = { 'idempotency-key': 'k1' };
    const refused = await fixtures.call(stack.port, '/once', { method: 'POST', headers });
    assert.equal(refused.status, 503);
    assert.equal(refused.headers['x-godwittrack-outcome'], 'notRun');
    assert.equal(stack.local.upstream?.healthy, false);
    await timers.setTimeout(150);
    assert.equal(stack.local.upstream.healthy, false, 'nothing listens yet');
    const restarted = http.createServer(handler).listen(port, '127.0.0.1');
    try {
      await once(restarted, 'listening');
      await waitUntil(() => stack.local.upstream?.healthy === true);
      const served = await fixtures.call(stack.port, '/once', { method: 'POST', headers });
      assert.equal(served.status, 200);
    } finally {
      restarted.close();
      restarted.closeAllConnections();
    }
  });
});
