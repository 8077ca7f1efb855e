/** `godwittrack node list` */

import { Command } from 'clipanion';
import * as adminCommand from '../adminCommand.js';
import * as renderMembers from '../renderMembers.js';

export class NodeListCommand extends adminCommand.AdminCommand {
  static override paths = [['node', 'list']];

  static override usage = Command.Usage({
    description: 'List nodes with their roles and configuration versions',
    details: 'The list is the view of the node that was called.',
    examples: [
      ['List nodes with their roles and configuration versions', '$0 node list'],
      ['The same as JSON from a named node', '$0 node list --json --node http://10.0.0.5:8301'],
    ],
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().listNodes();
    return { document, text: renderMembers.renderNodeList(document, this.tableOptions) };
  }
}
