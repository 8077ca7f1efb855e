import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as timers from 'node:timers/promises';
import { ids } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as configuration from '../../config/configuration.js';
import * as admissionQueue from '../../limits/admissionQueue.js';
import * as retryBudget from '../../limits/retryBudget.js';
import * as members from '../../membership/members.js';
import * as meters from '../../observability/meters.js';
import * as frames from '../../peers/frames.js';
import * as rolloutTable from '../../rollouts/rolloutTable.js';
import * as balancer from '../balancer.js';
import * as dispatcher from '../dispatcher.js';
import * as exchange from '../exchange.js';
import * as trafficSplitter from '../trafficSplitter.js';
import * as upstreamStats from '../upstreamStats.js';

const DURATION_MS = 60_000;
const UPLINK_BYTES_PER_MS = 900;
/** Failure domains with the number of hosts that serve; two domains form a region. */
const DOMAINS = [
  { domain: 'a1', region: 'a', hosts: 3 },
  { domain: 'a2', region: 'a', hosts: 1 },
  { domain: 'b1', region: 'b', hosts: 3 },
  { domain: 'b2', region: 'b', hosts: 1 },
];
/** Many callers with about one request per second each, so that most load reports are old. */
const CALLERS_PER_DOMAIN = 17;
const ONE_WAY_MS: Record<members.Distance, number> = {
  host: 0,
  domain: 0.5,
  region: 2,
  remote: 14,
};

interface Workload {
  route: configuration.Route;
  body: Buffer;
  serviceMs: number;
  /** Requests of all callers together. */
  perSecond: number;
}

const DOWNLOADS: Workload = {
  route: fixtures.route('downloads', { targetLatencyMs: 1_139, timeoutMs: 3_417, priority: 1 }),
  body: Buffer.alloc(90_000),
  serviceMs: 171,
  perSecond: 6_500 / 90,
};
const CALLS: Workload = {
  route: fixtures.route('calls', { targetLatencyMs: 247, timeoutMs: 741, priority: 0 }),
  body: Buffer.alloc(2_000),
  serviceMs: 52,
  perSecond: 40,
};
const WORKLOADS = new Map([DOWNLOADS, CALLS].map((each) => [each.route.name, each]));

class VirtualClock {
  nowMs = 0;

  private readonly events: { atMs: number; run: () => void }[] = [];

  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    let index = this.events.length;
    while (index > 0 && this.events[index - 1]!.atMs <= atMs) index -= 1;
    this.events.splice(index, 0, { atMs, run });
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }

  /** Runs all events, in the order of their times. */
  async run(): Promise<void> {
    while (this.events.length > 0) {
      const { atMs, run } = this.events.pop()!;
      this.nowMs = atMs;
      run();
      // Lets the promises settle that the event has resolved.
      await timers.setImmediate();
    }
  }
}

interface Work extends admissionQueue.AdmissionRequest {
  workload: Workload;
  /** Expected size of the answer, as far as it waits for the uplink. */
  uplinkBytes: number;
  settle: (outcome: exchange.Outcome) => void;
}

/** Host with an upstream; large answers wait for its uplink, and small ones overtake them. */
class Host {
  maxTransferWaitMs = 0;

  private readonly queue = new admissionQueue.AdmissionQueue<Work>();

  private readonly answerSizes = new upstreamStats.RouteAverages();

  private uplinkFreeAtMs = 0;

  /** Expected size of the large answers to running requests. */
  private expectedBytes = 0;

  constructor(
    readonly record: members.Member,
    private readonly clock: VirtualClock,
    private readonly next: () => number,
  ) {
    this.queue.setSlots(record.upstream!.slots);
  }

  /** Time after which the uplink will have sent all answers handed over, and `bytes` more. */
  private transferWaitMs(bytes: number): number {
    const backlogMs = Math.max(0, this.uplinkFreeAtMs - this.clock.nowMs);
    return backlogMs + bytes / UPLINK_BYTES_PER_MS;
  }

  serve(req: exchange.ForwardedRequest): Promise<exchange.Delivery> {
    return new Promise((resolve) => {
      const now = this.clock.nowMs;
      const answerBytes = this.answerSizes.get(req.route)?.value ?? 0;
      const uplinkBytes = answerBytes > frames.MAX_WHOLE_FRAME_BYTES ? answerBytes : 0;
      const work: Work = {
        customerPriority: req.customerPriority,
        priority: req.priority,
        targetAtMs: now + req.targetLeftMs,
        deadlineAtMs: now + req.deadlineLeftMs,
        estimateMs: req.estimateMs,
        transferWaitMs: uplinkBytes === 0 ? 0 : this.transferWaitMs(this.expectedBytes),
        uplinkBytes,
        maxWaitMs: req.maxWaitMs,
        workload: WORKLOADS.get(req.route)!,
        settle: (outcome) => {
          const load = this.queue.runningCount + this.queue.waitingCount;
          const transferWaitMs = this.transferWaitMs(this.expectedBytes);
          const delivery = { outcome, report: { load, averageServiceMs: null, transferWaitMs } };
          const bytes = outcome.type === 'answer' ? outcome.body.length : 0;
          this.clock.schedule(this.transfer(bytes), () => resolve(delivery));
        },
      };
      const decision = this.queue.offer(work, now);
      if (decision.type === 'run') this.start(work);
      if (decision.type === 'refuse') {
        work.settle(exchange.refused(decision.reason, decision.retryAfterMs));
      }
    });
  }

  /** @returns the time until the uplink has sent the bytes */
  private transfer(bytes: number): number {
    if (bytes <= frames.MAX_WHOLE_FRAME_BYTES) return 0;
    const waitMs = this.transferWaitMs(bytes);
    this.uplinkFreeAtMs = this.clock.nowMs + waitMs;
    this.maxTransferWaitMs = Math.max(this.maxTransferWaitMs, waitMs);
    return waitMs;
  }

  private start(work: Work): void {
    const { route, body, serviceMs: meanMs } = work.workload;
    const serviceMs = meanMs * (0.5 + this.next());
    this.expectedBytes += work.uplinkBytes;
    this.clock.schedule(serviceMs, () => {
      this.expectedBytes -= work.uplinkBytes;
      this.answerSizes.add(route.name, body.length, this.clock.nowMs);
      work.settle({ type: 'answer', status: 200, headers: [], body, serviceMs });
      const { started, refused } = this.queue.release(work, this.clock.nowMs);
      for (const each of started) this.start(each);
      for (const { request, reason, retryAfterMs } of refused) {
        request.settle(exchange.refused(reason, retryAfterMs));
      }
    });
  }
}

/** Link from a caller's host to that of an upstream. */
class Link extends exchange.Destination {
  constructor(
    private readonly host: Host,
    private readonly oneWayMs: number,
    private readonly clock: VirtualClock,
    private readonly onAnswer: (req: exchange.ForwardedRequest) => void,
  ) {
    super();
  }

  async send(req: exchange.ForwardedRequest): Promise<exchange.Delivery> {
    await this.clock.sleep(this.oneWayMs);
    const delivery = await this.host.serve(req);
    await this.clock.sleep(this.oneWayMs);
    if (delivery.outcome.type === 'answer') this.onAnswer(req);
    return delivery;
  }
}

class NoUpstream extends exchange.Destination {
  send(): Promise<exchange.Delivery> {
    return Promise.resolve({ outcome: exchange.refused('noUpstream', 0), report: null });
  }
}

interface Result {
  maxTransferWaitMs: number;
  answered: Map<Workload, number>;
  answeredInTarget: Map<Workload, number>;
  /** Answers from hosts of other failure domains. */
  fromOtherDomains: Map<Workload, number>;
  sent: Map<Workload, number>;
}

function increment(counts: Map<Workload, number>, workload: Workload): void {
  counts.set(workload, (counts.get(workload) ?? 0) + 1);
}

async function simulate(seed: number): Promise<Result> {
  const rng = random.xoroshiro128plus(seed);
  const next = () => uniform.uniformFloat64(rng);
  const clock = new VirtualClock();
  const nowMs = () => clock.nowMs;
  const log = fixtures.silentLog();
  const result: Result = {
    maxTransferWaitMs: 0,
    answered: new Map(),
    answeredInTarget: new Map(),
    fromOtherDomains: new Map(),
    sent: new Map(),
  };
  const hosts = DOMAINS.flatMap(({ domain, region, hosts: count }) =>
    Array.from({ length: count }, (_, i) => {
      const record = fixtures.member(`${domain}-host${i}`, { slots: 20 }, domain, region);
      return new Host(record, clock, next);
    }),
  );

  function createCaller(self: members.Member): dispatcher.Dispatcher {
    const table = new members.MemberTable(self);
    const links = new Map<ids.NodeId, Link>();
    for (const host of hosts) {
      table.merge(host.record);
      const distance = members.distanceBetween(self, host.record);
      const onAnswer = ({ route }: exchange.ForwardedRequest) => {
        if (distance !== 'domain') increment(result.fromOtherDomains, WORKLOADS.get(route)!);
      };
      const link = new Link(host, ONE_WAY_MS[distance], clock, onAnswer);
      links.set(host.record.node, link);
    }
    const rollouts = new rolloutTable.RolloutTable(log, nowMs);
    return new dispatcher.Dispatcher({
      table,
      local: new NoUpstream(),
      destinationOf: (node) => links.get(node) ?? null,
      hasOpenLink: () => true,
      rollouts,
      evacuations: fixtures.evacuations(),
      quarantine: fixtures.suspects(),
      balancer: new balancer.Balancer(next),
      trafficSplitter: new trafficSplitter.TrafficSplitter(next),
      versionChooser: fixtures.versionChooserOf(rollouts),
      upstreamStats: new upstreamStats.UpstreamStats(nowMs),
      retryBudget: new retryBudget.RetryBudget({ ratio: 0.2, extra: 100 }, () => 1),
      log,
      meters: meters.createMetrics(),
      hasCustomers: () => false,
      callerService: () => ids.serviceName('web'),
      nowMs,
    });
  }

  const callers = DOMAINS.flatMap(({ domain, region }) =>
    Array.from({ length: CALLERS_PER_DOMAIN }, (_, i) =>
      createCaller(fixtures.member(`${domain}-caller${i}`, null, domain, region)),
    ),
  );

  async function send(workload: Workload): Promise<void> {
    increment(result.sent, workload);
    const { route } = workload;
    const arrivedMs = clock.nowMs;
    const targetAtMs = arrivedMs + route.targetLatencyMs;
    const req: dispatcher.CallerRequest = {
      requestId: ids.requestId('q'),
      method: 'GET',
      target: route.pathPrefix,
      headers: [],
      body: Buffer.alloc(0),
      route,
      customer: null,
      customerPriority: 0,
      arrivedMs,
      targetAtMs,
      deadlineAtMs: arrivedMs + route.timeoutMs,
    };
    const caller = callers[Math.floor(next() * callers.length)]!;
    const outcome = await caller.dispatch(req, new AbortController().signal);
    if (outcome.type !== 'answer') return;
    increment(result.answered, workload);
    if (clock.nowMs <= targetAtMs) increment(result.answeredInTarget, workload);
  }

  function sendRepeatedly(workload: Workload): void {
    const gapMs = (-Math.log(1 - next()) * 1_000) / workload.perSecond;
    clock.schedule(gapMs, () => {
      if (clock.nowMs > DURATION_MS) return;
      sendRepeatedly(workload);
      void send(workload);
    });
  }

  sendRepeatedly(DOWNLOADS);
  sendRepeatedly(CALLS);
  await clock.run();
  result.maxTransferWaitMs = Math.max(...hosts.map((host) => host.maxTransferWaitMs));
  return result;
}

describe('load of uplinks', () => {
  for (const seed of [1, 2, 3]) {
    // Guards against choosing upstreams without regard to their uplinks: callers prefer their own failure
    // domain, so the only host there gets nearly twice the bytes that its uplink carries.
    it(`spreads large answers over the uplinks (seed ${seed})`, async () => {
      const { maxTransferWaitMs, sent, answered, answeredInTarget, fromOtherDomains } =
        await simulate(seed);
      // With a longer backlog, no answer that is handed over meets the target latency of the route.
      const limitMs = DOWNLOADS.route.targetLatencyMs;
      assert.ok(maxTransferWaitMs <= limitMs, `${maxTransferWaitMs} ms`);
      // Small answers overtake the large ones. Only the first call of each caller may leave its failure
      // domain, since the size of its answer is not known yet.
      assert.equal(answeredInTarget.get(CALLS), answered.get(CALLS));
      assert.ok((fromOtherDomains.get(CALLS) ?? 0) <= DOMAINS.length * CALLERS_PER_DOMAIN);
      assert.equal(answered.get(CALLS), sent.get(CALLS));
    });
  }
});
