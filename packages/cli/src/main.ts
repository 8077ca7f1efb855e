#!/usr/bin/env node
/** Entry point of `godwittrack`. */

import process from 'node:process';
import * as cli from './cli.js';

// A reader such as `head` closes the pipe early; that is no fault of the command.
process.stdout.on('error', (err: NodeJS.ErrnoException) => {
  if (err.code !== 'EPIPE') throw err;
  process.exit();
});

const { env, stdin, stdout, stderr } = process;
process.exitCode = await cli.run(process.argv.slice(2), { env, stdin, stdout, stderr });
