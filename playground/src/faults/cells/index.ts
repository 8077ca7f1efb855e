/** All cells of the fault matrix. */

import type * as cell from '../cell.js';

export const CELLS: readonly cell.Cell[] = [];
