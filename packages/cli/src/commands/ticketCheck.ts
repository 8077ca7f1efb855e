/** `godwittrack ticket check FILE` */

import { Command, Option } from 'clipanion';
import { resources } from '@godwittrack/core';
import type * as adminCommand from '../adminCommand.js';
import * as renderTickets from '../renderTickets.js';
import * as ticketCommand from '../ticketCommand.js';

export class TicketCheckCommand extends ticketCommand.TicketCommand {
  static override paths = [['ticket', 'check']];

  static override usage = Command.Usage({
    description: 'Check a ticket without filing it',
    details: `
      The file is checked first without a node: schema, units and limits. Then a node checks it
      against the current configuration: ticket numbers and references. Nothing is written.
      FILE may be - for standard input.
    `,
    examples: [
      ['Check a file', '$0 ticket check move-fontworks.yaml'],
      ['Check a file without a node', '$0 ticket check move-fontworks.yaml --offline'],
      ['Check standard input', 'cat move-fontworks.yaml | $0 ticket check -'],
    ],
  });

  offline = Option.Boolean('--offline', false, { description: 'Do not call a node' });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const source = await this.readTicket();
    const { number, changes } = source.ticket;
    if (this.offline) {
      const keys = changes.map(({ kind, name }) => resources.resourceKey(kind, name));
      const document = { ticket: number, valid: true, offline: true, resources: keys };
      const text = `Ticket ${number} is well formed (${keys.join(', ')}); no node was called.`;
      return { document, text };
    }
    const client = this.createClient();
    const document = await this.withLineNumbers(source, () => client.checkTicket(source.text));
    return { document, text: renderTickets.renderCheckedTicket(document, this.tableOptions) };
  }
}
