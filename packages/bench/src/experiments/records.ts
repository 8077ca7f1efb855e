/** Cost of the idempotency records: messages, bytes and CPU of one `once` request, and of an epoch. */

import * as grpc from '@grpc/grpc-js';
import { clock as clocks, failures, ids, placement as placements } from '@godwittrack/core';
import { recordParts } from '@godwittrack/node';
import { records } from '@godwittrack/protocol';
import * as experiment from '../experiment.js';

const SERVICE = ids.serviceName('fontworks');
const RETENTION_MS = 600_000;
const DEADLINE_MS = 10_000;
const BODY_BYTES = 2_048;
const LAYOUT = ['r1/a', 'r1/a', 'r1/b', 'r1/b', 'r2/a', 'r2/b', 'r2/b'];

interface Traffic {
  messages: number;
  bytes: number;
}

/** Counts the encoded size of each request and answer, without the framing of gRPC. */
class CountingPeers extends recordParts.recordPeers.RecordPeers {
  readonly traffic: Traffic = { messages: 0, bytes: 0 };

  constructor(private readonly stores: readonly recordParts.recordStore.RecordStore[]) {
    super();
  }

  override async claim(to: placements.Member, req: records.ClaimRequest) {
    const reply = this.at(to).claim(req);
    this.count(records.ClaimRequest.encode(req), records.ClaimReply.encode(reply));
    return reply;
  }

  override async complete(to: placements.Member, req: records.CompleteRequest) {
    const reply = this.at(to).complete(req);
    this.count(records.CompleteRequest.encode(req), records.CompleteReply.encode(reply));
    return reply;
  }

  override async release(to: placements.Member, req: records.ReleaseRequest) {
    const reply = this.at(to).release(req);
    this.count(records.ReleaseRequest.encode(req), records.ReleaseReply.encode(reply));
    return reply;
  }

  override async recover(to: placements.Member, req: records.RecoverRequest) {
    const reply = this.at(to).copyFor(req);
    const parts = recordParts.recordsService.splitCopy(reply);
    this.count(
      records.RecoverRequest.encode(req),
      ...parts.map((part) => records.RecoverReply.encode(part)),
    );
    return reply;
  }

  private at(to: placements.Member): recordParts.recordStore.RecordStore {
    const store = this.stores.find(({ node }) => node === to.node);
    if (store !== undefined) return store;
    throw failures.toError({ type: 'peerUnavailable', peer: to.node, detail: 'not started' });
  }

  private count(...sent: { finish: () => Uint8Array }[]): void {
    this.traffic.messages += sent.length;
    this.traffic.bytes += sent.reduce((sum, each) => sum + each.finish().length, 0);
  }
}

export class RecordsExperiment extends experiment.Experiment {
  readonly name = 'records';

  readonly description =
    'messages, bytes and CPU of idempotency records per request and per epoch change';

  async run(options: experiment.ExperimentOptions): Promise<experiment.ExperimentResult> {
    const requests = options.quick ? 500 : 20_000;
    const overGrpc = options.quick ? 200 : 5_000;
    const held = options.quick ? 500 : 10_000;
    options.report(
      `${requests} requests in process, ${overGrpc} over gRPC, ${held} records copied`,
    );
    return {
      seed: options.seed,
      members: LAYOUT.length,
      bodyBytes: BODY_BYTES,
      ...(await measureRequests(requests, options.seed)),
      ...(await measureGrpc(overGrpc, options.seed)),
      ...(await measureEpoch(held, options.seed)),
    };
  }
}

function members(): placements.LiveMember[] {
  return LAYOUT.map((place, i) => {
    const [region = '', domain = ''] = place.split('/');
    return {
      node: ids.nodeId(`n${i}`),
      incarnation: ids.incarnation(1),
      region: ids.regionName(region),
      failureDomain: ids.domainName(domain),
      peerAddress: `10.0.0.${i}:8201`,
      externalPeerAddress: `10.1.0.${i}:8201`,
    };
  });
}

function firstPlacement(live: readonly placements.LiveMember[]): placements.Placement {
  const first = placements.Placement.first(SERVICE, live, 0);
  if (first === null) throw failures.toError({ type: 'internal', detail: 'too few members' });
  return first;
}

function createStore(member: placements.LiveMember, clock: clocks.Clock) {
  return new recordParts.recordStore.RecordStore(member.node, member.incarnation, clock, {
    retentionMs: () => RETENTION_MS,
  });
}

function createGuard(
  placement: placements.Placement,
  peers: recordParts.recordPeers.RecordPeers,
  clock: clocks.Clock,
) {
  const source = { current: () => placement, refresh: async () => placement };
  const dispatcher = ids.nodeId('dispatcher');
  return new recordParts.keyGuard.KeyGuard(dispatcher, ids.incarnation(1), source, peers, clock);
}

function answer(): records.RecordedAnswer {
  const headers = [{ name: 'content-type', value: 'application/json' }];
  return { status: 201, headers, body: Buffer.alloc(BODY_BYTES, 'x'), bodyKept: true };
}

/** Idempotency key as callers send it, 36 characters. */
function keyOf(seed: number, i: number): string {
  return `${seed}-${i}`.padStart(36, '0');
}

async function runOnce(guard: recordParts.keyGuard.KeyGuard, key: string): Promise<void> {
  const outcome = await guard.claim(SERVICE, key, 'f'.repeat(64), DEADLINE_MS);
  if (outcome.type !== 'granted' || !outcome.claim.beginDispatch()) {
    throw failures.toError({ type: 'internal', detail: `claim of ${key} was not granted` });
  }
  await outcome.claim.complete(answer());
}

/** CPU of this process in microseconds. */
function cpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

async function measureRequests(count: number, seed: number) {
  const clock = new clocks.SystemClock();
  const live = members();
  const placement = firstPlacement(live);
  const stores = live.map((member) => createStore(member, clock));
  stores.forEach((store) => store.adopt(placement));
  const peers = new CountingPeers(stores);
  const guard = createGuard(placement, peers, clock);
  const startUs = cpuUs();
  for (let i = 0; i < count; i++) await runOnce(guard, keyOf(seed, i));
  return {
    requests: count,
    messagesPerRequest: peers.traffic.messages / count,
    bytesPerRequest: Math.round(peers.traffic.bytes / count),
    cpuUsPerRequestInProcess: round((cpuUs() - startUs) / count),
  };
}

/** All three holders are servers of this process, so the CPU is that of both sides. */
async function measureGrpc(count: number, seed: number) {
  const clock = new clocks.SystemClock();
  const live = members();
  const placement = firstPlacement(live);
  const stores = live.map((member) => createStore(member, clock));
  stores.forEach((store) => store.adopt(placement));
  const servers = stores.map((store) => {
    const server = new grpc.Server();
    server.addService(
      records.RecordsService,
      recordParts.recordsService.createRecordsService(store),
    );
    return server;
  });
  const ports = await Promise.all(servers.map(listen));
  const clients = ports.map(
    (port) => new records.RecordsClient(`127.0.0.1:${port}`, grpc.credentials.createInsecure()),
  );
  const outside = createStore({ ...live[0]!, node: ids.nodeId('dispatcher') }, clock);
  const peers = new recordParts.grpcRecordPeers.GrpcRecordPeers(outside, ({ node }) => {
    const i = live.findIndex((member) => member.node === node);
    return clients[i] ?? null;
  });
  const guard = createGuard(placement, peers, clock);
  try {
    for (let i = 0; i < 100; i++) await runOnce(guard, keyOf(seed + 1, i));
    const startUs = cpuUs();
    const startMs = clock.monotonicMs();
    for (let i = 0; i < count; i++) await runOnce(guard, keyOf(seed, i));
    return {
      grpcRequests: count,
      cpuUsPerRequestOverGrpc: round((cpuUs() - startUs) / count),
      msPerRequestOverGrpc: round((clock.monotonicMs() - startMs) / count),
    };
  } finally {
    clients.forEach((client) => client.close());
    servers.forEach((server) => server.forceShutdown());
  }
}

/** One member restarts while the others hold `count` records: placement and copies in bytes. */
async function measureEpoch(count: number, seed: number) {
  const clock = new clocks.ManualClock(1);
  const live = members();
  const placement = firstPlacement(live);
  const stores = live.map((member) => createStore(member, clock));
  stores.forEach((store) => store.adopt(placement));
  const peers = new CountingPeers(stores);
  const guard = createGuard(placement, peers, clock);
  for (let i = 0; i < count; i++) await runOnce(guard, keyOf(seed, i));
  const restarted = { ...live[0]!, incarnation: ids.incarnation(2) };
  const again = [restarted, ...live.slice(1)];
  const next = placement.next(again, placements.MIN_EPOCH_INTERVAL_MS, RETENTION_MS);
  if (next === null) throw failures.toError({ type: 'internal', detail: 'no epoch was planned' });
  stores[0] = createStore(restarted, clock);
  stores.forEach((store) => store.adopt(next));
  clock.advance(
    recordParts.recordStore.GRANT_LIFETIME_MS + recordParts.recordStore.CLOCK_MARGIN_MS,
  );
  const before = { ...peers.traffic };
  const startUs = cpuUs();
  for (const store of stores) {
    const recovery = new recordParts.recovery.Recovery(store, peers, () => [SERVICE]);
    await recovery.round(SERVICE);
  }
  const spentUs = cpuUs() - startUs;
  return {
    epochRecords: count,
    epochPlacementBytes: Buffer.byteLength(JSON.stringify(next)),
    epochCopyMessages: peers.traffic.messages - before.messages,
    epochCopyBytes: peers.traffic.bytes - before.bytes,
    epochCopyCpuMs: round(spentUs / 1_000),
    restartedRecords: stores[0].size.entries,
    restartedIsFull: stores[0].isFull(SERVICE, next.epoch),
  };
}

function listen(server: grpc.Server): Promise<number> {
  return new Promise((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, port) =>
      err === null ? resolve(port) : reject(err),
    );
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
