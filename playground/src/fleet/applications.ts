/** Reads from the nodes' logs when each node applied each configuration version. */

import type * as deployments from '../harness/deployment.js';
import type * as changes from './changes.js';

/** A configuration version that a node applied. */
export interface AppliedVersion {
  atMs: number;
  version: number;
}

/** Period during which a node was killed or frozen; it applies changes only after the end. */
export interface Absence {
  node: string;
  fromMs: number;
  toMs: number;
}

export interface Change {
  version: number;
  /** Time at which the operator's request to file the ticket began. */
  filedAtMs: number;
  acceptedAtMs: number;
  region: string;
}

export interface NodeHistory {
  node: string;
  appliedVersions: AppliedVersion[];
  /** How often the node applied a version that was not newer, or became ready with an older one. */
  regressions: number;
  /** Number of applied configurations whose digest differs from that of the accepted version. */
  partialApplies: number;
}

function readHistory(server: deployments.Server, source: changes.ChangeSource): NodeHistory {
  const history: NodeHistory = {
    node: server.name,
    appliedVersions: [],
    regressions: 0,
    partialApplies: 0,
  };
  let highestVersion = 0;
  let versionInRun = 0;
  for (const record of server.node?.records ?? []) {
    const message = String(record.msg);
    const version = Number(record.version);
    if (message.endsWith('Listening.')) versionInRun = 0;
    if (message.endsWith('Configuration applied.')) {
      if (version <= versionInRun) history.regressions += 1;
      if (record.digest !== source.expectedDigest(version)) history.partialApplies += 1;
      versionInRun = version;
      highestVersion = Math.max(highestVersion, version);
      history.appliedVersions.push({ atMs: Date.parse(String(record.time)), version });
    }
    // A restarted node must not serve an older version than it applied before the restart.
    if (message.endsWith('Ready.') && version < highestVersion) history.regressions += 1;
  }
  return history;
}

export function readHistories(
  servers: readonly deployments.Server[],
  source: changes.ChangeSource,
): NodeHistory[] {
  return servers.map((server) => readHistory(server, source));
}

/**
 * Time from filing the change until the last node applied it; Infinity when a node has not. For a
 * node that was absent meanwhile, the time counts from its return.
 */
export function convergenceMs(
  change: Change,
  histories: readonly NodeHistory[],
  absences: readonly Absence[] = [],
): number {
  const delaysMs = histories.map(({ node, appliedVersions }) => {
    const applied = appliedVersions.find(({ version }) => version >= change.version);
    const appliedAtMs = applied?.atMs ?? Number.POSITIVE_INFINITY;
    const returnTimesMs = absences
      .filter((absence) => absence.node === node && absence.fromMs <= appliedAtMs)
      .filter((absence) => absence.toMs > change.filedAtMs)
      .map(({ toMs }) => toMs);
    return appliedAtMs - Math.max(change.filedAtMs, ...returnTimesMs);
  });
  return Math.max(0, ...delaysMs);
}

export function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1);
  return sorted[Math.max(0, index)] ?? Number.NaN;
}
