/** Builds the command line and runs it. */

import { Cli } from 'clipanion';
import type { BaseContext } from 'clipanion';
import * as adminCommand from './adminCommand.js';
import { AuditCommand } from './commands/audit.js';
import { HelpCommand } from './commands/help.js';
import { NodeListCommand } from './commands/nodeList.js';
import { RolloutListCommand } from './commands/rolloutList.js';
import { RolloutShowCommand } from './commands/rolloutShow.js';
import { StatusCommand } from './commands/status.js';
import { TicketCheckCommand } from './commands/ticketCheck.js';
import { TicketFileCommand } from './commands/ticketFile.js';
import { TicketListCommand } from './commands/ticketList.js';
import { TicketShowCommand } from './commands/ticketShow.js';
import { UpstreamListCommand } from './commands/upstreamList.js';
import * as exitCodes from './exitCodes.js';

export type CliContext = Pick<BaseContext, 'env' | 'stdin' | 'stdout' | 'stderr'>;

const COMMANDS = [
  AuditCommand,
  HelpCommand,
  NodeListCommand,
  RolloutListCommand,
  RolloutShowCommand,
  StatusCommand,
  TicketCheckCommand,
  TicketFileCommand,
  TicketListCommand,
  TicketShowCommand,
  UpstreamListCommand,
];

/** Shows a name for the values of options, which the library numbers. */
class OperatorCli extends Cli {
  override usage(...args: Parameters<Cli['usage']>): string {
    return nameValues(super.usage(...args));
  }
}

/** Runs one command and returns its exit code. */
export async function run(argv: readonly string[], cliContext: CliContext): Promise<number> {
  const isTerminal = 'isTTY' in cliContext.stdout && cliContext.stdout.isTTY === true;
  const context = { ...cliContext, colorDepth: 1 };
  const enableColors = isTerminal && !context.env.NO_COLOR;
  const cli = new OperatorCli({ binaryName: 'godwittrack', enableColors });
  for (const command of COMMANDS) cli.register(command);
  const args = moveGlobalOptions(argv);
  const json = argv.includes('--json');
  if (args[0] === undefined || args[0].startsWith('--node') || args[0] === '--json') {
    return adminCommand.writeUsageError(context, 'no command is given', json);
  }
  try {
    const command = cli.process(args, context);
    const exitCode = await cli.run(command, context);
    if (command.help) context.stdout.write(`\n${exitCodes.HELP}`);
    return exitCode;
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return adminCommand.writeUsageError(context, shorten(message), json);
  }
}

/** The library takes options only after the name of a command; global ones may come before it. */
function moveGlobalOptions(argv: readonly string[]): string[] {
  let index = 0;
  while (index < argv.length) {
    const arg = argv[index] ?? '';
    if (arg === '--node') index += 2;
    else if (arg === '--json' || arg.startsWith('--node=')) index += 1;
    else break;
  }
  return [...argv.slice(index), ...argv.slice(0, index)];
}

/** Leaves out the list of all commands, unless it holds the suggestions of the message. */
function shorten(message: string): string {
  const [first = ''] = message.split('\n\n');
  return first.endsWith(':') ? nameValues(message) : first;
}

function nameValues(text: string): string {
  return text.replaceAll('#0', 'VALUE');
}
