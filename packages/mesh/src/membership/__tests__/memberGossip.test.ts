import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as fixtures from '../../__tests__/fixtures.js';
import * as members from '../members.js';
import * as memberGossip from '../memberGossip.js';
import * as neighbours from '../neighbours.js';

/** Digest rounds within which all lost messages must be repaired. */
const REPAIR_ROUNDS = 6;
const ROUND_MS = 2_000;

interface Envelope {
  from: members.Member;
  to: ids.NodeId;
  message: memberGossip.GossipMessage;
}

class FakeNode {
  readonly table: members.MemberTable;

  readonly overlay: neighbours.Neighbours;

  readonly gossip: memberGossip.MemberGossip;

  isAlive = true;

  constructor(
    readonly self: members.Member,
    fleet: FakeFleet,
  ) {
    this.table = new members.MemberTable(self, () => fleet.nowMs);
    this.overlay = new neighbours.Neighbours({
      table: this.table,
      isReachable: (node) => fleet.isAlive(node),
      reachabilityVersion: () => fleet.reachabilityChanges,
    });
    this.gossip = new memberGossip.MemberGossip({
      table: this.table,
      neighbours: this.overlay,
      send: (to, message) => fleet.send({ from: self, to, message }),
      onPending: () => fleet.pending.add(this),
      nowMs: () => fleet.nowMs,
    });
  }
}

/** Nodes in one process, with a transport that drops and reorders messages. */
class FakeFleet {
  nowMs = 0;

  reachabilityChanges = 0;

  sentCount = 0;

  lossRatio = 0;

  readonly pending = new Set<FakeNode>();

  readonly nodes = new Map<ids.NodeId, FakeNode>();

  private queue: Envelope[] = [];

  private readonly rng: ReturnType<typeof random.xoroshiro128plus>;

  constructor(size: number, domains: number, seed: number) {
    this.rng = random.xoroshiro128plus(seed);
    const selves = Array.from({ length: size }, (_, i) =>
      fixtures.member(`n${i}`, {}, `d${i % domains}`),
    );
    for (const self of selves) this.nodes.set(self.node, new FakeNode(self, this));
    for (const { table } of this.nodes.values()) {
      for (const self of selves) if (self.node !== table.self.node) table.merge(self);
    }
  }

  isAlive(node: ids.NodeId): boolean {
    return this.nodes.get(node)?.isAlive ?? false;
  }

  at(i: number): FakeNode {
    return this.nodes.get(ids.nodeId(`n${i}`))!;
  }

  send(envelope: Envelope): void {
    this.sentCount += 1;
    if (this.nextRandom() >= this.lossRatio) this.queue.push(envelope);
  }

  kill(node: FakeNode): void {
    node.isAlive = false;
    this.reachabilityChanges += 1;
  }

  publish(node: FakeNode, upstream: members.UpstreamState | null): void {
    node.table.updateSelf(upstream);
    node.gossip.announceSelf();
    this.deliverAll();
  }

  /** Delivers all messages in transit, in random order. */
  deliverAll(): void {
    while (this.queue.length > 0 || this.pending.size > 0) {
      while (this.queue.length > 0) {
        const [envelope] = this.queue.splice(Math.floor(this.nextRandom() * this.queue.length), 1);
        this.deliver(envelope!);
      }
      for (const node of [...this.pending]) {
        this.pending.delete(node);
        node.gossip.flush();
      }
    }
  }

  runDigestRound(): void {
    this.nowMs += ROUND_MS;
    for (const node of this.nodes.values()) if (node.isAlive) node.gossip.sendDigests();
    this.deliverAll();
  }

  /** Live nodes that do not have the latest record of a node. */
  nodesWithoutLatest(about: FakeNode): string[] {
    return [...this.nodes.values()]
      .filter(({ isAlive, table }) => {
        const known = table.get(about.self.node);
        return isAlive && known?.sequence !== about.self.sequence;
      })
      .map(({ self }) => self.node);
  }

  private deliver({ from, to, message }: Envelope): void {
    const node = this.nodes.get(to)!;
    if (!node.isAlive) return;
    const reply = (back: memberGossip.GossipMessage) =>
      this.send({ from: node.self, to: from.node, message: back });
    node.gossip.receive(from, message, reply);
  }

  private nextRandom(): number {
    return uniform.uniformFloat64(this.rng);
  }
}

const leaving = (node: FakeNode) => ({ ...node.self.upstream!, leaving: true, accepting: false });

describe('MemberGossip', () => {
  for (const size of [12, 195, 800]) {
    it(`informs all ${size} nodes that an upstream is leaving, with few messages`, () => {
      const fleet = new FakeFleet(size, 8, 1);
      const node = fleet.at(size - 1);
      fleet.publish(node, leaving(node));
      assert.deepEqual(fleet.nodesWithoutLatest(node), []);
      // Two relays on each side forward a record, so each node receives it at most four times.
      assert.ok(fleet.sentCount < 4 * size + 8 * 8, String(fleet.sentCount));
    });
  }

  it('keeps few links per node in a large fleet', () => {
    const fleet = new FakeFleet(800, 10, 1);
    const links = [...fleet.nodes.values()].map(({ overlay }) => overlay.persistent.size);
    const inDomain = 800 / 10 - 1;
    assert.ok(Math.max(...links) <= inDomain + 2 * 9, String(Math.max(...links)));
    assert.equal(links.filter((count) => count > inDomain).length, 2 * 10);
  });

  it('informs all nodes while one relay of each failure domain is down', () => {
    const fleet = new FakeFleet(195, 8, 3);
    for (const relay of fleet.at(0).overlay.remoteRelays.filter((_, i) => i % 2 === 0)) {
      fleet.kill(fleet.nodes.get(relay.node)!);
    }
    const node = [...fleet.nodes.values()].find(({ isAlive }) => isAlive)!;
    fleet.publish(node, leaving(node));
    assert.deepEqual(fleet.nodesWithoutLatest(node), []);
  });

  it('repairs all lost messages by digests, in any order of records', () => {
    const changes = fc.array(fc.nat({ max: 47 }), { minLength: 1, maxLength: 12 });
    fc.assert(
      fc.property(
        changes,
        fc.integer(),
        fc.double({ min: 0, max: 0.7, noNaN: true }),
        (at, seed, loss) => {
          const fleet = new FakeFleet(48, 4, seed);
          fleet.lossRatio = loss;
          for (const i of at) {
            const node = fleet.at(i);
            fleet.publish(node, { ...node.self.upstream!, slots: node.self.sequence + 1 });
          }
          fleet.lossRatio = 0;
          for (let i = 0; i < REPAIR_ROUNDS; i += 1) fleet.runDigestRound();
          for (const i of at) assert.deepEqual(fleet.nodesWithoutLatest(fleet.at(i)), []);
        },
      ),
      { numRuns: 50 },
    );
  });

  it('removes a node in all failure domains, and adds it again when it publishes a new record', () => {
    const fleet = new FakeFleet(48, 4, 5);
    const node = fleet.at(7);
    fleet.kill(node);
    for (const other of fleet.nodes.values()) {
      if (other.isAlive && other.self.domain === node.self.domain) {
        other.gossip.removeNode(node.self.node);
      }
    }
    fleet.deliverAll();
    fleet.runDigestRound();
    const knowing = [...fleet.nodes.values()].filter(
      ({ isAlive, table }) => isAlive && table.get(node.self.node) !== undefined,
    );
    assert.deepEqual(knowing, []);
    node.isAlive = true;
    fleet.reachabilityChanges += 1;
    fleet.publish(node, node.self.upstream);
    assert.deepEqual(fleet.nodesWithoutLatest(node), []);
  });

  it('sends only digests once all nodes have the same records', () => {
    const fleet = new FakeFleet(48, 4, 6);
    fleet.runDigestRound();
    fleet.sentCount = 0;
    fleet.runDigestRound();
    const digests = fleet.sentCount;
    fleet.sentCount = 0;
    fleet.runDigestRound();
    assert.equal(fleet.sentCount, digests);
  });
});

describe('MemberTable', () => {
  const self = fixtures.member('self');

  it('keeps the newest record in any order of arrival', () => {
    const sequences = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 });
    fc.assert(
      fc.property(sequences, (order) => {
        const table = new members.MemberTable({ ...self });
        for (const sequence of order) table.merge({ ...fixtures.member('b'), sequence });
        assert.equal(table.get(ids.nodeId('b'))!.sequence, Math.max(...order));
      }),
    );
  });

  it('continues after the sequence that other nodes know from before a restart', () => {
    const table = new members.MemberTable({ ...self });
    table.updateSelf(null, 57);
    assert.equal(table.self.sequence, 58);
  });

  it('accepts a node that was removed by mistake again after a while', () => {
    let now = 0;
    const table = new members.MemberTable({ ...self }, () => now);
    const other = fixtures.member('b');
    table.merge(other);
    table.remove(other.node);
    assert.equal(table.merge(other), false);
    now = 60_000;
    assert.equal(table.merge(other), true);
  });
});
