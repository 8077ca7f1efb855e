/** Text output of the timeline of a request or rollout over several nodes. */

import type * as logReader from './logReader.js';
import * as table from './table.js';

/** Fields left out because the arguments of the command already name them. */
const HIDDEN_FIELDS = new Set(['requestId', 'service', 'target']);

/** One row per log line, with the time since the first. */
export function renderTimeline(
  lines: readonly logReader.LogLine[],
  options: table.TableOptions,
): string {
  const startMs = lines[0]?.timeMs ?? 0;
  const rows = lines.map(({ timeMs, node, message, fields }) => [
    `+${timeMs - startMs}`,
    node,
    message,
    Object.entries(fields)
      .filter(([name]) => !HIDDEN_FIELDS.has(name))
      .map(
        ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
      )
      .join(' '),
  ]);
  const started = new Date(startMs).toISOString();
  return `first line at ${started}\n${table.formatTable(['ms', 'node', 'message', 'fields'], rows, options)}`;
}
