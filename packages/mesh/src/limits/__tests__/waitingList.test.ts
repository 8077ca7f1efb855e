import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as random from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as fairShare from '../fairShare.js';
import * as waitingList from '../waitingList.js';

type List = waitingList.WaitingList<waitingList.OrderedRequest>;

let targetReads = 0;

function createList(shares = new fairShare.FairShare()): List {
  return new waitingList.WaitingList(shares, ({ targetAtMs }, nowMs) => nowMs > targetAtMs);
}

function add(list: List, targetAtMs: number, share?: string, priority = 0, now = 0): void {
  const request = {
    customerPriority: 0,
    priority,
    estimateMs: 1 + (targetAtMs % 50),
    share,
    get targetAtMs() {
      targetReads += 1;
      return targetAtMs;
    },
  };
  list.refresh(now);
  const entry = list.createEntry(request, false, now);
  list.insert(entry, list.positionOf(entry));
}

describe('WaitingList', () => {
  it('orders the requests of a single customer as without shares', () => {
    const rng = random.xoroshiro128plus(3);
    const next = (limit: number) => Math.floor(uniform.uniformFloat64(rng) * limit);
    const lists = [createList(), createList()];
    const targetsOf = (list: List) => list.ordered.map(({ request }) => request.targetAtMs);
    for (let now = 0; now < 2_000; now += 1) {
      const [priority, target, index, action] = [next(3), now + next(400), next(20), next(4)];
      lists.forEach((list, i) => {
        add(list, target, i === 0 ? undefined : 'a', priority, now);
        if (action === 0 && index < list.length) list.drop(list.ordered[index]!);
        else if (action === 1 || list.length > 40) list.start(list.first!);
      });
      assert.deepEqual(targetsOf(lists[1]!), targetsOf(lists[0]!));
    }
  });

  it('gives a customer that was idle its turns, but no credit', () => {
    const list = createList();
    for (let i = 0; i < 20; i += 1) {
      add(list, 1_000, 'a');
      list.start(list.first!);
    }
    for (const share of ['a', 'a', 'a', 'b', 'b', 'b']) add(list, 1_000, share);
    assert.equal(list.ordered.map(({ request }) => request.share).join(''), 'bababa');
  });

  it('keeps no state of customers that ran long ago', () => {
    const shares = new fairShare.FairShare();
    const list = createList(shares);
    for (let i = 0; i < 1_000; i += 1) {
      add(list, 1_000, `c${i}`);
      add(list, 1_000, 'steady');
      list.start(list.first!);
      list.start(list.first!);
    }
    assert.ok(shares.size < 40, `${shares.size}`);
  });

  // Each event sorted all waiting requests.
  it('moves few of a hundred waiting requests in an event', () => {
    const list = createList();
    for (let i = 0; i < 100; i += 1) add(list, 1_000 + i, `c${i % 10}`, i % 3);
    const readsOf = (change: () => void) => {
      targetReads = 0;
      change();
      return targetReads;
    };
    assert.ok(readsOf(() => add(list, 1_500, 'c1', 1)) < 600);
    assert.equal(
      readsOf(() => list.start(list.first!)),
      0,
    );
    assert.ok(readsOf(() => list.drop(list.ordered[10]!)) < 300);
    assert.ok(readsOf(() => list.refresh(1_020)) < 1_200);
  });
});
