/** A small model of senders and upstreams, for tests of admission under load. */

import { ids } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as upstreamStats from '../../routing/upstreamStats.js';
import * as admissionQueue from '../admissionQueue.js';

export const MEAN_MS = 100;
const SLOTS = 8;
/** Requests per second that one upstream serves. */
export const CAPACITY = (SLOTS * 1_000) / MEAN_MS;
const DURATION_MS = 20_000;
const TICK_MS = 5;
const ADVANCE_MS = 25;
const MAX_OFFERS = 5;

/** Requests of one customer on one route. */
export interface Stream {
  name: string;
  /** Null for requests without a customer. */
  customer: string | null;
  perSecond: number;
  customerPriority?: number;
  priority?: number;
  targetMs?: number;
  deadlineMs?: number;
  fromMs?: number;
  untilMs?: number;
}

export interface Tally {
  offered: number;
  served: number;
  refused: Record<string, number>;
  waitsMs: number[];
}

interface Work extends admissionQueue.AdmissionRequest {
  stream: Stream;
  sender: upstreamStats.UpstreamStats;
  tried: Set<number>;
  arrivedMs: number;
}

interface Options {
  upstreams?: number;
  seed?: number;
  /** False: admission as without customers. */
  usesShares?: boolean;
}

/** Plays a load and counts what became of the requests of each stream. */
export function simulate(
  streams: readonly Stream[],
  { upstreams = 1, seed = 7, usesShares = true }: Options = {},
): Record<string, Tally> {
  const rng = random.xoroshiro128plus(seed);
  const next = () => uniform.uniformFloat64(rng);
  const pick = <T>(from: readonly T[]) => from[Math.floor(next() * from.length)];
  const clock = { now: 0 };
  const tallies: Record<string, Tally> = Object.fromEntries(
    streams.map(({ name }) => [name, { offered: 0, served: 0, refused: {}, waitsMs: [] }]),
  );
  const senders = Array.from(
    { length: upstreams },
    () => new upstreamStats.UpstreamStats(() => clock.now),
  );
  const queues = Array.from({ length: upstreams }, () => {
    const queue = new admissionQueue.AdmissionQueue<Work>();
    queue.setSlots(SLOTS);
    return queue;
  });
  let running: { endMs: number; index: number; work: Work }[] = [];

  const start = (index: number, work: Work) => {
    const tally = tallies[work.stream.name]!;
    tally.served += 1;
    tally.waitsMs.push(clock.now - work.arrivedMs);
    running.push({ endMs: clock.now - MEAN_MS * Math.log(1 - next()), index, work });
  };

  /** Offers a request to upstreams that are not backed off from, until one accepts it. */
  function dispatch(work: Work, lastReason = 'noRoomInTime'): void {
    const { stream, sender, tried } = work;
    const req = {
      route: ids.routeName(`r${work.priority}`),
      customer: stream.customer === null ? null : ids.customerName(stream.customer),
      customerPriority: work.customerPriority,
      targetLeftMs: work.targetAtMs - clock.now,
    };
    const nodes = queues.map((_, i) => i).filter((i) => !tried.has(i));
    const index = pick(nodes.filter((i) => sender.fullBackoffMs(ids.nodeId(`n${i}`), req) === 0));
    if (index === undefined || tried.size === MAX_OFFERS) {
      const { refused } = tallies[stream.name]!;
      refused[lastReason] = (refused[lastReason] ?? 0) + 1;
      return;
    }
    tried.add(index);
    const decision = queues[index]!.offer(work, clock.now);
    if (decision.type === 'run') start(index, work);
    else if (decision.type === 'wait')
      for (const { request, reason } of decision.displaced) dispatch(request, reason);
    else {
      const refusal = { ...decision, type: 'refused', reachedUpstream: false } as const;
      if (admissionQueue.FULL_REASONS.has(decision.reason))
        sender.recordFull(ids.nodeId(`n${index}`), req, refusal);
      dispatch(work, decision.reason);
    }
  }

  const apply = (index: number, { started, refused }: admissionQueue.QueueUpdate<Work>) => {
    for (const work of started) start(index, work);
    for (const { request, reason } of refused) dispatch(request, reason);
  };
  const arrive = (stream: Stream) => {
    tallies[stream.name]!.offered += 1;
    const { customer, customerPriority = 0, priority = 0 } = stream;
    dispatch({
      stream,
      sender: pick(senders)!,
      tried: new Set(),
      arrivedMs: clock.now,
      customerPriority,
      priority,
      targetAtMs: clock.now + (stream.targetMs ?? 4 * MEAN_MS),
      deadlineAtMs: clock.now + (stream.deadlineMs ?? 10 * MEAN_MS),
      estimateMs: MEAN_MS,
      transferWaitMs: 0,
      maxWaitMs: Infinity,
      share: usesShares ? (customer ?? `route r${priority}`) : undefined,
    });
  };
  const endRuns = () => {
    const ended = running.filter(({ endMs }) => endMs <= clock.now);
    running = running.filter(({ endMs }) => endMs > clock.now);
    for (const { index, work } of ended) apply(index, queues[index]!.release(work, clock.now));
  };
  for (; clock.now < DURATION_MS; clock.now += TICK_MS) {
    endRuns();
    if (clock.now % ADVANCE_MS === 0)
      queues.forEach((queue, i) => apply(i, queue.advance(clock.now)));
    for (const stream of streams) {
      const { perSecond, fromMs = 0, untilMs = DURATION_MS } = stream;
      const isActive = clock.now >= fromMs && clock.now < untilMs;
      const mean = isActive ? (perSecond * TICK_MS) / 1_000 : 0;
      for (let sum = -Math.log(1 - next()); sum < mean; sum -= Math.log(1 - next())) arrive(stream);
    }
  }
  return tallies;
}

export const shareOf = ({ served, offered }: Tally) => served / offered;
