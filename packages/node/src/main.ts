#!/usr/bin/env -S node --max-semi-space-size=2
/** `godwittrack-node --config FILE [--check]` */

import * as util from 'node:util';
import { failures } from '@godwittrack/core';
import * as settings from './settings.js';
import * as wiring from './wiring.js';

const USAGE = `Usage: godwittrack-node --config FILE [--check]

  --config FILE  settings in YAML, see docs/configuration.md
  --check        check the settings and end
  --help         show this text

Exit codes: 0 stopped as planned or settings valid, 1 failure, 2 usage, 3 invalid settings.
`;

const EXIT = { ok: 0, failure: 1, usage: 2, invalidSettings: 3 } as const;

function reportFailure(err: unknown): number {
  const failure = failures.fromError(err);
  if (failure.type !== 'invalidSettings') {
    process.stderr.write(`godwittrack-node: ${failures.describe(failure)}\n`);
    return EXIT.failure;
  }
  for (const problem of failure.problems) {
    process.stderr.write(`godwittrack-node: ${failures.describeProblem(problem)}\n`);
  }
  return EXIT.invalidSettings;
}

async function run(path: string, checkOnly: boolean): Promise<number | null> {
  const cfg = await settings.loadSettings(path);
  if (checkOnly) {
    process.stdout.write('Settings are valid.\n');
    return EXIT.ok;
  }
  const node = wiring.createNode(cfg);
  const stop = () => {
    void node.stop().then(() => process.exit(EXIT.ok));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  await node.start();
  return null;
}

function parseArguments() {
  const options = {
    config: { type: 'string' },
    check: { type: 'boolean', default: false },
    help: { type: 'boolean', default: false },
  } as const;
  try {
    return util.parseArgs({ options }).values;
  } catch (err) {
    process.stderr.write(`godwittrack-node: ${err instanceof Error ? err.message : String(err)}\n`);
    return null;
  }
}

async function main(): Promise<void> {
  const args = parseArguments();
  if (args?.help) {
    process.stdout.write(USAGE);
    return;
  }
  if (args?.config === undefined) {
    process.stderr.write(USAGE);
    process.exit(EXIT.usage);
  }
  try {
    const code = await run(args.config, args.check);
    if (code !== null) process.exit(code);
  } catch (err) {
    process.exit(reportFailure(err));
  }
}

await main();
