/** Logger of a stand-in, which writes JSON lines to standard output. */

import * as pino from 'pino';

export type Logger = pino.Logger;

export function createLogger(name: string): Logger {
  return pino.pino({ name, base: { name } });
}
