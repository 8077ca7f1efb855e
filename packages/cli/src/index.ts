/** Operators' command line and the client of the administration API that it uses. */

export * as adminClient from './adminClient.js';
export * as answers from './answers.js';
export * as cli from './cli.js';
export * as exitCodes from './exitCodes.js';
