import { describe, it } from 'node:test';
import * as cell from '../cell.js';
import * as requests from '../cells/requests.js';

/** Cells on records of keys; apart from the others, since all cells of a file share its time limit. */
const SELECTED = [
  // Both fail when the wiring grants keys without a record.
  'requests: one holder killed at recorded',
  'requests: callers leave and repeat elsewhere at recorded',
];

describe('faults at the steps of a request with a record', () => {
  for (const name of SELECTED) {
    it(`hold the invariants: ${name}`, async () => {
      const found = requests.CELLS.find((one) => cell.nameOf(one) === name);
      if (found?.run === undefined) throw new RangeError(`there is no cell ${name}`);
      await found.run({ seed: 1, report: () => undefined });
    });
  }
});
