/** Grow-only set of vetoes; merging is commutative and repeats change nothing. */

import type { distribution } from '@godwittrack/protocol';

/** One veto already ends a rollout; more are kept only to show where the fault was seen. */
const MAX_PER_ROLLOUT = 16;
/** Rollouts with vetoes held at once, against a peer that sends endless ids. */
const MAX_ROLLOUTS = 1_000;

export class VetoSet {
  private readonly held = new Map<string, Map<string, distribution.Veto>>();

  /** Adds vetoes and returns those that were news, to be sent on to parent, children and peers. */
  merge(vetoes: readonly distribution.Veto[]): distribution.Veto[] {
    return vetoes.filter((veto) => this.add(veto));
  }

  has(rollout: string): boolean {
    return this.held.has(rollout);
  }

  of(rollout: string): distribution.Veto[] {
    return [...(this.held.get(rollout)?.values() ?? [])];
  }

  all(): distribution.Veto[] {
    return [...this.held.values()].flatMap((vetoes) => [...vetoes.values()]);
  }

  /**
   * Forgets the vetoes of rollouts that a later plan has replaced. A rollout that is not known yet
   * may be newer than the configuration held, so it is not old.
   */
  forget(isOld: (rollout: string) => boolean): void {
    for (const rollout of this.held.keys()) if (isOld(rollout)) this.held.delete(rollout);
  }

  private add(veto: distribution.Veto): boolean {
    const vetoes = this.held.get(veto.rollout) ?? new Map<string, distribution.Veto>();
    const key = `${veto.node} ${veto.route}`;
    if (vetoes.has(key) || vetoes.size >= MAX_PER_ROLLOUT) return false;
    if (!this.held.has(veto.rollout) && this.held.size >= MAX_ROLLOUTS) return false;
    vetoes.set(key, veto);
    this.held.set(veto.rollout, vetoes);
    return true;
  }
}
