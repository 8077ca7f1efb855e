/** Reads the JSON lines that nodes log, from several files or a mixed stream. */

import { z } from 'zod';

/** What each line has; other fields depend on the decision. */
const LINE = z.looseObject({
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
  /** What was decided, by what: the other fields in the order of the line. */
  fields: Record<string, unknown>;
}

export interface ReadLog {
  lines: LogLine[];
  /** Lines that are not of a node. */
  skipped: number;
}

/** Text ahead of the JSON document of a line, such as the name of a host, is left out. */
export function readLog(text: string): ReadLog {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const row of text.split('\n')) {
    const line = readLine(row);
    if (line !== null) lines.push(line);
    else if (row.trim() !== '') skipped += 1;
  }
  return { lines, skipped };
}

function readLine(row: string): LogLine | null {
  const start = row.indexOf('{');
  if (start < 0) return null;
  let doc: unknown;
  try {
    doc = JSON.parse(row.slice(start));
  } catch {
    // Counted by the caller and told to the user.
    return null;
  }
  const parsed = LINE.safeParse(doc);
  if (!parsed.success) return null;
  const { time, component, msg, node, ...fields } = parsed.data;
  delete fields.level;
  // A line on another node has two fields `node`; the first one, of the writer, is at the front.
  const writer = /"node":"([^"]*)"/.exec(row)?.[1] ?? String(node);
  if (node !== undefined && node !== writer) fields.about = node;
  return { timeMs: time, node: writer, component, message: msg, fields };
}

/** Lines on one request, oldest first. */
export function linesOfRequest(lines: readonly LogLine[], requestId: string): LogLine[] {
  return inOrder(lines.filter(({ fields }) => fields.requestId === requestId));
}

/** Lines on the rollout of one version of a service, oldest first. */
export function linesOfRollout(
  lines: readonly LogLine[],
  service: string,
  version: string,
): LogLine[] {
  return inOrder(
    lines.filter(
      ({ component, fields }) =>
        component === 'rollouts' &&
        fields.service === service &&
        (fields.target === version || fields.version === version),
    ),
  );
}

function inOrder(lines: LogLine[]): LogLine[] {
  return lines.sort((a, b) => a.timeMs - b.timeMs);
}
