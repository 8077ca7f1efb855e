/**
 * Simulates a rollout in a fleet, with simulated time and without network: every node is an entry node
 * and runs beside one upstream, evidence and phases travel between nodes with a delay.
 */

import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import { failures, ids } from '@godwittrack/core';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as fixtures from '../../__tests__/fixtures.js';
import type * as storePosition from '../../config/storePosition.js';
import * as members from '../../membership/members.js';
import * as versionChooser from '../../routing/versionChooser.js';
import * as evidence from '../evidence.js';
import type * as phases from '../phases.js';
import * as rolloutController from '../rolloutController.js';
import * as rolloutTable from '../rolloutTable.js';
import * as versionComparison from '../versionComparison.js';
import * as rolloutStore from './rolloutStore.js';
import * as simulatedWork from './simulatedWork.js';

export const SHOP = ids.serviceName('shop');
export const STABLE = ids.versionName('v1');
export const TARGET = ids.versionName('v2');

/** Bound of the exposure, as the operators state it: a share of all requests, and some more. */
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_SLACK = 50;

const STEP_MS = 10;
const TICK_MS = 100;
const MESSAGE_MS = 30;
const UPSTREAMS_PER_VERSION = 6;
/** Time from the order until the first upstream of the target has started. */
const START_MS = 1_400;
/** Simulated time after the deadline, for late requests and late records. */
const AFTERWARDS_MS = 12_000;
const ROUTE_B_SHARE = 0.25;
/** A bad version gets no requests later than this after its 50th bad answer. */
const ROLLBACK_MS = 5_000;
const ROLLBACK_BAD_ANSWERS = 50;
export interface SimulationOptions extends simulatedWork.WorkOptions {
  durationMs: number;
  requestsPerSecond: number;
  /** Probability that the target fails the request. */
  targetFailure: (run: simulatedWork.Run) => number;
  /** The same for the other version. */
  stableFailure?: (run: simulatedWork.Run) => number;
  /** Whether the store is away at this time since the order. */
  isStoreAway?: (sinceOrderMs: number) => boolean;
  /** Nodes that are cut off from the others, but not from the store, at this time since the order. */
  cutOff?: (sinceOrderMs: number) => readonly number[];
}

export interface SimulationResult {
  /** Requests that reached the target, and both versions, between the order and the deadline. */
  atTarget: number;
  atService: number;
  failed: number;
  /** Responses of the target that failed, or that its fault slowed down. */
  bad: number;
  /** Requests to the target that were sent more than `ROLLBACK_MS` after its 50th bad answer. */
  late: number;
  outcome: phases.RecordedPhase | null;
  /** Time since the order. */
  recordedAtMs: number | null;
  reason: string | null;
}

/** Whether the target got no more requests by the deadline than operators allow. */
export function isBounded({ atTarget, atService }: SimulationResult): boolean {
  return atTarget <= EXPOSURE_SHARE * atService + EXPOSURE_SLACK;
}

interface Message {
  atMs: number;
  from: number;
  to: number;
  deliver: () => void;
}

interface Node {
  index: number;
  member: members.Member;
  rollouts: rolloutTable.RolloutTable;
  comparison: versionComparison.VersionComparison;
  controller: rolloutController.RolloutController;
  recorder: evidence.EvidenceRecorder;
  chooser: versionChooser.VersionChooser;
  running: number;
  speed: number;
}

interface Ending {
  atMs: number;
  node: Node;
  run: evidence.Run;
  failed: boolean;
  isBad: boolean;
}

class SimulatedStore extends rolloutStore.RolloutStore {
  stored: phases.RolloutRecord;

  constructor(
    durationMs: number,
    private readonly isAway: () => boolean,
    private readonly onWrite: (record: phases.RolloutRecord) => void,
  ) {
    super();
    this.stored = { service: SHOP, target: TARGET, durationMs, recorded: null, position: at(1) };
  }

  readonly rollouts = {
    read: () => {
      if (this.isAway()) return Promise.reject(unavailable());
      return Promise.resolve({ cursor: this.stored.position, value: [{ ...this.stored }] });
    },
    watch: () => assert.fail('not watched'),
  };

  recordRollout(
    record: phases.RolloutRecord,
    outcome: phases.RecordedPhase,
  ): Promise<storePosition.StorePosition | null> {
    if (this.isAway()) return Promise.reject(unavailable());
    const { revision } = this.stored.position;
    if (record.position.revision !== revision) return Promise.resolve(null);
    this.stored = { ...record, recorded: outcome, position: at(revision + 1) };
    this.onWrite(this.stored);
    return Promise.resolve(this.stored.position);
  }
}

function at(revision: number): storePosition.StorePosition {
  return { era: ids.storeEra(1), revision };
}

function unavailable(): Error {
  return failures.toError({ type: 'platformUnavailable', operation: 'read', detail: 'away' });
}

export class RolloutSimulation {
  private nowMs = 0;

  private readonly rng: ReturnType<typeof random.xoroshiro128plus>;

  private readonly nodes: Node[] = [];

  private readonly store: SimulatedStore;

  private readonly work: simulatedWork.SimulatedWork;

  private messages: Message[] = [];

  private endings: Ending[] = [];

  private fiftiethBadAtMs = Infinity;

  private readonly result: SimulationResult = {
    atTarget: 0,
    atService: 0,
    failed: 0,
    bad: 0,
    late: 0,
    outcome: null,
    recordedAtMs: null,
    reason: null,
  };

  constructor(private readonly options: SimulationOptions) {
    this.rng = random.xoroshiro128plus(options.seed);
    this.work = new simulatedWork.SimulatedWork(options, () => this.random());
    const isAway = () => options.isStoreAway?.(this.nowMs) ?? false;
    this.store = new SimulatedStore(options.durationMs, isAway, (record) => this.onRecord(record));
    for (let index = 0; index < 2 * UPSTREAMS_PER_VERSION; index += 1) {
      this.nodes.push(this.createNode(index));
    }
  }

  async run(): Promise<SimulationResult> {
    const { requestsPerSecond, durationMs } = this.options;
    for (const node of this.nodes) node.rollouts.applyRecord({ ...this.store.stored });
    let ticks = 0;
    while (this.nowMs < durationMs + AFTERWARDS_MS) {
      this.nowMs += STEP_MS;
      this.deliverMessages();
      this.endRequests();
      const expected = (requestsPerSecond * STEP_MS) / 1_000;
      for (let due = this.random() * 2 * expected; due > this.random(); due -= 1) {
        this.startRequest();
      }
      if (this.nowMs % TICK_MS === 0) {
        ticks += 1;
        this.tick(ticks);
        await timers.setImmediate();
        await timers.setImmediate();
      }
    }
    return this.result;
  }

  private createNode(index: number): Node {
    const isStable = index < UPSTREAMS_PER_VERSION;
    const version = isStable ? STABLE : TARGET;
    const member = fixtures.member(`n${index}`, { version, accepting: isStable });
    const log = fixtures.silentLog();
    const nowMs = () => this.nowMs;
    const rollouts = new rolloutTable.RolloutTable(log, nowMs);
    const comparison = new versionComparison.VersionComparison(nowMs);
    const recorder = new evidence.EvidenceRecorder(nowMs);
    const chooser = new versionChooser.VersionChooser({
      rollouts,
      maxExposureShare: EXPOSURE_SHARE,
      exposureSlack: EXPOSURE_SLACK,
      nodeCount: () => this.nodes.length,
      random: () => this.random(),
    });
    const table = new members.MemberTable(member, nowMs);
    const controller = new rolloutController.RolloutController({
      table,
      reachable: () => this.reachableFrom(index),
      rollouts,
      comparison,
      store: this.store,
      maxExposureShare: EXPOSURE_SHARE,
      log,
      nowMs,
    });
    const node = {
      index,
      member,
      rollouts,
      comparison,
      controller,
      recorder,
      chooser,
      running: 0,
      speed: this.work.speedOf(index, !isStable),
    };
    table.all = () => this.nodes.map((each) => each.member).values();
    rollouts.onChange((state, origin) => {
      recorder.follow(state.target);
      if (state.reason !== null) this.result.reason = state.reason;
      if (origin === 'self') {
        this.broadcast(index, (to) => to.rollouts.merge([state], 'remote'));
      }
    });
    return node;
  }

  private tick(ticks: number): void {
    if (this.nowMs === START_MS) {
      for (const { member } of this.nodes) member.upstream!.accepting = true;
    }
    for (const node of this.nodes) {
      node.controller.tick();
      const { phase } = node.rollouts.newest(SHOP)!.state;
      if (evidence.isReportDue(phase, ticks)) this.sendEvidence(node);
    }
  }

  private sendEvidence(node: Node): void {
    const { service, version, instance, accepting } = node.member.upstream!;
    const newest = node.rollouts.newest(SHOP);
    if (newest === null || newest.state.phase === 'completed' || !accepting) return;
    const routes = node.recorder.countsByRoute();
    const load = node.running;
    const report = { node: node.member.node, service, version, instance, routes, load };
    const leader = node.controller.leader(SHOP);
    const receiver = this.nodes.find(({ member }) => member.node === leader)!;
    this.send(node.index, receiver.index, () => receiver.comparison.addReport(report));
  }

  private startRequest(): void {
    const entry = this.pick(this.nodes);
    const choice = entry.chooser.choose(SHOP);
    const serving = this.nodes.filter(
      ({ member }) =>
        member.upstream!.accepting && entry.rollouts.mayServe(SHOP, member.upstream!.version),
    );
    if (serving.length === 0) {
      this.result.failed += 1;
      return;
    }
    const preferred = serving.filter(({ member }) =>
      entry.chooser.allows(choice, member.upstream!.version),
    );
    const node = this.pick(preferred.length > 0 ? preferred : serving);
    if (choice !== null) entry.chooser.recordOffer(choice, node.member.upstream!.version);
    this.arrive(node, this.random() < ROUTE_B_SHARE ? 'b' : 'a');
  }

  private arrive(node: Node, route: string): void {
    node.running += 1;
    const { durationMs, targetFailure, stableFailure } = this.options;
    const isTarget = node.member.upstream!.version === TARGET;
    const run = {
      sinceStartMs: this.nowMs - START_MS,
      sinceOrderMs: this.nowMs,
      route,
      running: node.running,
      upstream: node.index % UPSTREAMS_PER_VERSION,
      isTarget,
    };
    const probability = (isTarget ? targetFailure(run) : stableFailure?.(run)) ?? 0;
    const failed = this.random() < probability;
    const faultFactor = isTarget ? this.work.faultFactor(run) : 1;
    const ms = this.work.workMs(node.speed, run) * faultFactor;
    const isBad = isTarget && (failed || faultFactor > 1);
    const evidenceRun = node.recorder.begin(route, this.work.coldFactor(run) > 1);
    this.endings.push({ atMs: this.nowMs + ms, node, run: evidenceRun, failed, isBad });
    if (this.nowMs <= durationMs) {
      this.result.atService += 1;
      if (isTarget) this.result.atTarget += 1;
    }
    if (isTarget && this.nowMs > this.fiftiethBadAtMs + ROLLBACK_MS) this.result.late += 1;
  }

  private endRequests(): void {
    const ended = this.endings.filter(({ atMs }) => atMs <= this.nowMs);
    this.endings = this.endings.filter(({ atMs }) => atMs > this.nowMs);
    for (const { node, run, failed, isBad } of ended) {
      node.running -= 1;
      if (failed) this.result.failed += 1;
      if (isBad) {
        this.result.bad += 1;
        if (this.result.bad === ROLLBACK_BAD_ANSWERS) this.fiftiethBadAtMs = this.nowMs;
      }
      node.recorder.end(run, failed ? 'failure' : 'success');
    }
  }

  /** On `completed` the platform stops the upstreams of the other version at once. */
  private onRecord(record: phases.RolloutRecord): void {
    if (record.recorded === 'completed') {
      for (const { member } of this.nodes) {
        if (member.upstream!.version === STABLE) member.upstream!.accepting = false;
      }
    }
    if (record.recorded !== 'running') {
      this.result.outcome = record.recorded;
      this.result.recordedAtMs = this.nowMs;
    }
    for (const { index, rollouts } of this.nodes) {
      this.messages.push({
        atMs: this.nowMs + MESSAGE_MS,
        from: index,
        to: index,
        deliver: () => rollouts.applyRecord(record),
      });
    }
  }

  private broadcast(from: number, deliver: (to: Node) => void): void {
    for (const to of this.nodes) {
      if (to.index !== from) this.send(from, to.index, () => deliver(to));
    }
  }

  private send(from: number, to: number, deliver: () => void): void {
    this.messages.push({ atMs: this.nowMs + MESSAGE_MS, from, to, deliver });
  }

  private deliverMessages(): void {
    const due = this.messages.filter(({ atMs }) => atMs <= this.nowMs);
    this.messages = this.messages.filter(({ atMs }) => atMs > this.nowMs);
    for (const { from, to, deliver } of due) {
      if (this.isCutOff(from) === this.isCutOff(to)) deliver();
    }
  }

  private reachableFrom(index: number): members.Member[] {
    return this.nodes
      .filter((each) => this.isCutOff(each.index) === this.isCutOff(index))
      .map(({ member }) => member);
  }

  private isCutOff(index: number): boolean {
    return this.options.cutOff?.(this.nowMs).includes(index) ?? false;
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!;
  }

  private random(): number {
    return uniform.uniformFloat64(this.rng);
  }
}
