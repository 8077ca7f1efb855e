/** Durations and sizes with units, as written in settings and tickets. */

import * as z from 'zod';

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1024,
  MiB: 1024 * 1024,
};

function parseWithUnit(text: string, units: Readonly<Record<string, number>>): number | null {
  const match = /^(\d+(?:\.\d+)?)([A-Za-z]+)$/.exec(text);
  if (match === null) return null;
  const factor = units[match[2] ?? ''];
  return factor === undefined ? null : Number(match[1]) * factor;
}

/** Parses `250ms`, `5s`, `10m`, `2h` or `1d` into milliseconds; null when it is not a duration. */
export function parseDurationMs(text: string): number | null {
  return parseWithUnit(text, MS_PER_UNIT);
}

/** Parses `100B`, `64KiB` or `1MiB` into bytes; null when it is not a size. */
export function parseSizeBytes(text: string): number | null {
  return parseWithUnit(text, BYTES_PER_UNIT);
}

function withUnit(parse: (text: string) => number | null, message: string) {
  return z.string().transform((text, ctx) => {
    const value = parse(text);
    if (value !== null) return value;
    ctx.addIssue({ code: 'custom', message });
    return z.NEVER;
  });
}

/** Schema of a duration with its unit; the output is milliseconds. */
export const durationMs = () =>
  withUnit(parseDurationMs, 'must be a duration with a unit, such as 250ms, 5s, 10m or 2h');

/** Schema of a size with its unit; the output is bytes. */
export const sizeBytes = () =>
  withUnit(parseSizeBytes, 'must be a size with a unit, such as 512B, 64KiB or 1MiB');
