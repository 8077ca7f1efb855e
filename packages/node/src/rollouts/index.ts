/** Rollouts: evidence, statistical decisions, vetoes, traffic shares and the controller. */

export * as decisionExperiment from './decisionExperiment.js';
export * as evidenceMerge from './evidenceMerge.js';
export * as evidenceRecorder from './evidenceRecorder.js';
export * as lease from './lease.js';
export * as localGuard from './localGuard.js';
export * as rolloutController from './rolloutController.js';
export * as sequentialTest from './sequentialTest.js';
export * as trafficShares from './trafficShares.js';
export * as stepPlanner from './stepPlanner.js';
export * as vetoSet from './vetoSet.js';
