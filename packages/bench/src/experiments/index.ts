/** All experiments, in the order of the help text. */

import type * as experiment from '../experiment.js';
import * as convergence from './convergence.js';
import * as records from './records.js';
import * as requests from './requests.js';
import * as rollouts from './rollouts.js';
import * as scale from './scale.js';

export const EXPERIMENTS: readonly experiment.Experiment[] = [
  new convergence.ConvergenceExperiment(),
  new records.RecordsExperiment(),
  new requests.RequestsExperiment(),
  new rollouts.RolloutsExperiment(),
  new scale.ScaleExperiment(),
];
