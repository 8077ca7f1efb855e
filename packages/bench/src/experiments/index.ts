/** All experiments, in the order of the help text. */

import type * as experiment from '../experiment.js';
import * as records from './records.js';

export const EXPERIMENTS: readonly experiment.Experiment[] = [new records.RecordsExperiment()];
