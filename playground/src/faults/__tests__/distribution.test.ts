import { describe, it } from 'node:test';
import * as cells from '../cell.js';
import * as registry from '../cells/index.js';

/** A few cells with real processes; `npm run faults` runs all of them. */
const NAMES = [
  'distribution: kill at watch',
  'distribution: outage at restart',
  'membership: planned stop of a domain relay at announce',
];

describe('fault matrix', () => {
  for (const name of NAMES) {
    // Guards against versions that go back, are applied in part or are never applied under the fault.
    const cell = registry.CELLS.find((candidate) => cells.formatName(candidate) === name);
    // A cell that KNOWN-RED.txt lists is skipped and printed with its issue.
    it(name, { skip: cell?.knownRed ?? false }, async () => {
      if (cell?.run === undefined) throw new Error(`there is no runnable cell ${name}`);
      await cell.run({ seed: 1, report: () => undefined });
    });
  }
});
