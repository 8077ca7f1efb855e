/** Structured logs with pino; each part of the node has its own message prefix. */

import pino from 'pino';

export type Part =
  | 'node'
  | 'admin'
  | 'audit'
  | 'config'
  | 'membership'
  | 'parent'
  | 'children'
  | 'platform'
  | 'records'
  | 'requests'
  | 'rollouts'
  | 'upstream';

export type Logger = pino.Logger;

export function createRootLogger(level: string, node: string): Logger {
  return pino({ level, base: { node }, timestamp: pino.stdTimeFunctions.isoTime });
}

/** Logger of one part; every message starts with `part: `. */
export function createPartLogger(root: Logger, part: Part): Logger {
  return root.child({ part }, { msgPrefix: `${part}: ` });
}

export function createSilentLogger(): Logger {
  return pino({ level: 'silent' });
}
