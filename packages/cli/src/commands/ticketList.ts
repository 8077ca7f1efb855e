/** `godwittrack ticket list` */

import { Command } from 'clipanion';
import * as adminCommand from '../adminCommand.js';
import * as renderTickets from '../renderTickets.js';

export class TicketListCommand extends adminCommand.AdminCommand {
  static override paths = [['ticket', 'list']];

  static override usage = Command.Usage({
    description: 'List accepted tickets, newest first',
    details: 'The nodes keep only the most recent tickets.',
    examples: [
      ['List accepted tickets, newest first', '$0 ticket list'],
      ['The same as JSON from a named node', '$0 ticket list --json --node http://10.0.0.5:8301'],
    ],
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().tickets();
    return { document, text: renderTickets.renderTicketList(document, this.tableOptions) };
  }
}
