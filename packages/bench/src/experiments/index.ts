/** All experiments, in the order of the help text. */

import type * as experiment from '../experiment.js';
import * as convergence from './convergence.js';
import * as scale from './scale.js';

export const EXPERIMENTS: readonly experiment.Experiment[] = [
  new convergence.ConvergenceExperiment(),
  new scale.ScaleExperiment(),
];
