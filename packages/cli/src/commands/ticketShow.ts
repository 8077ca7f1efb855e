/** `godwittrack ticket show N` */

import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import * as adminCommand from '../adminCommand.js';
import * as renderTickets from '../renderTickets.js';

export class TicketShowCommand extends adminCommand.AdminCommand {
  static override paths = [['ticket', 'show']];

  static override usage = Command.Usage({
    description: 'Show one accepted ticket with its changes',
    details: 'A change is current until a later ticket sets the same resource.',
    examples: [
      ['Show ticket 12', '$0 ticket show 12'],
      ['The same as JSON', '$0 ticket show 12 --json'],
    ],
  });

  number = Option.String({
    name: 'N',
    validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]),
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().ticket(this.number);
    return { document, text: renderTickets.renderTicket(document) };
  }
}
