/** Parses the JSON log lines of nodes, from several files or a merged stream. */

import { z } from 'zod';

/** Fields that every log line has; the others depend on the event. */
const logLineSchema = z.looseObject({
  /** Unix milliseconds. */
  time: z.number(),
  component: z.string(),
  msg: z.string(),
});

export interface LogLine {
  timeMs: number;
  node: string;
  component: string;
  message: string;
  /** All other fields, in the order of the line. */
  fields: Record<string, unknown>;
}

export interface ParsedLog {
  lines: LogLine[];
  /** Number of non-empty lines that are not log lines of a node. */
  skipped: number;
}

/** Parses a log. Text before the JSON document of a line, such as a host name, is ignored. */
export function parseLog(text: string): ParsedLog {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const row of text.split('\n')) {
    const line = parseLine(row);
    if (line !== null) lines.push(line);
    else if (row.trim() !== '') skipped += 1;
  }
  return { lines, skipped };
}

function parseLine(row: string): LogLine | null {
  const start = row.indexOf('{');
  if (start < 0) return null;
  let doc: unknown;
  try {
    doc = JSON.parse(row.slice(start));
  } catch {
    // The caller counts the line and reports the number to the user.
    return null;
  }
  const parsed = logLineSchema.safeParse(doc);
  if (!parsed.success) return null;
  const { time, component, msg, node, ...fields } = parsed.data;
  delete fields.level;
  // A line about another node has two `node` fields; the first one is the node that wrote the line.
  const writer = /"node":"([^"]*)"/.exec(row)?.[1] ?? String(node);
  if (node !== undefined && node !== writer) fields.about = node;
  return { timeMs: time, node: writer, component, message: msg, fields };
}

/** Lines about one request, oldest first. */
export function linesOfRequest(lines: readonly LogLine[], requestId: string): LogLine[] {
  return sortByTime(lines.filter(({ fields }) => fields.requestId === requestId));
}

/** Lines about the rollout of one version of a service, oldest first. */
export function linesOfRollout(
  lines: readonly LogLine[],
  service: string,
  version: string,
): LogLine[] {
  return sortByTime(
    lines.filter(
      ({ component, fields }) =>
        component === 'rollouts' &&
        fields.service === service &&
        (fields.target === version || fields.version === version),
    ),
  );
}

function sortByTime(lines: LogLine[]): LogLine[] {
  return lines.sort((a, b) => a.timeMs - b.timeMs);
}
