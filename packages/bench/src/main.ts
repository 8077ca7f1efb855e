#!/usr/bin/env node
/** `godwittrack-bench NAME [--json] [--seed N] [--quick] [--set name=value]` */

import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import { failures } from '@godwittrack/core';
import type * as experiment from './experiment.js';
import * as registry from './experiments/index.js';

const DEFAULT_SEED = '1';

class RunCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'runs one experiment and prints its result',
    details: `
      The last line of standard output is the result as one JSON object. Experiments:
      ${registry.EXPERIMENTS.map(({ name, description }) => `\n\n- ${name}: ${description}`).join('')}
    `,
    examples: [['Measure convergence', 'godwittrack-bench convergence --json']],
  });

  name = Option.String();

  json = Option.Boolean('--json', false, { description: 'print nothing but the JSON result' });

  seed = Option.String('--seed', DEFAULT_SEED, { description: 'seed of every random choice' });

  quick = Option.Boolean('--quick', false, { description: 'smaller sizes, for a trial' });

  settings = Option.Array('--set', [], { description: 'setting of the experiment, name=value' });

  override async execute(): Promise<number> {
    const found = registry.EXPERIMENTS.find(({ name }) => name === this.name);
    if (found === undefined) throw new UsageError(`unknown experiment ${this.name}`);
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed)) throw new UsageError('--seed must be a whole number');
    const report = (line: string) => this.context.stderr.write(`${line}\n`);
    const options: experiment.ExperimentOptions = {
      seed,
      quick: this.quick,
      settings: new Map(this.settings.map(splitSetting)),
      report: this.json ? () => undefined : report,
    };
    try {
      const result = await found.run(options);
      if (!this.json) printTable(result, (line) => this.context.stdout.write(`${line}\n`));
      this.context.stdout.write(`${JSON.stringify(result)}\n`);
      return 0;
    } catch (err) {
      this.context.stderr.write(
        `godwittrack-bench: ${failures.describe(failures.fromError(err))}\n`,
      );
      return 1;
    }
  }
}

function splitSetting(text: string): [string, string] {
  const at = text.indexOf('=');
  if (at < 1) throw new UsageError(`--set takes name=value, not ${text}`);
  return [text.slice(0, at), text.slice(at + 1)];
}

function printTable(result: experiment.ExperimentResult, print: (line: string) => void): void {
  const width = Math.max(...Object.keys(result).map((name) => name.length));
  Object.entries(result).forEach(([name, value]) => print(`${name.padEnd(width)}  ${value}`));
}

const cli = new Cli({ binaryName: 'godwittrack-bench' });
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
