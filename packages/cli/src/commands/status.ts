/** `godwittrack status` */

import { Command } from 'clipanion';
import * as adminCommand from '../adminCommand.js';
import * as renderStatus from '../renderStatus.js';

export class StatusCommand extends adminCommand.AdminCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Show the state of the system and of each service',
    details:
      'The output is the view of the node that was called. Its summary says whether a rollout is done or was taken back.',
    examples: [
      ['Show the state of the system and of each service', '$0 status'],
      ['The same as JSON from a named node', '$0 status --json --node http://10.0.0.5:8301'],
    ],
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().status();
    return { document, text: renderStatus.renderStatus(document, this.tableOptions) };
  }
}
