/** All experiments, in the order of the help text. */

import type * as experiment from '../experiment.js';
import * as rollouts from './rollouts.js';

export const EXPERIMENTS: readonly experiment.Experiment[] = [new rollouts.RolloutsExperiment()];
