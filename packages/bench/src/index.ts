/** Load and experiment tool. */

export * as experiment from './experiment.js';
