/** All cells of the fault matrix. */

import type * as cell from '../cell.js';
import * as requests from './requests.js';

export const CELLS: readonly cell.Cell[] = [...requests.CELLS];
