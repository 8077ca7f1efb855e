/** `godwittrack audit` */

import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import * as adminCommand from '../adminCommand.js';
import * as renderAudit from '../renderAudit.js';

export class AuditCommand extends adminCommand.AdminCommand {
  static override paths = [['audit']];

  static override usage = Command.Usage({
    description: 'Show the audit trail, newest first',
    details: 'The trail contains accepted and refused tickets and the steps of rollouts.',
    examples: [
      ['Show the last 20 entries', '$0 audit --limit 20'],
      ['Show entries of one service', '$0 audit --service fontworks'],
    ],
  });

  limit = Option.String('--limit', {
    description: 'Maximum number of entries; the default is set by the node',
    validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]),
  });

  service = Option.String('--service', { description: 'Only entries of this service' });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const { limit, service } = this;
    const document = await this.createClient().audit({ limit, service });
    return { document, text: renderAudit.renderAudit(document, this.tableOptions) };
  }
}
