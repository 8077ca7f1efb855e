/** `godwittrack ticket file FILE` */

import { Command, Option, UsageError } from 'clipanion';
import { units } from '@godwittrack/core';
import type * as adminCommand from '../adminCommand.js';
import type * as responses from '../responses.js';
import * as exitCodes from '../exitCodes.js';
import * as renderTickets from '../renderTickets.js';
import * as table from '../table.js';
import * as ticketCommand from '../ticketCommand.js';
import * as waiting from '../waiting.js';

const EXIT_BY_OUTCOME: Record<waiting.WaitResult['outcome'], exitCodes.ExitCode> = {
  inForce: exitCodes.EXIT.success,
  done: exitCodes.EXIT.success,
  superseded: exitCodes.EXIT.conflict,
  takenBack: exitCodes.EXIT.takenBack,
};

export class TicketFileCommand extends ticketCommand.TicketCommand {
  static override paths = [['ticket', 'file']];

  static override usage = Command.Usage({
    description: 'File a ticket',
    details: `
      The same number with the same content is accepted only once, so a ticket may be filed again
      after a lost response; the command itself does so at the next node. FILE may be - for standard
      input. While waiting, progress is printed to standard error.
    `,
    examples: [
      ['File a ticket', '$0 ticket file move-fontworks.yaml'],
      [
        'File it and wait until it is in force everywhere',
        '$0 ticket file move-fontworks.yaml --wait --timeout 10s',
      ],
      [
        'File it and wait until the new version is done or taken back',
        '$0 ticket file move-fontworks.yaml --wait-rollout',
      ],
    ],
  });

  wait = Option.Boolean('--wait', false, {
    description: 'Wait until every known node holds the configuration',
  });

  waitRollout = Option.Boolean('--wait-rollout', false, {
    description: 'Wait also until the rollouts of the ticket are final',
  });

  timeout = Option.String('--timeout', {
    description:
      'Maximum wait, such as 30s; default 30s, with --wait-rollout deadline plus soak plus 1m',
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const timeoutMs = this.resolveTimeoutMs();
    const client = this.createClient();
    const source = await this.readTicket();
    const filed = await this.withLineNumbers(source, () => client.fileTicket(source.text));
    if (!this.wait && !this.waitRollout) {
      return { document: filed, text: renderTickets.renderFiledTicket(filed) };
    }
    this.failureDetails = { filed };
    this.writeProgress(renderTickets.renderFiledTicket(filed));
    const { ticket } = source;
    const result = await waiting.waitForTicket({
      client,
      ticket,
      version: filed.version,
      timeoutMs: timeoutMs ?? this.defaultTimeoutMs(ticket),
      untilFinal: this.waitRollout,
      progress: (line) => this.writeProgress(line),
    });
    return {
      document: { ...filed, wait: result },
      text: describeOutcome(filed, result),
      exitCode: EXIT_BY_OUTCOME[result.outcome],
    };
  }

  private resolveTimeoutMs(): number | null {
    if (this.timeout === undefined) return null;
    const timeoutMs = units.parseDurationMs(this.timeout);
    if (timeoutMs !== null) return timeoutMs;
    const message = `--timeout: "${this.timeout}" is not a duration with a unit, such as 250ms, 30s or 10m`;
    throw new UsageError(message);
  }

  private defaultTimeoutMs(ticket: Parameters<typeof waiting.defaultTimeoutMs>[0]): number {
    if (!this.waitRollout) return waiting.DEFAULT_WAIT_MS;
    return waiting.defaultTimeoutMs(ticket, Date.now());
  }

  private writeProgress(line: string): void {
    this.context.stderr.write(`${table.cleanText(line)}\n`);
  }
}

function describeOutcome(filed: responses.FiledTicket, result: waiting.WaitResult): string {
  const nodes = `version ${filed.version} is in force on all ${result.members.known} nodes`;
  const idsInPhase = (phase: string) =>
    result.rollouts.filter((rollout) => rollout.phase === phase).map(({ id }) => id);
  switch (result.outcome) {
    case 'takenBack':
      return `Taken back: rollout ${idsInPhase('takenBack').join(', ')}; see "godwittrack rollout show".`;
    case 'superseded':
      return `Superseded by a later ticket: rollout ${idsInPhase('superseded').join(', ')}.`;
    case 'done':
      return `Done: rollout ${idsInPhase('done').join(', ')}; ${nodes}.`;
    default:
      return `In force: ${nodes}.`;
  }
}
