/**
 * Chooses between the version that a service is rolled out to and the others. Each node bounds its own
 * requests to a version that is not proved yet, so the bound holds for the fleet without coordination,
 * whatever the nodes that lead the rollout know or do.
 */

import type { ids } from '@godwittrack/core';
import type * as rolloutTable from '../rollouts/rolloutTable.js';

export interface VersionChooserOptions {
  rollouts: rolloutTable.RolloutTable;
  /** Share of a service's requests that an unproved version may get between its order and the deadline. */
  maxExposureShare: number;
  /** Requests of the fleet that an unproved version may get beyond that share. */
  exposureSlack: number;
  /** Number of nodes that the slack is divided among. */
  nodeCount: () => number;
  /** In [0, 1). */
  random: () => number;
}

/** Whether a request goes to the version that is being rolled out, or to another one. */
export interface VersionChoice {
  service: ids.ServiceName;
  target: ids.VersionName;
  isTarget: boolean;
  /** Whether another version may be one whose own rollout has not ended. */
  mayBeOpen?: boolean;
}

/** Choices to try where the chosen version has no usable upstream; null for any version. */
export function fallbacksOf(choice: VersionChoice): (VersionChoice | null)[] {
  return [{ ...choice, isTarget: false, mayBeOpen: true }, null];
}

/** Requests of this node since it learned of the rollout. */
interface Exposure {
  target: ids.VersionName;
  requests: number;
  atTarget: number;
  /** Requests to the target beyond its share, which use the slack. */
  extra: number;
}

/** Part of the slack that is used; the rest is for requests that are offered twice. */
const USED_SLACK_PART = 0.5;

export class VersionChooser {
  private readonly exposures = new Map<ids.ServiceName, Exposure>();

  constructor(private readonly options: VersionChooserOptions) {
    options.rollouts.onOrder((service) => this.exposures.delete(service));
  }

  /** Chooses for one request; null if the service has no rollout. */
  choose(service: ids.ServiceName): VersionChoice | null {
    const { rollouts, random } = this.options;
    const { target, share } = rollouts.trafficSplit(service);
    if (target === null) return null;
    const exposure = this.exposureOf(service, target);
    exposure.requests += 1;
    const isDrawn = share >= 1 || random() < share;
    if (isDrawn) return { service, target, isTarget: this.mayExpose(service, exposure) };
    const isExtra = share > 0 && exposure.extra + 1 <= this.slackOf(service, target);
    if (isExtra) exposure.extra += 1;
    return { service, target, isTarget: isExtra };
  }

  /** Whether the choice allows a version. Versions of rollouts that were replaced midway are not proved. */
  allows(choice: VersionChoice | null, version: ids.VersionName): boolean {
    if (choice === null) return true;
    if (choice.isTarget) return version === choice.target;
    if (version === choice.target) return false;
    return (
      choice.mayBeOpen === true || !this.options.rollouts.isRollingOut(choice.service, version)
    );
  }

  /** Records that a request is offered to an upstream of the version, chosen or not. */
  recordOffer({ service, target }: VersionChoice, version: ids.VersionName): void {
    if (version === target) this.exposureOf(service, target).atTarget += 1;
  }

  private mayExpose(service: ids.ServiceName, { target, requests, atTarget }: Exposure): boolean {
    const { rollouts, maxExposureShare } = this.options;
    if (!rollouts.isExposureBounded(service, target)) return true;
    return atTarget + 1 <= maxExposureShare * requests + this.slackOf(service, target);
  }

  /**
   * Requests of this node that the target may have got by now beyond its share. The slack is used evenly over
   * the ordered time; it gives most of the evidence on a service with few requests.
   */
  private slackOf(service: ids.ServiceName, target: ids.VersionName): number {
    const { rollouts, exposureSlack, nodeCount } = this.options;
    const perNode = (USED_SLACK_PART * exposureSlack) / Math.max(1, nodeCount());
    return perNode * rollouts.elapsedShare(service, target);
  }

  private exposureOf(service: ids.ServiceName, target: ids.VersionName): Exposure {
    let exposure = this.exposures.get(service);
    if (exposure?.target !== target) {
      exposure = { target, requests: 0, atTarget: 0, extra: 0 };
      this.exposures.set(service, exposure);
    }
    return exposure;
  }
}
