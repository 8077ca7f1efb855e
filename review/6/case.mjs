/** A bad version is being rolled out when the operator orders the service back to the version that it had. */

import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as lab from '../common-2/lab.mjs';

const SERVICE = 'shop';
const DURATION_S = 14;
/** Share of the requests of the one route on which the version fails. */
const BAD_SHARE = 0.5;
/** Time from the order of the new version to that of the old one. */
const BACK_AFTER_MS = 1_500;

await lab.run(path.dirname(url.fileURLToPath(import.meta.url)), {}, async (deployment, trouble) => {
  const { recorder, store, machines } = deployment;
  const order = (target) => {
    store.put('rollouts', SERVICE, {
      spec: { service: SERVICE, target_version: target, duration_s: DURATION_S },
    });
    recorder.note(`order: ${SERVICE} to ${target} in ${DURATION_S} s`);
    return lab.now();
  };
  for (const name of ['old-a', 'old-b'])
    await deployment.add({ name, version: 'v1', slots: 6, workMs: 90 });
  const base = lab.configuration([SERVICE]);
  const failing = { ...base.routes['shop-view'], path_prefix: '/order/' };
  await deployment.start(lab.configuration([SERVICE], { 'order-view': failing }));
  const load = deployment.load(
    (n) => (n % 6 === 0 ? '/order/new' : '/shop/item'),
    8,
    lab.now() + 60_000,
  );
  await lab.sleep(3_000);
  const added = [];
  for (const name of ['new-a', 'new-b'])
    added.push(await deployment.add({ name, version: 'v2', slots: 6, workMs: 90 }));
  for (const { server } of added) {
    server.failShare = trouble ? BAD_SHARE : 0;
    server.failPrefix = '/order/';
  }
  await deployment.join(added);
  const orderedMs = order('v2');
  const deadlineMs = orderedMs + DURATION_S * 1_000;
  await lab.sleep(BACK_AFTER_MS);
  // Without the order back to v1, as a control.
  if (process.env.ORDER_BACK !== '0') order('v1');
  let badMs = null;
  const countBad = () => added.reduce((sum, { server }) => sum + server.failures, 0);
  while (lab.now() < deadlineMs) {
    if (badMs === null && countBad() >= 50) badMs = lab.now();
    await lab.sleep(20);
  }
  deployment.isOver = true;
  await load;
  const between = ({ atMs }) => atMs >= orderedMs && atMs < deadlineMs;
  const all = machines.flatMap(({ server }) => server.arrivals.filter(between));
  const bad = added.flatMap(({ server }) => server.arrivals.filter(between));
  const allowed = lab.BOUNDS.exposure_share * all.length + lab.BOUNDS.exposure_slack;
  recorder.note(
    `${bad.length} of ${all.length} requests between the order of v2 and its deadline reached v2, allowed ${allowed.toFixed(0)}`,
  );
  recorder.note(`status in the store: ${JSON.stringify(store.get('rollouts', SERVICE).status)}`);
  if (!trouble) return [];
  const broken = [];
  if (bad.length > allowed)
    broken.push(
      `EXPOSURE: ${bad.length} of ${all.length} requests reached the bad v2, allowed are ${allowed.toFixed(0)}`,
    );
  const late =
    badMs === null ? [] : bad.filter(({ atMs }) => atMs > badMs + lab.BOUNDS.rollback_ms);
  if (late.length > 0)
    broken.push(
      `EXPOSURE: ${late.length} requests reached the bad v2 later than ${lab.BOUNDS.rollback_ms} ms after its 50th bad answer`,
    );
  return broken;
});
