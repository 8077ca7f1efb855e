/** Grow-only set of vetoes; merging is commutative and idempotent. */

import type { distribution } from '@godwittrack/protocol';

/** One veto ends a rollout; more are kept only to show which nodes saw the fault. */
const MAX_PER_ROLLOUT = 16;
/** Rollouts with vetoes; limits memory if a peer sends vetoes for endlessly many rollout ids. */
const MAX_ROLLOUTS = 1_000;

export class VetoSet {
  private readonly vetoesByRollout = new Map<string, Map<string, distribution.Veto>>();

  /** Adds vetoes and returns the new ones, to be forwarded to parent, children and peers. */
  merge(vetoes: readonly distribution.Veto[]): distribution.Veto[] {
    return vetoes.filter((veto) => this.add(veto));
  }

  has(rollout: string): boolean {
    return this.vetoesByRollout.has(rollout);
  }

  of(rollout: string): distribution.Veto[] {
    return [...(this.vetoesByRollout.get(rollout)?.values() ?? [])];
  }

  all(): distribution.Veto[] {
    return [...this.vetoesByRollout.values()].flatMap((vetoes) => [...vetoes.values()]);
  }

  /**
   * Deletes the vetoes of rollouts that a later plan has replaced. A rollout that is not known yet
   * may be newer than this node's configuration, so `isObsolete` must be false for it.
   */
  deleteObsolete(isObsolete: (rollout: string) => boolean): void {
    for (const rollout of this.vetoesByRollout.keys())
      if (isObsolete(rollout)) this.vetoesByRollout.delete(rollout);
  }

  private add(veto: distribution.Veto): boolean {
    const vetoes = this.vetoesByRollout.get(veto.rollout) ?? new Map<string, distribution.Veto>();
    const key = `${veto.node} ${veto.route}`;
    if (vetoes.has(key) || vetoes.size >= MAX_PER_ROLLOUT) return false;
    if (!this.vetoesByRollout.has(veto.rollout) && this.vetoesByRollout.size >= MAX_ROLLOUTS)
      return false;
    vetoes.set(key, veto);
    this.vetoesByRollout.set(veto.rollout, vetoes);
    return true;
  }
}
