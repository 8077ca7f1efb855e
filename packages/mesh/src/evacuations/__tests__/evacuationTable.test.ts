import * as assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ids } from '@godwittrack/core';
import * as fc from 'fast-check';
import * as fixtures from '../../__tests__/fixtures.js';
import * as evacuationTable from '../evacuationTable.js';

const { positionOf } = fixtures;
const [D1, D2] = ['d1', 'd2'].map(ids.domainName) as [ids.DomainName, ids.DomainName];
const { HOLD_MS } = evacuationTable;

describe('EvacuationTable', () => {
  let now: number;
  let table: evacuationTable.EvacuationTable;
  let updates: evacuationTable.EvacuationSet[];
  const { log, lines } = fixtures.recordingLog();

  const create = () =>
    new evacuationTable.EvacuationTable({ isEnabled: true, log, nowMs: () => now });
  const setOf = (revision: number, era: number, ...domains: ids.DomainName[]) => ({
    position: positionOf(revision, era),
    domains,
    held: [],
  });

  function evacuatedAt(ms: number, of = table): string {
    now = ms;
    of.review();
    return [D1, D2].filter((domain) => of.isEvacuated(domain)).join();
  }

  beforeEach(() => {
    now = 0;
    table = create();
    updates = [];
    table.onUpdate((set) => updates.push(set));
  });

  // Guards against a message from every node for each write of any kind to the store, and against a set of a
  // watch that lost a change and has the position of the list that corrects it.
  it('takes later positions as a whole, and tells of changes only', () => {
    const changes: evacuationTable.EvacuationChange[] = [];
    table.onChange((change) => changes.push(change));
    table.applyStored(positionOf(5), [D1]);
    table.applyStored(positionOf(9), [D1]);
    table.merge(setOf(8, 1, D1, D2), 'domain');
    table.merge(setOf(9, 1, D1, D2), 'domain');
    assert.deepEqual([updates.length, table.shared()], [1, setOf(9, 1, D1)]);
    table.applyStored(positionOf(9), [D2]);
    assert.deepEqual(changes[1], { added: [D2], removed: [D1] });
    table.warnOfUnknown(() => new Set([D1]));
    assert.deepEqual([lines.at(-1)!.domain, table.isEvacuated(D2)], [D2, true]);
  });

  it('does not depend on the order of arrival, once holds are over', () => {
    const record = fc.record({
      revision: fc.nat(9),
      era: fc.nat(2),
      domains: fc.subarray([D1, D2]),
    });
    const selector = ({ revision, era }: { revision: number; era: number }) => `${era}.${revision}`;
    fc.assert(
      fc.property(fc.uniqueArray(record, { selector, minLength: 2 }), (all) => {
        const [result, ...others] = [all, [...all.slice(1), all[0]!], [...all].reverse()].map(
          (order) => {
            now = 0;
            const each = create();
            for (const { revision, era, domains } of order)
              each.merge(setOf(revision, era, ...domains), 'domain');
            return [evacuatedAt(HOLD_MS, each), each.shared()];
          },
        );
        for (const other of others) assert.deepEqual(other, result);
      }),
    );
  });

  // A restored store had lost the entry of an operator, and requests reached a failure domain without power.
  describe('after the era of the store has risen', () => {
    beforeEach(() => {
      table.applyStored(positionOf(50), [D1]);
      table.applyStored(positionOf(20, 2), []);
    });

    it('keeps missing failure domains for a while, which nodes do not prolong', () => {
      now = HOLD_MS / 2;
      const starting = create();
      starting.applyStored(positionOf(20, 2), []);
      starting.merge(table.shared()!, 'domain');
      now += 1;
      table.merge(starting.shared()!, 'domain');
      for (const each of [table, starting]) {
        assert.equal(evacuatedAt(HOLD_MS - 1, each), D1);
        assert.equal(evacuatedAt(HOLD_MS, each), '');
      }
    });

    it('adds what it hears of the earlier era meanwhile, but for entries of the new one', () => {
      table.applyStored(positionOf(21, 2), [D1]);
      table.applyStored(positionOf(22, 2), []);
      table.merge(setOf(51, 1, D1, D2), 'remote');
      assert.equal(evacuatedAt(0), D2);
      assert.equal(evacuatedAt(HOLD_MS), '');
    });
  });
});
