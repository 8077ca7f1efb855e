/** `godwittrack --help` */

import { Command } from 'clipanion';
import * as exitCodes from '../exitCodes.js';
import * as nodes from '../nodes.js';

/** Command prefixes, such as `ticket`, that are not commands themselves. */
const COMMAND_GROUPS = ['config', 'ticket', 'rollout', 'upstream', 'node'];

const GLOBAL_OPTIONS = `Options of every command:
  --node URL   node to call; may be repeated or hold several URLs separated by commas;
               default $${nodes.NODE_VARIABLE}, then ${nodes.DEFAULT_NODE}
  --json       print one JSON document on standard output, for failures too
  --help       help for a command, with examples
`;

export class HelpCommand extends Command {
  static override paths = [
    ['help'],
    ['-h'],
    ['--help'],
    ...COMMAND_GROUPS.flatMap((group) => [
      [group, '-h'],
      [group, '--help'],
    ]),
  ];

  override async execute(): Promise<number> {
    this.context.stdout.write(`${this.cli.usage()}\n${GLOBAL_OPTIONS}\n${exitCodes.HELP_TEXT}`);
    return exitCodes.EXIT.success;
  }
}
