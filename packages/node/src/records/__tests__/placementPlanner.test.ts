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
const REMOTE_REGION = 'r2';

describe('placement planner', () => {
  let clock: clocks.ManualClock;
  let objects: memoryObjectStore.MemoryObjectStore;
  let table: memberTable.MemberTable;
  let known: Map<string, placements.Placement>;
  let once: string[];
  /** Nodes that respond to a probe; the others are down. */
  let alive: Set<string>;
  let probed: string[];
  let planner: placementPlanner.PlacementPlanner;
  let revision = 0;

  function startRoot(): void {
    table = new memberTable.MemberTable(ids.regionName('r1'), clock);
    planner = new placementPlanner.PlacementPlanner(
      table,
      objects,
      clock,
      logging.createSilentLogger(),
      {
        onceServices: () => once,
        known,
        fullHistoryWaitMs: () => testing.RETENTION_MS + testing.LEASE_MS,
        isAlive: async ({ node }) => {
          probed.push(node);
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

  /** Merges a summary of the remote region that lists these members as entries. */
  function mergeRemoteSummary(entries: distribution.Member[]): void {
    revision += 1;
    const versions = [{ service: SERVICE, version: 'v1', servers: 9, slots: 9, entries }];
    const summary = { region: REMOTE_REGION, revision, nodes: 9, relays: [], versions };
    table.mergeSummary(distribution.RegionSummary.fromPartial(summary), 'relay');
  }

  /** Plans once per second, as the root does, and reads back the stored placement. */
  async function run(ms: number): Promise<placements.Placement> {
    for (let passedMs = 0; passedMs <= ms; passedMs += TICK_MS) {
      await planner.planAll();
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
    probed = [];
    startRoot();
  });

  it('waits for three members, then writes a first placement with fewer, so that the service works', async () => {
    join(0, 1);
    assert.equal(await run(placementPlanner.SMALL_GROUP_WAIT_MS - TICK_MS), undefined);
    assert.deepEqual(names(await run(TICK_MS)), ['n0', 'n1']);
  });

  it('does not replace a stored placement that it has not read yet, from a partial member table', async () => {
    join(0, 1, 4, 5);
    await run(0);
    known.clear();
    startRoot();
    join(0);
    await planner.planAll();
    clock.advance(placementPlanner.SMALL_GROUP_WAIT_MS);
    await planner.planAll();
    const stored = await objects.get('placement', SERVICE);
    assert.equal(placements.Placement.parse(stored?.value).epoch, 1);
  });

  it('retains holders that a new root does not see yet, otherwise all keys would wait for copies', async () => {
    join(0, 1, 4, 5);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    startRoot();
    join(0);
    assert.equal((await run(holderPresence.ABSENCE_GRACE_MS - TICK_MS * 2)).epoch, 1);
    alive = new Set(['n1', 'n4', 'n5']);
    assert.equal((await run(holderPresence.ABSENCE_GRACE_MS)).epoch, 1);
    alive.delete('n5');
    assert.deepEqual(names(await run(holderPresence.ABSENCE_GRACE_MS * 2)), ['n0', 'n1', 'n4']);
  });

  it('discards absences from before an interval in which another node was the root', async () => {
    join(0, 1, 4, 5);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    table.remove('n5', 1, 'child');
    await run(TICK_MS * 5);
    clock.advance(holderPresence.ABSENCE_GRACE_MS * 2);
    assert.equal((await run(TICK_MS * 5)).epoch, 1);
  });

  it('writes no epoch when a node leaves and rejoins, and one when it restarts', async () => {
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

  it('replaces a holder that no longer serves the service without probing it', async () => {
    join(0, 1, 4, 5);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    table.merge({ ...announced(5), upstream: undefined }, 'child');
    assert.deepEqual(names(await run(holderPresence.ABSENCE_GRACE_MS)), ['n0', 'n1', 'n4']);
    assert.deepEqual(probed, []);
  });

  it('retains a holder that the summary of its region no longer lists', async () => {
    join(0, 1);
    mergeRemoteSummary([announced(2), announced(3)]);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    mergeRemoteSummary([announced(2)]);
    alive = new Set(['n2', 'n3']);
    assert.equal((await run(holderPresence.ABSENCE_GRACE_MS * 4)).epoch, 1);
    const probes = probed.filter((node) => node === 'n3').length;
    assert.ok(probes > 0 && probes <= 4, `probed ${probes} times`);
    // Over a broken link no holder responds, which does not prove that one is down.
    alive.clear();
    assert.equal((await run(holderPresence.ABSENCE_GRACE_MS * 2)).epoch, 1);
    alive.add('n2');
    assert.deepEqual(names(await run(holderPresence.ABSENCE_GRACE_MS * 2)), ['n0', 'n1', 'n2']);
  });

  it('maintains a placement without once routes, because the route may be added again', async () => {
    join(0, 1, 4);
    await run(placements.MIN_EPOCH_INTERVAL_MS);
    once = [];
    table.merge(announced(1, 2), 'child');
    assert.equal((await run(placements.MIN_EPOCH_INTERVAL_MS)).epoch, 2);
  });

  it('grants claims of every key during a rolling restart of seven servers', async (t) => {
    const servers = [0, 1, 2, 3, 4, 5, 6];
    const keys = Array.from({ length: 40 }, (_, i) => `k${i}`);
    const incarnations = servers.map(() => 1);
    const stores: (recordStore.RecordStore | null)[] = servers.map((i) =>
      testing.createStore(i, 1, clock),
    );
    const publish = () => {
      const remote = servers.filter(
        (i) => testing.member(i).region === REMOTE_REGION && stores[i] !== null,
      );
      mergeRemoteSummary(remote.map((i) => announced(i, incarnations[i])));
    };
    const tick = async () => {
      const placement = await run(0);
      stores.forEach((store) => store?.adopt(placement));
      for (const store of stores) {
        const req = store?.copyRequest(SERVICE);
        if (store === null || !req) continue;
        for (const { node } of store.copySources(SERVICE)) {
          const source = stores.find((each) => each?.node === node);
          if (source) store.merge(SERVICE, node, req.epoch, source.createCopy(req));
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
    servers.filter((i) => testing.member(i).region !== REMOTE_REGION).forEach((i) => join(i));
    publish();
    claimAll(await tick());
    for (const i of servers) {
      const isLocal = testing.member(i).region !== REMOTE_REGION;
      if (isLocal) table.remove(`n${i}`, incarnations[i]!, 'child');
      stores[i] = null;
      publish();
      for (let n = 0; n < 3; n++) claimAll(await tick());
      incarnations[i] = clock.nowMs();
      stores[i] = testing.createStore(i, incarnations[i], clock);
      if (isLocal) table.merge(announced(i, incarnations[i]), 'child');
      publish();
      let recovered = false;
      while (!recovered) {
        const placement = await tick();
        claimAll(placement);
        const held = keys.filter((key) => holdersOf(placement, key).includes(stores[i]));
        recovered = held.every((key) => stores[i]!.isReady(SERVICE, key));
      }
    }
    const { epoch } = await tick();
    const seconds = (clock.monotonicMs() - startMs) / 1_000;
    t.diagnostic(
      `7 servers, 3 s each stopped: recovered after ${seconds} s of model time, epoch ${epoch}`,
    );
    assert.ok(epoch <= 8, `epoch ${epoch}`);
  });
});
