import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import * as recorder from '../../rollouts/evidenceRecorder.js';
import * as exchange from '../evidenceExchange.js';

/** A node and the position of the stream to its parent, which is 0 on a new stream. */
class Peer {
  readonly evidence = new exchange.EvidenceExchange();

  private readonly counters = new recorder.EvidenceRecorder('n', 1, 0);

  private position = 0;

  private parent: Peer | null = null;

  serve(count: number): void {
    for (let at = 0; at < count; at++) {
      this.counters.record({
        rollout: 's.1',
        version: 'v2',
        route: 'proof',
        server: `server-${at % 2}`,
        outcome: at % 3 === 0 ? 'error' : 'ok',
        latencyMs: 5,
        coldStart: false,
      });
    }
    this.counters.samples().forEach((sample) => this.evidence.addSample(sample, ''));
  }

  flushTo(parent: Peer): number {
    if (this.parent !== parent) this.position = 0;
    this.parent = parent;
    const samples = this.evidence.samplesSince(this.position, 'parent');
    this.position = this.evidence.currentSequence;
    samples.forEach((sample) => parent.evidence.addSample(sample, 'child'));
    return samples.length;
  }

  get total(): number {
    const [sample] = this.evidence.allSamples;
    return (sample?.ok ?? 0) + (sample?.errors ?? 0);
  }
}

describe('evidence exchange', () => {
  it('never counts a request twice when nodes change parents or root and relay swap roles', () => {
    const action = fc.record({
      who: fc.integer({ min: 0, max: 3 }),
      to: fc.integer({ min: 0, max: 3 }),
      count: fc.integer({ min: 0, max: 5 }),
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 60 }), (actions) => {
        const peers = [new Peer(), new Peer(), new Peer(), new Peer()];
        let served = 0;
        for (const { who, to, count } of actions) {
          peers[who]?.serve(count);
          served += count;
          const [child, parent] = [peers[who], peers[to]];
          if (child !== undefined && parent !== undefined && who > to) child.flushTo(parent);
          for (const peer of peers) assert.ok(peer.total <= served);
        }
      }),
    );
  });

  it('does not send a former child its own counts when child and parent swap roles', () => {
    const [first, second] = [new Peer(), new Peer()];
    second.flushTo(first);
    second.serve(10);
    second.flushTo(first);
    first.flushTo(second);
    first.serve(1);
    first.flushTo(second);
    assert.equal(second.total, 11);
  });

  it('loses nothing on an open stream, and sends nothing for unchanged series', () => {
    const [leaf, relay, root] = [new Peer(), new Peer(), new Peer()];
    leaf.flushTo(relay);
    relay.flushTo(root);
    for (let round = 1; round <= 20; round++) {
      leaf.serve(round);
      leaf.flushTo(relay);
      relay.flushTo(root);
    }
    assert.deepEqual(
      root.evidence.allSamples[0]?.servers.map(({ ok, errors }) => ok + errors),
      [110, 100],
    );
    assert.equal(root.total, 210);
    assert.equal(leaf.flushTo(relay), 0);
  });

  it('sends one sample of a series for any number of children', () => {
    const [relay, root] = [new Peer(), new Peer()];
    relay.flushTo(root);
    const children = Array.from({ length: 10 }, () => new Peer());
    children.forEach((child) => child.flushTo(relay));
    for (const child of children) {
      child.serve(3);
      child.flushTo(relay);
    }
    assert.equal(relay.flushTo(root), 1);
    assert.equal(root.total, 30);
  });
});
