/** `godwittrack explain request` and `godwittrack explain rollout` */

import { Command, Option } from 'clipanion';
import { failures } from '@godwittrack/core';
import * as adminCommand from '../adminCommand.js';
import * as logReader from '../logReader.js';
import * as renderCourse from '../renderCourse.js';
import * as ticketSource from '../ticketSource.js';

abstract class ExplainCommand extends adminCommand.AdminCommand {
  /** Positional options count in the order of their fields, so files come last in each command. */
  abstract files: string[];

  /** What is looked for, for the failure where nothing is found. */
  protected abstract readonly kind: string;

  protected abstract get subject(): string;

  protected abstract select(lines: readonly logReader.LogLine[]): logReader.LogLine[];

  protected override async run(): Promise<adminCommand.CommandResult> {
    const texts = await Promise.all(
      this.files.map((file) => ticketSource.readText(file, this.context.stdin)),
    );
    const logs = texts.map((text) => logReader.readLog(text));
    const lines = this.select(logs.flatMap((log) => log.lines));
    if (lines.length === 0) {
      throw failures.raise({ type: 'objectNotFound', kind: this.kind, name: this.subject });
    }
    const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
    const note = skipped === 0 ? '' : `\n${skipped} lines are not of a node and were left out`;
    return {
      document: { lines, skipped },
      text: `${renderCourse.renderCourse(lines, this.tableOptions)}${note}`,
    };
  }
}

export class ExplainRequestCommand extends ExplainCommand {
  static override paths = [['explain', 'request']];

  static override usage = Command.Usage({
    description: 'Show the course of one request from the logs of several nodes',
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
    description: 'Show the course of one rollout from the logs of several nodes',
    examples: [['Read a mixed log', '$0 explain rollout fontworks v2 all.log']],
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
