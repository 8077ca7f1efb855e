import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as admissionQueue from '../admissionQueue.js';
import * as loadModel from './loadModel.js';

const { CAPACITY, MEAN_MS, shareOf, simulate } = loadModel;

function lowestShare(tallies: Record<string, loadModel.Tally>, except: string): number {
  const others = Object.entries(tallies).filter(([name]) => name !== except);
  return Math.min(...others.map(([, tally]) => shareOf(tally)));
}

/** Streams of customers of equal size. */
function customers(count: number, perSecond: number): loadModel.Stream[] {
  return Array.from({ length: count }, (_, i) => ({ name: `c${i}`, customer: `c${i}`, perSecond }));
}

describe('fair admission', () => {
  describe('flood of one customer of 8 times its usual rate', () => {
    const floodAt = (upstreams: number): loadModel.Stream[] => [
      { name: 'large', customer: 'large', perSecond: 8 * 0.2 * CAPACITY * upstreams },
      ...customers(5, 0.1 * CAPACITY * upstreams),
    ];

    it('takes nothing from the others at one upstream', () => {
      assert.ok(lowestShare(simulate(floodAt(1)), 'large') > 0.95);
      assert.ok(lowestShare(simulate(floodAt(1), { usesShares: false }), 'large') < 0.5);
    });

    // Back-off by route made the senders refuse the requests of the others too.
    it('is refused by its senders for its own share, and the others are not', () => {
      const { large, ...others } = simulate(floodAt(6), { upstreams: 6 });
      assert.ok(lowestShare(others, '') > 0.98);
      const { customerShareReached, noRoomInTime, queueTooLong } = large!.refused;
      assert.ok(customerShareReached! > 4 * queueTooLong!);
      assert.ok(noRoomInTime! > 0);
      for (const { refused } of Object.values(others))
        assert.equal(refused.noRoomInTime, undefined);
    });

    it('is forgotten soon after it ends', () => {
      const large = { customer: 'large', perSecond: 0.2 * CAPACITY };
      const { usual, ...others } = simulate([
        { ...large, name: 'flood', perSecond: 8 * large.perSecond, untilMs: 8_000 },
        { ...large, name: 'usual', fromMs: 8_500 },
        ...customers(5, 0.1 * CAPACITY),
      ]);
      assert.ok(shareOf(usual!) > 0.98, `${shareOf(usual!)}`);
      assert.ok(lowestShare(others, 'flood') > 0.95);
    });
  });

  it('serves many small customers beside a large one that uses what they leave', () => {
    const large = { name: 'large', customer: 'large', perSecond: CAPACITY };
    const tallies = simulate([large, ...customers(40, CAPACITY / 80)]);
    assert.ok(lowestShare(tallies, 'large') > 0.9);
    assert.ok(shareOf(tallies.large!) > 0.4);
  });

  it('refuses no urgent request in a burst of 2.6 times of the least urgent route', () => {
    const perSecond = 0.25 * CAPACITY;
    const { p0, p1 } = simulate([
      { name: 'p0', customer: 'a', priority: 0, perSecond },
      { name: 'p1', customer: 'a', priority: 1, perSecond },
      { name: 'p2', customer: 'a', priority: 2, perSecond: 2.6 * perSecond },
    ]);
    for (const tally of [p0!, p1!]) assert.ok(shareOf(tally) > 0.99);
    const waits = p0!.waitsMs.sort((a, b) => a - b);
    assert.ok(waits[Math.floor(waits.length * 0.9)]! < MEAN_MS / 2);
  });

  // Strict priorities excluded the least urgent requests for as long as the flood lasted.
  it('serves the less urgent at least a quarter as often as all in a flood of urgent requests', () => {
    for (const seed of [1, 2, 3]) {
      const streams = [
        { name: 'urgent', customer: 'a', perSecond: 2 * CAPACITY },
        { name: 'route', customer: 'b', priority: 1, perSecond: 0.3 * CAPACITY },
        { name: 'customer', customer: 'c', customerPriority: 2, perSecond: 0.12 * CAPACITY },
      ];
      const { urgent, ...less } = simulate(streams, { seed });
      const all = [urgent!, ...Object.values(less)];
      const sumOf = (field: 'served' | 'offered') => all.reduce((sum, t) => sum + t[field], 0);
      assert.ok(lowestShare(less, '') > sumOf('served') / sumOf('offered') / 4);
      for (const tally of Object.values(less)) assert.ok(shareOf(tally) < shareOf(urgent!));
    }
  });

  // Waiting requests with a long target filled the time of those with a short one.
  it('serves short requests of another customer beside a flood of long ones', () => {
    const { short } = simulate([
      { name: 'long', customer: 'a', perSecond: 160, targetMs: 1_500, deadlineMs: 3_000 },
      { name: 'short', customer: 'b', perSecond: 16, targetMs: 200, deadlineMs: 600 },
    ]);
    assert.ok(shareOf(short!) > 0.9);
  });

  // Calls of upstreams have no customer. The work of their parents is lost if they are refused.
  it('refuses calls of an urgent route less often than less urgent requests of the service', () => {
    const perSecond = 0.5 * CAPACITY;
    const tallies = simulate([
      { name: 'calls', customer: null, perSecond },
      { name: 'a', customer: 'a', priority: 1, perSecond },
      { name: 'b', customer: 'b', customerPriority: 1, perSecond },
    ]);
    assert.ok(shareOf(tallies.calls!) > 0.98);
    assert.ok(lowestShare(tallies, 'calls') < 0.9);
  });

  describe('a full queue', () => {
    type Request = admissionQueue.AdmissionRequest;

    const offerTo = (
      queue: admissionQueue.AdmissionQueue<Request>,
      overrides: Partial<Request>,
    ): [Request, admissionQueue.Decision<Request>] => {
      const times = { targetAtMs: 300, deadlineAtMs: 1_000, estimateMs: 100, transferWaitMs: 0 };
      const order = { customerPriority: 0, priority: 1, maxWaitMs: Infinity, share: 'a' };
      const request: Request = { ...times, ...order, ...overrides };
      return [request, queue.offer(request, 0)];
    };

    function fill(overrides: Partial<Request> = {}) {
      const queue = new admissionQueue.AdmissionQueue<Request>();
      queue.setSlots(1);
      const [running] = offerTo(queue, {});
      let last = running;
      for (let i = 0; i < 100; i += 1) {
        const [request, decision] = offerTo(queue, overrides);
        if (decision.type === 'refuse') return { queue, running, last, decision };
        last = request;
      }
      return assert.fail('the queue is never full');
    }

    const displacedBy = ([, decision]: [Request, admissionQueue.Decision<Request>]) =>
      decision.type === 'wait' ? decision.displaced : assert.fail(JSON.stringify(decision));

    it('refuses the last request of the customer above its share at once, which never runs', () => {
      const { queue, running, last, decision } = fill();
      assert.equal(decision.reason, admissionQueue.CUSTOMER_SHARE_REACHED);
      const [displaced] = displacedBy(offerTo(queue, { share: 'b' }));
      assert.equal(displaced!.request, last);
      assert.equal(displaced!.reason, admissionQueue.CUSTOMER_SHARE_REACHED);
      for (let next: Request | undefined = running; next !== undefined;) {
        [next] = queue.release(next, 0).started;
        assert.notEqual(next, last);
      }
    });

    it('refuses a less urgent request for an urgent one', () => {
      const { queue, last } = fill();
      assert.equal(displacedBy(offerTo(queue, { priority: 0 }))[0]!.request, last);
    });

    // Late requests that came first filled the limit of late ones, however urgent the next one was.
    it('refuses a late request for a more urgent late one', () => {
      const { queue, last } = fill({ targetAtMs: 0 });
      const displaced = displacedBy(offerTo(queue, { targetAtMs: 0, priority: 0 }));
      assert.equal(displaced[0]!.request, last);
    });

    it('keeps waiting requests where none uses shares', () => {
      const { queue } = fill({ share: undefined });
      assert.deepEqual(displacedBy(offerTo(queue, { share: undefined, priority: 0 })), []);
    });
  });
});
