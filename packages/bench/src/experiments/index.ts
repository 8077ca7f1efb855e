/** All experiments, in the order of the help text. */

import type * as experiment from '../experiment.js';

export const EXPERIMENTS: readonly experiment.Experiment[] = [];
