/**
 * Computes which share of each service's and route's traffic goes to which version, from the
 * configuration, rollout documents and vetoes known to this node.
 */

import { ids, rollout as rollouts } from '@godwittrack/core';
import type { configuration } from '@godwittrack/core';
import type * as vetoSet from './vetoSet.js';

export interface VersionShare {
  /** Empty when no rollout runs. */
  rollout: string;
  stable: string;
  /** Null when all traffic goes to `stable`. */
  target: string | null;
  targetPct: number;
  /** The target has enough evidence in its favour to take over when no stable server is ready. */
  targetAccepted: boolean;
  /**
   * The veto arrived after the controller had recorded `done`. The stable version may have no
   * servers left by then, in which case the target still serves, so that requests do not fail.
   */
  targetAsLastResort: boolean;
}

export interface Choice {
  version: string;
  rollout: string;
  /** The chosen version had no ready server. */
  fallback: boolean;
}

/**
 * Highest share, in percent, of a target that the local guard suspects. The remaining traffic goes
 * to the stable version, so that both can be compared.
 */
const MAX_SUSPECT_SHARE_PCT = 50;
const ACCEPTED_PHASES: readonly rollouts.Phase[] = ['stepping', 'soaking', 'done'];

export class TrafficShares {
  private readonly vetoes: vetoSet.VetoSet;

  private plans: ReadonlyMap<ids.ServiceName, configuration.VersionPlan> = new Map();

  private readonly documents = new Map<string, rollouts.Rollout>();

  private readonly isSuspect: (rollout: string) => boolean;

  constructor(vetoes: vetoSet.VetoSet, isSuspect: (rollout: string) => boolean = () => false) {
    this.vetoes = vetoes;
    this.isSuspect = isSuspect;
  }

  setConfiguration(next: Pick<configuration.Configuration, 'plans'>): void {
    this.plans = next.plans;
    for (const [id, { data }] of this.documents) {
      const plan = this.plans.get(ids.serviceName(data.service));
      const isCurrent = plan !== undefined && this.documentOf(plan)?.id === id;
      if (plan !== undefined && plan.ticket > data.ticket && !isCurrent) this.documents.delete(id);
    }
    this.vetoes.deleteObsolete((id) => this.isObsolete(id));
  }

  /** Stores the document; returns false if it is not newer than the known one. */
  apply(document: rollouts.Rollout): boolean {
    const known = this.documents.get(document.id);
    if (known !== undefined && known.data.revision >= document.data.revision) return false;
    this.documents.set(document.id, document);
    return true;
  }

  /** Known documents. */
  all(): rollouts.Rollout[] {
    return [...this.documents.values()];
  }

  /** Null when the service has no plan; any version may then serve it. */
  shareOf(service: string, route: string): VersionShare | null {
    const plan = this.plans.get(ids.serviceName(service));
    if (plan === undefined) return null;
    const id = ids.rolloutId(plan.service, plan.ticket);
    const onlyStable = {
      rollout: '',
      stable: plan.stable,
      target: null,
      targetPct: 0,
      targetAccepted: false,
      targetAsLastResort: false,
    };
    if (plan.target === undefined) return onlyStable;
    const document = this.documentOf(plan);
    const rolloutIds = [id, ...(document?.vetoingRolloutIds ?? [])];
    const vetoed = rolloutIds.some((one) => this.vetoes.has(one));
    if (document === undefined) return { ...onlyStable, rollout: id };
    const { phase } = document.data;
    if (vetoed) {
      const { target } = plan;
      const lateVeto = { ...onlyStable, rollout: id, target, targetAsLastResort: true };
      return phase === 'done' ? lateVeto : { ...onlyStable, rollout: id };
    }
    if (phase === 'takenBack') return { ...onlyStable, rollout: id };
    const share = phase === 'done' ? 100 : document.shareOf(route);
    const capped = this.isSuspect(id) ? Math.min(share, MAX_SUSPECT_SHARE_PCT) : share;
    return {
      rollout: id,
      stable: plan.stable,
      target: plan.target,
      targetPct: capped,
      targetAccepted:
        ACCEPTED_PHASES.includes(phase) || document.data.sharePct > rollouts.MAX_CANARY_SHARE_PCT,
      targetAsLastResort: false,
    };
  }

  /**
   * Chooses a version by share; `random` is in [0, 1). If the chosen version has no ready server,
   * the other version may replace it: the stable version always, the target only if it is accepted
   * and already has a share of the route, or as a last resort. Null means any version.
   */
  chooseVersion(
    service: string,
    route: string,
    random: number,
    hasReady: (version: string) => boolean = () => true,
  ): Choice | null {
    const share = this.shareOf(service, route);
    if (share === null) return null;
    const { rollout, stable, target, targetPct } = share;
    if (target === null) return { version: stable, rollout, fallback: false };
    const wantsTarget = random * 100 < targetPct;
    const wanted = wantsTarget ? target : stable;
    if (hasReady(wanted)) return { version: wanted, rollout, fallback: false };
    const mayUseTarget = (share.targetAccepted && targetPct > 0) || share.targetAsLastResort;
    const other = wantsTarget ? stable : target;
    const allowed = wantsTarget || mayUseTarget;
    if (allowed && hasReady(other)) return { version: other, rollout, fallback: true };
    return { version: wanted, rollout, fallback: false };
  }

  /**
   * A rollout is obsolete once the configuration contains a later plan for its service, unless the
   * rollout of that plan continues it and therefore still heeds its vetoes.
   */
  isObsolete(rollout: string): boolean {
    const dot = rollout.lastIndexOf('.');
    const plan = this.plans.get(ids.serviceName(rollout.slice(0, dot)));
    if (plan === undefined || plan.ticket <= Number(rollout.slice(dot + 1))) return false;
    const document = this.documentOf(plan);
    return document?.vetoingRolloutIds.includes(rollout) !== true;
  }

  private documentOf(plan: configuration.VersionPlan): rollouts.Rollout | undefined {
    return this.documents.get(ids.rolloutId(plan.service, plan.ticket)) ?? this.previousOf(plan);
  }

  /** Until a continuing rollout has its own document, the previous rollout's share applies. */
  private previousOf(plan: configuration.VersionPlan): rollouts.Rollout | undefined {
    const earlier = [...this.documents.values()].filter(
      ({ data }) => data.service === plan.service && data.ticket < plan.ticket,
    );
    const last = earlier.sort((a, b) => b.data.ticket - a.data.ticket)[0];
    return last?.isContinuedBy(plan) ? last : undefined;
  }
}
