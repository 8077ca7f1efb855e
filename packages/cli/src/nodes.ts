/** URLs of the nodes that a command may call. */

import { UsageError } from 'clipanion';

export const DEFAULT_NODE = 'http://127.0.0.1:8301';
export const NODE_VARIABLE = 'GODWITTRACK_NODE';

/**
 * Returns the URLs from `--node` (repeatable, each with one or several separated by commas), else
 * from the environment, else the default.
 * @throws UsageError for anything but http and https URLs
 */
export function resolveNodes(
  options: readonly string[] | undefined,
  env: Readonly<Record<string, string | undefined>>,
): string[] {
  const given = split(options ?? []);
  const fromEnv = split([env[NODE_VARIABLE] ?? '']);
  if (given.length > 0) return given.map((value) => toUrl(value, '--node'));
  if (fromEnv.length > 0) return fromEnv.map((value) => toUrl(value, NODE_VARIABLE));
  return [DEFAULT_NODE];
}

function split(values: readonly string[]): string[] {
  return values.flatMap((value) => value.split(',').map((part) => part.trim())).filter(Boolean);
}

function toUrl(value: string, source: string): string {
  const url = URL.canParse(value) ? new URL(value) : null;
  if (url === null || !['http:', 'https:'].includes(url.protocol)) {
    throw new UsageError(`${source}: "${value}" is not an http URL such as ${DEFAULT_NODE}`);
  }
  return url.href.replace(/\/+$/, '');
}
