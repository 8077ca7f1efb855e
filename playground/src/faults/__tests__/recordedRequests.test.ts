import { describe, it } from 'node:test';
import * as cell from '../cell.js';
import * as requests from '../cells/requests.js';

/** Cells on idempotency records; in a file of their own, since all tests of a file share its time limit. */
const SELECTED = [
  // Both fail when a key is granted without being recorded at its holders.
  'requests: one holder killed at recorded',
  'requests: callers leave and repeat elsewhere at recorded',
];

describe('faults at the steps of a request with a record', () => {
  for (const name of SELECTED) {
    it(`hold the invariants: ${name}`, async () => {
      const selected = requests.CELLS.find((one) => cell.formatName(one) === name);
      if (selected?.run === undefined) throw new RangeError(`there is no cell ${name}`);
      await selected.run({ seed: 1, report: () => undefined });
    });
  }
});
