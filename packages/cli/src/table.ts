/** Aligned tables and fields for the terminal. */

import { styleText } from 'node:util';

export type Cell = string | number | boolean | null | undefined;

export interface TableOptions {
  /** Emphasizes the header. Default false. */
  color?: boolean;
}

const COLUMN_GAP = '  ';
const EMPTY_CELL = '-';
/** Control and invisible format characters. */
const CONTROL_CHARACTERS = /[\p{Cc}\p{Cf}]+/gu;
const graphemeSegmenter = new Intl.Segmenter();

/** Formats a table with aligned columns; the last column is not padded. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly Cell[])[],
  options: TableOptions = {},
): string {
  const texts = [header, ...rows].map((row) => row.map(cellText));
  const widths = header.map((_, column) =>
    Math.max(...texts.map((row) => width(row[column] ?? EMPTY_CELL))),
  );
  const lines = texts.map((row) =>
    row
      .map((cell, column) =>
        column === header.length - 1
          ? cell
          : cell + ' '.repeat((widths[column] ?? 0) - width(cell)),
      )
      .join(COLUMN_GAP),
  );
  if (options.color) lines[0] = styleText('bold', lines[0] ?? '');
  return lines.join('\n');
}

/** Formats `name  value` lines with aligned values. */
export function formatFields(fields: readonly (readonly [string, Cell])[]): string {
  const widest = Math.max(...fields.map(([name]) => width(name)));
  return fields
    .map(([name, value]) => `${name.padEnd(widest)}${COLUMN_GAP}${cellText(value)}`)
    .join('\n');
}

/** RFC 3339 time in UTC. */
export function formatTime(ms: number): string {
  return new Date(ms).toISOString();
}

/** Replaces control characters, so that text from a ticket cannot control the terminal. */
export function cleanText(text: string): string {
  return text.replace(CONTROL_CHARACTERS, ' ').trim();
}

/** Indents the lines of a longer text, such as YAML. */
export function formatBlock(text: string): string {
  const lines = text.trimEnd().split('\n');
  return lines.map((line) => `  ${line.replace(CONTROL_CHARACTERS, ' ')}`).join('\n');
}

function cellText(cell: Cell): string {
  if (cell === null || cell === undefined) return EMPTY_CELL;
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no';
  return cleanText(String(cell)) || EMPTY_CELL;
}

function width(text: string): number {
  return [...graphemeSegmenter.segment(text)].length;
}
