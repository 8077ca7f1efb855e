/** A version is rolled out, replaced by another one, and ordered once more; the second time it is bad. */

import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as lab from '../common-2/lab.mjs';

const SERVICE = 'shop';
const DURATION_S = 14;
const BAD_SHARE = 0.5;
/** The version that is ordered last; `v4`, which was never ordered before, is a control. */
const version = process.env.VERSION ?? 'v2';
/** Time after the deadline in which a version that was ordered must be completed, so that the case can go on. */
const PATIENCE_MS = 8_000;

await lab.run(path.dirname(url.fileURLToPath(import.meta.url)), {}, async (deployment, trouble) => {
  const { recorder, store, machines } = deployment;
  const addTwo = (prefix, of) =>
    Promise.all(
      ['a', 'b'].map((name) =>
        deployment.add({ name: `${prefix}${name}`, version: of, workMs: 20 }),
      ),
    );
  const order = (target) => {
    store.put('rollouts', SERVICE, {
      spec: { service: SERVICE, target_version: target, duration_s: DURATION_S },
    });
    recorder.note(`order: ${SERVICE} to ${target} in ${DURATION_S} s`);
    return lab.now();
  };
  const stateOf = (target) => {
    const status = store.get('rollouts', SERVICE)?.status;
    return status?.target_version === target ? status.state : 'none';
  };
  /** Starts two servers of a version, orders it, and stops the old ones when it is completed. */
  const moveTo = async (prefix, target) => {
    const old = machines.filter(({ isGone }) => !isGone);
    await deployment.join(await addTwo(prefix, target));
    const orderedMs = order(target);
    while (stateOf(target) !== 'completed') {
      if (lab.now() > orderedMs + DURATION_S * 1_000 + PATIENCE_MS)
        throw new Error(`${target} was not completed`);
      await lab.sleep(50);
    }
    recorder.note(`${target} is completed after ${(lab.now() - orderedMs).toFixed(0)} ms`);
    await Promise.all(old.map((machine) => deployment.remove(machine)));
    await lab.sleep(1_000);
  };
  await addTwo('first-', 'v1');
  await deployment.start(lab.configuration([SERVICE]));
  const load = deployment.load('/shop/item', 12, lab.now() + 110_000);
  await moveTo('second-', 'v2');
  await moveTo('third-', 'v3');
  const last = await addTwo('fourth-', version);
  for (const { server } of last) server.failShare = trouble ? BAD_SHARE : 0;
  await deployment.join(last);
  const orderedMs = order(version);
  const deadlineMs = orderedMs + DURATION_S * 1_000;
  let badMs = null;
  const countBad = () => last.reduce((sum, { server }) => sum + server.failures, 0);
  while (lab.now() < deadlineMs) {
    if (badMs === null && countBad() >= 50) badMs = lab.now();
    await lab.sleep(20);
  }
  deployment.isOver = true;
  await load;
  const isBad = trouble;
  const between = ({ atMs }) => atMs >= orderedMs && atMs < deadlineMs;
  const all = machines.flatMap(({ server }) => server.arrivals.filter(between));
  const bad = last.flatMap(({ server }) => server.arrivals.filter(between));
  const allowed = lab.BOUNDS.exposure_share * all.length + lab.BOUNDS.exposure_slack;
  recorder.note(
    `${bad.length} of ${all.length} requests between the order and its deadline reached ${version}, allowed ${allowed.toFixed(0)}`,
  );
  recorder.note(`state of ${version}: ${stateOf(version)}`);
  const broken = [];
  if (isBad && bad.length > allowed)
    broken.push(
      `EXPOSURE: ${bad.length} of ${all.length} requests reached the bad ${version}, allowed are ${allowed.toFixed(0)}`,
    );
  const late =
    badMs === null ? [] : bad.filter(({ atMs }) => atMs > badMs + lab.BOUNDS.rollback_ms);
  if (late.length > 0)
    broken.push(
      `EXPOSURE: ${late.length} requests reached the bad ${version} later than ${lab.BOUNDS.rollback_ms} ms after its 50th bad answer`,
    );
  return broken;
});
