/** Known upstreams of a service that accept requests, by version. */

import type { ids } from '@godwittrack/core';
import type * as members from '../membership/members.js';
import type * as phases from './phases.js';
import type * as rolloutTable from './rolloutTable.js';

export interface UpstreamCounts {
  target: number;
  /** Upstreams of other versions that may serve. */
  stable: number;
}

export class VersionUpstreams {
  constructor(
    private readonly table: members.MemberTable,
    private readonly rollouts: rolloutTable.RolloutTable,
  ) {}

  count({ service, target }: phases.RolloutOrder): UpstreamCounts {
    const counts = { target: 0, stable: 0 };
    for (const { version } of this.accepting(service)) {
      if (version === target) counts.target += 1;
      else if (this.rollouts.mayServe(service, version)) counts.stable += 1;
    }
    return counts;
  }

  /** The version with the upstream that started first: upstreams of new versions start beside the old ones. */
  oldestVersion(
    service: ids.ServiceName,
    versions: readonly [ids.VersionName, ...ids.VersionName[]],
  ): ids.VersionName {
    let [oldest] = versions;
    let oldestBornMs = Infinity;
    for (const { version, bornMs } of this.accepting(service)) {
      if (versions.includes(version) && bornMs !== null && bornMs < oldestBornMs) {
        oldest = version;
        oldestBornMs = bornMs;
      }
    }
    return oldest;
  }

  private accepting(service: ids.ServiceName): members.UpstreamState[] {
    return [...this.table.all()].flatMap(({ upstream }) =>
      upstream?.accepting && upstream.service === service ? [upstream] : [],
    );
  }
}
