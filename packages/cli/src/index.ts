/** Command line for operators, and the client of the administration API that it uses. */

export * as adminClient from './adminClient.js';
export * as cli from './cli.js';
export * as exitCodes from './exitCodes.js';
export * as responses from './responses.js';
