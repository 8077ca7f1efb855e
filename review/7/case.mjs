/** A heartbeat with the id of a server, without `zone` and with another service, comes from another writer. */

import * as path from 'node:path';
import * as url from 'node:url';
import * as lab from '../common-2/lab.mjs';

await lab.run(path.dirname(url.fileURLToPath(import.meta.url)), {}, async (deployment, trouble) => {
  const { recorder } = deployment;
  for (const name of ['m1', 'm2', 'm3']) await deployment.add({ name });
  await deployment.add({ name: 'm4', service: 'ledger' });
  const machine = deployment.machines[1];
  const { server } = machine;
  const ledger = {
    host: 'shop.example',
    path_prefix: '/ledger/',
    kind: 'unsafe',
    timeout_ms: 1500,
    target_latency_ms: 300,
    max_attempts: 1,
    priority: 1,
    service: 'ledger',
  };
  await deployment.start(lab.configuration(['shop', 'ledger'], { 'ledger-view': ledger }));
  const endMs = lab.now() + 11_000;
  const load = Promise.all([
    deployment.load('/shop/item', 20, endMs),
    deployment.load('/ledger/redeem', 20, endMs, { method: 'POST', body: 'one' }),
  ]);
  await lab.sleep(4_000);
  await server.nextHeartbeat();
  if (trouble) {
    // Another writer: the field `zone` is missing, so it names no server to use.
    const forged = server.announcement({ service: 'ledger', zone: undefined });
    const answer = await lab.send(machine.control, 'PUT', `/-/instances/${server.id}`, forged);
    recorder.note(`heartbeat of another writer, without zone -> ${answer}`);
  }
  await load;
  const wrong = deployment.machines.flatMap(({ server: each }) =>
    each.runs.filter(({ target }) => !target.startsWith(`/${each.service}/`)),
  );
  recorder.note(`requests run by a service that no configuration allows: ${wrong.length}`);
  if (wrong.length === 0) return [];
  return [
    `ROUTE: ${wrong.length} requests of service ledger were run by ${server.id} of service shop`,
  ];
});
