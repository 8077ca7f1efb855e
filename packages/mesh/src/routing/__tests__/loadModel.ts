/**
 * Model of one service in several failure domains, in virtual time: nodes that select candidates, choose and
 * offer as the dispatcher does, hosts with the real admission queue, and reports that return with outcomes.
 */

import { ids } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as fixtures from '../../__tests__/fixtures.js';
import * as admissionQueue from '../../limits/admissionQueue.js';
import * as targetMargin from '../../limits/targetMargin.js';
import * as members from '../../membership/members.js';
import * as rolloutTable from '../../rollouts/rolloutTable.js';
import * as balancer from '../balancer.js';
import * as candidateSelector from '../candidateSelector.js';
import * as upstreamStats from '../upstreamStats.js';

const SERVICE = ids.serviceName('shop');
const SLOTS = 8;
const MAX_OFFERS = 5;
const WARM_UP_MS = 4_000;
const ONE_WAY_MS = { host: 0, domain: 0.5, region: 2.2, remote: 14 };
const SPEEDS = [0.5, 1, 1.5, 0.8, 1.2, 0.7, 1.3];

export interface Scenario {
  /** Demand on the capacity of all failure domains. */
  load: number;
  /** Relative demand of each failure domain; the first half of them is in one region. */
  demand: number[];
  /** Each upstream is slowed by 2.5 for 1.5 s about every 10 s. */
  slowPhases?: boolean;
  /** Share of the reports that are lost. */
  lostReports?: number;
  /** A node of each failure domain starts without knowledge every second. */
  restarts?: boolean;
  /** For measurements with another strategy. */
  createBalancer?: (next: () => number) => balancer.Balancer;
  workMs?: number;
  targetMs?: number;
  bodyBytes?: number;
  upstreams?: number;
  senders?: number;
  seed?: number;
  endMs?: number;
}

export interface Measures {
  /** Completed work per unit of speed of the busiest upstream, relative to the mean of its failure domain. */
  busiest: number;
  /** Share of the requests that waited while an upstream of the same failure domain would have answered sooner. */
  avoidableWaits: number;
  late: number;
  /** Late, though an upstream of the service had a free slot when the request arrived. */
  lateDespiteRoom: number;
  refused: number;
  /** Share of the requests that were served in another failure domain. */
  crossed: number;
  offers: number;
  meanMs: number;
}

interface Work extends admissionQueue.AdmissionRequest {
  settle: (
    result: 'answer' | admissionQueue.RefusalReason,
    retryAfterMs: number,
    serviceMs: number,
  ) => void;
  workMs: number;
}

class Clock {
  nowMs = 0;

  private readonly events: { atMs: number; run: () => void }[] = [];

  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.events[middle]!.atMs > atMs) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, { atMs, run });
  }

  run(): void {
    while (this.events.length > 0) {
      const { atMs, run } = this.events.pop()!;
      this.nowMs = atMs;
      run();
    }
  }
}

class Host {
  readonly queue = new admissionQueue.AdmissionQueue<Work>();

  readonly serviceTimes = new upstreamStats.RouteAverages();

  completedMs = 0;

  slowdown = 1;

  constructor(
    readonly record: members.Member,
    readonly speed: number,
    private readonly clock: Clock,
  ) {
    this.queue.setSlots(SLOTS);
  }

  get hasRoom(): boolean {
    return this.queue.runningCount < SLOTS && this.queue.waitingCount === 0;
  }

  offer(work: Work): boolean {
    const decision = this.queue.offer(work, this.clock.nowMs);
    if (decision.type === 'run') this.start(work);
    if (decision.type === 'refuse') work.settle(decision.reason, decision.retryAfterMs, 0);
    return decision.type === 'wait';
  }

  private start(work: Work): void {
    const serviceMs = (work.workMs * this.slowdown) / this.speed;
    this.clock.schedule(serviceMs, () => {
      const now = this.clock.nowMs;
      this.serviceTimes.add(ids.routeName('r'), serviceMs, now);
      if (now > WARM_UP_MS) this.completedMs += work.workMs;
      this.apply(this.queue.release(work, now));
      work.settle('answer', 0, serviceMs);
    });
  }

  private apply({ started, refused }: admissionQueue.QueueUpdate<Work>): void {
    for (const { request, reason, retryAfterMs } of refused)
      request.settle(reason, retryAfterMs, 0);
    for (const request of started) this.start(request);
  }
}

export function simulate(scenario: Scenario): Measures {
  const {
    load,
    demand,
    slowPhases = false,
    lostReports = 0,
    restarts = false,
    workMs = 200,
    targetMs = 600,
    bodyBytes = 2_000,
    upstreams = 8,
    senders = 20,
    seed = 3,
    endMs = 24_000,
    createBalancer = (next: () => number) => new balancer.Balancer(next),
  } = scenario;
  const rng = random.xoroshiro128plus(seed);
  const next = () => uniform.uniformFloat64(rng);
  const exponential = () => -Math.log(1 - next());
  const clock = new Clock();
  const route = fixtures.route('r', { targetLatencyMs: targetMs, timeoutMs: 4 * targetMs });
  const regionOf = (domain: number) => `r${Math.floor((domain * 2) / demand.length)}`;
  const hosts = demand.flatMap((_, domain) =>
    Array.from(
      { length: upstreams },
      (__, i) =>
        new Host(
          fixtures.member(`u${domain}-${i}`, { slots: SLOTS }, `d${domain}`, regionOf(domain)),
          SPEEDS[i % SPEEDS.length]!,
          clock,
        ),
    ),
  );
  const hostOf = new Map(hosts.map((host) => [host.record.node, host]));
  const rollouts = new rolloutTable.RolloutTable(fixtures.silentLog(), () => 0);
  const count = {
    all: 0,
    waits: 0,
    late: 0,
    lateRoom: 0,
    refused: 0,
    crossed: 0,
    offers: 0,
    ms: 0,
  };

  const createSender = (domain: number, i: number) => {
    const self = fixtures.member(`s${domain}-${i}`, null, `d${domain}`, regionOf(domain));
    const table = new members.MemberTable(self);
    for (const { record } of hosts) table.merge(record);
    const outstanding = new Map<ids.NodeId, number>();
    const createKnowledge = () => {
      const stats = new upstreamStats.UpstreamStats(() => clock.nowMs, next);
      const selector = new candidateSelector.CandidateSelector({
        evacuations: fixtures.evacuations(),
        table,
        rollouts,
        versionChooser: fixtures.versionChooserOf(rollouts),
        upstreamStats: stats,
        isReachable: () => true,
        hasOpenLink: () => true,
        outstandingAt: (node) => outstanding.get(node) ?? 0,
      });
      return { stats, selector, choose: createBalancer(next) };
    };
    return { self, outstanding, createKnowledge, known: createKnowledge() };
  };
  type Sender = ReturnType<typeof createSender>;

  const dispatch = (sender: Sender) => {
    const arrivedMs = clock.nowMs;
    const isCounted = arrivedMs > WARM_UP_MS;
    const targetAtMs = arrivedMs + targetMs;
    const deadlineAtMs = arrivedMs + route.timeoutMs;
    const work =
      workMs *
      Math.exp(0.5 * Math.sqrt(-2 * Math.log(1 - next())) * Math.cos(2 * Math.PI * next()) - 0.125);
    const hadRoom = hosts.some((host) => host.hasRoom);
    const tried = new Set<ids.NodeId>();
    const probed = new Set<ids.NodeId>();
    let waited = false;
    const finish = (isAnswered: boolean, crossed: boolean) => {
      if (!isCounted) return;
      count.all += 1;
      count.ms += clock.nowMs - arrivedMs;
      if (!isAnswered) count.refused += 1;
      if (crossed) count.crossed += 1;
      if (waited) count.waits += 1;
      if (!isAnswered || clock.nowMs > targetAtMs) {
        count.late += 1;
        if (hadRoom) count.lateRoom += 1;
      }
    };
    const offer = (offers: number) => {
      const { stats, selector, choose } = sender.known;
      const now = clock.nowMs;
      const targetLeftMs = targetAtMs - now;
      const { candidates } = selector.select({
        route,
        service: SERVICE,
        versionChoice: null,
        customer: null,
        customerPriority: 0,
        placement: null,
        targetLeftMs,
        tried,
        isFirstOffer: offers === 1,
      });
      const profile = {
        transferBytes: bodyBytes + stats.answerBytes(route.name),
        targetLeftMs,
        deadlineLeftMs: deadlineAtMs - now,
      };
      const choice = offers > MAX_OFFERS ? null : choose.choose(candidates, profile);
      if (choice === null) {
        finish(false, false);
        return;
      }
      const { node, distance } = choice.candidate;
      const host = hostOf.get(node)!;
      const oneWayMs = ONE_WAY_MS[distance];
      sender.outstanding.set(node, (sender.outstanding.get(node) ?? 0) + 1);
      if (isCounted) count.offers += 1;
      const maxWaitMs =
        offers >= MAX_OFFERS || probed.has(node) ? Infinity : Math.max(8, choice.maxWaitMs);
      const estimateMs = stats.averageServiceMs(route.name, targetMs);
      clock.schedule(oneWayMs, () => {
        const average = host.serviceTimes.get(route.name);
        const localMs = average?.valueAt(clock.nowMs, estimateMs) ?? estimateMs;
        const leftMs = targetAtMs - now;
        const marginMs = targetMargin.targetMargin(localMs, average?.deviation ?? null, leftMs);
        const settle: Work['settle'] = (result, retryAfterMs, serviceMs) => {
          const loadThere = host.queue.runningCount + host.queue.waitingCount;
          const averageServiceMs =
            host.serviceTimes.get(route.name)?.valueAt(clock.nowMs, estimateMs) ?? null;
          const isLost = next() < lostReports;
          clock.schedule(oneWayMs, () => {
            const remaining = sender.outstanding.get(node)! - 1;
            sender.outstanding.set(node, remaining);
            if (!isLost) {
              stats.recordReport(
                node,
                route.name,
                { load: loadThere, averageServiceMs, transferWaitMs: 0 },
                remaining,
              );
            }
            if (result === 'answer') {
              stats.recordAnswer(node, route.name, serviceMs, bodyBytes);
              finish(true, host.record.domain !== sender.self.domain);
              return;
            }
            if (result === admissionQueue.WAIT_TOO_LONG) probed.add(node);
            else tried.add(node);
            if (admissionQueue.FULL_REASONS.has(result)) {
              const req = { route: route.name, customer: null, customerPriority: 0, targetLeftMs };
              stats.recordFull(node, req, {
                type: 'refused',
                reason: result,
                retryAfterMs,
                reachedUpstream: false,
              });
            }
            offer(offers + 1);
          });
        };
        const isWaiting = host.offer({
          customerPriority: 0,
          priority: 1,
          targetAtMs: clock.nowMs + leftMs - marginMs,
          deadlineAtMs,
          estimateMs: localMs,
          transferWaitMs: 0,
          maxWaitMs,
          settle,
          workMs: work,
        });
        const answerMs = (at: Host) =>
          ((at.queue.waitingCount / SLOTS + 1) * at.slowdown) / at.speed;
        const hasOther = () =>
          hosts.some(
            (other) =>
              other.hasRoom &&
              other.record.domain === host.record.domain &&
              answerMs(other) < answerMs(host),
          );
        if (isWaiting && hasOther()) waited = true;
      });
    };
    offer(1);
  };

  const capacity = hosts.reduce((sum, { speed }) => sum + (SLOTS * speed) / workMs, 0);
  const demandSum = demand.reduce((sum, one) => sum + one, 0);
  demand.forEach((share, domain) => {
    const meanGapMs = (senders * demandSum) / (capacity * load * share);
    for (let i = 0; i < senders; i += 1) {
      const sender = createSender(domain, i);
      const arrive = () => {
        if (clock.nowMs > endMs) return;
        dispatch(sender);
        clock.schedule(exponential() * meanGapMs, arrive);
      };
      clock.schedule(exponential() * meanGapMs, arrive);
      if (restarts && i < 10) {
        for (let at = i * 1_000; at < endMs; at += 10_000) {
          clock.schedule(at, () => {
            sender.known = sender.createKnowledge();
          });
        }
      }
    }
  });
  if (slowPhases) {
    for (const host of hosts) {
      for (let at = next() * 10_000; at < endMs; at += 5_000 + next() * 10_000) {
        clock.schedule(at, () => {
          host.slowdown = 2.5;
        });
        clock.schedule(at + 1_500, () => {
          host.slowdown = 1;
        });
      }
    }
  }
  clock.run();
  const perDomain = demand.map((_, domain) => {
    const loads = hosts
      .filter(({ record }) => record.domain === `d${domain}`)
      .map(({ completedMs, speed }) => completedMs / speed);
    return Math.max(...loads) / (loads.reduce((sum, one) => sum + one, 0) / loads.length);
  });
  const share = (value: number) => value / count.all;
  return {
    busiest: Math.max(...perDomain),
    avoidableWaits: share(count.waits),
    late: share(count.late),
    lateDespiteRoom: share(count.lateRoom),
    refused: share(count.refused),
    crossed: share(count.crossed),
    offers: share(count.offers),
    meanMs: share(count.ms),
  };
}
