/** Parts of the node that other packages use. */

export * as recordParts from './records/index.js';
export * as rollouts from './rollouts/index.js';
export * as settings from './settings.js';
export * as wiring from './wiring.js';
