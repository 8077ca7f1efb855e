/** Runs the command line for operators as a child process against a deployment. */

import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as util from 'node:util';
import type * as deployment from '../harness/deployment.js';

const CLI_MAIN = url.fileURLToPath(new URL('../../../packages/cli/dist/main.js', import.meta.url));
const COMMAND_TIMEOUT_MS = 60_000;

const execFile = util.promisify(childProcess.execFile);

export interface CommandResult {
  exitCode: number;
  stdout: string;
  stderr: string;
}

/** Runs `godwittrack` with `args`; it tries `nodes` in order. */
export async function runCommand(
  nodes: readonly deployment.Server[],
  args: readonly string[],
): Promise<CommandResult> {
  const urls = nodes.map(({ admin }) => admin.url).join(',');
  const argv = [CLI_MAIN, ...args, '--node', urls];
  try {
    const { stdout, stderr } = await execFile(process.execPath, argv, {
      timeout: COMMAND_TIMEOUT_MS,
    });
    return { exitCode: 0, stdout, stderr };
  } catch (err) {
    const { code, stdout = '', stderr = '' } = err as childProcess.ExecFileException;
    return { exitCode: typeof code === 'number' ? code : -1, stdout, stderr };
  }
}
