/** A cell of the fault matrix: a fault injected at one step, and the invariants that must hold. */

/** Area of the matrix; each area has its own module under `cells/`. */
export type Area = 'distribution' | 'membership' | 'requests' | 'rollouts';

export type CellState = 'proved' | 'red' | 'open';

export interface CellContext {
  seed: number;
  /** Prints a progress line. */
  report: (line: string) => void;
}

/** A cell without `run` is listed as open: planned, but not implemented or not yet seen to pass. */
export interface Cell {
  area: Area;
  fault: string;
  step: string;
  /** Numbers of the invariants (docs/design.md, section 1.3) that the cell checks. */
  invariants: readonly number[];
  /** Rejects with an `AssertionError` when an invariant does not hold. */
  run?: (context: CellContext) => Promise<void>;
  /** Issue of a known failure; the cell is then listed as red and skipped by default. */
  knownRed?: string;
}

export function formatName(cell: Cell): string {
  return `${cell.area}: ${cell.fault} at ${cell.step}`;
}

export function getState(cell: Cell): CellState {
  if (cell.knownRed !== undefined) return 'red';
  return cell.run === undefined ? 'open' : 'proved';
}
