/** Domain of godwittrack: identifiers, failures, resources, tickets and configurations. */

export * as backoff from './backoff.js';
export * as byteCollector from './byteCollector.js';
export * as callerConnections from './callerConnections.js';
export * as clock from './clock.js';
export * as configuration from './configuration.js';
export * as eProcess from './eProcess.js';
export * as failures from './failures.js';
export * as hash from './hash.js';
export * as httpStatus from './httpStatus.js';
export * as ids from './ids.js';
export * as manifest from './manifest.js';
export * as metrics from './metrics.js';
export * as outgoing from './outgoing.js';
export * as placement from './placement.js';
export * as problems from './problems.js';
export * as rendezvous from './rendezvous.js';
export * as resources from './resources.js';
export * as rollout from './rollout.js';
export * as ticket from './ticket.js';
export * as units from './units.js';
