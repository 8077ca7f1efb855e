/** Builds the command line and runs it. */

import { Cli } from 'clipanion';
import type { BaseContext } from 'clipanion';
import * as adminCommand from './adminCommand.js';
import { AuditCommand } from './commands/audit.js';
import { ConfigCheckCommand } from './commands/configCheck.js';
import { ExplainRequestCommand, ExplainRolloutCommand } from './commands/explain.js';
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
  ConfigCheckCommand,
  ExplainRequestCommand,
  ExplainRolloutCommand,
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

/** Replaces the `#0` that clipanion prints for option values, and adds the exit codes. */
class OperatorCli extends Cli {
  override usage(...args: Parameters<Cli['usage']>): string {
    const usage = replacePlaceholders(super.usage(...args));
    return args[1]?.detailed ? `${usage}\n${exitCodes.HELP_TEXT}` : usage;
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
    return await cli.run(command, context);
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return adminCommand.writeUsageError(context, shortenUsageError(message), json);
  }
}

/** Moves global options behind the command name, since clipanion accepts options only there. */
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

/** Drops the list of all commands from a usage error, unless it is a list of suggestions. */
function shortenUsageError(message: string): string {
  const [first = '', usage = ''] = message.split('\n\n');
  if (first.endsWith(':')) return replacePlaceholders(message);
  return usage === '' || usage.includes('\n') ? first : replacePlaceholders(`${first} ${usage}`);
}

function replacePlaceholders(text: string): string {
  // `VALUE` is three characters longer, so three spaces before a description are removed.
  return text.replace(/#0 {3}(?= )/g, 'VALUE').replaceAll('#0', 'VALUE');
}
