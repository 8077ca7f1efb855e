/** All cells of the fault matrix. */

import type * as cell from '../cell.js';
import * as distribution from './distribution.js';
import * as membership from './membership.js';
import * as requests from './requests.js';
import * as rollouts from './rollouts.js';

export const CELLS: readonly cell.Cell[] = [
  ...distribution.CELLS,
  ...membership.CELLS,
  ...requests.CELLS,
  ...rollouts.CELLS,
];
