#!/usr/bin/env node
/** Entry point of `godwittrack`. */

import process from 'node:process';
import * as cli from './cli.js';

// A reader such as `head` may close the pipe early, which is not an error.
process.stdout.on('error', (err: NodeJS.ErrnoException) => {
  if (err.code !== 'EPIPE') throw err;
  process.exit();
});

const { env, stdin, stdout, stderr } = process;
process.exitCode = await cli.run(process.argv.slice(2), { env, stdin, stdout, stderr });
