/** `godwittrack upstream list` */

import { Command } from 'clipanion';
import * as adminCommand from '../adminCommand.js';
import * as renderMembers from '../renderMembers.js';

export class UpstreamListCommand extends adminCommand.AdminCommand {
  static override paths = [['upstream', 'list']];

  static override usage = Command.Usage({
    description: 'List upstreams',
    details:
      'Upstreams register with their local node; the health is the one that this node observes.',
    examples: [
      ['List upstreams', '$0 upstream list'],
      ['The same as JSON from a named node', '$0 upstream list --json --node http://10.0.0.5:8301'],
    ],
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().upstreams();
    return { document, text: renderMembers.renderUpstreamList(document, this.tableOptions) };
  }
}
