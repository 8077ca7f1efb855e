import * as assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { ids, type metrics } from '@godwittrack/core';
import * as fixtures from '../../__tests__/fixtures.js';
import * as loopback from '../../__tests__/loopback.js';
import * as configHolder from '../../config/configHolder.js';
import * as storeEra from '../../config/storeEra.js';
import * as eventLoop from '../../eventLoop.js';
import * as members from '../../membership/members.js';
import * as meters from '../../observability/meters.js';
import * as peerNetwork from '../../peers/peerNetwork.js';
import * as peerServer from '../../peers/peerServer.js';
import * as quarantine from '../../quarantine/quarantine.js';
import * as rolloutTable from '../../rollouts/rolloutTable.js';
import type * as quotaClient from '../quotaClient.js';
import * as quotaService from '../quotaService.js';
import * as quotaFleet from './quotaFleet.js';

const ACME = ids.customerName('acme');
const QUOTA = { ratePerSecond: 20, burst: 5 };

interface Node {
  self: members.Member;
  config: configHolder.ConfigHolder;
  network: peerNetwork.PeerNetwork;
  quotas: quotaService.QuotaService;
  metrics: metrics.Metrics;
  lines: fixtures.LogLine[];
  stop: () => void;
}

async function startNode(name: string): Promise<Node> {
  const nowMs = () => performance.now();
  const self = { ...fixtures.member(name, null), address: await loopback.freeAddress() };
  const { log, lines } = fixtures.recordingLog();
  const metricsRegistry = meters.createMetrics();
  const table = new members.MemberTable(self);
  const config = new configHolder.ConfigHolder(nowMs);
  const uplink = fixtures.uplink();
  let quotas: quotaService.QuotaService;
  const network = new peerNetwork.PeerNetwork({
    eventLoopLag: new eventLoop.LagMeter(50, nowMs),
    table,
    config,
    rollouts: new rolloutTable.RolloutTable(log, nowMs),
    evacuations: fixtures.evacuations(),
    quarantine: new quarantine.Quarantine({ log, nowMs }),
    uplink,
    storeEra: new storeEra.StoreEra(log),
    log,
    meters: metricsRegistry,
    onBeacon: () => {},
    onEvidence: () => {},
    onQuotaMessage: (from, message, reply) => quotas.receive(from, message, reply),
    onPreviousUpstream: () => {},
  });
  quotas = new quotaService.QuotaService({
    table,
    config,
    network,
    tolerance: quotaFleet.TOLERANCE,
    areMembersKnown: () => table.size > 1,
    log,
    meters: metricsRegistry,
    nowMs,
  });
  const server = new peerServer.PeerServer({
    destination: new fixtures.HeldDestination(),
    uplink,
    selfRecord: () => self,
    onFrame: (session, frame) => network.receive(session, frame),
    onProtocolViolation: (detail) => assert.fail(detail),
  });
  await server.listen(self.address);
  const timer = setInterval(() => network.maintain(), 50);
  const stop = () => {
    clearInterval(timer);
    quotas.stop();
    network.stop();
    server.close();
  };
  return { self, config, network, quotas, metrics: metricsRegistry, lines, stop };
}

describe('QuotaService', { timeout: 30_000 }, () => {
  let nodes: Node[] = [];

  async function start(hasQuota: boolean): Promise<void> {
    nodes = await Promise.all(['a', 'b', 'c'].map(startNode));
    for (const node of nodes) node.network.addNodes(nodes.map(({ self }) => self));
    const quota = hasQuota ? QUOTA : null;
    const customers = { acme: fixtures.customer('acme', undefined, { quota }) };
    const cfg = { ...fixtures.configurationOf(1, []), customers };
    for (const { config } of nodes) config.offer(cfg, { origin: 'store', name: 'store' });
  }

  const admit = async ({ quotas }: Node) => quotas.admit(ACME, ids.requestId('q'));
  const owners = () => nodes.filter(({ quotas }) => quotas.owned > 0);
  const isAdmitted = ({ type }: quotaClient.Decision) => type === 'admitted';

  /** Sends requests for a time from all nodes at once. @returns how many were admitted */
  async function flood(forMs: number): Promise<number> {
    const pending: Promise<quotaClient.Decision>[] = [];
    const endMs = performance.now() + forMs;
    await loopback.until(() => {
      pending.push(...nodes.map(admit));
      return performance.now() >= endMs;
    });
    return (await Promise.all(pending)).filter(isAdmitted).length;
  }

  afterEach(() => {
    for (const node of nodes.splice(0)) node.stop();
  });

  // Each node on its own would have admitted the whole quota.
  it('admits the quota over all nodes together, and states when the next request is within it', async () => {
    await start(true);
    await loopback.until(() => owners().length === 1);
    const admitted = await flood(2_000);
    const { ratePerSecond, burst } = QUOTA;
    assert.ok(admitted <= (ratePerSecond * 2 + burst) * 1.1 + 2, `${admitted} admitted`);
    assert.ok(admitted >= ratePerSecond * 2 * 0.8, `${admitted} admitted`);
    const refused = (await Promise.all(nodes.map(admit))).find((each) => !isAdmitted(each));
    assert.ok(refused?.type === 'refused' && refused.reason === 'overQuota');
    assert.ok(refused.retryAfterMs > 0 && refused.retryAfterMs <= 250);
    const msg = 'quotas: requests of a customer are refused';
    assert.ok(nodes.some(({ lines }) => lines.some((line) => line.msg === msg)));
  });

  // The customers of a stopped owner had no quota, or no service, from then on.
  it('moves the quota to another node when its owner stops', async () => {
    await start(true);
    await loopback.until(() => owners().length === 1);
    const [owner] = owners();
    owner!.stop();
    nodes.splice(nodes.indexOf(owner!), 1);
    await loopback.until(() => owners().length === 1);
    let decisions: quotaClient.Decision[] = [];
    while (!decisions.some(isAdmitted)) decisions = await Promise.all(nodes.map(admit));
  });

  // Deployments without quotas must not pay for them.
  it('sends nothing while no customer has a quota', async () => {
    await start(false);
    await new Promise((resolve) => {
      setTimeout(resolve, 600);
    });
    for (const node of nodes) assert.ok(!node.metrics.render().includes(`${meters.QUOTA_FRAMES}{`));
  });
});
