/** Starts deployments as processes, for tests, benches and the demo. */

export * as clients from './clients.js';
export * as deployment from './deployment.js';
export * as layouts from './layouts.js';
export * as nodeSettings from './nodeSettings.js';
export * as ports from './ports.js';
export * as processes from './processes.js';
export * as wait from './wait.js';
