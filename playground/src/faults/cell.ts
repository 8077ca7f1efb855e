/** Cells of the fault matrix: one fault at one step, and the invariants that must hold. */

/** Areas of the matrix; each has its own module of cells. */
export type Area = 'distribution' | 'membership' | 'requests' | 'rollouts';

export type CellState = 'proved' | 'red' | 'open';

export interface CellContext {
  seed: number;
  /** Reports progress to people. */
  report: (line: string) => void;
}

/** One cell; a cell without `run` is open. */
export interface Cell {
  area: Area;
  fault: string;
  step: string;
  /** Numbers of the invariants (docs/design.md, section 1.3) that the cell checks. */
  invariants: readonly number[];
  /** Rejects with an `AssertionError` when an invariant does not hold. */
  run?: (context: CellContext) => Promise<void>;
  /** Issue that describes a known fault; the cell is then listed as red and passed over. */
  knownRed?: string;
}

export function nameOf(cell: Cell): string {
  return `${cell.area}: ${cell.fault} at ${cell.step}`;
}

export function stateOf(cell: Cell): CellState {
  if (cell.knownRed !== undefined) return 'red';
  return cell.run === undefined ? 'open' : 'proved';
}
