import { describe, it } from 'node:test';
import * as cell from '../cell.js';
import * as requests from '../cells/requests.js';

/** The cells that failed most often during development of the request path. */
const SELECTED = [
  'requests: destination node killed at running',
  'requests: destination node replaced at dispatched',
  'requests: upstream drains at dispatched',
];

describe('faults at the steps of a request', () => {
  for (const name of SELECTED) {
    it(`hold the invariants: ${name}`, async () => {
      const selected = requests.CELLS.find((one) => cell.formatName(one) === name);
      if (selected?.run === undefined) throw new RangeError(`there is no cell ${name}`);
      await selected.run({ seed: 1, report: () => undefined });
    });
  }
});
