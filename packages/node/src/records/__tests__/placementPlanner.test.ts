import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { clock as clocks, ids, placement as placements } from '@godwittrack/core';
import { memoryObjectStore } from '@godwittrack/platform';
import { distribution, records } from '@godwittrack/protocol';
import * as logging from '../../logging.js';
import * as memberTable from '../../membership/memberTable.js';
import * as holderPresence from '../holderPresence.js';
import * as placementPlanner from '../placementPlanner.js';
import type * as recordStore from '../recordStore.js';
import * as testing from './recordFixtures.js';

const { SERVICE } = testing;
const TICK_MS = 1_000;
const FAR = 'r2';

describe('placement planner', () => {
  let clock: clocks.ManualClock;
  let objects: memoryObjectStore.MemoryObjectStore;
  let table: memberTable.MemberTable;
  let known: Map<string, placements.Placement>;
  let once: string[];
  /** Nodes that answer a question; the others are down. */
  let alive: Set<string>;
  let asked: string[];
  let planner: placementPlanner.PlacementPlanner;
  let revision = 0;

  function start(): void {
    table = new memberTable.MemberTable(ids.regionName('r1'), clock);
    planner = new placementPlanner.PlacementPlanner(
      table,
      objects,
      clock,
      logging.createSilentLogger(),
      {
        onceServices: () => once,
        known,
        waitMs: () => testing.RETENTION_MS + testing.LEASE_MS,
        answers: async ({ node }) => {
          asked.push(node);
          return alive.has(node);
        },
      },
    );
  }

  function announced(i: number, startedAtMs = 1): distribution.Member {
    revision += 1;
    return distribution.Member.fromPartial({
      ...testing.member(i),
      incarnation: startedAtMs,
      revision,
      startedAtMs,
      upstream: { service: SERVICE, version: 'v1' },
      ready: true,
    });
  }

  function join(...indexes: number[]): void {
    indexes.forEach((i) => table.merge(announced(i), 'child'));
  }

  /** The other region names these members as its entries. */
  function summarize(entries: distribution.Member[]): void {
    revision += 1;
    const versions = [{ service: SERVICE, version: 'v1', servers: 9, slots: 9, entries }];
    const summary = { region: FAR, revision, nodes: 9, relays: [], versions };
    table.mergeSummary(distribution.RegionSummary.fromPartial(summary), 'relay');
  }

  /** Plans once each second, as the root does; the node watches what it wrote. */
  async function run(ms: number): Promise<placements.Placement> {
    for (let passedMs = 0; passedMs <= ms; passedMs += TICK_MS) {
      await planner.round();
      const stored = await objects.get('placement', SERVICE);
      if (stored !== null) known.set(SERVICE, placements.Placement.parse(stored.value));
      clock.advance(TICK_MS);
    }
    return known.get(SERVICE)!;
  }

  const names = (placement: placements.Placement) =>
    placement.members.map(({ node }) => node as string).sort();

  beforeEach(() => {
    clock = new clocks.ManualClock(1);
    objects = new memoryObjectStore.MemoryObjectStore();
    known = new Map();
    once = [SERVICE];
    alive = new Set();
    asked = [];
    start();
  });

  it('waits for three members at first, then takes a small group, so that it serves at all', async () => {
    join(0, 1);
    assert.equal(await run(placementPlanner.SMALL_GROUP_WAIT_MS - TICK_MS), undefined);
    assert.deepEqual(names(await run(TICK_MS)), ['n0', 'n1']);
  });

  it('does not plan from a few members over a placement that it has not read yet', async () => {
    join(0, 1, 4, 5);
    await run(0);
    known.clear();
    start();
    join(0);
    await planner.round();
    clock.advance(placementPlanner.SMALL_GROUP_WAIT_MS);
    await planner.round();
    const stored = await objects.get('placement', SERVICE);
    assert.equal(placements.Placement.parse(stored?.value).epoch, 1);
  });

  it('keeps the holders when a new root does not see them yet, else all keys would wait', async () => {
    join(0, 1, 4, 5);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    start();
    join(0);
    assert.equal((await run(holderPresence.ABSENCE_MS - TICK_MS * 2)).epoch, 1);
    alive = new Set(['n1', 'n4', 'n5']);
    assert.equal((await run(holderPresence.ABSENCE_MS)).epoch, 1);
    alive.delete('n5');
    assert.deepEqual(names(await run(holderPresence.ABSENCE_MS * 2)), ['n0', 'n1', 'n4']);
  });

  it('counts no absence from before a time in which another node was the root', async () => {
    join(0, 1, 4, 5);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    table.remove('n5', 1, 'child');
    await run(TICK_MS * 5);
    clock.advance(holderPresence.ABSENCE_MS * 2);
    assert.equal((await run(TICK_MS * 5)).epoch, 1);
  });

  it('spends no epoch on a node that leaves and joins again, and one on a restart', async () => {
    join(0, 1, 4);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    table.remove('n1', 1, 'child');
    await run(TICK_MS * 5);
    table.merge({ ...announced(1), incarnation: 2 }, 'child');
    assert.equal((await run(placements.MIN_EPOCH_INTERVAL_MS)).epoch, 1);
    table.remove('n1', 2, 'child');
    await run(TICK_MS * 5);
    table.merge(announced(1, 3), 'child');
    assert.equal((await run(placements.MIN_EPOCH_INTERVAL_MS * 3)).epoch, 2);
  });

  it('replaces a holder that serves another service now without asking it', async () => {
    join(0, 1, 4, 5);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    table.merge({ ...announced(5), upstream: undefined }, 'child');
    assert.deepEqual(names(await run(holderPresence.ABSENCE_MS)), ['n0', 'n1', 'n4']);
    assert.deepEqual(asked, []);
  });

  it('keeps a holder that another region no longer names among its three entries', async () => {
    join(0, 1);
    summarize([announced(2), announced(3)]);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    summarize([announced(2)]);
    alive = new Set(['n2', 'n3']);
    assert.equal((await run(holderPresence.ABSENCE_MS * 4)).epoch, 1);
    const questions = asked.filter((node) => node === 'n3').length;
    assert.ok(questions > 0 && questions <= 4, `asked ${questions} times`);
    // Behind a cut link nobody answers, and that is no proof of a loss.
    alive.clear();
    assert.equal((await run(holderPresence.ABSENCE_MS * 2)).epoch, 1);
    alive.add('n2');
    assert.deepEqual(names(await run(holderPresence.ABSENCE_MS * 2)), ['n0', 'n1', 'n2']);
  });

  it('keeps up a placement without once routes, because the route may return', async () => {
    join(0, 1, 4);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    once = [];
    table.merge(announced(1, 2), 'child');
    assert.equal((await run(placements.MIN_EPOCH_INTERVAL_MS)).epoch, 2);
  });

  it('serves every key during a rolling restart of seven servers', async (t) => {
    const servers = [0, 1, 2, 3, 4, 5, 6];
    const keys = Array.from({ length: 40 }, (_, i) => `k${i}`);
    const lives = servers.map(() => 1);
    const stores: (recordStore.RecordStore | null)[] = servers.map((i) =>
      testing.createStore(i, 1, clock),
    );
    const publish = () => {
      const far = servers.filter((i) => testing.member(i).region === FAR && stores[i] !== null);
      summarize(far.map((i) => announced(i, lives[i])));
    };
    const tick = async () => {
      const placement = await run(0);
      stores.forEach((store) => store?.adopt(placement));
      for (const store of stores) {
        const req = store?.copyRequest(SERVICE);
        if (store === null || !req) continue;
        for (const { node } of store.copySources(SERVICE)) {
          const source = stores.find((each) => each?.node === node);
          if (source) store.merge(SERVICE, node, req.epoch, source.copyFor(req));
        }
      }
      return placement;
    };
    const holdersOf = (placement: placements.Placement, key: string) =>
      placement.holders(key).map(({ node }) => stores.find((store) => store?.node === node));
    const startMs = clock.monotonicMs();
    let claims = 0;
    const claimAll = (placement: placements.Placement) =>
      keys.forEach((key) => {
        claims += 1;
        const req = { ...testing.claimRequest(`c${claims}`, key), epoch: placement.epoch };
        const replies = holdersOf(placement, key).flatMap((store) => store?.claim(req) ?? []);
        const granted = replies.filter(
          ({ result }) => result === records.ClaimResult.CLAIM_RESULT_GRANTED,
        );
        const { claim } = req;
        holdersOf(placement, key).forEach((store) =>
          store?.release({ service: SERVICE, key, claim }),
        );
        assert.ok(granted.length >= 2, `${key} at ${clock.monotonicMs() - startMs} ms`);
      });
    servers.filter((i) => testing.member(i).region !== FAR).forEach((i) => join(i));
    publish();
    claimAll(await tick());
    for (const i of servers) {
      const near = testing.member(i).region !== FAR;
      if (near) table.remove(`n${i}`, lives[i]!, 'child');
      stores[i] = null;
      publish();
      for (let n = 0; n < 3; n++) claimAll(await tick());
      lives[i] = clock.nowMs();
      stores[i] = testing.createStore(i, lives[i], clock);
      if (near) table.merge(announced(i, lives[i]), 'child');
      publish();
      let whole = false;
      while (!whole) {
        const placement = await tick();
        claimAll(placement);
        const held = keys.filter((key) => holdersOf(placement, key).includes(stores[i]));
        whole = held.every((key) => stores[i]!.isReady(SERVICE, key));
      }
    }
    const { epoch } = await tick();
    const seconds = (clock.monotonicMs() - startMs) / 1_000;
    t.diagnostic(
      `7 servers, 3 s each stopped: whole after ${seconds} s of model time, epoch ${epoch}`,
    );
    assert.ok(epoch <= 8, `epoch ${epoch}`);
  });
});
