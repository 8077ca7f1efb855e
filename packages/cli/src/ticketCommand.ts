/** Base class of the commands that read a ticket file. */

import { Option } from 'clipanion';
import { failures } from '@godwittrack/core';
import * as adminCommand from './adminCommand.js';
import * as ticketSource from './ticketSource.js';

export abstract class TicketCommand extends adminCommand.AdminCommand {
  file = Option.String({ name: 'FILE' });

  /** Reads the ticket and validates it locally, without calling a node. */
  protected async readTicket(): Promise<ticketSource.TicketSource> {
    this.failureContext = { file: this.file };
    const text = await ticketSource.readText(this.file, this.context.stdin);
    return ticketSource.parse(this.file, text);
  }

  /** Runs a call about the ticket and adds line numbers of the file to its failures. */
  protected async withLineNumbers<T>(
    source: ticketSource.TicketSource,
    call: () => Promise<T>,
  ): Promise<T> {
    try {
      return await call();
    } catch (err) {
      const failure = failures.fromError(err);
      if (failure.type === 'ticketConflict') {
        this.failureContext.line = ticketSource.lineOf(source, failure.resource);
        this.failureDetails = { line: this.failureContext.line };
      }
      throw failures.toError(ticketSource.locateProblems(source, failure), err);
    }
  }
}
