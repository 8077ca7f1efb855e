/**
 * Cost of the idempotency records: messages, bytes and CPU time of one `once` request and of an epoch
 * change.
 */

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

/** Counts messages and their encoded bytes, without gRPC framing. */
class CountingPeers extends recordParts.recordPeers.RecordPeers {
  readonly traffic: Traffic = { messages: 0, bytes: 0 };

  constructor(private readonly stores: readonly recordParts.recordStore.RecordStore[]) {
    super();
  }

  override async claim(to: placements.Member, req: records.ClaimRequest) {
    const reply = this.storeOf(to).claim(req);
    this.countMessages(records.ClaimRequest.encode(req), records.ClaimReply.encode(reply));
    return reply;
  }

  override async complete(to: placements.Member, req: records.CompleteRequest) {
    const reply = this.storeOf(to).complete(req);
    this.countMessages(records.CompleteRequest.encode(req), records.CompleteReply.encode(reply));
    return reply;
  }

  override async release(to: placements.Member, req: records.ReleaseRequest) {
    const reply = this.storeOf(to).release(req);
    this.countMessages(records.ReleaseRequest.encode(req), records.ReleaseReply.encode(reply));
    return reply;
  }

  override async recover(to: placements.Member, req: records.RecoverRequest) {
    const reply = this.storeOf(to).createCopy(req);
    const parts = recordParts.recordsService.splitCopy(reply);
    this.countMessages(
      records.RecoverRequest.encode(req),
      ...parts.map((part) => records.RecoverReply.encode(part)),
    );
    return reply;
  }

  private storeOf(to: placements.Member): recordParts.recordStore.RecordStore {
    const store = this.stores.find(({ node }) => node === to.node);
    if (store !== undefined) return store;
    throw failures.toError({ type: 'peerUnavailable', peer: to.node, detail: 'not started' });
  }

  private countMessages(...sent: { finish: () => Uint8Array }[]): void {
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
    const grpcRequests = options.quick ? 200 : 5_000;
    const copiedRecords = options.quick ? 500 : 10_000;
    options.report(
      `${requests} requests in process, ${grpcRequests} over gRPC, ${copiedRecords} records copied`,
    );
    return {
      seed: options.seed,
      members: LAYOUT.length,
      bodyBytes: BODY_BYTES,
      ...(await measureRequests(requests, options.seed)),
      ...(await measureGrpc(grpcRequests, options.seed)),
      ...(await measureEpoch(copiedRecords, options.seed)),
    };
  }
}

function createMembers(): placements.LiveMember[] {
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

function createFirstPlacement(live: readonly placements.LiveMember[]): placements.Placement {
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

function createAnswer(): records.RecordedAnswer {
  const headers = [{ name: 'content-type', value: 'application/json' }];
  return { status: 201, headers, body: Buffer.alloc(BODY_BYTES, 'x'), bodyKept: true };
}

/** Idempotency key of the length that callers send, 36 characters. */
function createKey(seed: number, i: number): string {
  return `${seed}-${i}`.padStart(36, '0');
}

async function runOnce(guard: recordParts.keyGuard.KeyGuard, key: string): Promise<void> {
  const outcome = await guard.claim(SERVICE, key, 'f'.repeat(64), DEADLINE_MS);
  if (outcome.type !== 'granted' || !outcome.claim.beginDispatch()) {
    throw failures.toError({ type: 'internal', detail: `claim of ${key} was not granted` });
  }
  await outcome.claim.complete(createAnswer());
}

/** CPU time of this process in microseconds. */
function readCpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

async function measureRequests(count: number, seed: number) {
  const clock = new clocks.SystemClock();
  const live = createMembers();
  const placement = createFirstPlacement(live);
  const stores = live.map((member) => createStore(member, clock));
  stores.forEach((store) => store.adopt(placement));
  const peers = new CountingPeers(stores);
  const guard = createGuard(placement, peers, clock);
  const startUs = readCpuUs();
  for (let i = 0; i < count; i++) await runOnce(guard, createKey(seed, i));
  return {
    requests: count,
    messagesPerRequest: peers.traffic.messages / count,
    bytesPerRequest: Math.round(peers.traffic.bytes / count),
    cpuUsPerRequestInProcess: round((readCpuUs() - startUs) / count),
  };
}

/** The three holders run in this process, so the CPU time includes both sides of a call. */
async function measureGrpc(count: number, seed: number) {
  const clock = new clocks.SystemClock();
  const live = createMembers();
  const placement = createFirstPlacement(live);
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
  const dispatcherStore = createStore({ ...live[0]!, node: ids.nodeId('dispatcher') }, clock);
  const peers = new recordParts.grpcRecordPeers.GrpcRecordPeers(dispatcherStore, ({ node }) => {
    const i = live.findIndex((member) => member.node === node);
    return clients[i] ?? null;
  });
  const guard = createGuard(placement, peers, clock);
  try {
    for (let i = 0; i < 100; i++) await runOnce(guard, createKey(seed + 1, i));
    const startUs = readCpuUs();
    const startMs = clock.monotonicMs();
    for (let i = 0; i < count; i++) await runOnce(guard, createKey(seed, i));
    return {
      grpcRequests: count,
      cpuUsPerRequestOverGrpc: round((readCpuUs() - startUs) / count),
      msPerRequestOverGrpc: round((clock.monotonicMs() - startMs) / count),
    };
  } finally {
    clients.forEach((client) => client.close());
    servers.forEach((server) => server.forceShutdown());
  }
}

/**
 * Restarts one member while the others hold `count` records, and measures the placement and the
 * copies of records that the new epoch causes.
 */
async function measureEpoch(count: number, seed: number) {
  const clock = new clocks.ManualClock(1);
  const live = createMembers();
  const placement = createFirstPlacement(live);
  const stores = live.map((member) => createStore(member, clock));
  stores.forEach((store) => store.adopt(placement));
  const peers = new CountingPeers(stores);
  const guard = createGuard(placement, peers, clock);
  for (let i = 0; i < count; i++) await runOnce(guard, createKey(seed, i));
  const restarted = { ...live[0]!, incarnation: ids.incarnation(2) };
  const liveAfterRestart = [restarted, ...live.slice(1)];
  const next = placement.next(liveAfterRestart, placements.MIN_EPOCH_INTERVAL_MS, RETENTION_MS);
  if (next === null) throw failures.toError({ type: 'internal', detail: 'no epoch was planned' });
  stores[0] = createStore(restarted, clock);
  stores.forEach((store) => store.adopt(next));
  clock.advance(
    recordParts.recordStore.GRANT_LIFETIME_MS + recordParts.recordStore.CLOCK_MARGIN_MS,
  );
  const before = { ...peers.traffic };
  const startUs = readCpuUs();
  for (const store of stores) {
    const recovery = new recordParts.recovery.Recovery(store, peers, () => [SERVICE]);
    await recovery.round(SERVICE);
  }
  const spentUs = readCpuUs() - startUs;
  return {
    epochRecords: count,
    epochPlacementBytes: Buffer.byteLength(JSON.stringify(next)),
    epochCopyMessages: peers.traffic.messages - before.messages,
    epochCopyBytes: peers.traffic.bytes - before.bytes,
    epochCopyCpuMs: round(spentUs / 1_000),
    restartedRecords: stores[0].size.entries,
    restartedIsFull: stores[0].hasFullHistory(SERVICE, next.epoch),
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
