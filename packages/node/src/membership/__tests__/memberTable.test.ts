import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { clock, ids } from '@godwittrack/core';
import { distribution } from '@godwittrack/protocol';
import * as memberTable from '../memberTable.js';

function memberOf(node: string, change: Partial<distribution.Member> = {}): distribution.Member {
  const upstream = { service: 's', version: 'v1', slots: 4, draining: false, healthy: true };
  return distribution.Member.fromPartial({
    ...{ node, incarnation: 1, revision: 1, region: 'r', ready: true, upstream },
    ...change,
  });
}

function createTable(): memberTable.MemberTable {
  return new memberTable.MemberTable(ids.regionName('r'), new clock.ManualClock(1));
}

describe('member table', () => {
  // Guards against members that stay listed after their removal, because a former region relay
  // still holds the summary that it built as the relay.
  it('sends the summary of the own region to other regions only', () => {
    const table = createTable();
    table.merge(memberOf('a'), '');
    table.refreshSummary(1);
    table.remove('a', 1, '');
    assert.deepEqual(table.regions, []);
    assert.deepEqual(table.changesSince(0, 'child').regions, []);
    assert.equal(table.changesSince(0, 'child', true).regions.length, 1);
  });

  // Guards against removed members that reappear through late, repeated or reordered messages.
  it('ends in the same state for any order of messages', () => {
    const messages: ((table: memberTable.MemberTable) => void)[] = [
      (table) => table.merge(memberOf('a'), 'x'),
      (table) => table.merge(memberOf('a', { revision: 3 }), 'y'),
      (table) => table.remove('a', 1, 'x'),
      (table) => table.merge(memberOf('a', { incarnation: 2 }), 'x'),
    ];
    const orders = [
      [0, 1, 2, 3],
      [3, 2, 1, 0],
      [2, 3, 0, 1],
      [1, 3, 3, 2, 0, 2],
    ];
    for (const order of orders) {
      const table = createTable();
      order.forEach((index) => messages[index]?.(table));
      assert.deepEqual(
        table.all.map(({ node, incarnation }) => [node, incarnation]),
        [['a', 2]],
      );
    }
  });
});
