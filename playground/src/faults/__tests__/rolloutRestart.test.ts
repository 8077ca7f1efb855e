import { describe, it } from 'node:test';
import * as cells from '../cells/rollouts.js';

// Separate from the other cells on real processes, since all tests of a file share its time limit.
describe('rollouts on real processes that restart', () => {
  it('finishes a good version after a restart of all nodes', () =>
    cells.runRolloutFault('good', 'herd restart of all nodes', 'stepping', {
      seed: 1,
      report: () => undefined,
    }));
});
