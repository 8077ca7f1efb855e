/** Text output of rollouts. */

import * as yaml from 'yaml';
import type * as responses from './responses.js';
import * as table from './table.js';

export function renderRolloutList(
  list: responses.RolloutList,
  options: table.TableOptions,
): string {
  const rows = list.rollouts.map((rollout) => [
    rollout.id,
    rollout.stable,
    rollout.target,
    rollout.phase,
    rollout.sharePct,
    rollout.deadline,
    rollout.reason,
  ]);
  const header = ['ROLLOUT', 'STABLE', 'TARGET', 'PHASE', 'SHARE %', 'DEADLINE', 'REASON'];
  return table.formatTable(header, rows, options);
}

export function renderRollout(rollout: responses.Rollout, options: table.TableOptions): string {
  const parts = [
    table.formatFields([
      ['rollout', rollout.id],
      ['service', rollout.service],
      ['ticket', rollout.ticket],
      ['stable', rollout.stable],
      ['target', rollout.target],
      ['phase', rollout.phase],
      ['share', `${rollout.sharePct} %`],
      ['deadline', rollout.deadline],
      ['expected end', rollout.expectedEnd],
      ['reason', rollout.reason],
    ]),
  ];
  if (rollout.history?.length) {
    const rows = rollout.history.map((step) => [
      table.formatTime(step.atMs),
      step.phase,
      step.sharePct,
      step.reason,
    ]);
    parts.push(table.formatTable(['TIME', 'PHASE', 'SHARE %', 'REASON'], rows, options));
  }
  if (rollout.evidence !== undefined && rollout.evidence !== null) {
    parts.push(`evidence\n${table.formatBlock(yaml.stringify(rollout.evidence))}`);
  }
  return parts.join('\n\n');
}

/** One line that describes the phase, for progress output. */
export function describePhase(rollout: responses.Rollout): string {
  const reason = rollout.reason ? `: ${table.cleanText(rollout.reason)}` : '';
  return `rollout ${rollout.id} is ${rollout.phase} at ${rollout.sharePct} %${reason}`;
}
