/** Reads from the nodes' log records when each node applied which configuration. */

import type * as deployments from '../harness/deployment.js';
import type * as changes from './changes.js';

export interface Application {
  atMs: number;
  version: number;
}

/** Time during which a node was killed or frozen; it may take changes after the end. */
export interface Absence {
  node: string;
  fromMs: number;
  toMs: number;
}

export interface Change {
  version: number;
  /** When the operator's call began. */
  filedAtMs: number;
  acceptedAtMs: number;
  region: string;
}

export interface NodeHistory {
  node: string;
  applications: Application[];
  /** Times at which the node held an older version than before, while it was serving. */
  regressions: number;
  /** Applied configurations whose digest is not that of the accepted version. */
  partialApplies: number;
}

function readHistory(server: deployments.Server, source: changes.ChangeSource): NodeHistory {
  const history: NodeHistory = {
    node: server.name,
    applications: [],
    regressions: 0,
    partialApplies: 0,
  };
  let highest = 0;
  let inRun = 0;
  for (const record of server.node?.records ?? []) {
    const message = String(record.msg);
    const version = Number(record.version);
    if (message.endsWith('Listening.')) inRun = 0;
    if (message.endsWith('Configuration applied.')) {
      if (version <= inRun) history.regressions += 1;
      if (record.digest !== source.digestOf(version)) history.partialApplies += 1;
      inRun = version;
      highest = Math.max(highest, version);
      history.applications.push({ atMs: Date.parse(String(record.time)), version });
    }
    // A restarted node may serve only what is at least as new as what it held before.
    if (message.endsWith('Ready.') && version < highest) history.regressions += 1;
  }
  return history;
}

export function readHistories(
  servers: readonly deployments.Server[],
  source: changes.ChangeSource,
): NodeHistory[] {
  return servers.map((server) => readHistory(server, source));
}

/** Time from the filing call until the last node applied the change; Infinity when one has not. */
export function convergenceMs(
  change: Change,
  histories: readonly NodeHistory[],
  absences: readonly Absence[] = [],
): number {
  const waits = histories.map(({ node, applications }) => {
    const applied = applications.find(({ version }) => version >= change.version);
    const appliedAtMs = applied?.atMs ?? Number.POSITIVE_INFINITY;
    const returned = absences
      .filter((absence) => absence.node === node && absence.fromMs <= appliedAtMs)
      .filter((absence) => absence.toMs > change.filedAtMs)
      .map(({ toMs }) => toMs);
    return appliedAtMs - Math.max(change.filedAtMs, ...returned);
  });
  return Math.max(0, ...waits);
}

export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1);
  return sorted[Math.max(0, index)] ?? Number.NaN;
}
