/** Parts of the node that other packages use. */

export * as settings from './settings.js';
export * as wiring from './wiring.js';
