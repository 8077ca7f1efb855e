/** `npm run faults -- [--list] [--only TEXT] [--seed N] [--red]`: runs the fault matrix. */

import * as util from 'node:util';
import * as cells from './cell.js';
import * as registry from './cells/index.js';

const { values: args } = util.parseArgs({
  options: {
    list: { type: 'boolean', default: false },
    only: { type: 'string', default: '' },
    seed: { type: 'string', default: '1' },
    red: { type: 'boolean', default: false },
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function describe(cell: cells.Cell): string {
  const invariants = cell.invariants.join(',');
  const issue = cell.knownRed === undefined ? '' : ` (${cell.knownRed})`;
  return `${cells.getState(cell).padEnd(6)} ${cells.formatName(cell)} [invariants ${invariants}]${issue}`;
}

async function runAndPrint(cell: cells.Cell, seed: number): Promise<boolean> {
  try {
    await cell.run?.({ seed, report: (line) => print(`  ${line}`) });
    print(`ok     ${cells.formatName(cell)} seed ${seed}`);
    return true;
  } catch (err) {
    print(`not ok ${cells.formatName(cell)} seed ${seed}`);
    print(`  ${err instanceof Error ? (err.stack ?? err.message) : String(err)}`);
    return false;
  }
}

const selected = registry.CELLS.filter((cell) => cells.formatName(cell).includes(args.only));
if (args.list) selected.forEach((cell) => print(describe(cell)));
else {
  const runnable = selected.filter(
    (cell) => cell.run !== undefined && (args.red || cells.getState(cell) === 'proved'),
  );
  let passed = 0;
  for (const cell of runnable) {
    if (await runAndPrint(cell, Number(args.seed))) passed += 1;
  }
  print(`${passed} passed, ${runnable.length - passed} failed`);
  process.exitCode = passed === runnable.length && runnable.length > 0 ? 0 : 1;
}
