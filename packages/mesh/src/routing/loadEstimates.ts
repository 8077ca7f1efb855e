/**
 * Estimates of the load of candidates. A report loses weight with its age, and the estimate moves towards the
 * average of the recent reports from the same group of candidates, since an upstream that was full a moment ago
 * is as loaded as its neighbours rather than idle. Groups are the own failure domain, the rest of the region and
 * the other regions; a group without recent reports is assumed to be idle, so that it is tried again.
 */

import type * as members from '../membership/members.js';

/** What is known of the load of an upstream. */
export interface KnownLoad {
  /** In-flight requests: those of this node, and those of other nodes in proportion to the weight of the report. */
  load: number;
  /** In-flight requests of other nodes, as last reported. */
  reportedLoad: number;
  /** Weight of that report: 1 for a new one, 0 without any. */
  reportWeight: number;
}

export interface LoadEstimate {
  /** Expected in-flight requests. */
  load: number;
  /** Expected number of requests that wait for a slot, the next one included. */
  queued: number;
}

type Group = 'near' | 'region' | 'remote';

/** Weight of the assumption that a group is idle, in comparison with a new report from one upstream. */
const IDLE_WEIGHT = 0.1;

export function groupOf(distance: members.Distance): Group {
  return distance === 'region' || distance === 'remote' ? distance : 'near';
}

/** Averages of the recent reports from one group, in proportion to the capacity of the upstreams. */
class GroupAverage {
  private load = 0;

  private queued = 0;

  private reportedCapacity = 0;

  private capacity = 0;

  private size = 0;

  add({ reportedLoad, reportWeight }: KnownLoad, capacity: number): void {
    this.load += reportWeight * reportedLoad;
    this.queued += reportWeight * Math.max(0, reportedLoad + 1 - capacity);
    this.reportedCapacity += reportWeight * capacity;
    this.capacity += capacity;
    this.size += 1;
  }

  /** Load as a share of the capacity. */
  get usage(): number {
    return this.load / this.weight;
  }

  /** Waiting requests as a share of the capacity. */
  get queuedShare(): number {
    return this.queued / this.weight;
  }

  private get weight(): number {
    return this.reportedCapacity + (IDLE_WEIGHT * this.capacity) / this.size;
  }
}

/** Averages of all groups for one request. */
export class LoadEstimates {
  private readonly groups: Record<Group, GroupAverage> = {
    near: new GroupAverage(),
    region: new GroupAverage(),
    remote: new GroupAverage(),
  };

  add(distance: members.Distance, known: KnownLoad, capacity: number): void {
    this.groups[groupOf(distance)].add(known, capacity);
  }

  /** Estimate for an upstream that was added. */
  estimate(distance: members.Distance, known: KnownLoad, capacity: number): LoadEstimate {
    const { load, reportedLoad, reportWeight } = known;
    const group = this.groups[groupOf(distance)];
    const assumedWeight = 1 - reportWeight;
    const ownLoad = load - reportWeight * reportedLoad;
    const queuedAsReported = Math.max(0, ownLoad + reportedLoad + 1 - capacity);
    const queuedAsAssumed = Math.max(group.queuedShare * capacity, ownLoad + 1 - capacity);
    return {
      load: load + assumedWeight * group.usage * capacity,
      queued: reportWeight * queuedAsReported + assumedWeight * queuedAsAssumed,
    };
  }
}
