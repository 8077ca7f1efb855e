/** Stand-ins for outside systems, and the harness that starts them with nodes. */

export * as fleet from './fleet/index.js';
export * as harness from './harness/index.js';
export * as link from './link/link.js';
export * as platform from './platform/server.js';
export * as upstream from './upstream/server.js';
export * as rolloutScenario from './faults/rolloutScenario.js';
