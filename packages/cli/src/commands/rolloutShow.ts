/** `godwittrack rollout show ID` */

import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import * as adminCommand from '../adminCommand.js';
import * as renderRollouts from '../renderRollouts.js';

export class RolloutShowCommand extends adminCommand.AdminCommand {
  static override paths = [['rollout', 'show']];

  static override usage = Command.Usage({
    description: 'Show one rollout with its history and evidence',
    details: 'A rollout is named by its service and ticket.',
    examples: [
      ['Show the rollout of ticket 12 for fontworks', '$0 rollout show fontworks.12'],
      ['The same as JSON', '$0 rollout show fontworks.12 --json'],
    ],
  });

  id = Option.String({
    name: 'ID',
    validator: t.cascade(t.isString(), [t.matchesRegExp(/^[a-z0-9-]+\.[1-9]\d*$/)]),
  });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const document = await this.createClient().rollout(this.id);
    return { document, text: renderRollouts.renderRollout(document, this.tableOptions) };
  }
}
