/** `godwittrack config check FILE` */

import { Command, Option, UsageError } from 'clipanion';
import * as adminCommand from '../adminCommand.js';
import * as configurationSource from '../configurationSource.js';
import * as exitCodes from '../exitCodes.js';
import * as renderConfigCheck from '../renderConfigCheck.js';

export class ConfigCheckCommand extends adminCommand.AdminCommand {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    description: 'Check a configuration of the mesh before it is sent',
    details: `
      No node is called. FILE is JSON or YAML: the object as the store holds it, or its spec only.
      Errors keep nodes from activating the configuration and end the command with code 3; warnings
      do not. With --against, the changes are listed. FILE may be - for standard input.
    `,
    examples: [
      ['Check a file', '$0 config check main.json'],
      ['Compare it with the version in force', '$0 config check new.yaml --against main.json'],
    ],
  });

  against = Option.String('--against', {
    description: 'File of the version in force, to compare with',
  });

  file = Option.String({ name: 'FILE' });

  protected override async run(): Promise<adminCommand.CommandResult> {
    const { file, against = null } = this;
    if (file === '-' && against === '-')
      throw new UsageError('only one of FILE and --against may be standard input');
    // Loads the modules of the mesh, which the other commands do not need.
    const check = await import('@godwittrack/users-platform/configurationCheck');
    const read = (name: string) =>
      configurationSource.readBytes(name, this.context.stdin, check.MAX_FILE_BYTES);
    const inForce = against === null ? null : await read(against);
    const result = check.checkFile(await read(file), inForce);
    const findings = [...result.findings, ...(result.against?.findings ?? [])];
    const hasErrors = findings.some(({ severity }) => severity === 'error');
    const exitCode = hasErrors ? exitCodes.EXIT.invalidInput : exitCodes.EXIT.success;
    return {
      document: { valid: !hasErrors, ...result, exitCode },
      text: renderConfigCheck.renderConfigCheck({ file, againstFile: against, result }),
      exitCode,
    };
  }
}
