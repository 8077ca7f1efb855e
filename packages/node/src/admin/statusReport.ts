/** Status for operators: this node, the fleet, services, rollouts and upstreams. */

import { failures, ids } from '@godwittrack/core';
import type { rollout as rollouts } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as fleetState from '../distribution/fleetState.js';
import type * as parentTask from '../distribution/parentTask.js';
import * as progress from '../distribution/progress.js';
import * as rolloutController from '../rollouts/rolloutController.js';
import type * as rolloutRuntime from '../rollouts/rolloutRuntime.js';
import type * as settings from '../settings.js';

export interface ServiceStatus {
  service: string;
  stable: string | null;
  target: string | null;
  deadline: string | null;
  phase: string | null;
  sharePct: number | null;
  summary: string;
}

export interface NodeStatus {
  node: string;
  region: string;
  failureDomain: string;
  role: string;
  parent: string | null;
  configVersion: number;
  platform: { reachable: boolean; ageMs: number | null };
  /** Node ids from this node to the one that watches the platform. */
  path: string[];
  /** `known` and `atVersion` count nodes of the whole fleet, `ready` nodes of this region. */
  members: { known: number; ready: number; atVersion: number };
  services: ServiceStatus[];
  summary: string;
}

/** A rollout with times in RFC 3339 and a readable summary of its state. */
export interface RolloutReport extends Omit<rollouts.RolloutData, 'deadlineMs' | 'expectedEndMs'> {
  deadline: string;
  expectedEnd: string | null;
  summary: string;
  vetoes: distribution.Veto[];
}

/** The platform counts as unreachable when the last contact is older than this. */
const REACHABLE_AGE_MS = 5_000;

export class StatusReport {
  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly parents: parentTask.ParentTask,
    private readonly runtime: rolloutRuntime.RolloutRuntime,
  ) {}

  /** @param version version for which nodes are counted; null for this node's own */
  status(version: number | null): NodeStatus {
    const { config, platformLink: link } = this.state;
    const { fleet } = this.state.progress;
    const countedVersion = version ?? config.version;
    const atVersion = progress.countAtLeast(fleet.counts, countedVersion);
    const ready = this.state.members.all.filter((member) => member.ready).length;
    const reachable = this.isPlatformReachable();
    const isInForceEverywhere = atVersion >= fleet.known && fleet.known > 0;
    return {
      node: this.cfg.node,
      region: this.cfg.region,
      failureDomain: this.cfg.failureDomain,
      role: this.parents.role,
      parent: this.parents.parent,
      configVersion: config.version,
      platform: { reachable, ageMs: link.ageMs === null ? null : Math.round(link.ageMs) },
      path: link.path,
      members: { known: fleet.known, ready, atVersion },
      services: this.services(),
      summary: isInForceEverywhere
        ? `Version ${countedVersion} is in force on all ${fleet.known} nodes.`
        : `Version ${countedVersion} is in force on ${atVersion} of ${fleet.known} nodes.`,
    };
  }

  rollouts(): RolloutReport[] {
    return this.runtime.documents().map((document) => this.describe(document));
  }

  /** @throws objectNotFound */
  rollout(id: string): RolloutReport {
    const found = this.runtime.documents().find((document) => document.id === id);
    if (found === undefined) {
      throw failures.toError({ type: 'objectNotFound', kind: 'rollout', name: id });
    }
    return this.describe(found);
  }

  upstreams() {
    return this.knownMembers()
      .filter((member) => member.upstream !== undefined)
      .map((member) => ({
        node: member.node,
        service: member.upstream?.service,
        version: member.upstream?.version,
        slots: member.upstream?.slots,
        draining: (member.upstream?.draining ?? false) || member.draining,
        healthy: member.upstream?.healthy,
        region: member.region,
        failureDomain: member.failureDomain,
      }));
  }

  nodes() {
    return this.knownMembers().map((member) => ({
      node: member.node,
      region: member.region,
      failureDomain: member.failureDomain,
      incarnation: member.incarnation,
      ready: member.ready,
      draining: member.draining,
      parent: member.parent,
      adminAddress: member.adminAddress,
    }));
  }

  private describe(document: rollouts.Rollout): RolloutReport {
    const { deadlineMs, expectedEndMs, ...data } = document.data;
    const unreachable = !document.isFinal && !this.isPlatformReachable();
    const note = unreachable ? 'the platform is unreachable' : undefined;
    return {
      ...data,
      deadline: new Date(deadlineMs).toISOString(),
      expectedEnd: expectedEndMs === null ? null : new Date(expectedEndMs).toISOString(),
      summary: rolloutController.describeStatus(document, note).summary,
      vetoes: this.runtime.vetoesOf(document.id),
    };
  }

  private isPlatformReachable(): boolean {
    const { ageMs } = this.state.platformLink;
    return ageMs !== null && ageMs < REACHABLE_AGE_MS;
  }

  private services(): ServiceStatus[] {
    const { services, plans } = this.state.config.current;
    return [...services.keys()].map((service) => {
      const plan = plans.get(service);
      const share = this.runtime.shareOf(service);
      const id = plan === undefined ? '' : ids.rolloutId(service, plan.ticket);
      const document = this.runtime.documents().find((one) => one.id === id);
      const target = plan?.target;
      const notBegun = target === undefined ? '' : ` The rollout to ${target} has not begun.`;
      const planSummary =
        plan === undefined ? 'No version plan.' : `All traffic goes to ${plan.stable}.`;
      return {
        service,
        stable: plan?.stable ?? null,
        target: target ?? null,
        deadline: plan?.deadline ?? null,
        phase: document?.data.phase ?? null,
        sharePct: share === null || target === undefined ? null : share.targetPct,
        summary: document === undefined ? planSummary + notBegun : this.describe(document).summary,
      };
    });
  }

  /** Members of this region, and the entry members in the summaries of the others. */
  private knownMembers(): distribution.Member[] {
    const found = new Map<string, distribution.Member>();
    for (const summary of this.state.members.regions) {
      for (const { entries } of summary.versions) {
        entries.forEach((member) => found.set(member.node, member));
      }
    }
    this.state.members.all.forEach((member) => found.set(member.node, member));
    return [...found.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
  }
}
