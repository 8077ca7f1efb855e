/** All cells of the fault matrix. */

import type * as cell from '../cell.js';
import * as rollouts from './rollouts.js';

export const CELLS: readonly cell.Cell[] = [...rollouts.CELLS];
