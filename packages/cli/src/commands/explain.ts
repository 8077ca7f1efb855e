/** `godwittrack explain request` and `godwittrack explain rollout` */

import { Command, Option } from 'clipanion';
import { failures } from '@godwittrack/core';
import * as adminCommand from '../adminCommand.js';
import * as logReader from '../logReader.js';
import * as renderTimeline from '../renderTimeline.js';
import * as ticketSource from '../ticketSource.js';

abstract class ExplainCommand extends adminCommand.AdminCommand {
  /** clipanion assigns positional arguments in field order, so subclasses declare `files` last. */
  abstract files: string[];

  /** Kind of the subject, for the failure when no line is found. */
  protected abstract readonly kind: string;

  protected abstract get subject(): string;

  protected abstract select(lines: readonly logReader.LogLine[]): logReader.LogLine[];

  protected override async run(): Promise<adminCommand.CommandResult> {
    const texts = await Promise.all(
      this.files.map((file) => ticketSource.readText(file, this.context.stdin)),
    );
    const logs = texts.map((text) => logReader.parseLog(text));
    const lines = this.select(logs.flatMap((log) => log.lines));
    if (lines.length === 0) {
      throw failures.toError({ type: 'objectNotFound', kind: this.kind, name: this.subject });
    }
    const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
    const note = skipped === 0 ? '' : `\n${skipped} lines were skipped: not log lines of a node`;
    return {
      document: { lines, skipped },
      text: `${renderTimeline.renderTimeline(lines, this.tableOptions)}${note}`,
    };
  }
}

export class ExplainRequestCommand extends ExplainCommand {
  static override paths = [['explain', 'request']];

  static override usage = Command.Usage({
    description: 'Show the timeline of one request from the logs of several nodes',
    examples: [['Read the logs of two nodes', '$0 explain request 9c41d07be2a35f68 a.log b.log']],
  });

  requestId = Option.String({ name: 'ID' });

  files = Option.Rest({ required: 1, name: 'FILE' });

  protected readonly kind = 'request';

  protected get subject(): string {
    return this.requestId;
  }

  protected select(lines: readonly logReader.LogLine[]): logReader.LogLine[] {
    return logReader.linesOfRequest(lines, this.requestId);
  }
}

export class ExplainRolloutCommand extends ExplainCommand {
  static override paths = [['explain', 'rollout']];

  static override usage = Command.Usage({
    description: 'Show the timeline of one rollout from the logs of several nodes',
    examples: [['Read a merged log', '$0 explain rollout fontworks v2 all.log']],
  });

  service = Option.String({ name: 'SERVICE' });

  version = Option.String({ name: 'VERSION' });

  files = Option.Rest({ required: 1, name: 'FILE' });

  protected readonly kind = 'rollout';

  protected get subject(): string {
    return `${this.service} ${this.version}`;
  }

  protected select(lines: readonly logReader.LogLine[]): logReader.LogLine[] {
    return logReader.linesOfRollout(lines, this.service, this.version);
  }
}
