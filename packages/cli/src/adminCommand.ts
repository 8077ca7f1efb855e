/** Base class of the commands: global options, output of results and failures, exit codes. */

import type { Writable } from 'node:stream';
import { Command, Option, UsageError } from 'clipanion';
import { failures } from '@godwittrack/core';
import * as adminClient from './adminClient.js';
import * as exitCodes from './exitCodes.js';
import * as nodes from './nodes.js';
import * as renderFailure from './renderFailure.js';
import type * as table from './table.js';

export interface CommandResult {
  /** Printed with `--json`. */
  document: unknown;
  /** Printed without `--json`. */
  text: string;
  /** Default `success`. */
  exitCode?: exitCodes.ExitCode;
}

export abstract class AdminCommand extends Command {
  node = Option.Array('--node', {
    description: `Node to call, tried in order; default $${nodes.NODE_VARIABLE} or ${nodes.DEFAULT_NODE}`,
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON document' });

  /** File and line to name in failures; set by commands that read a file. */
  protected failureContext: renderFailure.FailureContext = {};

  /** Added to the JSON document of a failure, to report what was done before it. */
  protected failureDetails: Record<string, unknown> = {};

  protected abstract run(): Promise<CommandResult>;

  override async execute(): Promise<number> {
    try {
      const result = await this.run();
      const text = this.json ? toJson(result.document) : result.text;
      this.context.stdout.write(`${text}\n`);
      return result.exitCode ?? exitCodes.EXIT.success;
    } catch (err) {
      if (err instanceof UsageError) {
        return writeUsageError(this.context, err.message, this.json);
      }
      return this.writeFailure(failures.fromError(err));
    }
  }

  protected createClient(): adminClient.AdminClient {
    return new adminClient.AdminClient({ nodes: nodes.resolveNodes(this.node, this.context.env) });
  }

  protected get tableOptions(): table.TableOptions {
    const { env, stdout } = this.context;
    const isTerminal = 'isTTY' in stdout && stdout.isTTY === true;
    return { color: isTerminal && !env.NO_COLOR };
  }

  private writeFailure(failure: failures.Failure): exitCodes.ExitCode {
    const exitCode = exitCodes.ofFailure(failure);
    if (this.json) {
      const message = renderFailure.messageOf(failure);
      const next = renderFailure.nextStep(failure);
      const document = { error: { ...failure, message, next }, exitCode, ...this.failureDetails };
      this.context.stdout.write(`${toJson(document)}\n`);
    } else {
      const text = renderFailure.renderFailure(failure, this.failureContext);
      this.context.stderr.write(`${text}\n`);
    }
    return exitCode;
  }
}

/** Writes a usage error in the format that was asked for. */
export function writeUsageError(
  context: { stdout: Writable; stderr: Writable },
  message: string,
  json: boolean,
): exitCodes.ExitCode {
  const exitCode = exitCodes.EXIT.usage;
  const next = 'See "godwittrack --help", or --help after a command.';
  if (json) {
    const document = { error: { type: 'usage', message, next }, exitCode };
    context.stdout.write(`${toJson(document)}\n`);
  } else {
    context.stderr.write(`usage: ${message}\nnext: ${next}\n`);
  }
  return exitCode;
}

function toJson(document: unknown): string {
  return JSON.stringify(document, null, 2);
}
