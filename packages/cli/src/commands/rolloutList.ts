/** `godwittrack rollout list` */

import { Command } from 'clipanion';
import * as adminCommand from '../adminCommand.js';
import * as renderRollouts from '../renderRollouts.js';

export class RolloutListCommand extends adminCommand.AdminCommand {
  static override paths = [['rollout', 'list']];

  static override usage = Command.Usage({
    description: 'List rollouts',
    details: 'A rollout is named by its service and ticket, such as fontworks.12.',
    examples: [
      ['List rollouts', '$0 rollout list'],
      ['The same as JSON from a named node', '$0 rollout list --json --node http://10.0.0.5:8301'],
    ],
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().rollouts();
    return { document, text: renderRollouts.renderRolloutList(document, this.tableOptions) };
  }
}
